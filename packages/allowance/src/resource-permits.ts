import type { Incarnation } from '@currantgap/model';
import type { PermitRecord, PermitTransfer, ResourceName } from './permit.ts';

interface Holding {
  readonly version: number;
  readonly owner: Incarnation;
}

/** The permits of one resource as one entry knows them. */
export class ResourcePermits {
  readonly #resource: ResourceName;
  readonly #self: Incarnation;
  readonly #holdings = new Map<number, Holding>();
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

  /** Permits against which work may start now. */
  get free(): number {
    return Math.max(0, this.#held - this.#running);
  }

  /** Running work that no usable permit covers any more, after the limit was lowered. */
  get overhang(): number {
    return Math.max(0, this.#running - this.#held);
  }

  /** Sets the limit; permits at or above it stay owned and become unusable. */
  setLimit(limit: number): void {
    this.#limit = limit;
    this.#held = this.#countHeld();
  }

  /** Takes a permit for work that is about to start; false when none is free. */
  take(): boolean {
    if (this.free === 0) return false;
    this.#running += 1;
    return true;
  }

  /** Gives back the permit of work that has ended. */
  release(): void {
    this.#running -= 1;
  }

  /** Gives up to `count` free permits to another entry. */
  give(count: number, to: Incarnation): PermitTransfer[] {
    const given: PermitTransfer[] = [];
    for (const [index, holding] of this.#holdings) {
      if (given.length >= count || this.free === 0) break;
      if (holding.owner !== this.#self || index >= this.#limit) continue;
      given.push(this.#handOver(index, holding, to));
    }
    return given;
  }

  /** Gives every owned permit away, unusable ones included. Work must have ended. */
  giveAll(to: Incarnation): PermitTransfer[] {
    return [...this.#holdings]
      .filter(([, holding]) => holding.owner === this.#self)
      .map(([index, holding]) => this.#handOver(index, holding, to));
  }

  /** Receives a permit; an older or repeated transfer changes nothing. */
  receive(transfer: PermitTransfer): boolean {
    const present = this.#holdings.get(transfer.index);
    if (present !== undefined && present.version >= transfer.version) return false;
    this.#holdings.set(transfer.index, { version: transfer.version, owner: this.#self });
    if (transfer.index < this.#limit) this.#held += 1;
    return true;
  }

  /** Lists the newest record of every permit below the limit or owned here. */
  listRecords(): PermitRecord[] {
    return [...this.#holdings].map(([index, holding]) => ({
      resource: this.#resource,
      index,
      version: holding.version,
      owner: holding.owner,
    }));
  }

  #handOver(index: number, holding: Holding, to: Incarnation): PermitTransfer {
    const version = holding.version + 1;
    this.#holdings.set(index, { version, owner: to });
    if (index < this.#limit) this.#held -= 1;
    return { resource: this.#resource, index, version };
  }

  #countHeld(): number {
    let count = 0;
    for (const [index, holding] of this.#holdings) {
      if (holding.owner === this.#self && index < this.#limit) count += 1;
    }
    return count;
  }
}
