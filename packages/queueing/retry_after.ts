import { createHash } from 'node:crypto'

/** Longest delay that is named, in ms: beyond it the estimate says little, and callers would stay away from idle upstreams. */
const MAX_RETRY_AFTER_MS = 10_000
/** Share of the delay over which the return of refused callers is spread. */
const SPREAD_SHARE = 0.5
const HASH_RANGE = 2 ** 32

/**
 * Returns the delay after which a refused caller may retry.
 *
 * Load: 59 requests refused with `no_capacity` within a second were all told 0.7 s, and met each other again.
 *
 * @param id The request's id, by whose hash the delay is spread.
 * @param options The delay after which room is expected, in ms, undefined if it is not known, and the least delay.
 * @returns The delay in ms.
 *
 * @example
 * ```ts
 * const retryAfterMs = retryAfter(request.id, { roomInMs: 1200, minMs: 700 })
 * ```
 */
export function retryAfter (id: string, options: { readonly roomInMs: number | undefined, readonly minMs: number }): number {
  const { roomInMs, minMs } = options
  const baseMs = Math.max(minMs, Math.min(roomInMs ?? 0, MAX_RETRY_AFTER_MS))
  const fraction = createHash('sha256').update(id).digest().readUInt32BE(0) / HASH_RANGE
  return Math.round(baseMs * (1 + SPREAD_SHARE * fraction))
}
