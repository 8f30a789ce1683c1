import { AttemptPhase, EndEffect, isFailure, type TaskRun } from '@currantgap/jobs';
import { EndKind } from '@currantgap/model';
import { getMaximumAttempts, getWallNow, type OwnerContext } from './context.ts';
import { parseTaskName } from './job-book.ts';
import { buildAttempt, type Orders } from './orders.ts';
import type { EndedRun, RunningRun, TargetReport } from './ports.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Percent at which a filler works when nothing was ordered. */
const FULL_PACE = 100;

/** Applies what targets report: runs that go on, runs that ended and runs that are not there. */
export class Reports {
  readonly #context: OwnerContext;
  readonly #orders: Orders;

  constructor(context: OwnerContext, orders: Orders) {
    this.#context = context;
    this.#orders = orders;
  }

  /** Applies a report; returns the ledger generation that must be written before its ends are noted. */
  apply(target: TargetRecord, report: TargetReport, sentAt: number): number {
    const { clock, logger, settling } = this.#context;
    const { now } = clock;
    target.silences = 0;
    this.#checkLifetime(target, report);
    target.readClock(report.clockMs, now);
    target.reportedAt = now;
    if (settling.record(target.id)) {
      logger.writeInfo('target settled', {
        target: target.id,
        awaited: settling.listAwaited(now).length,
      });
    }
    let generation = 0;
    for (const ended of report.ended) {
      if (ended.sequence <= target.seenThrough) continue;
      target.seenThrough = ended.sequence;
      generation = Math.max(generation, this.#applyEnded(target, ended));
    }
    const listed = new Set<Assignment>();
    for (const running of report.running) {
      const assignment = this.#applyRunning(target, running);
      if (assignment !== undefined) listed.add(assignment);
    }
    for (const assignment of [...target.assignments]) {
      if (!listed.has(assignment)) this.#applyMissing(target, assignment, sentAt);
    }
    return generation;
  }

  /** Ends all runs of a target whose leases have lapsed or whose lifetime is over. */
  loseAll(target: TargetRecord, reason: string): void {
    for (const assignment of [...target.assignments]) this.#lose(target, assignment, reason);
  }

  #checkLifetime(target: TargetRecord, report: TargetReport): void {
    const { logger } = this.#context;
    target.isLifetimeDoubtful = false;
    if (report.bornAt === undefined || report.bornAt === target.bornAt) return;
    if (target.bornAt !== undefined) {
      logger.writeWarning('target restarted', {
        target: target.id,
        bornAt: report.bornAt,
        knownBornAt: target.bornAt,
      });
      target.seenThrough = 0;
      target.acknowledgedThrough = 0;
      target.pace = FULL_PACE;
    }
    target.bornAt = report.bornAt;
  }

  #applyRunning(target: TargetRecord, running: RunningRun): Assignment | undefined {
    const assignment = target.find(running.task, running.run) ?? this.#adopt(target, running);
    if (assignment === undefined) return undefined;
    const { attempt, task } = assignment;
    attempt.percent = running.percent;
    attempt.reading = running.reading;
    if (running.checkpoint !== '') task.checkpoint = running.checkpoint;
    if (attempt.phase === AttemptPhase.Starting || attempt.phase === AttemptPhase.Uncertain) {
      attempt.phase = AttemptPhase.Running;
      task.step.job.hasStarted = true;
      // A stop sent to settle what became of the start may still end it.
    }
    if (attempt.phase === AttemptPhase.Stopping) this.#orders.stop(assignment, 'repeated');
    else if (task.isDone || task.step.job.isEnded) this.#orders.stop(assignment, 'not needed');
    else if (isSurplus(assignment)) this.#orders.stop(assignment, 'runs elsewhere');
    return assignment;
  }

  /** Takes up a run that an earlier term started. */
  #adopt(target: TargetRecord, running: RunningRun): Assignment | undefined {
    const { clock, fleet, logger } = this.#context;
    const task = this.#findTask(running.task);
    if (task === undefined) {
      logger.writeWarning('run of no known task', { task: running.task, target: target.id });
      return undefined;
    }
    const attempt = buildAttempt(target, running.run, AttemptPhase.Running, clock.now);
    fleet.assign(target, task, attempt);
    task.step.job.hasStarted = true;
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
    if (ended.checkpoint !== '') task.checkpoint = ended.checkpoint;
    task.endedAt = now;
    const route = active.get(job.id)?.route;
    const maximumAttempts = getMaximumAttempts(route);
    const effect = job.applyRunEnd(task, ended.run, ended.kind, maximumAttempts);
    logger.writeInfo('run ended', {
      request: job.id,
      task: task.name,
      run: ended.run,
      target: target.id,
      how: ended.kind,
      effect,
    });
    this.#learn(target, task, assignment, ended.kind);
    if (effect !== EndEffect.None && effect !== EndEffect.Retry) this.#stopNeedless(task, effect);
    if (effect === EndEffect.None) return 0;
    const mustKeep = effect !== EndEffect.Retry || isFailure(ended.kind) || ended.checkpoint !== '';
    if (!mustKeep || (task.step.definition.isPersistent && ended.checkpoint === '')) return 0;
    return this.keep(job.id);
  }

  /** Has a changed job written; returns the generation that covers it. */
  keep(jobId: string): number {
    const { active, jobs, ledger } = this.#context;
    const job = jobs.find(jobId);
    if (job === undefined) return 0;
    if (job.isEnded) {
      job.endedAt = getWallNow();
      active.delete(jobId);
    }
    return ledger.add(job);
  }

  #learn(
    target: TargetRecord,
    task: TaskRun,
    assignment: Assignment | undefined,
    kind: EndKind,
  ): void {
    const { clock, durations } = this.#context;
    const step = task.step.definition;
    const { job } = task.step;
    if (kind === EndKind.Failed) {
      task.failedOn.add(target.id);
      if (!step.isPersistent) target.health.recordFailure(job.id, clock.now);
    }
    if (kind !== EndKind.Done || assignment === undefined) return;
    const elapsed = clock.now - assignment.attempt.startedAt;
    const expected = durations.estimateTaskMs(job.stored.route, step);
    target.health.recordSuccess(elapsed / expected);
    durations.record(job.stored.route, step, elapsed);
  }

  /** Stops the copies of a task that is done, or all runs of a job that has failed. */
  #stopNeedless(task: TaskRun, effect: EndEffect): void {
    if (effect === EndEffect.JobFailed) {
      for (const other of task.step.job.listAttempts()) this.#orders.stop(other, 'job failed');
      return;
    }
    const members = task.step.definition.isGang ? task.step.tasks : [task];
    for (const member of members) {
      for (const attempt of member.attempts) {
        if (!task.step.definition.isGang) this.#orders.stop({ task: member, attempt }, 'task done');
      }
    }
  }

  /** A run that is neither listed nor ended: on its way, never begun, or gone. */
  #applyMissing(target: TargetRecord, assignment: Assignment, sentAt: number): void {
    const { attempt } = assignment;
    if (attempt.phase === AttemptPhase.Starting || sentAt <= attempt.expectedInReportsAfter) return;
    if (attempt.phase === AttemptPhase.Running) {
      this.#lose(target, assignment, 'not listed');
      return;
    }
    const isRefusedThere = attempt.stopAnsweredAt !== undefined && sentAt > attempt.stopAnsweredAt;
    if (isRefusedThere || sentAt > attempt.expiresAt) {
      this.#lose(target, assignment, 'never began');
      return;
    }
    this.#orders.resolveUncertain(assignment);
  }

  #lose(target: TargetRecord, assignment: Assignment, reason: string): void {
    const { clock, fleet, logger } = this.#context;
    const { task, attempt } = assignment;
    fleet.unassign(target, assignment);
    task.endedAt = clock.now;
    logger.writeWarning('run lost', {
      request: task.step.job.id,
      task: task.name,
      run: attempt.run,
      target: target.id,
      phase: attempt.phase,
      reason,
    });
  }

  #findTask(name: string): TaskRun | undefined {
    const place = parseTaskName(name);
    if (place === undefined) return undefined;
    const job = this.#context.jobs.find(place.id);
    return job?.findTask(place.occurrence, place.step, place.index);
  }
}

/** Tells whether a later run of the task goes on beside this one. */
function isSurplus({ task, attempt }: Assignment): boolean {
  if (task.step.definition.allowsDuplicates) return false;
  return task.attempts.some((other) => other !== attempt && other.run > attempt.run);
}
