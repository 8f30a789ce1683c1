import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

const KEY_BYTES = 32;

/** Creates a key for a caller; only its hash is ever kept. */
export function createKey(): string {
  return randomBytes(KEY_BYTES).toString('base64url');
}

/** Computes the hash under which a key is kept: SHA-256 in hexadecimal. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Computes the name of an object by its content: SHA-256 in hexadecimal. */
export function hashContent(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Whether the secret that was shown is the expected one, in time that does not depend on it. */
export function isSameSecret(shown: string, expected: string): boolean {
  const left = Buffer.from(shown);
  const right = Buffer.from(expected);
  return left.length === right.length && timingSafeEqual(left, right);
}
