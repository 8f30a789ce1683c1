import { AttemptPhase, type StepRun } from '@currantgap/jobs';
import type { Resources } from '@currantgap/model';
import {
  canBackfill,
  chooseReservation,
  computeReservationLimit,
  computeUrgency,
  getFootprint,
  isEligible,
  isReservationOpenTo,
  isSmaller,
  shouldReserve,
  Urgency,
  type ExpectedEnd,
  type OrderingCriteria,
  type Reservation,
  type ReservationRank,
} from '@currantgap/scheduling';
import { getWallNow, type OwnerContext } from './context.ts';
import { computeJobTiming } from './job-timing.ts';
import type { TargetRecord } from './target-record.ts';

/** Milliseconds after which a target is sought again for a step that none could be reserved for. */
const RETRY_MS = 500;
/** Most distinct footprints for which the last start is kept; the oldest are dropped. */
const MAXIMUM_FOOTPRINTS = 64;

/** A step one of whose tasks found no room. */
export interface BlockedStep extends OrderingCriteria {
  readonly step: StepRun;
  readonly footprint: Resources;
}

/** What is known of a step that found no room. Times are on this node's monotonic clock. */
interface Blocked {
  blockedSince: number;
  readonly startBy: number;
  /** Latest start with which the job still counts as late. */
  readonly latestStart: number;
  ready: BlockedStep;
  targets: readonly TargetRecord[];
  passNumber: number;
  /** No target is sought before this time. */
  retryAt: number;
}

/** A reservation with the rank of its step, as the last pass found it. */
interface HeldReservation extends Reservation {
  rank: ReservationRank;
}

/** Reservations of one pool, by the name of the step. */
interface Pool {
  readonly blocked: Map<string, Blocked>;
  readonly reserved: Map<string, HeldReservation>;
  readonly lastStarts: Map<string, { readonly footprint: Resources; readonly at: number }>;
}

/**
 * Keeps room for the tasks that smaller ones leave none for: one target each is reserved, where other
 * work may start only if it ends before. Kept in memory only: a new owner finds the tasks again.
 */
export class Reservations {
  readonly #context: OwnerContext;
  readonly #pools = new Map<string, Pool>();
  #passNumber = 0;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Lists those of the targets where a task of the step may start. */
  listAllowed(
    service: string,
    step: StepRun,
    targets: readonly TargetRecord[],
  ): readonly TargetRecord[] {
    const reserved = this.#pools.get(service)?.reserved;
    // Persistent tasks are never held up by work that ends.
    if (reserved === undefined || reserved.size === 0 || step.definition.isPersistent)
      return targets;
    const { clock } = this.#context;
    const expectedMs = this.#estimateTaskMs(step);
    const closed: string[] = [];
    let rank: ReservationRank | undefined;
    for (const [name, reservation] of reserved) {
      if (name === step.name || canBackfill(reservation, clock.now, expectedMs)) continue;
      rank ??= this.#computeRank(step);
      if (rank !== undefined && isReservationOpenTo(reservation.rank, rank)) continue;
      closed.push(reservation.targetId);
    }
    if (closed.length === 0) return targets;
    return targets.filter(({ id }) => !closed.includes(id));
  }

  /** Records that a task of the step was started, which uses its reservation up. */
  recordStart(service: string, step: StepRun, footprint: Resources, target: TargetRecord): void {
    const pool = this.#getPool(service);
    this.#recordFootprint(pool, footprint);
    pool.blocked.delete(step.name);
    const reservation = pool.reserved.get(step.name);
    if (reservation === undefined) return;
    const isThere = reservation.targetId === target.id;
    this.#endReservation(pool, step.name, isThere ? 'reservation used' : 'reservation lapsed', {
      reason: isThere ? 'started' : 'started elsewhere',
    });
  }

  /** Records that a task of the step found no room on any of the targets. */
  recordBlocked(service: string, ready: BlockedStep, targets: readonly TargetRecord[]): void {
    if (computeUrgency(ready) === Urgency.VeryLate) return;
    const { blocked, reserved } = this.#getPool(service);
    const reservation = reserved.get(ready.step.name);
    if (reservation !== undefined) reservation.rank = toRank(ready);
    const known = blocked.get(ready.step.name);
    if (known !== undefined) {
      Object.assign(known, { ready, targets, passNumber: this.#passNumber });
      return;
    }
    const { now } = this.#context.clock;
    const slackMs = ready.timeToObjectiveMs - ready.remainingMs;
    const lateSlackMs = ready.timeToLateLimitMs - ready.remainingMs;
    blocked.set(ready.step.name, {
      blockedSince: now,
      startBy: now + (slackMs > 0 ? slackMs : lateSlackMs),
      latestStart: ready.isPersistent ? Infinity : now + lateSlackMs,
      ready,
      targets,
      passNumber: this.#passNumber,
      retryAt: now,
    });
  }

  /** Ends a planning pass: drops what no longer holds and reserves targets for the longest waits. */
  settle(): void {
    for (const [service, pool] of this.#pools) {
      for (const [name, { passNumber }] of pool.blocked)
        if (passNumber !== this.#passNumber) pool.blocked.delete(name);
      this.#expireReservations(service, pool);
      this.#addReservation(service, pool);
      for (const entry of pool.blocked.values()) entry.targets = [];
    }
    this.#passNumber += 1;
  }

  #expireReservations(service: string, pool: Pool): void {
    if (pool.reserved.size === 0) return;
    const { now } = this.#context.clock;
    const open = this.#listOpen(service);
    const limit = computeReservationLimit(open.size);
    for (const [name, { targetId, expiresAt }] of pool.reserved) {
      const entry = pool.blocked.get(name);
      if (entry === undefined) {
        this.#endReservation(pool, name, 'reservation lapsed', { reason: 'waits no longer' });
      } else if (!open.has(targetId)) {
        this.#endReservation(pool, name, 'reservation lapsed', { reason: 'target closed' });
      } else if (pool.reserved.size > limit) {
        this.#endReservation(pool, name, 'reservation lapsed', { reason: 'pool too small' });
      } else if (now >= expiresAt) {
        entry.blockedSince = now;
        this.#endReservation(pool, name, 'reservation lapsed', { reason: 'not free in time' });
      }
    }
  }

  /** Lists the ids of the targets of a pool that accept new work now. */
  #listOpen(service: string): ReadonlySet<string> {
    const { clock, fleet, getOperatorView } = this.#context;
    const { evacuated } = getOperatorView();
    const open = fleet
      .listPool(service)
      .filter((target) => target.isOpen(clock.now) && !evacuated.has(target.entry.dataCentre));
    return new Set(open.map(({ id }) => id));
  }

  #addReservation(service: string, pool: Pool): void {
    if (pool.blocked.size === 0 || pool.reserved.size >= computeReservationLimit(Infinity)) return;
    const { clock, logger } = this.#context;
    const { now } = clock;
    const found = this.#findLongest(pool);
    if (found === undefined) return;
    const { ready, targets, latestStart, blockedSince } = found;
    const { step } = ready;
    const request = {
      step: step.definition,
      countOn: (id: string): number => step.countAttemptsOn(id),
    };
    const limit = computeReservationLimit(this.#listOpen(service).size);
    if (pool.reserved.size >= limit) return;
    const taken = new Set([...pool.reserved.values()].map(({ targetId }) => targetId));
    const candidates = targets
      .filter((target) => !taken.has(target.id) && isEligible(request, target))
      .map((target) => ({
        id: target.id,
        capacity: target.capacity,
        used: target.used,
        listExpectedEnds: () => this.#listExpectedEnds(target),
      }));
    const reservation = chooseReservation(ready.footprint, candidates, now, latestStart);
    if (reservation === undefined) {
      found.retryAt = now + RETRY_MS;
      return;
    }
    const { targetId, startsAt, expiresAt } = reservation;
    pool.reserved.set(ready.step.name, {
      targetId,
      startsAt,
      expiresAt,
      rank: toRank(ready),
    });
    logger.writeInfo('target reserved', {
      request: ready.step.job.id,
      step: ready.step.name,
      service,
      target: targetId,
      waitedMs: Math.round(now - blockedSince),
      startsInMs: Math.round(startsAt - now),
      expiresInMs: Math.round(expiresAt - now),
    });
  }

  /** Finds the step that has waited longest of those that a target should be reserved for. */
  #findLongest(pool: Pool): Blocked | undefined {
    const { now } = this.#context.clock;
    let longest: Blocked | undefined;
    for (const [name, entry] of pool.blocked) {
      if (entry.ready.step.definition.isGang || pool.reserved.has(name)) continue;
      if (entry.retryAt > now || entry.blockedSince >= (longest?.blockedSince ?? Infinity))
        continue;
      const { footprint } = entry.ready;
      const { blockedSince, startBy } = entry;
      const smallerStartedAt = findSmallerStart(pool, footprint);
      if (!shouldReserve({ footprint, blockedSince, startBy, smallerStartedAt }, now)) continue;
      longest = entry;
    }
    return longest;
  }

  #listExpectedEnds(target: TargetRecord): ExpectedEnd[] {
    const { bounds, clock, durations } = this.#context;
    const ends: ExpectedEnd[] = [];
    for (const { task, attempt } of target.assignments) {
      const { definition } = task.step;
      const footprint = getFootprint(definition);
      if (attempt.phase === AttemptPhase.Stopping) {
        ends.push({ footprint, endsAt: clock.now + bounds.stopMs });
        continue;
      }
      if (definition.isPersistent) {
        ends.push({ footprint, endsAt: Infinity });
        continue;
      }
      const slowness = Math.max(1, target.slowness);
      const elapsedMs = (clock.now - attempt.startedAt) / slowness;
      const { route } = task.step.job.stored;
      const remainingMs = durations.estimateRemainingMs(route, definition, elapsedMs) * slowness;
      ends.push({ footprint, endsAt: clock.now + Math.max(0, remainingMs) });
    }
    return ends;
  }

  /** Computes the rank of a step that is about to be placed; undefined if its job has ended. */
  #computeRank(step: StepRun): ReservationRank | undefined {
    const record = this.#context.active.get(step.job.id);
    if (record?.route === undefined) return undefined;
    return toRank({
      isPersistent: step.definition.isPersistent,
      priority: record.route.priority,
      ...computeJobTiming(this.#context, record, step, getWallNow()),
      isWithinWeight: record.isWithinWeight,
      hasStarted: record.job.hasStarted,
      acceptedAt: record.arrivedAt,
    });
  }

  #estimateTaskMs(step: StepRun): number {
    return this.#context.durations.estimateTaskMs(step.job.stored.route, step.definition);
  }

  #recordFootprint({ lastStarts }: Pool, footprint: Resources): void {
    const key = `${footprint.cpuMillis}/${footprint.memoryMb}/${footprint.gpus}`;
    lastStarts.delete(key);
    lastStarts.set(key, { footprint, at: this.#context.clock.now });
    if (lastStarts.size <= MAXIMUM_FOOTPRINTS) return;
    const [oldest] = lastStarts.keys();
    if (oldest !== undefined) lastStarts.delete(oldest);
  }

  #endReservation(pool: Pool, name: string, message: string, context: { reason: string }): void {
    const reservation = pool.reserved.get(name);
    if (reservation === undefined) return;
    pool.reserved.delete(name);
    const { targetId: target, startsAt } = reservation;
    const lateMs = Math.round(this.#context.clock.now - startsAt);
    const request = name.slice(0, name.indexOf('.'));
    const entry = { request, step: name, target, lateMs, ...context };
    this.#context.logger.writeInfo(message, entry);
  }

  #getPool(service: string): Pool {
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const created: Pool = { blocked: new Map(), reserved: new Map(), lastStarts: new Map() };
    this.#pools.set(service, created);
    return created;
  }
}

function toRank(step: OrderingCriteria): ReservationRank {
  return { urgency: computeUrgency(step), priority: step.priority };
}

/** Finds the last start of a task smaller than the footprint; -Infinity if there was none. */
function findSmallerStart({ lastStarts }: Pool, footprint: Resources): number {
  let last = -Infinity;
  for (const start of lastStarts.values())
    if (start.at > last && isSmaller(start.footprint, footprint)) last = start.at;
  return last;
}
