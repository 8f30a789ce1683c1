import {
  findCulprits,
  recordCrash,
  withdrawCrash,
  type CrashedRun,
  type CrashVerdict,
  type TaskRun,
} from '@currantgap/jobs';
import type { Clock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import type { Fleet } from './fleet.ts';
import { describeRuns, RestartLog, type Restart, type SharedEvidence } from './restart-log.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Milliseconds after the loss of runs in which a new target on the VM shows that the old one crashed. */
const RESOLUTION_MS = 6_000;

/** Milliseconds by which the sweep that decides may be late, before which a task that may be given up must not start. */
const HOLD_MARGIN_MS = 1_000;

/** What a decided crash asks for. */
export interface CrashDecision {
  /** Tasks whose records of crashes have changed. */
  readonly changed: readonly TaskRun[];
  /** Tasks that are given up or held back. */
  readonly culprits: readonly TaskRun[];
  /** Monotonic time from which the crash is known, in milliseconds. */
  readonly knownAt: number;
}

/** A crash of which it is not known yet whether other targets ended with the target. */
interface OpenCrash {
  readonly target: TargetRecord;
  readonly incarnation: string;
  readonly restart: Restart;
  readonly verdict: CrashVerdict;
  /** Monotonic time at which the crash was recorded, in milliseconds. */
  readonly knownAt: number;
}

/** Runs that were lost because all leases on a silent target have expired. */
interface SilentLoss {
  readonly target: TargetRecord;
  /** Start of the lost incarnation, Unix milliseconds. */
  readonly bornAt: number;
  readonly runs: readonly CrashedRun[];
  /** Monotonic time of the loss, in milliseconds. */
  readonly lostAt: number;
  /** Monotonic time after which the target counts as gone, in milliseconds. */
  readonly expiresAt: number;
}

/** Options of a crash detector. */
export interface CrashDetectorOptions {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly logger: Logger;
}

/**
 * Tells crashed targets from silent ones. A target has crashed if another incarnation answers for it
 * or registers on its VM, and its end was announced neither by draining nor by an order for the VM. A
 * target that is only cut off answers again or stays silent, which says nothing about its tasks.
 */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;
  readonly #losses = new Map<string, SilentLoss>();
  readonly #restarts: RestartLog;
  #open: OpenCrash[] = [];
  #decisions: CrashDecision[] = [];

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
    this.#restarts = new RestartLog(options);
  }

  /** Records runs that were lost because all leases on their silent target have expired. */
  recordSilentLoss(target: TargetRecord, lost: readonly Assignment[]): void {
    const runs = describeRuns(target, lost);
    const bornAt = target.bornAt ?? target.entry.bornAt;
    if (runs.length === 0 || this.#isEndPlanned(target, bornAt)) return;
    this.#restarts.recordLoss(target, runs);
    const { now } = this.#options.clock;
    const known = this.#losses.get(target.id);
    const loss = {
      target,
      bornAt,
      runs: known?.bornAt === bornAt ? [...known.runs, ...runs] : runs,
      lostAt: now,
      expiresAt: now + RESOLUTION_MS,
    };
    for (const { task } of loss.runs) {
      // A second loss may be a second crash, so the task waits until that is known.
      const shouldWait = task.isSuspect && !task.step.definition.isPersistent;
      if (shouldWait) task.notBefore = loss.expiresAt;
    }
    this.#losses.set(target.id, loss);
    this.sweep();
  }

  /** Records that another incarnation, which started at `bornAt`, has replaced the one with these runs. */
  recordCrash(target: TargetRecord, lost: readonly Assignment[], bornAt: number): void {
    const runs = describeRuns(target, lost);
    const endedBornAt = lost[0]?.attempt.bornAt ?? target.bornAt ?? 0;
    this.#recordCrash(target, runs, { endedBornAt, bornAt });
  }

  /** Takes what was decided since the last call. */
  takeDecisions(): readonly CrashDecision[] {
    this.#decideCrashes();
    const decisions = this.#decisions;
    this.#decisions = [];
    return decisions;
  }

  /** Resolves the losses of targets that have answered again, or have been replaced. */
  sweep(): void {
    this.#restarts.sweep();
    const { now } = this.#options.clock;
    for (const loss of [...this.#losses.values()]) {
      const { target, bornAt, lostAt, expiresAt, runs } = loss;
      const isAlive = target.reportedAt !== undefined && target.reportedAt > lostAt;
      const nextBornAt = this.#findNextBornAt(loss);
      if (!isAlive && nextBornAt === undefined && now < expiresAt) continue;
      this.#losses.delete(target.id);
      for (const { task } of runs) if (task.notBefore === expiresAt) task.notBefore = 0;
      if (nextBornAt === undefined) continue;
      this.#recordCrash(target, runs, { endedBornAt: bornAt, bornAt: nextBornAt });
    }
  }

  /** Finds the start of a later incarnation under the target's id or on its VM; undefined if there is none. */
  #findNextBornAt({ target, bornAt }: SilentLoss): number | undefined {
    const { fleet } = this.#options;
    const { vm } = target.entry;
    const sameVm = vm === undefined ? [] : fleet.listOnVm(vm);
    const known = fleet.find(target.id);
    const successors = known === undefined ? sameVm : [known, ...sameVm];
    return successors.map(({ entry }) => entry.bornAt).find((next) => next > bornAt);
  }

  /** Whether the end of an incarnation was announced, so that no task has caused it. */
  #isEndPlanned(target: TargetRecord, bornAt: number): boolean {
    const { clock, fleet, logger } = this.#options;
    const isPlanned = fleet.hasAnnouncedEnd(target, bornAt, clock.now);
    if (isPlanned) logger.writeInfo('target end planned', { target: target.id, bornAt });
    return isPlanned;
  }

  #recordCrash(
    target: TargetRecord,
    runs: readonly CrashedRun[],
    { endedBornAt, bornAt }: { readonly endedBornAt: number; readonly bornAt: number },
  ): void {
    if (this.#isEndPlanned(target, endedBornAt)) return;
    const restart = this.#restarts.recordRestart(target, bornAt);
    if (runs.length === 0) return;
    const incarnation = `${target.id}@${endedBornAt}`;
    const verdict = recordCrash(incarnation, runs);
    const knownAt = this.#options.clock.now;
    this.#open.push({ target, incarnation, restart, verdict, knownAt });
    this.#decisions.push({ changed: verdict.suspects, culprits: [], knownAt });
    const heldUntil = restart.decidedAt + HOLD_MARGIN_MS;
    for (const task of verdict.culprits) task.notBefore = Math.max(task.notBefore, heldUntil);
    this.#options.logger.writeWarning('target crashed', {
      target: target.id,
      vm: target.entry.vm ?? '',
      runs: runs.length,
      suspects: verdict.suspects
        .map(({ name, crashedOn }) => `${name}: ${crashedOn.size}`)
        .join(' '),
      culprits: verdict.culprits.length,
    });
  }

  /** Decides of each open crash whether other targets ended with the target. */
  #decideCrashes(): void {
    const { now } = this.#options.clock;
    const open = this.#open;
    this.#open = [];
    for (const crash of open) {
      const evidence = this.#restarts.findEvidence(crash.restart);
      if (evidence.isShared) this.#decideShared(crash, evidence);
      else if (now >= crash.restart.decidedAt) this.#decideAlone(crash, evidence);
      else this.#open.push(crash);
    }
  }

  #decideShared(crash: OpenCrash, evidence: SharedEvidence): void {
    const { verdict, knownAt } = crash;
    releaseTasks(crash);
    const culprits = withdrawCrash(crash.incarnation, verdict);
    this.#decisions.push({ changed: verdict.suspects, culprits, knownAt });
    this.#writeDecision(crash, evidence, culprits);
  }

  #decideAlone(crash: OpenCrash, evidence: SharedEvidence): void {
    const { verdict, knownAt } = crash;
    releaseTasks(crash);
    const culprits = findCulprits(verdict.suspects, verdict.isCertain);
    this.#decisions.push({ changed: [], culprits, knownAt });
    this.#writeDecision(crash, evidence, culprits);
  }

  #writeDecision(crash: OpenCrash, evidence: SharedEvidence, culprits: readonly TaskRun[]): void {
    const { target, verdict, knownAt } = crash;
    this.#options.logger.writeInfo('crash decided', {
      target: target.id,
      ...evidence,
      suspects: verdict.suspects.length,
      isCertain: verdict.isCertain,
      isListed: verdict.isListed,
      culprits: culprits.length,
      tookMs: Math.round(this.#options.clock.now - knownAt),
    });
  }
}

/** Ends the wait of the tasks that might have been given up for a crash. */
function releaseTasks({ restart, verdict }: OpenCrash): void {
  const heldUntil = restart.decidedAt + HOLD_MARGIN_MS;
  for (const task of verdict.culprits) if (task.notBefore === heldUntil) task.notBefore = 0;
}
