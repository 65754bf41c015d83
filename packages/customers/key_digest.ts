import { createHash } from 'node:crypto'

/**
 * Returns the digest by which a key is known.
 *
 * @param key The key; bytes if it arrived in a header.
 * @returns The SHA-256 digest in hexadecimal.
 *
 * @example
 * ```ts
 * console.log(keyDigest('k').length) // 64
 * ```
 */
export function keyDigest (key: string | Uint8Array): string {
  return createHash('sha256').update(key).digest('hex')
}
