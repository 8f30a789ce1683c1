import type { Incarnation } from '@currantgap/model';
import { formatGroup, type Group } from './holding.ts';

/** Permits that an entry has still to give once they fall free. */
export interface OwedLoan {
  readonly group: Group;
  readonly to: Incarnation;
  readonly count: number;
}

/** Gives up to `count` permits of a group and returns how many it gave. */
export type Give = (group: Group, count: number, to: Incarnation) => number;

/**
 * The loans that could not be made because all permits were in use. While an entry is saturated,
 * permits fall free one by one; each goes to the borrower first, or saturated entries would never
 * lend.
 */
export class OwedLoans {
  #loans: OwedLoan[] = [];
  /** Permits given since the receiver last reported its holding, by receiver and group. */
  readonly #given = new Map<Incarnation, Map<string, number>>();

  /** Replaces the owed loans by those of a new plan, and pays what can be paid. */
  set(loans: readonly OwedLoan[], give: Give): void {
    this.#loans = [...loans];
    this.settle(give);
  }

  /** Pays what can be paid now and returns the entries that were given something. */
  settle(give: Give): Set<Incarnation> {
    const paid = new Set<Incarnation>();
    if (this.#loans.length === 0) return paid;
    const open: OwedLoan[] = [];
    for (const loan of this.#loans) {
      const count = give(loan.group, loan.count, loan.to);
      if (count > 0) {
        paid.add(loan.to);
        this.#record(loan, count);
      }
      if (count < loan.count) open.push({ ...loan, count: loan.count - count });
    }
    this.#loans = open;
    return paid;
  }

  /** Counts the permits given to a peer since it last reported its holding of a group. */
  countGiven(to: Incarnation, group: Group): number {
    return this.#given.get(to)?.get(formatGroup(group)) ?? 0;
  }

  /** Records that a peer has reported its holding of a group. */
  recordReport(from: Incarnation, group: Group): void {
    this.#given.get(from)?.delete(formatGroup(group));
  }

  /** Forgets an incarnation that left the view. */
  removePeer(peer: Incarnation): void {
    this.#given.delete(peer);
    this.#loans = this.#loans.filter((loan) => loan.to !== peer);
  }

  #record(loan: OwedLoan, count: number): void {
    const given = this.#given.get(loan.to) ?? new Map<string, number>();
    const key = formatGroup(loan.group);
    given.set(key, (given.get(key) ?? 0) + count);
    this.#given.set(loan.to, given);
  }
}
