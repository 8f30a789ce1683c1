/** Properties of a step of persistent tasks that its disruption budget depends on. */
export interface PersistentStep {
  /** Tasks that the system may make unavailable at once; 0 means that no budget is stated. */
  readonly budget: number;
  /** Tasks that are unavailable now, whatever the cause. */
  readonly unavailableCount: number;
}

/** Whether one more task of a step may be stopped. Without a budget, one at a time may. */
export function canDisrupt(step: PersistentStep): boolean {
  return step.unavailableCount < Math.max(1, step.budget);
}
