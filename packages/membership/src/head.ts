import { z } from 'zod';

const headSchema = z.object({ sequence: z.number(), documentHash: z.string() });

/** Last sequence of an environment's change log and hash of the document in force. */
export type Head = z.infer<typeof headSchema>;

/** Parses the value of the head row; an absent row has an empty value. */
export function parseHead(value: string): Head {
  return value === '' ? { sequence: 0, documentHash: '' } : headSchema.parse(JSON.parse(value));
}

/** Formats a head as the value of its row. */
export function formatHead(head: Head): string {
  return JSON.stringify(head);
}
