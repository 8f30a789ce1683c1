/**
 * Latest epoch that a member has promised to stop confirming to its peers. The promise lasts until
 * a later epoch is known, because the view change it was given for may still reach the table.
 */
export class PromisedEpoch {
  #epoch = 0;

  /** Promises to stop confirming `epoch`; false when the member knows a later epoch. */
  promise(epoch: number, knownEpoch: number): boolean {
    if (epoch < knownEpoch) return false;
    this.#epoch = Math.max(this.#epoch, epoch);
    return true;
  }

  /** Whether the member may still confirm `epoch` as current. */
  canConfirm(epoch: number): boolean {
    return epoch > this.#epoch;
  }
}
