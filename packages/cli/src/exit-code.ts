import { FaultKind } from '@currantgap/model';

/** Exit codes of the command. */
export enum ExitCode {
  Done = 0,
  /** The command line was not understood. */
  Usage = 1,
  /** A file or a value is invalid. */
  Invalid = 2,
  /** The entry refused: unknown name, wrong key, or something moved meanwhile. */
  Refused = 3,
  /** Nothing was changed because a service or a majority was not reachable. */
  Unavailable = 4,
  /** It is not known whether the change was made. */
  Unknown = 5,
}

/** Gets the exit code of a fault. */
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
