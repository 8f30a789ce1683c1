import { appendFileSync, writeFileSync } from 'node:fs';

/** What clients and executors have seen, and the file that keeps it. Times are milliseconds from the start. */
export class History {
  runs = [];
  #file;
  #startedAt = performance.now();
  #lines = [];

  constructor(file) {
    this.#file = file;
    writeFileSync(file, '');
  }

  get now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** Adds a line to the record. */
  write(text) {
    this.#lines.push(`${String(this.now).padStart(7)} ${text}`);
  }

  /** Writes the collected lines to the file. */
  flush() {
    appendFileSync(this.#file, this.#lines.map((line) => `${line}\n`).join(''));
    this.#lines = [];
  }

  recordStart({ task, run, executor, token, checkpoint }) {
    const record = { task, run, executor, startedAt: this.now, isAcknowledged: false };
    this.runs.push(record);
    this.write(`${executor} starts ${task} run ${run} token ${token} ${checkpoint}`);
    return record;
  }

  /** Counts the runs of a task so far. */
  countRuns(task) {
    return this.runs.filter((run) => run.task === task).length;
  }

  recordEnd(record, how) {
    record.endedAt = this.now;
    record.how = how;
    this.write(`${record.executor} ends ${record.task} run ${record.run} ${how}`);
  }

  recordListed(records) {
    for (const record of records) record.listedAt ??= this.now;
  }

  recordAcknowledged(record) {
    if (!record.isAcknowledged) record.acknowledgedAt = this.now;
    record.isAcknowledged = true;
  }

  /**
   * Describes what TWICE forbids: two runs of a task at the same time, and starts after a run has ended `done`
   * whose end was acknowledged then or later, unless the lease lapsed in between.
   */
  findTwice() {
    const byTask = new Map();
    for (const run of this.runs) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
    const found = [];
    for (const runs of byTask.values()) {
      for (const [index, later] of runs.entries()) {
        for (const earlier of runs.slice(0, index)) {
          const isParallel = (earlier.endedAt ?? Infinity) > later.startedAt;
          const isRepeated =
            earlier.how === 'done' && earlier.isAcknowledged && !earlier.isLapsed && !isParallel;
          if (isParallel || isRepeated) found.push(describe(earlier, later, isParallel));
        }
      }
    }
    return found;
  }
}

function describe(earlier, later, isParallel) {
  const { task, run, executor, startedAt, endedAt, how } = earlier;
  return (
    `TWICE ${task}: run ${run} on ${executor} from ${startedAt} to ${endedAt} ${how}, ` +
    `run ${later.run} on ${later.executor} at ${later.startedAt}${isParallel ? ', in parallel' : ''}`
  );
}
