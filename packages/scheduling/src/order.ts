/** Priority classes of steps, in the order in which their tasks are started. */
export enum Urgency {
  Persistent = 0,
  /** Can still meet its latency objective. */
  OnTime = 1,
  /** Can still meet its latency objective, but its team submits more than its weight allows. */
  BeyondWeight = 2,
  /** Misses its latency objective but can still end within the late limit. */
  Late = 3,
  /** Cannot end within the late limit, so its result no longer counts. */
  VeryLate = 4,
}

/** Properties of a step that determine when its tasks are started. */
export interface OrderingCriteria {
  readonly isPersistent: boolean;
  readonly priority: number;
  /** Milliseconds until the latency objective is missed; negative after that. */
  readonly timeToObjectiveMs: number;
  /** Milliseconds until the late limit, up to which a late end still counts; negative after that. */
  readonly timeToLateLimitMs: number;
  /** Milliseconds that the rest of the job takes if none of its tasks waits for a target. */
  readonly remainingMs: number;
  readonly isWithinWeight: boolean;
  /** Whether tasks of the job have been started. */
  readonly hasStarted: boolean;
  readonly acceptedAt: number;
}

/** Computes the priority class of a step. */
export function computeUrgency(step: OrderingCriteria): Urgency {
  if (step.isPersistent) return Urgency.Persistent;
  if (step.remainingMs > step.timeToLateLimitMs) return Urgency.VeryLate;
  if (step.remainingMs > step.timeToObjectiveMs) return Urgency.Late;
  return step.isWithinWeight ? Urgency.OnTime : Urgency.BeyondWeight;
}

/**
 * Compares two steps of the same pool for sorting: negative if the left one is started first. Steps
 * of one class are ordered by the priority of their route (lowest first), then by whether their job
 * has started. After that, late steps are ordered by shortest remaining time, all others by least
 * slack.
 */
export function compareUrgency(left: OrderingCriteria, right: OrderingCriteria): number {
  const urgency = computeUrgency(left);
  const difference = urgency - computeUrgency(right);
  if (difference !== 0) return difference;
  if (left.priority !== right.priority) return left.priority - right.priority;
  if (left.hasStarted !== right.hasStarted) return left.hasStarted ? -1 : 1;
  if (urgency >= Urgency.Late) return left.remainingMs - right.remainingMs;
  return left.timeToObjectiveMs - left.remainingMs - (right.timeToObjectiveMs - right.remainingMs);
}
