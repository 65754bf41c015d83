import type { Customer } from '@berylshed/fleet'
import type { CustomerTable } from './customer_table.ts'
import { keyDigest } from './key_digest.ts'

/** Reason why a request identifies no customer. */
export type KeyRejection =
  /** The request has no `Authorization` header. */
  | 'key_missing'
  /** The request has several `Authorization` headers, of which the upstream might read another one. */
  | 'key_duplicate'
  /** The header uses a scheme other than `Token`. */
  | 'key_scheme'
  /** The header is not a scheme and one key. */
  | 'key_malformed'
  /** No customer holds the key. */
  | 'key_unknown'
  /** Several customers hold the key. */
  | 'key_shared'

/** Outcome of {@linkcode authenticate}. */
export type Authentication =
  | { readonly kind: 'known', readonly customer: Customer, readonly digest: string }
  /** The prefix is empty if the request has no key. */
  | { readonly kind: 'rejected', readonly reason: KeyRejection, readonly digestPrefix: string }

/** Characters of a digest that may be logged: enough to find a key that its owner knows, too few to test guesses against. */
const LOGGED_DIGEST_LENGTH = 8
const SCHEME = 'token'
const CREDENTIALS = /^(\S+)[ \t]+(\S+)$/

/**
 * Finds the customer whose key a request carries.
 *
 * @param table The customers by key.
 * @param authorizationValues The values of all `Authorization` headers of the request.
 * @returns The customer, or why the request is rejected.
 *
 * @example
 * ```ts
 * const found = authenticate(table, ['Token 3f9d0c1ab7'])
 * if (found.kind === 'known') console.log(found.customer.name)
 * ```
 */
export function authenticate (table: CustomerTable, authorizationValues: readonly string[]): Authentication {
  const [value, ...others] = authorizationValues
  if (value === undefined) return _rejected('key_missing')
  if (others.length > 0) return _rejected('key_duplicate')
  const [, scheme = '', key = ''] = CREDENTIALS.exec(value.trim()) ?? []
  if (key === '') return _rejected('key_malformed')
  if (scheme.toLowerCase() !== SCHEME) return _rejected('key_scheme')
  // Node decodes the bytes of a header as Latin-1.
  const digest = keyDigest(Buffer.from(key, 'latin1'))
  const customer = table.get(digest)
  if (customer !== undefined) return { kind: 'known', customer, digest }
  return _rejected(table.has(digest) ? 'key_shared' : 'key_unknown', digest)
}

function _rejected (reason: KeyRejection, digest = ''): Authentication {
  return { kind: 'rejected', reason, digestPrefix: digest.slice(0, LOGGED_DIGEST_LENGTH) }
}
