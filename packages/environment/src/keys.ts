import { createHash, randomBytes } from 'node:crypto';

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
