import { changeSchema } from '@currantgap/environment';
import { z } from 'zod';

const entrySchema = z.object({ id: z.string(), change: changeSchema });

/** A change as its log row holds it. */
export type LogEntry = z.infer<typeof entrySchema>;

/** A log entry and its position. */
export interface LoggedChange extends LogEntry {
  readonly sequence: number;
}

/** Parses the value of a log row. Throws on a value that no entry wrote. */
export function parseLogEntry(value: string): LogEntry {
  return entrySchema.parse(JSON.parse(value));
}

/** Formats a log entry as the value of its row. */
export function formatLogEntry(entry: LogEntry): string {
  return JSON.stringify(entry);
}
