/** Returns the message of a thrown value, for an error message or a log line. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
