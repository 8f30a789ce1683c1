/** Groups of steps, from those that go first to those that go last. */
export enum Urgency {
  Persistent = 0,
  /** Can still meet its objective. */
  OnTime = 1,
  /** Can still meet it, but its team sent more than its weight allows. */
  BeyondWeight = 2,
  /** Misses the objective but not yet its late limit. */
  Late = 3,
  /** Earns nothing any more. */
  VeryLate = 4,
}

/** What decides when a step's tasks go. */
export interface OrderingCriteria {
  readonly isPersistent: boolean;
  readonly priority: number;
  /** Milliseconds from now to the objective. */
  readonly timeToObjectiveMs: number;
  /** Milliseconds from now to the end of the time in which a late end still counts. */
  readonly timeToLateLimitMs: number;
  /** Milliseconds that the rest of the job takes when it never waits. */
  readonly remainingMs: number;
  readonly isWithinWeight: boolean;
  /** Tasks of the job have run. */
  readonly hasStarted: boolean;
  readonly acceptedAt: number;
}

/** Tells which group a step belongs to. */
export function computeUrgency(urgent: OrderingCriteria): Urgency {
  if (urgent.isPersistent) return Urgency.Persistent;
  if (urgent.remainingMs > urgent.timeToLateLimitMs) return Urgency.VeryLate;
  if (urgent.remainingMs > urgent.timeToObjectiveMs) return Urgency.Late;
  return urgent.isWithinWeight ? Urgency.OnTime : Urgency.BeyondWeight;
}

/** Compares two steps of the same pool: negative when the left one goes first. */
export function compareUrgency(left: OrderingCriteria, right: OrderingCriteria): number {
  const group = computeUrgency(left);
  const difference = group - computeUrgency(right);
  if (difference !== 0) return difference;
  if (left.priority !== right.priority) return left.priority - right.priority;
  if (left.hasStarted !== right.hasStarted) return left.hasStarted ? -1 : 1;
  if (group >= Urgency.Late) return left.remainingMs - right.remainingMs;
  return left.timeToObjectiveMs - left.remainingMs - (right.timeToObjectiveMs - right.remainingMs);
}
