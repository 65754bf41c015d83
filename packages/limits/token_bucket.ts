const MS_PER_SECOND = 1000

/** State of a token bucket. */
export interface TokenBucket {
  /** Tokens left; may be negative, because the tokens of a response are taken when it ends. */
  readonly tokens: number
  /** Time of the last refill, in ms. */
  readonly updatedAtMs: number
}

/** Rate and capacity of a token bucket. */
export interface BucketLimit {
  /** Tokens added per second. */
  readonly perSecond: number
  /** Maximum number of tokens that the bucket holds. */
  readonly burst: number
}

/**
 * Creates a full token bucket.
 *
 * @param limit The rate and capacity.
 * @param nowMs The current time, in ms.
 * @returns The bucket.
 *
 * @example
 * ```ts
 * console.log(fullBucket({ perSecond: 1, burst: 5 }, 0).tokens) // 5
 * ```
 */
export function fullBucket (limit: BucketLimit, nowMs: number): TokenBucket {
  return { tokens: limit.burst, updatedAtMs: nowMs }
}

/**
 * Adds the tokens accrued since the last refill.
 *
 * @param bucket The bucket.
 * @param limit The rate and capacity.
 * @param options The current time, in ms.
 * @returns The refilled bucket.
 *
 * @example
 * ```ts
 * console.log(refillBucket({ tokens: 0, updatedAtMs: 0 }, { perSecond: 1, burst: 5 }, { nowMs: 2000 }).tokens) // 2
 * ```
 */
export function refillBucket (bucket: TokenBucket, limit: BucketLimit, options: { readonly nowMs: number }): TokenBucket {
  const elapsedMs = Math.max(0, options.nowMs - bucket.updatedAtMs)
  const tokens = Math.min(limit.burst, bucket.tokens + elapsedMs / MS_PER_SECOND * limit.perSecond)
  return { tokens, updatedAtMs: Math.max(options.nowMs, bucket.updatedAtMs) }
}
