/**
 * Finds a task with two runs at the same time, or one that began after an acknowledged end `done`.
 *
 * @returns {string | undefined} How the rule TWICE is broken.
 */
export function findTwice(runs) {
  for (const run of runs) {
    for (const other of runs) {
      if (other === run || other.task !== run.task || other.startedAt < run.startedAt) continue;
      const isParallel = other.startedAt < (run.endedAt ?? Infinity);
      const isAgain = run.how === 'done' && run.isAcknowledged === true;
      if (isParallel || isAgain) {
        const kind = isParallel ? 'at the same time as' : 'after the acknowledged end of';
        return `TWICE: ${other.task} run ${other.run} at ${other.executor} began ${kind} run ${run.run} at ${run.executor}`;
      }
    }
  }
  return undefined;
}
