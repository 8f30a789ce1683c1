import { changeSchema } from '@currantgap/environment';
import { z } from 'zod';

const entrySchema = z.object({ id: z.string(), change: changeSchema });

/** Value of a log row: a change and the nonce of the transaction that committed it. */
export type LogEntry = z.infer<typeof entrySchema>;

/** Log entry with its sequence in the log. */
export interface LoggedChange extends LogEntry {
  readonly sequence: number;
}

/** Parses the value of a log row. Throws if it does not match the schema. */
export function parseLogEntry(value: string): LogEntry {
  return entrySchema.parse(JSON.parse(value));
}

/** Formats a log entry as the value of its row. */
export function formatLogEntry(entry: LogEntry): string {
  return JSON.stringify(entry);
}
