/** Upper bound of the first bucket, in ms. */
const FIRST_BUCKET_MS = 1000
/** Ratio between the bounds of neighbouring buckets. */
const BUCKET_RATIO = 1.3
/** Number of buckets; the last one reaches beyond three days. */
const BUCKETS = 48
/** Default factor by which the weight of earlier observations is multiplied at each new one. */
const DECAY = 0.97

/** A histogram of idle period lengths in which older observations lose weight. */
export interface IdleHistogram {
  /** Weight per bucket; bucket i covers idle periods up to `bucketBound(i)`. */
  readonly weights: readonly number[]
  readonly total: number
}

/**
 * Builds a histogram without observations.
 *
 * @returns The histogram.
 *
 * @example
 * ```ts
 * console.log(emptyIdleHistogram().total) // 0
 * ```
 */
export function emptyIdleHistogram (): IdleHistogram {
  return { weights: [], total: 0 }
}

/**
 * Returns the upper bound of a bucket.
 *
 * @param bucket The bucket's index.
 * @returns The bound in ms.
 *
 * @example
 * ```ts
 * console.log(bucketBound(0)) // 1000
 * ```
 */
export function bucketBound (bucket: number): number {
  return FIRST_BUCKET_MS * BUCKET_RATIO ** bucket
}

/** Options of `addIdlePeriod`. */
export interface IdlePeriodOptions {
  readonly decay?: number
}

/**
 * Adds the length of one idle period to a histogram.
 *
 * @param histogram The histogram.
 * @param gapMs The length of the idle period in ms.
 * @param options The factor by which older observations lose weight.
 * @returns The histogram with older observations decayed.
 *
 * @example
 * ```ts
 * console.log(addIdlePeriod(emptyIdleHistogram(), 5000).total) // 1
 * ```
 */
export function addIdlePeriod (histogram: IdleHistogram, gapMs: number, options: IdlePeriodOptions = {}): IdleHistogram {
  // Shorter idle periods occur within a burst of requests and are irrelevant for keep-alive times.
  if (gapMs < FIRST_BUCKET_MS) return histogram
  const decay = options.decay ?? DECAY
  const bucket = Math.min(BUCKETS - 1, Math.ceil(Math.log(gapMs / FIRST_BUCKET_MS) / Math.log(BUCKET_RATIO)))
  const length = Math.max(histogram.weights.length, bucket + 1)
  const weights = Array.from({ length }, (_, i) => (histogram.weights[i] ?? 0) * decay + (i === bucket ? 1 : 0))
  return { weights, total: histogram.total * decay + 1 }
}

/**
 * Blends a histogram with a prior, for models with few observations.
 *
 * @param histogram The model's own histogram.
 * @param prior The histogram of all models together.
 * @param options The number of observations that the prior counts for.
 * @returns The blended histogram.
 *
 * @example
 * ```ts
 * const prior = addIdlePeriod(emptyIdleHistogram(), 5000)
 * console.log(blendIdleHistograms(emptyIdleHistogram(), prior, { observations: 8 }).total) // 8
 * ```
 */
export function blendIdleHistograms (histogram: IdleHistogram, prior: IdleHistogram, options: { readonly observations: number }): IdleHistogram {
  if (prior.total === 0) return histogram
  const scale = options.observations / prior.total
  const length = Math.max(histogram.weights.length, prior.weights.length)
  const weights = Array.from({ length }, (_, i) => (histogram.weights[i] ?? 0) + scale * (prior.weights[i] ?? 0))
  return { weights, total: histogram.total + options.observations }
}
