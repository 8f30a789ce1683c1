import type { CrashedRun } from '@currantgap/jobs';
import type { Clock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import { MAXIMUM_CALL_AGE_MS, MAXIMUM_POLL_MS, WALL_CLOCK_TOLERANCE_MS } from './call-timing.ts';
import type { Fleet } from './fleet.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Targets that ended at one moment which may have a common cause: two deadly tasks may well start together. */
const SHARED_TARGETS = 3;
/**
 * Milliseconds by which the returns of targets that ended together differ, by their wall clocks: a quarter of what
 * these may be apart.
 */
const SAME_MOMENT_MS = WALL_CLOCK_TOLERANCE_MS / 4;
/**
 * Milliseconds after the return of a target within which those that ended together with it are found: each that is
 * back has answered a call by then.
 */
const DECISION_MS = MAXIMUM_POLL_MS + MAXIMUM_CALL_AGE_MS;
/**
 * Milliseconds around that moment in which other ends show a row of crashes, as deadly tasks cause it: later ones
 * are not found before the decision.
 */
const NEARBY_MS = DECISION_MS - SAME_MOMENT_MS;
/** Ends at one moment that no run can have caused, from which on they have a common cause; one may be planned. */
const UNEXPLAINED_TARGETS = 2;
/** Ends at one moment for each end nearby that show a common cause: in a steady row, there are more nearby. */
const BURST_FACTOR = 2;
/**
 * Milliseconds after its start from which a run that its target has listed has not crashed it: more than twice the
 * time that a suspect gets for it.
 */
const START_MS = 500;
/** Milliseconds for which a restart is kept: longer than a lease and the time to tell a crash from silence. */
const KEEP_MS = 30_000;

/** Options of a restart log. */
export interface RestartLogOptions {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly logger: Logger;
}

/** What the runs on a target show of the cause of its end. */
export enum Cause {
  /** No run had just started, so none has caused the end. */
  Outside = 'outside',
  /** A run had just started. */
  Unclear = 'unclear',
  /** A run had just started whose task is suspected of another crash already. */
  Repeated = 'repeated',
}

/** The end of an incarnation that nobody announced, and the return of its target or of its VM. */
export interface Restart {
  /** The VM; the target's id if it has none. */
  readonly place: string;
  /** Start of the next incarnation, Unix milliseconds. */
  readonly bornAt: number;
  /** Monotonic time of the last sign of life of the incarnation that ended, in milliseconds. */
  readonly lastSeenAt: number;
  /** Monotonic time at which the next incarnation was found, in milliseconds. */
  readonly foundAt: number;
  /** Monotonic time from which all that ended together with it were found, in milliseconds. */
  readonly decidedAt: number;
  /** What the runs there show of the cause. */
  readonly cause: Cause;
}

/** What speaks for a common cause of the ends of several targets. */
export interface SharedEvidence {
  /** Targets that ended at about the same moment. */
  readonly targets: number;
  /** Those of them that no run can have crashed. */
  readonly unexplained: number;
  /** Ends of targets shortly before and after that moment. */
  readonly nearby: number;
  /** Whether the ends have a common cause. */
  readonly isShared: boolean;
}

/** What is known of the incarnation that was last found at a place. */
interface Place {
  target: TargetRecord;
  readonly bornAt: number;
  lastSeenAt: number;
  /** Monotonic time at which the fleet last had a target there. */
  listedAt: number;
  /** What the runs show that were lost when the leases were over. */
  lostCause: Cause;
}

/** Remembers which targets came back lately, with or without runs, and tells which of them ended together. */
export class RestartLog {
  readonly #clock: Clock;
  readonly #fleet: Fleet;
  readonly #logger: Logger;
  readonly #places = new Map<string, Place>();
  #restarts: Restart[] = [];

  constructor({ clock, fleet, logger }: RestartLogOptions) {
    this.#clock = clock;
    this.#fleet = fleet;
    this.#logger = logger;
  }

  /** Records the runs that were lost on a silent target. */
  recordLoss(target: TargetRecord, runs: readonly CrashedRun[]): void {
    this.#observe(target);
    const place = this.#places.get(getPlaceName(target));
    if (place?.target === target) place.lostCause = findCause(target, runs);
  }

  /** Records that another incarnation, which started at `bornAt`, was found for a target or on its VM. */
  recordRestart(target: TargetRecord, bornAt: number): Restart {
    const name = getPlaceName(target);
    const known = this.#restarts.find(
      (one) => one.place === name && isSameMoment(one.bornAt, bornAt),
    );
    return known ?? this.#addRestart(target, bornAt, this.#places.get(name));
  }

  /** Finds the targets that have restarted since the last sweep, and forgets what is old. */
  sweep(): void {
    const { now } = this.#clock;
    for (const target of this.#fleet.targets) this.#observe(target);
    for (const [name, { listedAt }] of this.#places) {
      if (now > listedAt + KEEP_MS) this.#places.delete(name);
    }
    this.#restarts = this.#restarts.filter(({ foundAt }) => now <= foundAt + KEEP_MS);
  }

  /** Finds what speaks for a common cause of the end of a target, and of the ends of others at the same moment. */
  findEvidence(restart: Restart): SharedEvidence {
    const others = this.#restarts.filter((other) => isTogether(restart, other));
    const ends = [restart, ...others];
    const targets = countPlaces(ends);
    const unexplained = countPlaces(ends.filter(({ cause }) => cause === Cause.Outside));
    const unrepeated = countPlaces(ends.filter(({ cause }) => cause !== Cause.Repeated));
    const nearby = this.#restarts.filter((other) => isNearby(restart, other)).length;
    const isBurst =
      this.#clock.now >= restart.decidedAt &&
      unrepeated >= Math.max(SHARED_TARGETS, BURST_FACTOR * nearby);
    const isShared = targets >= SHARED_TARGETS && (unexplained >= UNEXPLAINED_TARGETS || isBurst);
    return { targets, unexplained, nearby, isShared };
  }

  #observe(target: TargetRecord): void {
    const { now } = this.#clock;
    const name = getPlaceName(target);
    const bornAt = Math.max(target.entry.bornAt, target.bornAt ?? 0);
    const known = this.#places.get(name);
    if (known !== undefined && bornAt < known.bornAt) return;
    if (known?.bornAt === bornAt) {
      known.lastSeenAt = target.reportedAt ?? known.lastSeenAt;
      known.listedAt = now;
      return;
    }
    if (known !== undefined && !this.#fleet.hasAnnouncedEnd(known.target, known.bornAt, now))
      this.recordRestart(known.target, bornAt);
    const lastSeenAt = target.reportedAt ?? now;
    this.#places.set(name, { target, bornAt, lastSeenAt, listedAt: now, lostCause: Cause.Outside });
  }

  #addRestart(target: TargetRecord, bornAt: number, place: Place | undefined): Restart {
    const { now } = this.#clock;
    const lostCause = place?.lostCause ?? Cause.Outside;
    const cause =
      lostCause === Cause.Outside
        ? findCause(target, describeRuns(target, [...target.assignments]))
        : lostCause;
    const restart = {
      place: getPlaceName(target),
      bornAt,
      lastSeenAt: place?.lastSeenAt ?? target.reportedAt ?? now,
      foundAt: now,
      decidedAt: now + DECISION_MS,
      cause,
    };
    this.#restarts.push(restart);
    this.#logger.writeInfo('target back', {
      target: target.id,
      place: restart.place,
      bornAt,
      cause,
      runs: target.assignmentCount,
      silentMs: Math.round(now - restart.lastSeenAt),
    });
    const listedAt = now;
    const next = { target, bornAt, lastSeenAt: now, listedAt, lostCause: Cause.Outside };
    this.#places.set(restart.place, next);
    return restart;
  }
}

function getPlaceName({ id, entry }: TargetRecord): string {
  return entry.vm ?? id;
}

/** Finds what runs show of the cause of their target's end. */
function findCause(target: TargetRecord, runs: readonly CrashedRun[]): Cause {
  const started = runs.filter(({ isListed, ageMs }) => !isListed || ageMs < START_MS);
  // One that never reported may be the end that was ordered of its predecessor on the VM.
  if (started.length === 0) return target.reportedAt === undefined ? Cause.Unclear : Cause.Outside;
  return started.some(({ task }) => task.isSuspect) ? Cause.Repeated : Cause.Unclear;
}

function countPlaces(restarts: readonly Restart[]): number {
  return new Set(restarts.map(({ place }) => place)).size;
}

function isSameMoment(first: number, second: number): boolean {
  return Math.abs(first - second) <= SAME_MOMENT_MS;
}

/** Whether two targets may have ended at the same moment, by what is known of both ends. */
function isTogether(first: Restart, second: Restart): boolean {
  if (first.place === second.place) return false;
  const isOverlapping = first.lastSeenAt < second.foundAt && second.lastSeenAt < first.foundAt;
  return isOverlapping && isSameMoment(first.bornAt, second.bornAt);
}

/** Whether a target ended shortly before or after another one, but not at the same moment. */
function isNearby(first: Restart, second: Restart): boolean {
  const distanceMs = Math.abs(first.bornAt - second.bornAt);
  return distanceMs > SAME_MOMENT_MS && distanceMs <= NEARBY_MS;
}

/** Describes the runs that were active when their target was lost. */
export function describeRuns(target: TargetRecord, lost: readonly Assignment[]): CrashedRun[] {
  const active = lost.filter(({ attempt }) => !attempt.isEndAwaited);
  return active.map(({ task, attempt }) => ({
    task,
    hasBegun: attempt.hasBegun,
    isListed: attempt.isListed,
    ageMs: (target.reportedAt ?? attempt.startedAt) - attempt.startedAt,
  }));
}
