/** Kinds of failure that callers can distinguish. */
export enum FaultKind {
  InvalidSettings = 'invalid-settings',
  InvalidDocument = 'invalid-document',
  InvalidRequest = 'invalid-request',
  Unauthorised = 'unauthorised',
  NotFound = 'not-found',
  Conflict = 'conflict',
  Unavailable = 'unavailable',
  Overloaded = 'overloaded',
  DeadlineExceeded = 'deadline-exceeded',
  OutcomeUnknown = 'outcome-unknown',
}

/** A typed error value with a message and a remedy. */
export interface Fault {
  readonly kind: FaultKind;
  /** The problem, in one sentence. */
  readonly message: string;
  /** How to resolve the problem, in one sentence. */
  readonly remedy: string;
}

/** Creates a fault. */
export function createFault(kind: FaultKind, message: string, remedy: string): Fault {
  return { kind, message, remedy };
}

/** Formats a fault as one human-readable line. */
export function formatFault(fault: Fault): string {
  return `${fault.message} ${fault.remedy}`;
}
