import type { Incarnation } from '@currantgap/model';

/** Permits of one group that an entry holds and the number it needs. */
export interface HolderReport {
  readonly holder: Incarnation;
  /** Number of permits that the entry holds. */
  readonly held: number;
  /** Permits that the entry has work for; may be fractional for allocated service slots. */
  readonly need: number;
}

/** Number of permits that one entry should give to another. */
export interface Loan {
  readonly from: Incarnation;
  readonly to: Incarnation;
  readonly count: number;
}

/**
 * Computes how many permits each holder should have: its need, scaled down when the total need
 * exceeds the permits held, plus an equal share of the permits that nobody needs.
 */
export function computeTargetCounts(reports: readonly HolderReport[]): Map<Incarnation, number> {
  const total = reports.reduce((sum, report) => sum + report.held, 0);
  const need = reports.reduce((sum, report) => sum + report.need, 0);
  const scale = need > total ? total / need : 1;
  const spareEach = Math.max(0, total - need) / Math.max(1, reports.length);
  return new Map(reports.map((report) => [report.holder, report.need * scale + spareEach]));
}

interface Imbalance {
  readonly holder: Incarnation;
  count: number;
}

/**
 * Plans loans that bring every holder close to its target count. Entries with the same reports
 * compute the same plan, and each makes only the loans it is the lender of. A difference of less
 * than one permit causes no loan.
 */
export function planLoans(reports: readonly HolderReport[]): Loan[] {
  const targetCounts = computeTargetCounts(reports);
  const sorted = [...reports].sort((left, right) => (left.holder < right.holder ? -1 : 1));
  const lenders: Imbalance[] = [];
  const borrowers: Imbalance[] = [];
  for (const { holder, held } of sorted) {
    const targetCount = targetCounts.get(holder) ?? 0;
    if (held - Math.ceil(targetCount) > 0)
      lenders.push({ holder, count: held - Math.ceil(targetCount) });
    if (Math.floor(targetCount) - held > 0)
      borrowers.push({ holder, count: Math.floor(targetCount) - held });
  }
  return matchImbalances(lenders, borrowers);
}

function matchImbalances(lenders: Imbalance[], borrowers: Imbalance[]): Loan[] {
  const loans: Loan[] = [];
  let position = 0;
  for (const lender of lenders) {
    while (lender.count > 0) {
      const borrower = borrowers[position];
      if (borrower === undefined) return loans;
      const count = Math.min(lender.count, borrower.count);
      loans.push({ from: lender.holder, to: borrower.holder, count });
      lender.count -= count;
      borrower.count -= count;
      if (borrower.count === 0) position += 1;
    }
  }
  return loans;
}
