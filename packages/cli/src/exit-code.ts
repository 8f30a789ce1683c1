import { FaultKind } from '@currantgap/model';

/** Exit codes of the command line. */
export enum ExitCode {
  Done = 0,
  /** The command line is invalid. */
  Usage = 1,
  /** A file or a value is invalid. */
  Invalid = 2,
  /** The entry refused the request: unknown name, wrong key, or conflict with another change. */
  Refused = 3,
  /** Nothing was changed, because a service or a majority of the entries was unreachable. */
  Unavailable = 4,
  /** Whether the change was made is unknown. */
  Unknown = 5,
}

/** Returns the exit code for a kind of fault. */
export function getExitCode(kind: FaultKind): ExitCode {
  switch (kind) {
    case FaultKind.InvalidSettings:
    case FaultKind.InvalidDocument:
    case FaultKind.InvalidRequest:
      return ExitCode.Invalid;
    case FaultKind.Unauthorised:
    case FaultKind.NotFound:
    case FaultKind.Conflict:
      return ExitCode.Refused;
    case FaultKind.Unavailable:
    case FaultKind.Overloaded:
    case FaultKind.DeadlineExceeded:
      return ExitCode.Unavailable;
    case FaultKind.OutcomeUnknown:
      return ExitCode.Unknown;
  }
}
