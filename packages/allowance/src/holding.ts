import type { Incarnation } from '@currantgap/model';

/** Kinds of groups whose permits are lent together. */
export enum GroupKind {
  /** The upper limit of a team. */
  Team = 'team',
  /** The slots of a service on all its VMs. */
  Service = 'service',
}

/** Permits that are lent together. */
export interface Group {
  readonly kind: GroupKind;
  readonly name: string;
}

/** Permits that an entry holds of a group. */
export interface Holding extends Group {
  readonly held: number;
}

/** Formats a group as the key of a map. */
export function formatGroup(group: Group): string {
  return `${group.kind}:${group.name}`;
}

/** Holdings reported to one peer at a time. */
export const MAXIMUM_REPORTED_HOLDINGS = 256;

/** The permits that every entry of the view holds, as far as it was reported. */
export class HoldingBook {
  readonly #byEntry = new Map<Incarnation, Map<string, Holding>>();
  readonly #sent = new Map<Incarnation, Map<string, number>>();

  /** Applies the changes that a peer reported. */
  apply(from: Incarnation, holdings: readonly Holding[]): void {
    const table = this.#byEntry.get(from) ?? new Map<string, Holding>();
    for (const holding of holdings) table.set(formatGroup(holding), holding);
    this.#byEntry.set(from, table);
  }

  /** Forgets an incarnation that left the view. */
  removePeer(peer: Incarnation): void {
    this.#byEntry.delete(peer);
    this.#sent.delete(peer);
  }

  /** Lists which of the own holdings a peer has not been sent, up to the maximum. */
  listChanges(to: Incarnation, own: readonly Holding[]): Holding[] {
    const sent = this.#sent.get(to);
    return own
      .filter((holding) => (sent?.get(formatGroup(holding)) ?? 0) !== holding.held)
      .slice(0, MAXIMUM_REPORTED_HOLDINGS);
  }

  /** Records that a peer has received holdings. */
  recordSent(to: Incarnation, holdings: readonly Holding[]): void {
    const sent = this.#sent.get(to) ?? new Map<string, number>();
    for (const holding of holdings) sent.set(formatGroup(holding), holding.held);
    this.#sent.set(to, sent);
  }

  /** Counts what a peer holds of a group. */
  count(peer: Incarnation, group: Group): number {
    return this.#byEntry.get(peer)?.get(formatGroup(group))?.held ?? 0;
  }
}
