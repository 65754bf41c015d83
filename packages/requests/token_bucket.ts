const MS_PER_SECOND = 1000

/** A rate limit that allows bursts. */
export interface TokenBucket {
  readonly tokens: number
  readonly updatedAtMs: number
}

/** Rate and size of a bucket. */
export interface BucketLimit {
  readonly perSecond: number
  readonly burst: number
}

/**
 * Builds a full bucket.
 *
 * @param limit Rate and size.
 * @param nowMs The time in ms.
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
 * Adds the tokens that have accrued.
 *
 * @param bucket The bucket.
 * @param limit Rate and size.
 * @param nowMs The time in ms.
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
