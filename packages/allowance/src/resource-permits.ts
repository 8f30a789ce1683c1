import type { Incarnation } from '@currantgap/model';
import type { PermitRecord, PermitTransfer, ResourceName } from './permit.ts';

interface PermitOwnership {
  readonly version: number;
  readonly owner: Incarnation;
}

/** Permits of one resource that an entry owns or has owned, with its running work. */
export class ResourcePermits {
  readonly #resource: ResourceName;
  readonly #self: Incarnation;
  readonly #permits = new Map<number, PermitOwnership>();
  #limit = 0;
  #held = 0;
  #running = 0;

  constructor(resource: ResourceName, self: Incarnation) {
    this.#resource = resource;
    this.#self = self;
  }

  get limit(): number {
    return this.#limit;
  }

  get held(): number {
    return this.#held;
  }

  get running(): number {
    return this.#running;
  }

  /** Number of usable permits that no work uses. */
  get free(): number {
    return Math.max(0, this.#held - this.#running);
  }

  /** Running work that the usable permits no longer cover after the limit was lowered. */
  get excess(): number {
    return Math.max(0, this.#running - this.#held);
  }

  /** Sets the limit; permits with an index at or above it stay owned but are unusable. */
  setLimit(limit: number): void {
    this.#limit = limit;
    this.#held = this.#countHeld();
  }

  /** Takes a permit for work about to start; false when none is free. */
  take(): boolean {
    if (this.free === 0) return false;
    this.#running += 1;
    return true;
  }

  /** Releases the permit of work that has ended. */
  release(): void {
    this.#running -= 1;
  }

  /** Gives up to `count` free permits to another entry. */
  give(count: number, to: Incarnation): PermitTransfer[] {
    const given: PermitTransfer[] = [];
    for (const [index, permit] of this.#permits) {
      if (given.length >= count || this.free === 0) break;
      if (permit.owner !== this.#self || index >= this.#limit) continue;
      given.push(this.#transfer(index, permit, to));
    }
    return given;
  }

  /** Gives every owned permit to another entry, unusable ones included. Work must have ended. */
  giveAll(to: Incarnation): PermitTransfer[] {
    return [...this.#permits]
      .filter(([, permit]) => permit.owner === this.#self)
      .map(([index, permit]) => this.#transfer(index, permit, to));
  }

  /** Receives a permit; false for an outdated or duplicate transfer, which has no effect. */
  receive(transfer: PermitTransfer): boolean {
    const known = this.#permits.get(transfer.index);
    if (known !== undefined && known.version >= transfer.version) return false;
    this.#permits.set(transfer.index, { version: transfer.version, owner: this.#self });
    if (transfer.index < this.#limit) this.#held += 1;
    return true;
  }

  /** Lists the latest known record of every permit, including those given to other entries. */
  listRecords(): PermitRecord[] {
    return [...this.#permits].map(([index, permit]) => ({
      resource: this.#resource,
      index,
      version: permit.version,
      owner: permit.owner,
    }));
  }

  #transfer(index: number, permit: PermitOwnership, to: Incarnation): PermitTransfer {
    const version = permit.version + 1;
    this.#permits.set(index, { version, owner: to });
    if (index < this.#limit) this.#held -= 1;
    return { resource: this.#resource, index, version };
  }

  #countHeld(): number {
    let count = 0;
    for (const [index, permit] of this.#permits) {
      if (permit.owner === this.#self && index < this.#limit) count += 1;
    }
    return count;
  }
}
