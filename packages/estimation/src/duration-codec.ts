import { err, ok, type Result } from 'neverthrow';
import { POINT_COUNT } from './ratio-grid.ts';
import { MAXIMUM_KINDS } from './route-kinds.ts';
import type { TaskKind } from './task-kind.ts';

/** Version of the format of a row. */
const FORMAT_VERSION = 1;
/** Stored units of a weight of 1. */
const UNITS_PER_WEIGHT = 10;
/** Largest sum of the weights of a kind; more than ageing leaves. */
const MAXIMUM_TOTAL_WEIGHT = 100;
/** Names in the path of the narrowest kind. */
const MAXIMUM_PATH_LENGTH = 3;

/** What is stored of a kind of tasks. */
export interface StoredKind {
  readonly path: readonly string[];
  /** Point of the grid of the first weight. */
  readonly first: number;
  readonly weights: readonly number[];
}

/** Reason why a row cannot be used. */
export enum DurationFaultKind {
  Malformed = 'malformed',
  LaterVersion = 'later version',
}

/** Row that cannot be used, so that its route is learned anew. */
export interface DurationFault {
  readonly kind: DurationFaultKind;
  readonly message: string;
}

/** Encodes the kinds of a route of which most is known. */
export function encodeDurations(kinds: readonly TaskKind[]): string {
  const stored = kinds
    .filter(({ isWorthStoring }) => isWorthStoring)
    .sort((left, right) => right.histogram.total - left.histogram.total)
    .slice(0, MAXIMUM_KINDS)
    .map((kind) => encodeKind(kind));
  return JSON.stringify({ version: FORMAT_VERSION, kinds: stored });
}

/** Decodes the kinds of a route. */
export function decodeDurations(value: string): Result<StoredKind[], DurationFault> {
  let row: unknown;
  try {
    row = JSON.parse(value);
  } catch {
    return err(describeMalformed('it is not JSON'));
  }
  if (typeof row !== 'object' || row === null) return err(describeMalformed('it is no object'));
  const { version, kinds } = row as { version?: unknown; kinds?: unknown };
  if (typeof version === 'number' && version > FORMAT_VERSION) {
    const message = `the row has version ${version}; this release reads up to ${FORMAT_VERSION}`;
    return err({ kind: DurationFaultKind.LaterVersion, message });
  }
  if (version !== FORMAT_VERSION) return err(describeMalformed('it has no version'));
  if (!Array.isArray(kinds) || kinds.length > MAXIMUM_KINDS) {
    return err(describeMalformed('it has no list of kinds, or one that is too long'));
  }
  const decoded = kinds.map((kind) => decodeKind(kind));
  const valid = decoded.filter((kind) => kind !== undefined);
  if (valid.length < decoded.length) return err(describeMalformed('a kind is malformed'));
  return ok(valid);
}

function encodeKind({ path, histogram }: TaskKind): unknown[] {
  const units = [...histogram.weights].map((weight) => Math.round(weight * UNITS_PER_WEIGHT));
  const first = Math.max(
    0,
    units.findIndex((unit) => unit > 0),
  );
  const last = units.findLastIndex((unit) => unit > 0);
  return [path, first, units.slice(first, last + 1)];
}

function decodeKind(value: unknown): StoredKind | undefined {
  if (!Array.isArray(value)) return undefined;
  const [path, first, units] = value as unknown[];
  if (!isPath(path) || !isUnit(first) || !Array.isArray(units)) return undefined;
  if (!units.every(isUnit) || first + units.length > POINT_COUNT) return undefined;
  const weights = units.map((unit) => unit / UNITS_PER_WEIGHT);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return total > MAXIMUM_TOTAL_WEIGHT ? undefined : { path, first, weights };
}

function isPath(value: unknown): value is string[] {
  if (!Array.isArray(value) || value.length === 0 || value.length > MAXIMUM_PATH_LENGTH)
    return false;
  return value.every((name) => typeof name === 'string') && value[0] !== '';
}

function isUnit(value: unknown): value is number {
  return typeof value === 'number' && Number.isInteger(value) && value >= 0;
}

function describeMalformed(reason: string): DurationFault {
  const message = `the row is malformed: ${reason}; its route is learned anew`;
  return { kind: DurationFaultKind.Malformed, message };
}
