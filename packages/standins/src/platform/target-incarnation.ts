import type { RunHistory, RunRecord } from './run-history.ts';

/** Task specification in the submissions to stand-in targets. */
export interface StandinTaskSpec {
  /** CPU demand in thousandths of a core. */
  readonly cpu: number;
  /** Run time in milliseconds; of a persistent task only the estimate. */
  readonly ms: number;
  /** Whether the task is persistent, so that it runs until it is stopped. */
  readonly isPersistent?: boolean;
}

/** A call to a target, as it was read. */
export interface TargetCall {
  readonly path: string;
  readonly body: Readonly<Record<string, string | number | undefined>>;
}

/** What a target lists in the answer to a renewal; times are on the clock of the incarnation. */
export interface TargetReport {
  readonly clock_ms: number;
  readonly born: number;
  readonly running: readonly (readonly (string | number)[])[];
  readonly finished: readonly (readonly (string | number | undefined)[])[];
}

interface ActiveRun {
  readonly record: RunRecord;
  readonly taskSpec: StandinTaskSpec;
  /** Ends the run; undefined if it does not end by itself. */
  readonly timer: NodeJS.Timeout | undefined;
}

interface EndedRun {
  readonly sequence: number;
  readonly record: RunRecord;
}

/** CPU capacity of a target in thousandths of a core. */
export const TARGET_CPU_MILLIS = 8_000;
/** Longest lease in milliseconds from its grant, as in the nodes' settings. */
const LONGEST_LEASE_MS = 10_000;
/** Ended runs that one answer lists at most. */
const LISTED_ENDS = 500;
const FAILED_RUN_MS = 20;
const POLL_MS = 10;

/** One incarnation of a stand-in target: its clock, its lease, its runs and their ends. */
export class TargetIncarnation {
  /** Unix time of the start in milliseconds. */
  readonly bornAt = Date.now();
  /** Whether every run that starts fails. */
  isFailing = false;
  readonly #target: string;
  readonly #runHistory: RunHistory;
  readonly #getNow: () => number;
  readonly #startedAt: number;
  readonly #activeRuns = new Map<string, ActiveRun>();
  readonly #highestRuns = new Map<string, number>();
  #unacknowledgedEnds: EndedRun[] = [];
  #sequence = 0;
  #highestToken = 0;
  #leaseExpiresAt = 0;

  /** `getNow` reads a monotonic clock in milliseconds. */
  constructor(target: string, runHistory: RunHistory, getNow = (): number => performance.now()) {
    this.#target = target;
    this.#runHistory = runHistory;
    this.#getNow = getNow;
    this.#startedAt = getNow();
  }

  /** Milliseconds since the start of the incarnation. */
  get clockMs(): number {
    return Math.round(this.#getNow() - this.#startedAt);
  }

  /** Carries out a call; returns the reason if it is refused. */
  apply({ path, body }: TargetCall): string | undefined {
    const token = Number(body.fencing_token ?? 0);
    if (token < this.#highestToken) return 'fence';
    this.#highestToken = token;
    if (path === '/api/run-start') return this.#start(body);
    if (path === '/api/run-stop') this.#stop(body);
    else if (path === '/api/hold') this.#hold(body);
    return undefined;
  }

  /** Waits for up to this many milliseconds until there is an unacknowledged end. */
  async waitForEnd(waitMs: number): Promise<void> {
    const waitEndsAt = performance.now() + waitMs;
    while (this.#unacknowledgedEnds.length === 0 && performance.now() < waitEndsAt)
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }

  /** Reports the active runs and the unacknowledged ends. */
  report(): TargetReport {
    const running = [...this.#activeRuns.values()].map(({ record: { task, run } }) => [
      task,
      run,
      '',
      100,
      0,
    ]);
    const listed = this.#unacknowledgedEnds.slice(0, LISTED_ENDS);
    const finished = listed.map(({ sequence, record: { task, run, endKind } }) => [
      sequence,
      task,
      run,
      endKind,
      '',
    ]);
    return { clock_ms: this.clockMs, born: this.bornAt, running, finished };
  }

  /** Ends all runs if the lease has expired. */
  expireLease(): void {
    if (this.clockMs <= this.#leaseExpiresAt) return;
    for (const { record } of this.#unacknowledgedEnds) record.isVoid = true;
    this.terminate('lapsed');
  }

  /** Ends all runs in the same way. */
  terminate(endKind: string): void {
    for (const task of [...this.#activeRuns.keys()]) this.#end(task, endKind);
  }

  #start(body: TargetCall['body']): string | undefined {
    const task = String(body.task);
    const run = Number(body.run);
    const deadline = Number(body.deadline_ms);
    const active = this.#activeRuns.get(task);
    if (active?.record.run !== run && deadline < this.clockMs) return 'late';
    this.#renewLease(deadline);
    if (active?.record.run === run) return undefined;
    if (run <= (this.#highestRuns.get(task) ?? 0) || active !== undefined) return 'old';
    const taskSpec = JSON.parse(String(body.spec)) as StandinTaskSpec;
    const activeRuns = [...this.#activeRuns.values()];
    const usedCpu = activeRuns.reduce((sum, { taskSpec: { cpu } }) => sum + cpu, 0);
    if (usedCpu + taskSpec.cpu > TARGET_CPU_MILLIS) return 'room';
    this.#begin(task, run, taskSpec);
    return undefined;
  }

  #begin(task: string, run: number, taskSpec: StandinTaskSpec): void {
    const { isFailing } = this;
    const record: RunRecord = {
      task,
      run,
      target: this.#target,
      startedAt: this.#getNow(),
      endedAt: undefined,
      endKind: undefined,
      isAcknowledged: false,
      isVoid: false,
    };
    this.#runHistory.runs.push(record);
    const isEndless = taskSpec.isPersistent === true && !isFailing;
    const end = (): void => {
      this.#end(task, isFailing ? 'failed' : 'done');
    };
    const timer = isEndless ? undefined : setTimeout(end, isFailing ? FAILED_RUN_MS : taskSpec.ms);
    this.#activeRuns.set(task, { record, taskSpec, timer });
  }

  #stop(body: TargetCall['body']): void {
    const task = String(body.task);
    const run = Number(body.run);
    this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
    if (this.#activeRuns.get(task)?.record.run === run) this.#end(task, 'stopped');
  }

  #hold(body: TargetCall['body']): void {
    const acknowledgedThrough = Number(body.acked_through ?? 0);
    for (const { sequence, record } of this.#unacknowledgedEnds)
      if (sequence <= acknowledgedThrough) record.isAcknowledged = true;
    this.#unacknowledgedEnds = this.#unacknowledgedEnds.filter(
      ({ sequence }) => sequence > acknowledgedThrough,
    );
    if (body.deadline_ms !== undefined) this.#renewLease(Number(body.deadline_ms));
  }

  #renewLease(deadline: number): void {
    const latest = this.clockMs + LONGEST_LEASE_MS;
    this.#leaseExpiresAt = Math.max(this.#leaseExpiresAt, Math.min(deadline, latest));
  }

  #end(task: string, endKind: string): void {
    const running = this.#activeRuns.get(task);
    if (running === undefined) return;
    clearTimeout(running.timer);
    this.#activeRuns.delete(task);
    const { record } = running;
    record.endedAt = this.#getNow();
    record.endKind = endKind;
    this.#highestRuns.set(task, Math.max(record.run, this.#highestRuns.get(task) ?? 0));
    this.#sequence += 1;
    this.#unacknowledgedEnds.push({ sequence: this.#sequence, record });
  }
}
