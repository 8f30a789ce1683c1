/** Describes what was thrown, for a message or a log line. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
