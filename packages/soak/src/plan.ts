import { Random } from '@currantgap/model';
import { StoreTrouble, TargetTrouble } from '@currantgap/standins';

/** What a trouble does to a node. */
export enum NodeTrouble {
  /** It is killed and started again. */
  Kill = 'kill',
  /** It gets a planned stop and is started again. */
  Stop = 'stop',
  /** It stands still. */
  Pause = 'pause',
  /** All that it sends to the store vanishes, and so do the answers. */
  Cut = 'cut',
  /** Only the store's answers vanish. */
  Deaf = 'deaf',
  /** Its connections to the store are reset. */
  Reset = 'reset',
}

/** Which node a trouble strikes. */
export enum Victim {
  Owner = 'owner',
  Other = 'other',
  All = 'all',
}

/** One trouble of a soak. */
export type Trouble = {
  /** Milliseconds from the first submission to its begin. */
  readonly at: number;
  readonly forMs: number;
} & (
  | { readonly on: 'node'; readonly kind: NodeTrouble; readonly victim: Victim }
  | { readonly on: 'store'; readonly kind: StoreTrouble }
  | { readonly on: 'target'; readonly kind: TargetTrouble; readonly index: number }
);

/** What happens in a soak of one seed. */
export interface SoakPlan {
  readonly seed: number;
  readonly nodes: number;
  readonly targets: number;
  /** Milliseconds for which submissions are sent. */
  readonly lengthMs: number;
  readonly troubles: readonly Trouble[];
}

const LENGTH_MS = 6_000;
const FEWEST_NODES = 2;
const MOST_NODES = 4;
const FEWEST_TARGETS = 2;
const MOST_TARGETS = 5;
const FEWEST_TROUBLES = 2;
const MOST_TROUBLES = 6;
const SHORTEST_MS = 150;
/** Longer than a lease and a renewal, so that some troubles change the owner. */
const LONGEST_MS = 2_500;
/** Share of the troubles that begin while the one before goes on. */
const OVERLAP = 0.5;

const STORE_TROUBLES = [
  StoreTrouble.Down,
  StoreTrouble.Silent,
  StoreTrouble.AnswerLost,
  StoreTrouble.Late,
];
const TARGET_TROUBLES = [TargetTrouble.Silent, TargetTrouble.AnswerLost, TargetTrouble.Late];

/** Draws the plan of a seed; the same seed gives the same plan. */
export function drawPlan(seed: number): SoakPlan {
  const random = new Random(seed);
  const targets = drawBetween(random, FEWEST_TARGETS, MOST_TARGETS);
  const count = drawBetween(random, FEWEST_TROUBLES, MOST_TROUBLES);
  const troubles: Trouble[] = [];
  let from = 0;
  for (let number = 0; number < count; number += 1) {
    const forMs = drawBetween(random, SHORTEST_MS, LONGEST_MS);
    const at = Math.min(from + random.drawInteger(LENGTH_MS / count), LENGTH_MS);
    troubles.push({ at, forMs, ...drawKind(random, targets) });
    from = random.drawFraction() < OVERLAP ? at : at + forMs;
  }
  const nodes = drawBetween(random, FEWEST_NODES, MOST_NODES);
  return { seed, nodes, targets, lengthMs: LENGTH_MS, troubles };
}

type Kind = Trouble extends infer T ? (T extends Trouble ? Omit<T, 'at' | 'forMs'> : never) : never;

function drawKind(random: Random, targets: number): Kind {
  const draw = random.drawFraction();
  if (draw < 0.2) return { on: 'store', kind: choose(random, STORE_TROUBLES) };
  if (draw < 0.35) {
    return {
      on: 'target',
      kind: choose(random, TARGET_TROUBLES),
      index: random.drawInteger(targets),
    };
  }
  const kind = choose(random, Object.values(NodeTrouble));
  return { on: 'node', kind, victim: choose(random, Object.values(Victim)) };
}

function choose<T>(random: Random, values: readonly T[]): T {
  const value = values[random.drawInteger(values.length)];
  if (value === undefined) throw new RangeError('there is nothing to pick from');
  return value;
}

function drawBetween(random: Random, least: number, most: number): number {
  return least + random.drawInteger(most - least + 1);
}
