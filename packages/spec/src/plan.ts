import { CopyFault, CopySpecification } from './copy-spec.ts';
import type { Specification, Step } from './explore.ts';
import { FreshnessSpecification } from './freshness-spec.ts';
import { FreshnessFault, type FreshnessBounds } from './freshness-state.ts';
import { IncarnationSpecification } from './incarnation-spec.ts';
import { IncarnationFault, type IncarnationBounds } from './incarnation-state.ts';
import { PermitSpecification } from './permit-spec.ts';
import { PermitFault, type PermitBounds } from './permit-state.ts';
import { TakeoverSpecification } from './takeover-spec.ts';
import { TakeoverFault } from './takeover-state.ts';

/** One exploration of a run. */
export interface Check {
  readonly specification: Specification<unknown, Step>;
  /** Bounds of the exploration, for the output. */
  readonly bounds: string;
  /** Whether the specification omits a rule on purpose, so that a violation must be found. */
  readonly hasSeededFault: boolean;
}

const FRESHNESS_BOUNDS: readonly FreshnessBounds[] = [
  { entries: 3, joiners: 0, moves: 1, crashes: 1 },
  { entries: 3, joiners: 1, moves: 1, crashes: 1 },
];
const DEEP_FRESHNESS_BOUNDS: readonly FreshnessBounds[] = [
  { entries: 3, joiners: 0, moves: 2, crashes: 1 },
  { entries: 4, joiners: 0, moves: 1, crashes: 1 },
];
const SEEDED_FRESHNESS_BOUNDS: FreshnessBounds = { entries: 3, joiners: 1, moves: 1, crashes: 1 };

const PERMIT_BOUNDS: readonly PermitBounds[] = [
  { entries: 3, limits: [2], losses: 1, transfers: 2 },
  { entries: 2, limits: [2, 1], losses: 1, transfers: 2 },
  { entries: 2, limits: [1, 2], losses: 1, transfers: 2 },
];
const DEEP_PERMIT_BOUNDS: readonly PermitBounds[] = [
  { entries: 3, limits: [3], losses: 1, transfers: 2 },
  { entries: 2, limits: [2, 1, 2], losses: 1, transfers: 2 },
  { entries: 3, limits: [2, 1], losses: 1, transfers: 1 },
];
const SEEDED_PERMIT_BOUNDS: PermitBounds = { entries: 3, limits: [2], losses: 1, transfers: 2 };
const SEEDED_LOWERING_BOUNDS: PermitBounds = {
  entries: 2,
  limits: [2, 1],
  losses: 0,
  transfers: 1,
};

const SEEDED_INCARNATION_BOUNDS: IncarnationBounds = {
  latestExecution: 2,
  shortExecution: 0,
  lease: 1,
  maximumLease: 2,
  restarts: 1,
  runs: 1,
  raises: 1,
  calls: 1,
  answerDelay: 1,
};
const INCARNATION_BOUNDS: readonly IncarnationBounds[] = [
  SEEDED_INCARNATION_BOUNDS,
  { ...SEEDED_INCARNATION_BOUNDS, calls: 2, runs: 2, answerDelay: 0 },
  { ...SEEDED_INCARNATION_BOUNDS, restarts: 2, raises: 2, latestExecution: 1, answerDelay: 0 },
];
const DEEP_INCARNATION_BOUNDS: readonly IncarnationBounds[] = [
  { ...SEEDED_INCARNATION_BOUNDS, calls: 2, runs: 2 },
  { ...SEEDED_INCARNATION_BOUNDS, calls: 2, runs: 2, latestExecution: 3, answerDelay: 0 },
  { ...SEEDED_INCARNATION_BOUNDS, restarts: 2, raises: 2, runs: 2, answerDelay: 0 },
];

/** Lists the explorations of a run; `isDeep` adds the larger bounds. */
export function listChecks(isDeep: boolean): Check[] {
  const freshness = [...FRESHNESS_BOUNDS, ...(isDeep ? DEEP_FRESHNESS_BOUNDS : [])];
  const incarnations = [...INCARNATION_BOUNDS, ...(isDeep ? DEEP_INCARNATION_BOUNDS : [])];
  const permits = [...PERMIT_BOUNDS, ...(isDeep ? DEEP_PERMIT_BOUNDS : [])];
  return [
    ...freshness.map((bounds) => createFreshnessCheck(bounds, FreshnessFault.None)),
    ...permits.map((bounds) => createPermitCheck(bounds, PermitFault.None)),
    ...Object.values(TakeoverFault).map(createTakeoverCheck),
    ...Object.values(CopyFault).map(createCopyCheck),
    ...incarnations.map((bounds) => createIncarnationCheck(bounds, IncarnationFault.None)),
    ...listSeededChecks(),
  ];
}

function listSeededChecks(): Check[] {
  return [
    ...Object.values(FreshnessFault)
      .filter((fault) => fault !== FreshnessFault.None)
      .map((fault) => createFreshnessCheck(SEEDED_FRESHNESS_BOUNDS, fault)),
    ...Object.values(PermitFault)
      .filter((fault) => fault !== PermitFault.None)
      .map((fault) => {
        const isLowering = fault === PermitFault.StartDuringLowering;
        return createPermitCheck(isLowering ? SEEDED_LOWERING_BOUNDS : SEEDED_PERMIT_BOUNDS, fault);
      }),
    ...Object.values(IncarnationFault)
      .filter((fault) => fault !== IncarnationFault.None)
      .map((fault) => createIncarnationCheck(SEEDED_INCARNATION_BOUNDS, fault)),
  ];
}

function createFreshnessCheck(bounds: FreshnessBounds, fault: FreshnessFault): Check {
  return {
    specification: new FreshnessSpecification(bounds, fault),
    bounds: JSON.stringify(bounds),
    hasSeededFault: fault !== FreshnessFault.None,
  };
}

function createTakeoverCheck(fault: TakeoverFault): Check {
  return {
    specification: new TakeoverSpecification(fault),
    bounds: 'one task, two targets, two owners',
    hasSeededFault: fault !== TakeoverFault.None,
  };
}

function createCopyCheck(fault: CopyFault): Check {
  return {
    specification: new CopySpecification(fault),
    bounds: 'one task, two targets, two owners',
    hasSeededFault: fault !== CopyFault.None,
  };
}

function createIncarnationCheck(bounds: IncarnationBounds, fault: IncarnationFault): Check {
  return {
    specification: new IncarnationSpecification(bounds, fault),
    bounds: JSON.stringify(bounds),
    hasSeededFault: fault !== IncarnationFault.None,
  };
}

function createPermitCheck(bounds: PermitBounds, fault: PermitFault): Check {
  return {
    specification: new PermitSpecification(bounds, fault),
    bounds: JSON.stringify(bounds),
    hasSeededFault: fault !== PermitFault.None,
  };
}
