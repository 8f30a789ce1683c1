import type { Fleet } from './fleet.ts';
import type { TargetRecord } from './target-record.ts';

/** Ended runs of a target up to `through`, which may be acknowledged after a ledger change. */
interface UnacknowledgedEnds {
  readonly changeNumber: number;
  readonly through: number;
  /** Incarnation of the target that reported them; the next one numbers its ended runs anew. */
  readonly bornAt: number | undefined;
}

/** Decides when ended runs may be acknowledged: once the ledger changes that record them are stored. */
export class EndAcknowledger {
  readonly #fleet: Fleet;
  /** Ended runs of each target that wait for the ledger, by target id, oldest first. */
  readonly #waiting = new Map<string, UnacknowledgedEnds[]>();
  #writtenThrough = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Whether ended runs of a target wait for the ledger. */
  isWaiting(targetId: string): boolean {
    return this.#waiting.has(targetId);
  }

  /** Records the ledger change that covers all ended runs that were applied so far. */
  recordApplied(target: TargetRecord, changeNumber: number): void {
    if (target.appliedThrough <= target.acknowledgedThrough) return;
    const { id, bornAt, appliedThrough } = target;
    const known = (this.#waiting.get(id) ?? []).filter((ends) => ends.bornAt === bornAt);
    const last = known.at(-1);
    if (last?.through !== appliedThrough) {
      const earlierChange = last?.changeNumber ?? 0;
      known.push({
        changeNumber: Math.max(earlierChange, changeNumber),
        through: appliedThrough,
        bornAt,
      });
    }
    this.#waiting.set(id, known);
    this.#acknowledge(id, known);
  }

  /** Records that the ledger is stored up to a change; returns the targets with new acknowledgements. */
  recordWritten(changeNumber: number): TargetRecord[] {
    this.#writtenThrough = Math.max(this.#writtenThrough, changeNumber);
    const acknowledged: TargetRecord[] = [];
    for (const [id, known] of [...this.#waiting]) {
      const target = this.#acknowledge(id, known);
      if (target !== undefined) acknowledged.push(target);
    }
    return acknowledged;
  }

  #acknowledge(id: string, known: UnacknowledgedEnds[]): TargetRecord | undefined {
    const target = this.#fleet.find(id);
    let acknowledged: TargetRecord | undefined;
    while (known[0] !== undefined && known[0].changeNumber <= this.#writtenThrough) {
      const ends = known.shift();
      if (target === undefined || ends?.bornAt !== target.bornAt) continue;
      target.acknowledgedThrough = Math.max(target.acknowledgedThrough, ends?.through ?? 0);
      acknowledged = target;
    }
    if (known.length === 0) this.#waiting.delete(id);
    return acknowledged;
  }
}
