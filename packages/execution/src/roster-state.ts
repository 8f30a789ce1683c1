/** What a successor would learn from the roster about a target. */
export enum RosterState {
  /** The row may be missing, so that a successor would not wait for the target. */
  Absent = 'absent',
  Listed = 'listed',
  /** The row may list the target as silent, so that a successor expects only the tasks named there. */
  Silent = 'silent',
}
