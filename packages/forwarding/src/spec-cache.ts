/**
 * Specifications kept for each connection. Both ends add the same jobs in the same order, so that
 * the sender knows which ones the receiver still has.
 */
const MAXIMUM_SPECS = 500;

/** Keeps the specifications of the jobs that were added last, by job id. */
export class SpecCache {
  readonly #specs = new Map<string, string>();

  has(jobId: string): boolean {
    return this.#specs.has(jobId);
  }

  find(jobId: string): string | undefined {
    return this.#specs.get(jobId);
  }

  /** Adds the specification of a job; the one that was added first is dropped from a full cache. */
  add(jobId: string, spec: string): void {
    this.#specs.set(jobId, spec);
    if (this.#specs.size <= MAXIMUM_SPECS) return;
    const [first] = this.#specs.keys();
    if (first !== undefined) this.#specs.delete(first);
  }
}

/** Gets the id of the job that a task belongs to, from the task's name `ID.K.STEP.INDEX`. */
export function getJobId(task: string): string {
  return task.slice(0, task.indexOf('.'));
}
