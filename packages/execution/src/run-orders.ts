import { AttemptPhase, type Attempt, type TaskRun } from '@currantgap/jobs';
import { ResponseTimes } from '@currantgap/scheduling';
import { MAXIMUM_CALL_AGE_MS } from './call-timing.ts';
import { computeMaximumLeaseMs, type OwnerContext } from './context.ts';
import type { OwnerMessage } from './messages.ts';
import { isAccepted, OrderOutcome, StartOutcome, type ActiveRun, type RunOrder } from './ports.ts';
import { MINIMUM_CLOCK_RATE, type Assignment, type TargetRecord } from './target-record.ts';

/** Milliseconds before an unanswered stop is retried. */
const STOP_RETRY_MS = 400;
/** Milliseconds for which a target that refused a start gets no new work. */
const REFUSAL_PAUSE_MS = 400;
/** Milliseconds before a start that a target rejected as malformed is retried. */
const MALFORMED_PAUSE_MS = 5_000;
/** Milliseconds by which two readings of a target's clock may be rounded apart. */
const CLOCK_READING_MARGIN_MS = 2;
/** Starts without an answer beyond which no task is started: calls that wait for a connection expire unsent. */
const MAXIMUM_UNANSWERED_STARTS = 1_000;
/**
 * Stops without an answer beyond which none is sent, in all and to one target, so that a silent one delays no other.
 * The next check of all runs, or the next report, sends what was left out.
 */
const MAXIMUM_UNANSWERED_STOPS = 2_000;
const MAXIMUM_UNANSWERED_STOPS_ON_TARGET = 250;
/**
 * Run numbers per epoch, so that a successor's exceed those of starts that it does not know of: more than a step of
 * the largest submission has starts in one term.
 */
const RUNS_PER_EPOCH = 10_000_000;

/** Takes the next run number of the task's step. */
export function takeRunNumber(context: OwnerContext, task: TaskRun): number {
  task.step.startCount += 1;
  return context.term.epoch * RUNS_PER_EPOCH + task.step.startCount;
}

/** Sends start and stop orders to targets and applies their outcomes. */
export class RunOrders {
  /** Response times of starts that were accepted. */
  readonly startTimes = new ResponseTimes();
  /** Starts without an answer, in the order in which they were sent, with their targets. */
  readonly unansweredStarts = new Map<Assignment, TargetRecord>();
  readonly #context: OwnerContext;
  #unansweredStops = 0;
  /** Give up the calls of the starts without an answer. */
  readonly #withdrawals = new WeakMap<Attempt, AbortController>();

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Whether further starts may be sent now; the answers to earlier ones make room for others. */
  get canStart(): boolean {
    return this.unansweredStarts.size < MAXIMUM_UNANSWERED_STARTS;
  }

  /** Assigns a task to a target and sends the start order. */
  start(task: TaskRun, target: TargetRecord, run: number, ticket?: string): void {
    const { clock, durationRecorder, fleet, post, targetPort } = this.#context;
    const { now } = clock;
    const leaseMs = this.#context.leasePolicy.normalMs;
    const deadline = target.grantLease(leaseMs, now);
    const attempt = buildAttempt(target, run, AttemptPhase.Starting, now);
    attempt.expiresAt = now + leaseMs / MINIMUM_CLOCK_RATE;
    attempt.sentBefore = now + MAXIMUM_CALL_AGE_MS;
    const assignment = { task, attempt };
    fleet.assign(target, task, attempt);
    this.unansweredStarts.set(assignment, target);
    durationRecorder.recordStart(assignment);
    const { job } = task.step;
    const order = {
      task: task.name,
      run,
      spec: job.stored.submission.spec,
      deadline,
      minimumClockMs: deadline - leaseMs - CLOCK_READING_MARGIN_MS,
      token: attempt.token,
      checkpoint: task.checkpoint,
      ticket,
    };
    const withdrawal = new AbortController();
    this.#withdrawals.set(attempt, withdrawal);
    void targetPort.start(target.address, order, withdrawal.signal).then((outcome) => {
      post({ kind: 'started', target, assignment, outcome });
    });
  }

  /** Stops a run; its resources are released once the target reports its end. */
  stop(assignment: Assignment, reason: string): void {
    const target = this.#context.fleet.find(assignment.attempt.targetId);
    if (target === undefined) return;
    const { task, attempt } = assignment;
    if (attempt.phase !== AttemptPhase.Stopping) {
      this.#context.logger.writeInfo('run stopped', {
        request: task.step.job.id,
        task: task.name,
        run: attempt.run,
        target: target.id,
        reason,
      });
      attempt.phase = AttemptPhase.Stopping;
      attempt.stopAnsweredAt = undefined;
    }
    this.#sendStop(target, assignment);
  }

  /**
   * Gives up the call of a start that was not answered, so that it is sent no more, and
   * sends a stop, so that the target refuses the start if it arrives late. The attempt is not marked as
   * stopping: a run that has begun counts as running once the target reports it.
   */
  resolveUncertain(assignment: Assignment): void {
    const target = this.#context.fleet.find(assignment.attempt.targetId);
    this.#withdrawals.get(assignment.attempt)?.abort();
    if (target !== undefined) this.#sendStop(target, assignment);
  }

  /**
   * Stops a run of a job or occurrence that has ended. The run is not assigned: as long as the target
   * reports it, it is stopped again.
   */
  stopUnneeded(target: TargetRecord, { task, run }: ActiveRun): void {
    if (!this.#canStop(target)) return;
    this.#context.logger.writeWarning('unneeded run stopped', { task, run, target: target.id });
    void this.#deliverStop(target, { task, run, token: target.fence.token });
  }

  /** Applies the outcome of a start order. */
  applyStartOutcome(target: TargetRecord, assignment: Assignment, outcome: StartOutcome): void {
    const { clock, logger } = this.#context;
    const { task, attempt } = assignment;
    const { now } = clock;
    const isWithdrawn = this.#withdrawals.get(attempt)?.signal.aborted === true;
    this.unansweredStarts.delete(assignment);
    this.#withdrawals.delete(attempt);
    if (isAccepted(outcome)) this.startTimes.record(now - attempt.startedAt);
    if (outcome === StartOutcome.AcceptedLater) this.#recordLaterIncarnation(target);
    if (target.find(task.name, attempt.run) === undefined) return;
    attempt.expectedInReportsAfter = now;
    if (outcome !== StartOutcome.Unknown) attempt.sentBefore = now;
    const { job } = task.step;
    logger.writeInfo('start answered', {
      request: job.id,
      task: task.name,
      run: attempt.run,
      target: target.id,
      outcome,
      tookMs: Math.round(now - attempt.startedAt),
    });
    switch (outcome) {
      case StartOutcome.Accepted:
      case StartOutcome.AcceptedLater:
        if (attempt.phase === AttemptPhase.Starting || isUnresolved(attempt)) {
          attempt.phase = AttemptPhase.Running;
        }
        attempt.hasBegun = true;
        job.hasStarted = true;
        return;
      case StartOutcome.Abandoned:
      case StartOutcome.Unknown:
        target.expectLateCall(attempt.startedAt);
        if (!isWithdrawn) target.unansweredCalls += 1;
        if (attempt.phase === AttemptPhase.Starting) attempt.phase = AttemptPhase.Uncertain;
        return;
      case StartOutcome.Fenced:
        deposeIfFenced(this.#context, target, attempt.token);
        break;
      case StartOutcome.OtherIncarnation:
        this.#recordLaterIncarnation(target);
        target.blockedUntil = now + REFUSAL_PAUSE_MS;
        break;
      case StartOutcome.Malformed:
        task.notBefore = now + MALFORMED_PAUSE_MS;
        break;
      case StartOutcome.NoCapacity:
      case StartOutcome.Unhealthy:
      case StartOutcome.Unsent:
        target.blockedUntil = now + REFUSAL_PAUSE_MS;
        break;
      case StartOutcome.Superseded:
      case StartOutcome.Late:
      case StartOutcome.TicketInvalid:
        break;
    }
    this.#context.fleet.unassign(target, assignment);
  }

  /** Applies the outcome of a stop order. */
  applyStopOutcome(message: Omit<OwnerMessage & { kind: 'stopped' }, 'kind'>): void {
    const { clock } = this.#context;
    const { target, assignment, outcome, knownBornAt, token } = message;
    const { attempt } = assignment;
    if (outcome === OrderOutcome.Fenced) {
      deposeIfFenced(this.#context, target, token);
      return;
    }
    // A stop that a former incarnation has accepted prevents nothing on the current one.
    if (outcome === OrderOutcome.Accepted && knownBornAt === target.bornAt)
      attempt.stopAnsweredAt = clock.now;
    if (outcome === OrderOutcome.OtherIncarnation) target.fence.open();
  }

  /** Records that a start shows another incarnation by its clock, which may have taken its deadline. */
  #recordLaterIncarnation(target: TargetRecord): void {
    target.fence.open();
    target.expectForeignGrant(computeMaximumLeaseMs(this.#context), this.#context.clock.now);
  }

  #sendStop(target: TargetRecord, assignment: Assignment): void {
    const { clock, post } = this.#context;
    const { task, attempt } = assignment;
    if (clock.now < attempt.stopRetryAt || attempt.stopAnsweredAt !== undefined) return;
    if (!this.#canStop(target)) return;
    attempt.stopRetryAt = clock.now + STOP_RETRY_MS;
    const { token } = target.fence;
    const order = { task: task.name, run: attempt.run, token };
    const knownBornAt = target.bornAt;
    void this.#deliverStop(target, order).then((outcome) => {
      post({ kind: 'stopped', target, assignment, knownBornAt, token, outcome });
    });
  }

  #canStop({ unansweredStops }: TargetRecord): boolean {
    if (unansweredStops >= MAXIMUM_UNANSWERED_STOPS_ON_TARGET) return false;
    return this.#unansweredStops < MAXIMUM_UNANSWERED_STOPS;
  }

  async #deliverStop(target: TargetRecord, order: RunOrder): Promise<OrderOutcome> {
    target.unansweredStops += 1;
    this.#unansweredStops += 1;
    const outcome = await this.#context.targetPort.stop(target.address, order);
    target.unansweredStops -= 1;
    this.#unansweredStops -= 1;
    return outcome;
  }
}

/**
 * Ends the term if a call with this token was rejected because of a higher one, unless that is one to which
 * this owner has raised its own since.
 */
export function deposeIfFenced(context: OwnerContext, target: TargetRecord, token: number): void {
  if (token < target.fence.token) return;
  context.depose(`target ${target.id} has seen a higher token`);
}

/** Creates the attempt for a run that was ordered or first reported at `now`. */
export function buildAttempt(
  target: TargetRecord,
  run: number,
  phase: AttemptPhase,
  now: number,
): Attempt {
  return {
    run,
    targetId: target.id,
    token: target.fence.token,
    bornAt: target.bornAt ?? target.entry.bornAt,
    phase,
    startedAt: now,
    expiresAt: now,
    sentBefore: now,
    hasBegun: phase === AttemptPhase.Running,
    percent: 0,
    readyNotBefore: 0,
    isListed: false,
    isEndAwaited: false,
    reading: 0,
    pace: 100,
    expectedInReportsAfter: now,
    stopRetryAt: 0,
    stopAnsweredAt: undefined,
  };
}

/** Whether a start is doubted and no stop was sent for it yet. */
function isUnresolved({ phase, stopRetryAt }: Attempt): boolean {
  return phase === AttemptPhase.Uncertain && stopRetryAt === 0;
}

/** Whether the start of a run is still unresolved although the target has answered a stop. */
export function isUncertain({ attempt }: Assignment): boolean {
  return attempt.phase === AttemptPhase.Uncertain && attempt.stopAnsweredAt !== undefined;
}
