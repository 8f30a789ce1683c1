import type { Incarnation } from '@currantgap/model';
import { formatPermitGroup, type PermitGroup } from './holding.ts';

/** Permits that an entry will give to a peer as soon as they are released. */
export interface PendingLoan {
  readonly group: PermitGroup;
  readonly to: Incarnation;
  readonly count: number;
}

/** Gives up to `count` permits of a group and returns how many it gave. */
export type GivePermits = (group: PermitGroup, count: number, to: Incarnation) => number;

/**
 * Loans that are waiting because all permits are in use. Under saturation permits are released one
 * at a time, and each goes to the borrower before local work can take it. Otherwise a saturated
 * entry would never lend.
 */
export class PendingLoans {
  #loans: PendingLoan[] = [];
  /** Permits given since the recipient last reported its holding, by recipient and group. */
  readonly #given = new Map<Incarnation, Map<string, number>>();

  /** Replaces the pending loans with those of a new plan and gives the permits that are free. */
  set(loans: readonly PendingLoan[], give: GivePermits): void {
    this.#loans = [...loans];
    this.lendAvailable(give);
  }

  /** Gives free permits to the peers of pending loans and returns the peers that received some. */
  lendAvailable(give: GivePermits): Set<Incarnation> {
    const recipients = new Set<Incarnation>();
    if (this.#loans.length === 0) return recipients;
    const remaining: PendingLoan[] = [];
    for (const loan of this.#loans) {
      const count = give(loan.group, loan.count, loan.to);
      if (count > 0) {
        recipients.add(loan.to);
        this.#recordGiven(loan, count);
      }
      if (count < loan.count) remaining.push({ ...loan, count: loan.count - count });
    }
    this.#loans = remaining;
    return recipients;
  }

  /** Counts the permits of a group given to a peer since it last reported its holding. */
  countUnreported(to: Incarnation, group: PermitGroup): number {
    return this.#given.get(to)?.get(formatPermitGroup(group)) ?? 0;
  }

  /** Records that a peer has reported its holding of a group. */
  recordReport(from: Incarnation, group: PermitGroup): void {
    this.#given.get(from)?.delete(formatPermitGroup(group));
  }

  /** Discards the state of an incarnation that left the view. */
  removePeer(peer: Incarnation): void {
    this.#given.delete(peer);
    this.#loans = this.#loans.filter((loan) => loan.to !== peer);
  }

  #recordGiven(loan: PendingLoan, count: number): void {
    const given = this.#given.get(loan.to) ?? new Map<string, number>();
    const key = formatPermitGroup(loan.group);
    given.set(key, (given.get(key) ?? 0) + count);
    this.#given.set(loan.to, given);
  }
}
