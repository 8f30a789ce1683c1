import { Random } from '@currantgap/model';
import { StandinTargetFailure, StoreFailure, type TargetCrash } from '@currantgap/standins';

/** Failures that the soak injects into a node. */
export enum NodeFailure {
  /** Kills the process and restarts it after the duration. */
  Kill = 'kill',
  /** Stops the process gracefully and restarts it. */
  Stop = 'stop',
  /** Suspends the process for the duration. */
  Pause = 'pause',
  /** Drops all traffic between the node and the store, in both directions. */
  Partition = 'cut',
  /** Drops the store's responses; requests still arrive. */
  ResponseLoss = 'deaf',
  /** Resets the node's connections to the store. */
  Reset = 'reset',
  /** Changes the settings file and sends SIGHUP. */
  Hangup = 'hangup',
}

/** Ways in which a target comes back under its id. */
export enum TargetReturn {
  /**
   * The target with the most runs crashes without a sign, carries out calls of that time after its
   * return, and is cut off from the nodes soon after the return.
   */
  LateCalls = 'crash and cut',
}

/** Failures of targets that belong to a series. */
export enum TargetSeries {
  /** All targets crash at once without a sign, and are back under their ids soon. */
  CrashOfAll = 'crash of all',
  /** The target with the oldest run applies all calls for the duration, answers none, and leaves for good. */
  Departure = 'mute and gone',
}

/** Changes that are no failures. */
export enum PlannedChange {
  /** A new configuration adds a route and a key, and removes older ones. */
  Configuration = 'configuration',
  /** The store drops its history. */
  HistoryDrop = 'history drop',
}

/** Nodes into which a failure is injected. */
export enum AffectedNodes {
  Owner = 'owner',
  Other = 'other',
  All = 'all',
}

/** One failure in the plan of a soak. */
export type InjectedFailure = {
  /** Milliseconds from the start of the first submission to the start of the failure. */
  readonly startOffsetMs: number;
  readonly durationMs: number;
  /** How often the failure occurs in a row. */
  readonly repeats: number;
} & (
  | { readonly component: 'change'; readonly kind: PlannedChange }
  | {
      readonly component: 'node';
      readonly kind: NodeFailure;
      readonly affectedNodes: AffectedNodes;
    }
  | { readonly component: 'store'; readonly kind: StoreFailure }
  | { readonly component: 'target'; readonly kind: StandinTargetFailure; readonly index: number }
  | { readonly component: 'target'; readonly kind: TargetSeries }
  | {
      readonly component: 'target';
      readonly kind: TargetReturn;
      readonly crash: TargetCrash;
      /** Milliseconds from the return until the target is cut off, for the duration. */
      readonly cutAfterMs: number;
    }
);

/** Bounds of the tasks of a soak. */
export interface TaskBounds {
  readonly minimumMs: number;
  readonly maximumMs: number;
  /** CPU demand of each task in thousandths of a core. */
  readonly cpuMillis: number;
  readonly maximumSteps: number;
}

/** Deployment size, load and injected failures for one seed. */
export interface SoakPlan {
  readonly seed: number;
  readonly nodes: number;
  readonly targets: number;
  /** Milliseconds during which callers send new submissions. */
  readonly submissionPeriodMs: number;
  /** Bytes per second that the store sends to each node. */
  readonly bytesPerSecond: number;
  /** Milliseconds from the first submission until the targets register, so that work piles up. */
  readonly targetsOpenAtMs: number;
  /** Milliseconds for which the targets are up before the first submission. */
  readonly targetAgeMs: number;
  readonly tasks: TaskBounds;
  /** Milliseconds from the first submission to each persistent one; these stay until the end. */
  readonly persistentOffsetsMs: readonly number[];
  /** Milliseconds after the last failure within which every accepted submission must end. */
  readonly completionTimeoutMs: number;
  readonly failures: readonly InjectedFailure[];
}

const SUBMISSION_PERIOD_MS = 8_000;
const MINIMUM_NODES = 2;
const MAXIMUM_NODES = 4;
/** One seed in this many runs a large deployment. */
const LARGE_SEED_INTERVAL = 10;
const LARGE_NODES = 40;
const MAXIMUM_REPEATS = 3;
const NARROW_SHARE = 0.25;
const NARROW_BYTES_PER_SECOND = 25_000;
const LATE_TARGETS_SHARE = 0.3;
const MINIMUM_TARGETS = 2;
const MAXIMUM_TARGETS = 5;
/** One seed in this many has targets that are up for long, so that deadlines on their clocks are large. */
const OLD_TARGETS_SEED_INTERVAL = 4;
const OLD_TARGETS_AGE_MS = 15_000;
const SHORT_TASKS = { minimumMs: 50, maximumMs: 700, cpuMillis: 1_000, maximumSteps: 2 };
/** Tasks that outlast the longest lease, and fit on one target together. */
const LONG_TASKS = { minimumMs: 8_000, maximumMs: 18_000, cpuMillis: 40, maximumSteps: 1 };
const COMPLETION_TIMEOUT_MS = 15_000;
/** Remainder, by that interval, of the seeds in which a target returns with late calls while it is young. */
const YOUNG_RETURN_SEED_REMAINDER = 3;
const MAXIMUM_CALL_DELAY_MS = 5_000;
const MAXIMUM_CUT_AFTER_MS = 5_000;
const MAXIMUM_CUT_MS = 3_000;
/** Around the longest lease, so that tasks start elsewhere while the target is cut off. */
const MINIMUM_LONG_CUT_MS = 8_000;
const MAXIMUM_LONG_CUT_MS = 15_000;
/** One seed in this many has persistent tasks; none of them has a target that returns with late calls. */
const PERSISTENT_SEED_INTERVAL = 12;
const PERSISTENT_SEED_REMAINDER = 5;
/** Milliseconds from the first persistent submission to the series, so that its tasks run by then. */
const SERIES_LEAD_MS = 1_000;
/** Milliseconds between failures of a series, as in the days of issue 53. */
const SERIES_INTERVAL_MS = 2_400;
const CRASHES_OF_ALL = 4;
/** Milliseconds for which targets are down that crash all at once, as in the same days. */
const CRASH_OF_ALL_MS = 400;
/** Longer than a take-over, so that the next kill meets the new owner. */
const OWNER_DOWN_MS = 3_000;
const MINIMUM_OWNER_KILLS = 2;
const MAXIMUM_OWNER_KILLS = 3;
/** Leaves room on two targets after one has left. */
const MINIMUM_SERIES_TARGETS = 3;
const MINIMUM_FAILURES = 2;
const MAXIMUM_FAILURES = 6;
const MINIMUM_FAILURE_MS = 150;
/** Longer than a lease plus one renewal, so that some failures cause a take-over. */
const MAXIMUM_FAILURE_MS = 2_500;
/** Share of the failures that may start before the previous one ends. */
const OVERLAP_SHARE = 0.5;

const STORE_FAILURES = [
  StoreFailure.Down,
  StoreFailure.Silent,
  StoreFailure.ResponseLost,
  StoreFailure.Late,
];
const TARGET_FAILURES = [
  StandinTargetFailure.Silent,
  StandinTargetFailure.ResponseLost,
  StandinTargetFailure.Late,
];

/** Draws the plan for a seed; the same seed always gives the same plan. */
export function drawPlan(seed: number): SoakPlan {
  const random = new Random(seed);
  const isLarge = seed % LARGE_SEED_INTERVAL === 0;
  const hasOldTargets = seed % OLD_TARGETS_SEED_INTERVAL === 0 && !isLarge;
  const drawnTargets = drawBetween(random, MINIMUM_TARGETS, MAXIMUM_TARGETS);
  // With few targets, work goes to a target that is back soon.
  const targets = hasOldTargets ? MINIMUM_TARGETS : drawnTargets;
  const count = drawBetween(random, MINIMUM_FAILURES, MAXIMUM_FAILURES);
  const failures: InjectedFailure[] = [];
  let earliestStartMs = 0;
  for (let index = 0; index < count; index += 1) {
    const durationMs = drawBetween(random, MINIMUM_FAILURE_MS, MAXIMUM_FAILURE_MS);
    const startOffsetMs = Math.min(
      earliestStartMs + random.drawInteger(SUBMISSION_PERIOD_MS / count),
      SUBMISSION_PERIOD_MS,
    );
    const repeats = drawBetween(random, 1, MAXIMUM_REPEATS);
    failures.push({ startOffsetMs, durationMs, repeats, ...drawVariant(random, targets) });
    earliestStartMs =
      random.drawFraction() < OVERLAP_SHARE ? startOffsetMs : startOffsetMs + durationMs;
  }
  const isNarrow = random.drawFraction() < NARROW_SHARE && !isLarge;
  const tasks = hasOldTargets ? LONG_TASKS : SHORT_TASKS;
  const plan = {
    seed,
    nodes: isLarge ? LARGE_NODES : drawBetween(random, MINIMUM_NODES, MAXIMUM_NODES),
    targets,
    submissionPeriodMs: SUBMISSION_PERIOD_MS,
    bytesPerSecond: isNarrow ? NARROW_BYTES_PER_SECOND : Infinity,
    targetsOpenAtMs:
      random.drawFraction() < LATE_TARGETS_SHARE && !hasOldTargets ? SUBMISSION_PERIOD_MS : 0,
    targetAgeMs: hasOldTargets ? OLD_TARGETS_AGE_MS : 0,
    tasks,
    persistentOffsetsMs: [],
    completionTimeoutMs: COMPLETION_TIMEOUT_MS + (hasOldTargets ? tasks.maximumMs : 0),
    failures,
  };
  const hasReturn =
    hasOldTargets || seed % OLD_TARGETS_SEED_INTERVAL === YOUNG_RETURN_SEED_REMAINDER;
  // Drawn last, so that the other draws of a seed stay as they are.
  if (hasReturn) return { ...plan, failures: [...failures, drawReturn(random, plan)] };
  const isPersistent = seed % PERSISTENT_SEED_INTERVAL === PERSISTENT_SEED_REMAINDER;
  return isPersistent ? addSeries(random, plan) : plan;
}

/** Adds persistent submissions and a series of failures; the second one arrives as the series begins. */
function addSeries(random: Random, plan: SoakPlan): SoakPlan {
  const { targetsOpenAtMs } = plan;
  const beginsAtMs =
    targetsOpenAtMs + SERIES_LEAD_MS + random.drawInteger(SUBMISSION_PERIOD_MS / 2);
  const kind = choose(random, Object.values(TargetSeries));
  const ownerKills: InjectedFailure = {
    component: 'node',
    kind: NodeFailure.Kill,
    affectedNodes: AffectedNodes.Owner,
    startOffsetMs: beginsAtMs + SERIES_INTERVAL_MS,
    durationMs: OWNER_DOWN_MS,
    repeats: drawBetween(random, MINIMUM_OWNER_KILLS, MAXIMUM_OWNER_KILLS),
  };
  const target = { component: 'target' as const, kind, repeats: 1 };
  const series: InjectedFailure[] =
    kind === TargetSeries.Departure
      ? [{ ...target, startOffsetMs: beginsAtMs, durationMs: SERIES_INTERVAL_MS }, ownerKills]
      : [...Array(CRASHES_OF_ALL).keys()].map((index) => ({
          ...target,
          startOffsetMs: beginsAtMs + index * SERIES_INTERVAL_MS,
          durationMs: CRASH_OF_ALL_MS,
        }));
  return {
    ...plan,
    targets: Math.max(plan.targets, MINIMUM_SERIES_TARGETS),
    persistentOffsetsMs: [targetsOpenAtMs, beginsAtMs],
    failures: [...plan.failures, ...series],
  };
}

function drawReturn(random: Random, { targetsOpenAtMs, targetAgeMs }: SoakPlan): InjectedFailure {
  const isLong = targetAgeMs > 0;
  const drawDelayMs = (): number => random.drawInteger(MAXIMUM_CALL_DELAY_MS);
  return {
    component: 'target',
    kind: TargetReturn.LateCalls,
    startOffsetMs: targetsOpenAtMs + random.drawInteger(SUBMISSION_PERIOD_MS / 2),
    durationMs: isLong
      ? drawBetween(random, MINIMUM_LONG_CUT_MS, MAXIMUM_LONG_CUT_MS)
      : drawBetween(random, MINIMUM_FAILURE_MS, MAXIMUM_CUT_MS),
    repeats: drawBetween(random, 1, MAXIMUM_REPEATS),
    crash: {
      downMs: drawBetween(random, MINIMUM_FAILURE_MS, MAXIMUM_FAILURE_MS),
      callDelaysMs: [drawDelayMs(), drawDelayMs()],
    },
    cutAfterMs: random.drawInteger(MAXIMUM_CUT_AFTER_MS),
  };
}

type FailureVariant = InjectedFailure extends infer T
  ? T extends InjectedFailure
    ? Omit<T, 'startOffsetMs' | 'durationMs' | 'repeats'>
    : never
  : never;

function drawVariant(random: Random, targets: number): FailureVariant {
  const draw = random.drawFraction();
  if (draw < 0.2) return { component: 'store', kind: choose(random, STORE_FAILURES) };
  if (draw < 0.35) {
    return {
      component: 'target',
      kind: choose(random, TARGET_FAILURES),
      index: random.drawInteger(targets),
    };
  }
  if (draw < 0.5)
    return { component: 'change', kind: choose(random, Object.values(PlannedChange)) };
  const kind = choose(random, Object.values(NodeFailure));
  return { component: 'node', kind, affectedNodes: choose(random, Object.values(AffectedNodes)) };
}

function choose<T>(random: Random, values: readonly T[]): T {
  const value = values[random.drawInteger(values.length)];
  if (value === undefined) throw new RangeError('cannot choose from an empty list');
  return value;
}

function drawBetween(random: Random, minimum: number, maximum: number): number {
  return minimum + random.drawInteger(maximum - minimum + 1);
}
