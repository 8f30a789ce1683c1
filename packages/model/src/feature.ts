/** Parts of scheduling that a deployment's settings switch on. */
export enum Feature {
  /** Refusal of submissions that cannot be served in time. */
  Admission = 'admission',
  /** Second runs of stragglers, where their step allows duplicates. */
  Copies = 'copies',
  /** Calls to targets that are overdue are looked into before they are given up. */
  OverdueCalls = 'overdue-calls',
  /** Shares of teams and reservations for large tasks while a pool is contended. */
  Shares = 'shares',
}
