/**
 * The promise of a member to vouch no longer under an epoch. It lasts until a later epoch is
 * known: a proposal that was promised may still reach the table.
 */
export class PromisedEpoch {
  #promisedEpoch = 0;

  /** Promises the move away from `epoch`; false when the member knows a later epoch. */
  promise(epoch: number, knownEpoch: number): boolean {
    if (epoch < knownEpoch) return false;
    this.#promisedEpoch = Math.max(this.#promisedEpoch, epoch);
    return true;
  }

  /** Whether the member may still vouch under `epoch`. */
  canConfirm(epoch: number): boolean {
    return epoch > this.#promisedEpoch;
  }
}
