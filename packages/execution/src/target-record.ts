import { TargetState, type TargetEntry } from '@currantgap/model';
import type { Attempt, TaskRun } from '@currantgap/jobs';
import { getFootprint, ResourceSum, TargetHealth } from '@currantgap/scheduling';
import type { TargetAddress } from './ports.ts';

/** A target's steady clock runs at least at this share of ours, by the protocol. */
export const CLOCK_RATE = 0.98;

/** A run and its task. */
export interface Assignment {
  readonly task: TaskRun;
  readonly attempt: Attempt;
}

/** What the owner knows of one target. */
export class TargetRecord {
  entry: TargetEntry;
  /** Its entry is in the registry. */
  isRegistered = true;
  /** Lifetime that the last report came from. */
  bornAt: number | undefined;
  /** Instant of the last report of this term; undefined before the first. */
  reportedAt: number | undefined;
  /** Ends up to this one are noted. */
  acknowledgedThrough = 0;
  /** Ends up to this one have been applied. */
  seenThrough = 0;
  /** The next hold acknowledges nothing: another lifetime may answer it. */
  isLifetimeDoubtful = false;
  isHolding = false;
  /** No hold is sent before this instant. */
  holdNotBefore = 0;
  /** Calls without an answer since the last report. */
  silences = 0;
  /** The lease row names it, so a successor asks it what runs there before it starts that work. */
  isListed = false;
  /** The lease row calls it silent, so a successor would not look for new tasks there. */
  isSilenceWritten = false;
  /** Gets no new work before this instant. */
  blockedUntil = 0;
  /** It is being emptied for maintenance or a move. */
  isClosing = false;
  /** Instant after which no lease granted so far can still run. */
  lapsesAt: number;
  /** Pace that its fillers were last given. */
  pace = 100;
  paceChangedAt = 0;
  /** Instant at which it was first seen draining. */
  drainingSince: number | undefined;
  readonly used = new ResourceSum();
  readonly health = new TargetHealth();
  readonly #assignments = new Map<string, Assignment>();
  #clockMs = 0;
  #clockReadAt = 0;

  constructor(entry: TargetEntry, lapsesAt: number) {
    this.entry = entry;
    this.lapsesAt = lapsesAt;
  }

  get id(): string {
    return this.entry.id;
  }

  get capacity(): TargetEntry['capacity'] {
    return this.entry.capacity;
  }

  get labels(): readonly string[] {
    return this.entry.labels;
  }

  /** The second label is the rack, by the protocol. */
  get rack(): string {
    return this.entry.labels[1] ?? '';
  }

  get slowness(): number {
    return this.health.slowness;
  }

  get address(): TargetAddress {
    return { id: this.entry.id, address: this.entry.address };
  }

  get assignments(): Iterable<Assignment> {
    return this.#assignments.values();
  }

  get hasPersistent(): boolean {
    for (const { task } of this.#assignments.values()) {
      if (task.step.definition.isPersistent) return true;
    }
    return false;
  }

  get assignmentCount(): number {
    return this.#assignments.size;
  }

  /** Tells whether the target's clock is known. */
  get hasClock(): boolean {
    return this.#clockReadAt > 0;
  }

  /** Tells whether new work may go there, room aside. */
  isOpen(now: number): boolean {
    return (
      this.isRegistered &&
      this.reportedAt !== undefined &&
      this.entry.state === TargetState.Ready &&
      !this.isClosing &&
      this.silences === 0 &&
      this.isListed &&
      !this.isSilenceWritten &&
      now >= this.blockedUntil &&
      !this.health.isSuspect(now)
    );
  }

  /** Records what the target's clock showed. */
  readClock(clockMs: number, now: number): void {
    this.#clockMs = clockMs;
    this.#clockReadAt = now;
  }

  /** Computes a deadline on the target's clock, `leaseMs` from now, and remembers the lapse. */
  grantLease(leaseMs: number, now: number): number {
    const elapsed = now - this.#clockReadAt;
    const deadline = this.#clockMs + elapsed * CLOCK_RATE + leaseMs;
    // The deadline is at most this far from the clock as it was read, in slow time of theirs.
    const lapse = this.#clockReadAt + (deadline - this.#clockMs) / CLOCK_RATE;
    this.lapsesAt = Math.max(this.lapsesAt, lapse);
    return deadline;
  }

  assign(task: TaskRun, attempt: Attempt): void {
    this.#assignments.set(getKey(task.name, attempt.run), { task, attempt });
    this.used.add(getFootprint(task.step.definition));
  }

  /** Releases a run's room; tells whether it was there. */
  unassign(taskName: string, run: number): Assignment | undefined {
    const key = getKey(taskName, run);
    const assignment = this.#assignments.get(key);
    if (assignment === undefined) return undefined;
    this.#assignments.delete(key);
    this.used.remove(getFootprint(assignment.task.step.definition));
    return assignment;
  }

  find(taskName: string, run: number): Assignment | undefined {
    return this.#assignments.get(getKey(taskName, run));
  }
}

function getKey(taskName: string, run: number): string {
  return `${taskName}#${run}`;
}
