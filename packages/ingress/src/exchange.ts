import { err, ok, type Result } from 'neverthrow';
import type { IncomingMessage, ServerResponse } from 'node:http';

/** Reason why a request body could not be read; the text goes into the error message. */
export enum BodyFault {
  TooLarge = 'too large',
  Aborted = 'cut off',
}

/** Reads a request body of at most `limit` bytes as UTF-8 text. */
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

/** Status and JSON body of a response. */
export interface JsonResponse {
  readonly status: number;
  readonly body?: unknown;
  /** Value of the `retry-after` header in seconds. */
  readonly retryAfterS?: number;
}

/**
 * Sends a response unless one was sent already or the connection is gone.
 * `shouldClose` closes the connection afterwards.
 */
export function sendResponse(
  response: ServerResponse,
  content: JsonResponse,
  shouldClose: boolean,
): void {
  if (response.headersSent || response.destroyed) return;
  const text = content.body === undefined ? '{}' : JSON.stringify(content.body);
  response.writeHead(content.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    ...(content.retryAfterS === undefined ? {} : { 'retry-after': String(content.retryAfterS) }),
    ...(shouldClose ? { connection: 'close' } : {}),
  });
  response.end(text);
}
