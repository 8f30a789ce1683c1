import { createHash, randomBytes, timingSafeEqual } from 'node:crypto';

const KEY_BYTES = 32;

/** Creates a random key for a caller, in base64url. Only its hash is stored. */
export function createKey(): string {
  return randomBytes(KEY_BYTES).toString('base64url');
}

/** Computes the hash by which a key is stored and identified: SHA-256 in hexadecimal. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Computes the content address of an object: SHA-256 in hexadecimal. */
export function hashContent(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Whether a presented secret equals the expected one; constant time when the lengths match. */
export function isSameSecret(presented: string, expected: string): boolean {
  const left = Buffer.from(presented);
  const right = Buffer.from(expected);
  return left.length === right.length && timingSafeEqual(left, right);
}
