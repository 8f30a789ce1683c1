import type { Incarnation } from '@currantgap/model';
import type { PermitCount, PermitRecord, PermitTransfer, ResourceName } from './permit.ts';
import { ResourcePermits } from './resource-permits.ts';

const NO_PERMITS: PermitCount = { held: 0, running: 0 };

/** A resource whose running work exceeds the permits of one entry. */
export interface Overhang {
  readonly resource: ResourceName;
  readonly count: number;
}

/**
 * All permits of one entry, and the transfers that peers have not acknowledged yet.
 * Each permit has one owner at a time; only the owner hands it over, so loss, repetition and
 * reordering of transfers never make two owners.
 */
export class PermitLedger {
  readonly #self: Incarnation;
  readonly #resources = new Map<ResourceName, ResourcePermits>();
  readonly #outgoing = new Map<Incarnation, Map<string, PermitTransfer>>();
  /** Sequence of the change that lowered a limit, while peers may not have applied it. */
  readonly #loweredAt = new Map<ResourceName, number>();

  constructor(self: Incarnation) {
    this.#self = self;
  }

  /** Sets the limit of a resource as of the configuration `sequence`. */
  setLimit(resource: ResourceName, limit: number, sequence: number): void {
    const permits = this.#open(resource);
    if (limit < permits.limit) this.#loweredAt.set(resource, sequence);
    permits.setLimit(limit);
  }

  getLimit(resource: ResourceName): number {
    return this.#resources.get(resource)?.limit ?? 0;
  }

  count(resource: ResourceName): PermitCount {
    return this.#resources.get(resource) ?? NO_PERMITS;
  }

  /** Whether work may start against the resource now. */
  canTake(resource: ResourceName): boolean {
    if (this.#loweredAt.has(resource)) return false;
    return (this.#resources.get(resource)?.free ?? 0) > 0;
  }

  /** Takes a permit; false when none is free or a lowered limit has not settled. */
  take(resource: ResourceName): boolean {
    if (this.#loweredAt.has(resource)) return false;
    return this.#resources.get(resource)?.take() ?? false;
  }

  /** Gives back the permit of work that has ended. */
  release(resource: ResourceName): void {
    this.#resources.get(resource)?.release();
  }

  /** Gives up to `count` free permits to a peer and keeps the transfers until acknowledged. */
  give(resource: ResourceName, count: number, to: Incarnation): PermitTransfer[] {
    const given = this.#resources.get(resource)?.give(count, to) ?? [];
    this.#keepOutgoing(to, given);
    return given;
  }

  /** Gives everything to a peer before a planned stop. */
  giveAll(to: Incarnation): PermitTransfer[] {
    const given = [...this.#resources.values()].flatMap((permits) => permits.giveAll(to));
    this.#keepOutgoing(to, given);
    return given;
  }

  /** Receives transfers of a member of the present view; all of them are to be acknowledged. */
  receive(transfers: readonly PermitTransfer[]): void {
    for (const transfer of transfers) this.#open(transfer.resource).receive(transfer);
  }

  /** Drops the transfers that a peer has acknowledged. */
  acknowledge(from: Incarnation, transfers: readonly PermitTransfer[]): void {
    const outgoing = this.#outgoing.get(from);
    for (const transfer of transfers) outgoing?.delete(formatTransfer(transfer));
  }

  /** Lists the transfers that a peer has not acknowledged. */
  listOutgoing(to: Incarnation): PermitTransfer[] {
    return [...(this.#outgoing.get(to)?.values() ?? [])];
  }

  /** Drops the transfers to an incarnation that left the view; settlement takes them back. */
  removePeer(peer: Incarnation): void {
    this.#outgoing.delete(peer);
  }

  /** Whether every transfer has been acknowledged. */
  isDrained(): boolean {
    return [...this.#outgoing.values()].every((transfers) => transfers.size === 0);
  }

  /** Lists the newest record of every permit, for a settlement. */
  listRecords(): PermitRecord[] {
    return [...this.#resources.values()].flatMap((permits) => permits.listRecords());
  }

  /** Lists the resources whose running work exceeds their permits. */
  listOverhangs(): Overhang[] {
    const overhangs: Overhang[] = [];
    for (const [resource, permits] of this.#resources) {
      if (permits.overhang > 0) overhangs.push({ resource, count: permits.overhang });
    }
    return overhangs;
  }

  /** Lists the resources that wait for a lowered limit to settle, with its sequence. */
  listLowered(): ReadonlyMap<ResourceName, number> {
    return this.#loweredAt;
  }

  /** Ends the wait after a lowered limit: every member applied it and none has an overhang. */
  settleLimit(resource: ResourceName): void {
    this.#loweredAt.delete(resource);
  }

  listResources(): IterableIterator<ResourceName> {
    return this.#resources.keys();
  }

  #keepOutgoing(to: Incarnation, transfers: readonly PermitTransfer[]): void {
    const outgoing = this.#outgoing.get(to) ?? new Map<string, PermitTransfer>();
    for (const transfer of transfers) outgoing.set(formatTransfer(transfer), transfer);
    this.#outgoing.set(to, outgoing);
  }

  #open(resource: ResourceName): ResourcePermits {
    const known = this.#resources.get(resource);
    if (known !== undefined) return known;
    const created = new ResourcePermits(resource, this.#self);
    this.#resources.set(resource, created);
    return created;
  }
}

function formatTransfer(transfer: PermitTransfer): string {
  return `${transfer.resource}#${transfer.index}#${transfer.version}`;
}
