import { err, ok, type Result } from 'neverthrow';
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Why a body could not be read. */
export enum BodyFault {
  TooLarge = 'too large',
  Aborted = 'cut off',
}

/** Reads a whole body of at most `limit` bytes. */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<Result<string, BodyFault>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let length = 0;
    request.on('data', (chunk: Buffer) => {
      length += chunk.length;
      if (length > limit) resolve(err(BodyFault.TooLarge));
      else chunks.push(chunk);
    });
    request.on('end', () => {
      resolve(ok(Buffer.concat(chunks).toString('utf8')));
    });
    request.on('error', () => {
      resolve(err(BodyFault.Aborted));
    });
    request.on('close', () => {
      resolve(err(BodyFault.Aborted));
    });
  });
}

/** An answer to a caller. */
export interface Answer {
  readonly status: number;
  readonly body?: unknown;
  /** Seconds after which the caller may come back. */
  readonly retryAfterS?: number;
}

/** Sends an answer; `isLast` closes the connection after it. */
export function sendAnswer(response: ServerResponse, answer: Answer, isLast: boolean): void {
  if (response.headersSent || response.destroyed) return;
  const text = answer.body === undefined ? '{}' : JSON.stringify(answer.body);
  response.writeHead(answer.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...(answer.retryAfterS === undefined ? {} : { 'retry-after': String(answer.retryAfterS) }),
    ...(isLast ? { connection: 'close' } : {}),
  });
  response.end(text);
}
