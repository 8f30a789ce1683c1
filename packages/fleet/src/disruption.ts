/** A step of persistent tasks as its disruption budget sees it. */
export interface PersistentStep {
  /** Tasks that may be away at once through actions of the system; 0 means none is stated. */
  readonly budget: number;
  /** Tasks that are not at work now, whatever the cause. */
  readonly unavailableCount: number;
}

/** Tells whether one more task of a step may be stopped. Without a budget, one at a time may. */
export function canDisrupt(step: PersistentStep): boolean {
  return step.unavailableCount < Math.max(1, step.budget);
}
