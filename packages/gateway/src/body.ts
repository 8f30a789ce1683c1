import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { err, ok, type Result } from 'neverthrow';
import type { IncomingMessage } from 'node:http';

/** Reads a body. Fails with `InvalidRequest` when it exceeds `maximumBytes` or ends early. */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Result<Buffer, Fault>> {
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) {
    return err(createSizeFault(maximumBytes));
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const data of request) {
      const chunk = data as Buffer;
      bytes += chunk.length;
      if (bytes > maximumBytes) return err(createSizeFault(maximumBytes));
      chunks.push(chunk);
    }
  } catch {
    return err(createFault(FaultKind.InvalidRequest, 'The body ended early.', 'Send it again.'));
  }
  return ok(Buffer.concat(chunks));
}

function createSizeFault(maximumBytes: number): Fault {
  return createFault(
    FaultKind.InvalidRequest,
    `The body is larger than ${maximumBytes} bytes.`,
    'Send a smaller body, or ask an operator to raise limits.bodyBytes.',
  );
}
