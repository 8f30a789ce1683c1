import type { Resources } from '@currantgap/model';
import type { Urgency } from './order.ts';
import { hasRoom, ResourceSum } from './resources.ts';

/** Part of its slack for which a task waits without room before a target is reserved for it. */
const WAIT_PART = 0.25;
/** Most targets of a pool that are reserved at a time, as a part of the pool; at least one. */
const RESERVED_POOL_PART = 0.1;
/** Most targets of a pool that are reserved at a time. */
const MAXIMUM_RESERVED = 3;
/** Fewest open targets with which a pool can spare one. */
const MINIMUM_POOL_TARGETS = 4;
/** Most milliseconds ahead for which a target is reserved, since it may be idle until then. */
const MAXIMUM_LEAD_MS = 1_500;
/** Part of the time until a reservation's start by which the runs before it may take longer. */
const OVERRUN_PART = 0.5;
/** Milliseconds after its start for which a reservation is kept at least. */
const MINIMUM_OVERRUN_MS = 250;

/** A task that found no room. Times are milliseconds of one monotonic clock. */
export interface BlockedTask {
  readonly footprint: Resources;
  /** Time from which it has found no room although others of its pool were tried. */
  readonly blockedSince: number;
  /** Time at which it must start to end within its objective, as it was at `blockedSince`. */
  readonly startBy: number;
  /** Last time at which a smaller task of its pool was started. */
  readonly smallerStartedAt: number;
}

/** What a run reserves on a target, and until when. */
export interface ExpectedEnd {
  readonly footprint: Resources;
  /** Expected end of the run; Infinity for a persistent task. */
  readonly endsAt: number;
}

/** A target that may be reserved. */
export interface ReservableTarget {
  readonly id: string;
  readonly capacity: Resources;
  readonly used: Resources;
  readonly listExpectedEnds: () => readonly ExpectedEnd[];
}

/** Room that is kept on one target for one task. */
export interface Reservation {
  readonly targetId: string;
  /** Time at which the target is expected to have room. Other work must have ended by then. */
  readonly startsAt: number;
  /** Time at which the reservation lapses if the task has not been started. */
  readonly expiresAt: number;
}

/** What determines which of two steps goes first: urgency, then priority, lowest first. */
export interface ReservationRank {
  readonly urgency: Urgency;
  readonly priority: number;
}

/** Whether a target should be reserved for a task: smaller ones take the room that it waits for. */
export function shouldReserve(task: BlockedTask, now: number): boolean {
  const slackMs = Math.max(0, task.startBy - task.blockedSince);
  if (now - task.blockedSince < WAIT_PART * slackMs) return false;
  return task.smallerStartedAt > task.blockedSince;
}

/** Computes how many targets of a pool with so many open ones may be reserved at a time. */
export function computeReservationLimit(targetCount: number): number {
  if (targetCount < MINIMUM_POOL_TARGETS) return 0;
  return Math.min(MAXIMUM_RESERVED, Math.max(1, Math.floor(targetCount * RESERVED_POOL_PART)));
}

/**
 * Chooses the target that is expected to have room for the footprint soonest. Returns undefined if
 * none has it by `latestStart`, or none soon enough to keep the target free until then.
 */
export function chooseReservation<T extends ReservableTarget>(
  footprint: Resources,
  targets: readonly T[],
  now: number,
  latestStart: number,
): (Reservation & { readonly target: T }) | undefined {
  const latest = Math.min(latestStart, now + MAXIMUM_LEAD_MS);
  let best: T | undefined;
  let startsAt = Infinity;
  for (const target of targets) {
    const freeAt = computeFreeAt(footprint, target, now);
    if (freeAt >= startsAt || freeAt > latest) continue;
    best = target;
    startsAt = freeAt;
  }
  if (best === undefined) return undefined;
  const overrunMs = Math.max(MINIMUM_OVERRUN_MS, OVERRUN_PART * (startsAt - now));
  return { target: best, targetId: best.id, startsAt, expiresAt: startsAt + overrunMs };
}

/** Whether a task that is expected to take `expectedMs` ends before the reservation's start. */
export function canBackfill(reservation: Reservation, now: number, expectedMs: number): boolean {
  return now + expectedMs <= reservation.startsAt;
}

/** Whether a step goes before the one that a target is reserved for, which then does not hold it up. */
export function isReservationOpenTo(reserved: ReservationRank, step: ReservationRank): boolean {
  if (step.urgency !== reserved.urgency) return step.urgency < reserved.urgency;
  return step.priority < reserved.priority;
}

/** Whether one footprint takes less of some resource than another one, and more of none. */
export function isSmaller(left: Resources, right: Resources): boolean {
  if (left.cpuMillis > right.cpuMillis) return false;
  if (left.memoryMb > right.memoryMb || left.gpus > right.gpus) return false;
  return (
    left.cpuMillis < right.cpuMillis || left.memoryMb < right.memoryMb || left.gpus < right.gpus
  );
}

/** Computes when a target is expected to have room; Infinity if never. */
function computeFreeAt(footprint: Resources, target: ReservableTarget, now: number): number {
  const { capacity, used } = target;
  const nothing = new ResourceSum();
  if (!hasRoom(capacity, nothing, footprint)) return Infinity;
  const remaining = new ResourceSum();
  remaining.add(used);
  if (hasRoom(capacity, remaining, footprint)) return now;
  const ends = [...target.listExpectedEnds()].sort((left, right) => left.endsAt - right.endsAt);
  for (const { footprint: released, endsAt } of ends) {
    if (endsAt === Infinity) return Infinity;
    remaining.remove(released);
    if (hasRoom(capacity, remaining, footprint)) return Math.max(now, endsAt);
  }
  return Infinity;
}
