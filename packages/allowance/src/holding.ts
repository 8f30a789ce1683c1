import type { Incarnation } from '@currantgap/model';

/** Kinds of permit groups. */
export enum PermitGroupKind {
  /** Permits of a team's limit on running requests. */
  Team = 'team',
  /** Slot permits of a service on all its VMs. */
  Service = 'service',
}

/** Group of permits that are lent together. */
export interface PermitGroup {
  readonly kind: PermitGroupKind;
  readonly name: string;
}

/** Number of permits of a group that an entry holds. */
export interface Holding extends PermitGroup {
  readonly held: number;
}

/** Formats a permit group as a map key. */
export function formatPermitGroup(group: PermitGroup): string {
  return `${group.kind}:${group.name}`;
}

/** Maximum number of holdings in one report to a peer. */
export const MAXIMUM_REPORTED_HOLDINGS = 256;

/** Tracks the holdings that peers last reported and the holdings sent to each peer. */
export class HoldingTracker {
  readonly #byEntry = new Map<Incarnation, Map<string, Holding>>();
  readonly #sent = new Map<Incarnation, Map<string, number>>();

  /** Applies holdings reported by a peer. */
  apply(from: Incarnation, holdings: readonly Holding[]): void {
    const table = this.#byEntry.get(from) ?? new Map<string, Holding>();
    for (const holding of holdings) table.set(formatPermitGroup(holding), holding);
    this.#byEntry.set(from, table);
  }

  /** Discards the state of an incarnation that left the view. */
  removePeer(peer: Incarnation): void {
    this.#byEntry.delete(peer);
    this.#sent.delete(peer);
  }

  /** Lists the local holdings not yet sent to a peer, at most `MAXIMUM_REPORTED_HOLDINGS`. */
  listChanges(to: Incarnation, own: readonly Holding[]): Holding[] {
    const sent = this.#sent.get(to);
    return own
      .filter((holding) => (sent?.get(formatPermitGroup(holding)) ?? 0) !== holding.held)
      .slice(0, MAXIMUM_REPORTED_HOLDINGS);
  }

  /** Records that a peer has received these holdings. */
  recordSent(to: Incarnation, holdings: readonly Holding[]): void {
    const sent = this.#sent.get(to) ?? new Map<string, number>();
    for (const holding of holdings) sent.set(formatPermitGroup(holding), holding.held);
    this.#sent.set(to, sent);
  }

  /** Counts the permits of a group that a peer last reported. */
  count(peer: Incarnation, group: PermitGroup): number {
    return this.#byEntry.get(peer)?.get(formatPermitGroup(group))?.held ?? 0;
  }
}
