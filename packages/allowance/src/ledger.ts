import type { Incarnation } from '@currantgap/model';
import type { PermitCount, PermitRecord, PermitTransfer, ResourceName } from './permit.ts';
import { ResourcePermits } from './resource-permits.ts';

const NO_PERMITS: PermitCount = { held: 0, running: 0 };

/** Running work of one entry that exceeds its permits of a resource. */
export interface ExcessUsage {
  readonly resource: ResourceName;
  readonly count: number;
}

/**
 * Holds all permits of one entry and the transfers that peers have not acknowledged.
 * Each permit has one owner at a time and only the owner can transfer it, so lost, duplicated or
 * reordered transfers never result in two owners.
 */
export class PermitLedger {
  readonly #self: Incarnation;
  readonly #resources = new Map<ResourceName, ResourcePermits>();
  readonly #outgoing = new Map<Incarnation, Map<string, PermitTransfer>>();
  /** Sequence of the change that lowered a limit, until every member has applied that change. */
  readonly #reductionSequences = new Map<ResourceName, number>();

  constructor(self: Incarnation) {
    this.#self = self;
  }

  /** Sets the limit that a resource has in the configuration at `sequence`. */
  setLimit(resource: ResourceName, limit: number, sequence: number): void {
    const permits = this.#getOrCreate(resource);
    if (limit < permits.limit) this.#reductionSequences.set(resource, sequence);
    permits.setLimit(limit);
  }

  getLimit(resource: ResourceName): number {
    return this.#resources.get(resource)?.limit ?? 0;
  }

  count(resource: ResourceName): PermitCount {
    return this.#resources.get(resource) ?? NO_PERMITS;
  }

  /** Whether a permit is free and no reduction of the limit is in progress. */
  canTake(resource: ResourceName): boolean {
    if (this.#reductionSequences.has(resource)) return false;
    return (this.#resources.get(resource)?.free ?? 0) > 0;
  }

  /** Takes a permit; false when none is free or a reduction of the limit is in progress. */
  take(resource: ResourceName): boolean {
    if (this.#reductionSequences.has(resource)) return false;
    return this.#resources.get(resource)?.take() ?? false;
  }

  /** Releases the permit of work that has ended. */
  release(resource: ResourceName): void {
    this.#resources.get(resource)?.release();
  }

  /** Gives up to `count` free permits to a peer and keeps the transfers until acknowledged. */
  give(resource: ResourceName, count: number, to: Incarnation): PermitTransfer[] {
    const given = this.#resources.get(resource)?.give(count, to) ?? [];
    this.#recordOutgoing(to, given);
    return given;
  }

  /** Gives all permits to a peer before a planned stop. */
  giveAll(to: Incarnation): PermitTransfer[] {
    const given = [...this.#resources.values()].flatMap((permits) => permits.giveAll(to));
    this.#recordOutgoing(to, given);
    return given;
  }

  /** Receives transfers from a member of the current view. The caller must acknowledge them all. */
  receive(transfers: readonly PermitTransfer[]): void {
    for (const transfer of transfers) this.#getOrCreate(transfer.resource).receive(transfer);
  }

  /** Drops the transfers that a peer has acknowledged. */
  acknowledge(from: Incarnation, transfers: readonly PermitTransfer[]): void {
    const outgoing = this.#outgoing.get(from);
    for (const transfer of transfers) outgoing?.delete(formatTransfer(transfer));
  }

  /** Lists the transfers that a peer has not acknowledged; they are sent again with each report. */
  listOutgoing(to: Incarnation): PermitTransfer[] {
    return [...(this.#outgoing.get(to)?.values() ?? [])];
  }

  /** Drops the transfers to an incarnation that left the view; a reclaim recovers the permits. */
  removePeer(peer: Incarnation): void {
    this.#outgoing.delete(peer);
  }

  /** Whether peers have acknowledged every transfer. */
  isDrained(): boolean {
    return [...this.#outgoing.values()].every((transfers) => transfers.size === 0);
  }

  /** Lists the latest known record of every permit, used to find unowned permits. */
  listRecords(): PermitRecord[] {
    return [...this.#resources.values()].flatMap((permits) => permits.listRecords());
  }

  /** Lists the resources whose running work exceeds their permits. */
  listExcessUsage(): ExcessUsage[] {
    const excessUsage: ExcessUsage[] = [];
    for (const [resource, permits] of this.#resources) {
      if (permits.excess > 0) excessUsage.push({ resource, count: permits.excess });
    }
    return excessUsage;
  }

  /** Lists the limit reductions in progress: each resource with the sequence of the change. */
  listLimitReductions(): ReadonlyMap<ResourceName, number> {
    return this.#reductionSequences;
  }

  /** Allows starts again; every member must have applied the change and none has excess usage. */
  finishLimitReduction(resource: ResourceName): void {
    this.#reductionSequences.delete(resource);
  }

  listResources(): IterableIterator<ResourceName> {
    return this.#resources.keys();
  }

  #recordOutgoing(to: Incarnation, transfers: readonly PermitTransfer[]): void {
    const outgoing = this.#outgoing.get(to) ?? new Map<string, PermitTransfer>();
    for (const transfer of transfers) outgoing.set(formatTransfer(transfer), transfer);
    this.#outgoing.set(to, outgoing);
  }

  #getOrCreate(resource: ResourceName): ResourcePermits {
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
