import { decodeEvidence, encodeEvidence, type AdmissionEvidence } from '@currantgap/admission';
import {
  LeaseRenewalFault,
  OrderOutcome,
  StartOutcome,
  type ActiveRun,
  type EndedRun,
  type LeaseRenewalOrder,
  type PaceOrder,
  type RunOrder,
  type StartOrder,
  type TargetAddress,
  type TargetReport,
} from '@currantgap/execution';
import type { EndKind } from '@currantgap/model';
import { err, ok, type Result } from 'neverthrow';

/** Kind of a call to a target. */
export enum CallKind {
  Start = 'start',
  Stop = 'stop',
  Renew = 'renew',
  Pace = 'pace',
}

/** A call that a forwarder makes for the owner, with the id under which it returns the result. */
export type ForwardedCall =
  | {
      readonly call: number;
      readonly kind: CallKind.Start;
      readonly target: TargetAddress;
      /** The specification is left out if the forwarder has it from an earlier call. */
      readonly order: Omit<StartOrder, 'spec'> & { readonly spec?: string };
    }
  | {
      readonly call: number;
      readonly kind: CallKind.Stop;
      readonly target: TargetAddress;
      readonly order: RunOrder;
    }
  | {
      readonly call: number;
      readonly kind: CallKind.Renew;
      readonly target: TargetAddress;
      readonly order: LeaseRenewalOrder;
    }
  | {
      readonly call: number;
      readonly kind: CallKind.Pace;
      readonly target: TargetAddress;
      readonly order: PaceOrder;
    };

/** A report on the wire: rows in place of objects, since most of the traffic are reports. */
interface WireReport {
  readonly clockMs: number;
  readonly bornAt?: number;
  readonly running: readonly (readonly [string, number, string, number, number])[];
  readonly ended: readonly (readonly [number, string, number, EndKind, string])[];
  /** Left out unless the list of ended runs was cut off. */
  readonly hasMoreEnds?: true;
}

/** Result of a call on the wire. */
export interface WireResult {
  readonly call: number;
  /** Outcome of a start or an order, or the reason why a renewal returned no report. */
  readonly outcome?: string;
  readonly report?: WireReport;
}

const CALL_KINDS: readonly string[] = Object.values(CallKind);
const START_OUTCOMES = Object.values(StartOutcome);
const ORDER_OUTCOMES = Object.values(OrderOutcome);
const RENEWAL_FAULTS = Object.values(LeaseRenewalFault);

/** Decodes a call; undefined if it is no call, as for a heartbeat. Throws if it is malformed. */
export function decodeCall(value: unknown): ForwardedCall | undefined {
  const call = value as Partial<ForwardedCall> | null;
  if (call?.call === undefined) return undefined;
  const { kind, target, order } = call;
  const isValid =
    kind !== undefined &&
    CALL_KINDS.includes(kind) &&
    typeof target?.id === 'string' &&
    typeof target.address === 'string' &&
    typeof order?.token === 'number';
  if (!isValid) throw new TypeError('a call needs a kind, a target and an order with a token');
  return call as ForwardedCall;
}

/** Encodes that the owner gives up a call. */
export function encodeWithdrawal(call: number): object {
  return { withdrawn: call };
}

/** Decodes the id of a call that the owner gives up; undefined if the value names none. */
export function decodeWithdrawal(value: unknown): number | undefined {
  const call = (value as { withdrawn?: unknown } | null)?.withdrawn;
  return typeof call === 'number' ? call : undefined;
}

/** Encodes a forwarder's heartbeat: a reading of its boot clock in milliseconds. */
export function encodeHeartbeat(clockMs: number): object {
  return { clockMs };
}

/** Decodes the clock reading of a forwarder's heartbeat; undefined if the value is none. */
export function decodeHeartbeat(value: unknown): number | undefined {
  const clockMs = (value as { clockMs?: unknown } | null)?.clockMs;
  return typeof clockMs === 'number' ? clockMs : undefined;
}

/** Encodes an announcement of evidence; it is no call, so that earlier versions ignore it. */
export function encodeAnnouncement(evidence: AdmissionEvidence): object {
  return { admission: encodeEvidence(evidence) };
}

/** Decodes an announcement of evidence; undefined if the value is none. */
export function decodeAnnouncement(value: unknown): Result<AdmissionEvidence, string> | undefined {
  const announcement = value as { admission?: unknown } | null;
  if (announcement?.admission === undefined) return undefined;
  return decodeEvidence(announcement.admission);
}

/** Encodes the news that the owner has released its lease; earlier versions ignore it. */
export function encodeRelease(): object {
  return { isReleased: true };
}

/** Whether a value is the news that the owner has released its lease. */
export function isRelease(value: unknown): boolean {
  return (value as { isReleased?: unknown } | null)?.isReleased === true;
}

/** Decodes a result; undefined if it is none, as for a heartbeat. Throws if it is malformed. */
export function decodeResult(value: unknown): WireResult | undefined {
  const result = value as Partial<WireResult> | null;
  if (result?.call === undefined) return undefined;
  const { call, report } = result;
  if (typeof call !== 'number' || (report !== undefined && !isReport(report)))
    throw new TypeError('a result needs a call and, if it has a report, lists of runs');
  return result as WireResult;
}

/** Encodes the result of a lease renewal. */
export function encodeRenewal(
  call: number,
  result: Result<TargetReport, LeaseRenewalFault>,
): WireResult {
  if (result.isErr()) return { call, outcome: result.error };
  const { clockMs, bornAt, running, ended, hasMoreEnds } = result.value;
  return {
    call,
    report: {
      clockMs,
      ...(bornAt === undefined ? {} : { bornAt }),
      running: running.map((run) => [run.task, run.run, run.checkpoint, run.percent, run.reading]),
      ended: ended.map((end) => [end.sequence, end.task, end.run, end.kind, end.checkpoint]),
      ...(hasMoreEnds ? { hasMoreEnds } : {}),
    },
  };
}

/** Decodes the result of a lease renewal; `NoAnswer` if it is malformed. */
export function decodeRenewal(result: WireResult): Result<TargetReport, LeaseRenewalFault> {
  const { outcome, report } = result;
  if (report === undefined) {
    return err(findValue(RENEWAL_FAULTS, outcome) ?? LeaseRenewalFault.NoAnswer);
  }
  return ok({
    clockMs: report.clockMs,
    bornAt: report.bornAt,
    running: report.running.map(decodeActiveRun),
    ended: report.ended.map(decodeEndedRun),
    hasMoreEnds: report.hasMoreEnds === true,
  });
}

/** Decodes the outcome of a start; `Unknown` if it is malformed. */
export function decodeStartOutcome({ outcome }: WireResult): StartOutcome {
  return findValue(START_OUTCOMES, outcome) ?? StartOutcome.Unknown;
}

/** Decodes the outcome of a stop or a change of pace; `Unknown` if it is malformed. */
export function decodeOrderOutcome({ outcome }: WireResult): OrderOutcome {
  return findValue(ORDER_OUTCOMES, outcome) ?? OrderOutcome.Unknown;
}

function findValue<T extends string>(
  values: readonly T[],
  text: string | undefined,
): T | undefined {
  return values.find((value: string) => value === text);
}

function isReport({ clockMs, running, ended }: WireReport): boolean {
  const lists: readonly unknown[] = [running, ended];
  return typeof clockMs === 'number' && lists.every(isListOfRows);
}

function isListOfRows(value: unknown): boolean {
  return Array.isArray(value) && value.every((row) => Array.isArray(row));
}

function decodeActiveRun([task, run, checkpoint, percent, reading]: readonly [
  string,
  number,
  string,
  number,
  number,
]): ActiveRun {
  return { task, run, checkpoint, percent, reading };
}

function decodeEndedRun([sequence, task, run, kind, checkpoint]: readonly [
  number,
  string,
  number,
  EndKind,
  string,
]): EndedRun {
  return { sequence, task, run, kind, checkpoint };
}
