import type { Incarnation } from '@currantgap/model';

/** What one entry holds of a divided resource and how much it could use. */
export interface HolderReport {
  readonly holder: Incarnation;
  /** Permits it holds. */
  readonly held: number;
  /** Permits it has work for; may be fractional where shares divide it. */
  readonly need: number;
}

/** Permits that one entry should give another. */
export interface Loan {
  readonly from: Incarnation;
  readonly to: Incarnation;
  readonly count: number;
}

/**
 * Computes how many permits each holder should have: its need, scaled down when all needs exceed
 * the sum, and an equal part of what nobody needs.
 */
export function computeTargets(reports: readonly HolderReport[]): Map<Incarnation, number> {
  const total = reports.reduce((sum, report) => sum + report.held, 0);
  const need = reports.reduce((sum, report) => sum + report.need, 0);
  const scale = need > total ? total / need : 1;
  const spare = Math.max(0, total - need) / Math.max(1, reports.length);
  return new Map(reports.map((report) => [report.holder, report.need * scale + spare]));
}

interface Difference {
  readonly holder: Incarnation;
  count: number;
}

/**
 * Plans the loans that bring every holder near its target. All entries with the same reports plan
 * the same loans; each carries out its own. A difference of less than one permit moves nothing.
 */
export function planLoans(reports: readonly HolderReport[]): Loan[] {
  const targets = computeTargets(reports);
  const sorted = [...reports].sort((left, right) => (left.holder < right.holder ? -1 : 1));
  const lenders: Difference[] = [];
  const borrowers: Difference[] = [];
  for (const { holder, held } of sorted) {
    const target = targets.get(holder) ?? 0;
    if (held - Math.ceil(target) > 0) lenders.push({ holder, count: held - Math.ceil(target) });
    if (Math.floor(target) - held > 0) borrowers.push({ holder, count: Math.floor(target) - held });
  }
  return matchDifferences(lenders, borrowers);
}

function matchDifferences(lenders: Difference[], borrowers: Difference[]): Loan[] {
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
