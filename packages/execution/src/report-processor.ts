import {
  AttemptPhase,
  computeRestartDelayMs,
  EndEffect,
  isFailure,
  type Job,
  type TaskRun,
} from '@currantgap/jobs';
import { EndKind } from '@currantgap/model';
import type { LogContext } from '@currantgap/telemetry';
import {
  computeMaximumLeaseMs,
  getMaximumAttempts,
  getWallNow,
  type OwnerContext,
} from './context.ts';
import { IncarnationTracker } from './incarnation-tracker.ts';
import { parseTaskName } from './job-index.ts';
import type { JobLookup } from './job-lookup.ts';
import { LateStarts } from './late-starts.ts';
import { buildAttempt, type RunOrders } from './run-orders.ts';
import type { ActiveRun, EndedRun, TargetReport } from './ports.ts';
import type { Assignment, TargetRecord } from './target-record.ts';
import { LossReason, UnlistedRuns } from './unlisted-runs.ts';

/** Applies target reports: active runs, ended runs and assigned runs that are in neither list. */
export class ReportProcessor {
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;
  readonly #lookup: JobLookup;
  readonly #unlisted: UnlistedRuns;
  readonly #incarnations: IncarnationTracker;
  readonly #lateStarts: LateStarts;

  constructor(context: OwnerContext, orders: RunOrders, lookup: JobLookup) {
    this.#context = context;
    this.#orders = orders;
    this.#lookup = lookup;
    this.#unlisted = new UnlistedRuns(context, orders);
    this.#incarnations = new IncarnationTracker(context, this.#unlisted);
    this.#lateStarts = new LateStarts(context);
  }

  /**
   * Applies a report whose request was sent at `sentAt` with a fencing token; 0 for one that closes no fence. Returns
   * the number of the ledger change that must be stored before the report's ended runs are acknowledged;
   * 0 if there is none.
   */
  apply(target: TargetRecord, report: TargetReport, sentAt: number, token = 0): number {
    const { clock, reconciliation } = this.#context;
    const { now } = clock;
    target.unansweredCalls = 0;
    this.#incarnations.apply(target, report, sentAt, token);
    target.recordClock(report.clockMs, now);
    if (report.running.length > 0) {
      const isFirst = target.reportedAt === undefined;
      const leaseMs = isFirst ? reconciliation.leaseMs : computeMaximumLeaseMs(this.#context);
      target.recordActiveRuns(leaseMs, now);
    }
    this.#recordReconciled(target, report);
    target.reportedAt = now;
    let changeNumber = 0;
    for (const ended of report.ended) {
      if (ended.sequence <= target.appliedThrough) continue;
      // The end of a run must not be acknowledged before its job is known.
      if (this.#isJobUnknown(ended.task)) break;
      target.appliedThrough = ended.sequence;
      changeNumber = Math.max(changeNumber, this.#applyEnded(target, ended));
    }
    const unapplied = report.ended.filter(({ sequence }) => sequence > target.appliedThrough);
    target.unappliedTasks = new Set(unapplied.map(({ task }) => task));
    target.hasUnappliedEnds = (report.ended.at(-1)?.sequence ?? 0) > target.appliedThrough;
    const listedAssignments = new Set<Assignment>();
    target.unknownTasks = new Set(
      report.running.map(({ task }) => task).filter((task) => this.#isJobUnknown(task)),
    );
    for (const running of report.running) {
      const assignment = this.#applyRunning(target, running);
      if (assignment !== undefined) listedAssignments.add(assignment);
    }
    for (const assignment of [...target.assignments]) {
      if (!listedAssignments.has(assignment))
        this.#unlisted.apply(target, assignment, {
          sentAt,
          token,
          hasMoreEnds: report.hasMoreEnds,
        });
    }
    return changeNumber;
  }

  /** Records what the report says about runs of earlier terms. */
  #recordReconciled(target: TargetRecord, { ended, hasMoreEnds }: TargetReport): void {
    const { clock, logger, reconciliation } = this.#context;
    const awaited = reconciliation.listPending(clock.now).length;
    if (!hasMoreEnds) {
      if (reconciliation.recordReport(target.id))
        logger.writeInfo('target settled', { target: target.id, awaited });
    } else if (target.reportedAt === undefined) {
      reconciliation.recordPartialReport(target.id, target.entry.service);
      logger.writeWarning('target partly settled', {
        target: target.id,
        listedEnds: ended.length,
        awaited,
      });
    }
  }

  /** Records all runs of a target as lost: their leases have expired or its incarnation has ended. */
  recordAllLost(target: TargetRecord, reason: LossReason): void {
    const { crashes } = this.#context;
    const lost = [...target.assignments].filter(
      (assignment) => reason !== LossReason.LeasesExpired || this.#isLeaseOver(target, assignment),
    );
    for (const assignment of lost) this.#unlisted.recordLost(target, assignment, reason);
    // When the other incarnation has started is known once it has registered.
    if (reason !== LossReason.VmOrdered) crashes.recordSilentLoss(target, lost);
  }

  /** Records the runs of persistent tasks as lost that wait no longer for their target, which is gone. */
  recordOutage(target: TargetRecord): void {
    const lost = [...target.assignments].filter((assignment) =>
      this.#lateStarts.isOutageOver(target, assignment),
    );
    for (const assignment of lost)
      this.#unlisted.recordLost(target, assignment, LossReason.TargetGone);
    this.#context.crashes.recordSilentLoss(target, lost);
  }

  /**
   * Whether a run on a target whose leases have expired is over as well: a start without an answer may be
   * carried out late.
   */
  #isLeaseOver(target: TargetRecord, assignment: Assignment): boolean {
    return assignment.attempt.hasBegun || this.#lateStarts.isOver(target, assignment);
  }

  /** Gives up the tasks that have crashed too many targets, and stores the crashes of all suspects. */
  applyCrashes(): void {
    for (const { changed, culprits, knownAt } of this.#context.crashes.takeDecisions()) {
      for (const task of culprits) this.#giveUp(task, knownAt);
      const jobs = new Set([...changed, ...culprits].map(({ step }) => step.job));
      for (const job of jobs) if (!job.isEnded) this.enqueueLedgerWrite(job.id);
    }
  }

  /** Fails the job of a task that crashes targets; a persistent task is only held back. */
  #giveUp(task: TaskRun, crashKnownAt: number): void {
    const { clock, logger } = this.#context;
    const { job, definition } = task.step;
    const crashes = task.crashedOn.size;
    const sharedCrashes = task.sharedOn.size;
    const details = { request: job.id, task: task.name, crashes, sharedCrashes };
    if (definition.isPersistent) {
      task.notBefore = crashKnownAt + computeRestartDelayMs(crashes);
      const heldMs = Math.round(task.notBefore - clock.now);
      logger.writeWarning('task held back', {
        ...details,
        notBefore: Math.round(task.notBefore),
        heldMs,
      });
      return;
    }
    if (!job.fail()) return;
    logger.writeWarning('task given up', details);
    this.#stopUnneeded(task, EndEffect.JobFailed);
    this.enqueueLedgerWrite(job.id);
  }

  #applyRunning(target: TargetRecord, running: ActiveRun): Assignment | undefined {
    const assignment = target.find(running.task, running.run) ?? this.#adopt(target, running);
    if (assignment === undefined) return undefined;
    const { attempt, task } = assignment;
    attempt.isListed = true;
    attempt.hasBegun = true;
    attempt.bornAt = target.bornAt ?? attempt.bornAt;
    attempt.isEndAwaited = false;
    task.step.job.hasStarted = true;
    attempt.percent = running.percent;
    attempt.reading = running.reading;
    task.recordCheckpoint(running.checkpoint, attempt);
    if (attempt.phase === AttemptPhase.Starting || attempt.phase === AttemptPhase.Uncertain) {
      attempt.phase = AttemptPhase.Running;
      // If a stop was sent to resolve the unanswered start, it may still end this run.
    }
    if (attempt.phase === AttemptPhase.Stopping) this.#orders.stop(assignment, 'repeated');
    else if (task.isDone || task.step.job.isEnded) this.#orders.stop(assignment, 'not needed');
    else if (hasNewerRun(assignment)) this.#orders.stop(assignment, 'runs elsewhere');
    return assignment;
  }

  /** Assigns a run that an earlier term started, or stops it if its job or occurrence has ended. */
  #adopt(target: TargetRecord, running: ActiveRun): Assignment | undefined {
    const { bounds, clock, fleet, logger } = this.#context;
    if (target.unknownTasks.has(running.task)) return undefined;
    const task = this.#findTask(running.task);
    if (task === undefined) {
      this.#orders.stopUnneeded(target, running);
      return undefined;
    }
    const attempt = buildAttempt(target, running.run, AttemptPhase.Running, clock.now);
    attempt.readyNotBefore = clock.now + bounds.stopMs;
    fleet.assign(target, task, attempt);
    logger.writeInfo('run adopted', {
      request: task.step.job.id,
      task: task.name,
      run: running.run,
      target: target.id,
    });
    return { task, attempt };
  }

  #applyEnded(target: TargetRecord, ended: EndedRun): number {
    const { active, clock, fleet, logger } = this.#context;
    const { now } = clock;
    const assignment = target.find(ended.task, ended.run);
    const task = assignment?.task ?? this.#findTask(ended.task);
    if (assignment !== undefined) fleet.unassign(target, assignment);
    if (task === undefined) return 0;
    const { job } = task.step;
    task.recordCheckpoint(ended.checkpoint, assignment?.attempt);
    task.endedAt = now;
    // A target may also list the stop of a run that it never began.
    if (ended.kind !== EndKind.Stopped) job.hasStarted = true;
    const route = active.get(job.id)?.route;
    const maximumAttempts = getMaximumAttempts(route);
    const effect = job.applyRunEnd(task, ended.run, ended.kind, maximumAttempts);
    const durations = this.#recordStatistics(target, task, assignment, ended.kind, effect);
    logger.writeInfo('run ended', {
      request: job.id,
      task: task.name,
      run: ended.run,
      target: target.id,
      how: ended.kind,
      effect,
      ...durations,
    });
    if (effect !== EndEffect.None && effect !== EndEffect.Retry) this.#stopUnneeded(task, effect);
    if (effect === EndEffect.None) return this.#getPendingChange(job, ended.kind);
    const shouldPersist =
      effect !== EndEffect.Retry || isFailure(ended.kind) || ended.checkpoint !== '';
    if (!shouldPersist || (task.step.definition.isPersistent && ended.checkpoint === '')) return 0;
    return this.enqueueLedgerWrite(job.id);
  }

  /**
   * Gets the ledger change that must be stored before the end of a run of a finished task is
   * acknowledged: the end that finished it may not be stored yet. Returns 0 if it is.
   */
  #getPendingChange(job: Job, kind: EndKind): number {
    const { jobs, ledger } = this.#context;
    const isStored = job.isEnded && job.storedState === job.state;
    if (kind !== EndKind.Done || isStored || jobs.find(job.id) === undefined) return 0;
    return ledger.add(job);
  }

  /** Enqueues a changed job for the ledger; returns the number of the change. */
  enqueueLedgerWrite(jobId: string): number {
    const { active, jobs, ledger } = this.#context;
    const job = jobs.find(jobId);
    if (job === undefined) return 0;
    if (job.isEnded) {
      job.endedAt = getWallNow();
      active.delete(jobId);
    }
    return ledger.add(job);
  }

  /** Updates the target's health and what is expected of durations; returns fields for the log. */
  #recordStatistics(
    target: TargetRecord,
    task: TaskRun,
    assignment: Assignment | undefined,
    kind: EndKind,
    effect: EndEffect,
  ): LogContext {
    const { clock, durationRecorder } = this.#context;
    const step = task.step.definition;
    const { job } = task.step;
    if (kind === EndKind.Failed) {
      task.recordFailedTarget(target.id);
      if (!step.isPersistent) target.health.recordFailure(job.id, clock.now);
    }
    if (assignment === undefined) return {};
    return durationRecorder.recordEnd(target, assignment, kind, effect);
  }

  /** Stops the other runs of a task that is done, or all runs of a job that has failed. */
  #stopUnneeded(task: TaskRun, effect: EndEffect): void {
    if (effect === EndEffect.JobFailed) {
      for (const other of task.step.job.listAttempts()) this.#orders.stop(other, 'job failed');
      return;
    }
    if (task.step.definition.isGang) return;
    for (const attempt of task.attempts) this.#orders.stop({ task, attempt }, 'task done');
  }

  /** Whether neither the job of a task nor its end is known yet; requests a lookup then. */
  #isJobUnknown(taskName: string): boolean {
    const id = parseTaskName(taskName)?.id;
    const { jobs } = this.#context;
    if (id === undefined || jobs.find(id) !== undefined || jobs.isGone(id)) return false;
    this.#lookup.request(id);
    return true;
  }

  #findTask(name: string): TaskRun | undefined {
    const path = parseTaskName(name);
    if (path === undefined) return undefined;
    const job = this.#context.jobs.find(path.id);
    return job?.findTask(path.occurrence, path.step, path.index);
  }
}

/** Whether a newer run of the task is active and duplicates are not allowed. */
function hasNewerRun({ task, attempt }: Assignment): boolean {
  if (task.step.definition.allowsDuplicates) return false;
  return task.attempts.some((other) => other !== attempt && other.run > attempt.run);
}
