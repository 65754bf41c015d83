/** Time for which the outcome of an attempt is counted, in ms: several heartbeats, and long enough for three attempts of a quiet instance. */
const WINDOW_MS = 3000
/** Maximum number of outcomes kept per upstream; a share of so many decides as well as one of more. */
const MAX_OUTCOMES = 32

/** Outcome of an attempt at an upstream. */
export interface Outcome {
  readonly failed: boolean
  /** Local time at which the attempt was sent, in ms. */
  readonly sentAtMs: number
  /** Local time of the outcome, in ms. */
  readonly atMs: number
}

/** Counts of the latest outcomes at an upstream. */
export interface OutcomeCounts {
  readonly answered: number
  readonly failed: number
  /** Local time of the first counted failure, in ms. */
  readonly firstFailedAtMs: number
  /** Local time at which the last attempt that failed was sent, in ms. */
  readonly lastFailedSentAtMs: number
}

/**
 * Adds the outcome of an attempt to the latest ones at its upstream.
 *
 * @param outcomes The outcomes so far, oldest first.
 * @param outcome The outcome.
 * @returns The outcomes that still count.
 *
 * @example
 * ```ts
 * const outcomes = observeOutcome([], { failed: true, sentAtMs: 0, atMs: 12 })
 * ```
 */
export function observeOutcome (outcomes: readonly Outcome[], outcome: Outcome): readonly Outcome[] {
  return [...outcomes.filter(({ atMs }) => outcome.atMs - atMs < WINDOW_MS), outcome].slice(-MAX_OUTCOMES)
}

/**
 * Counts the latest outcomes at an upstream.
 *
 * @param outcomes The outcomes.
 * @param nowMs The local time in ms.
 * @returns The counts; undefined if no attempt failed lately.
 *
 * @example
 * ```ts
 * console.log(countOutcomes([{ failed: true, sentAtMs: 0, atMs: 12 }], 20)?.failed) // 1
 * ```
 */
export function countOutcomes (outcomes: readonly Outcome[], nowMs: number): OutcomeCounts | undefined {
  const recent = outcomes.filter(({ atMs }) => nowMs - atMs < WINDOW_MS)
  const failed = recent.filter((outcome) => outcome.failed)
  if (failed.length === 0) return undefined
  return {
    answered: recent.length - failed.length,
    failed: failed.length,
    firstFailedAtMs: Math.min(...failed.map(({ atMs }) => atMs)),
    lastFailedSentAtMs: Math.max(...failed.map(({ sentAtMs }) => sentAtMs))
  }
}

/**
 * Adds up the counts of several instances.
 *
 * @param a The counts of one instance, if it has any.
 * @param b The counts of others.
 * @returns The sum.
 *
 * @example
 * ```ts
 * const sum = addCounts(own, reported)
 * ```
 */
export function addCounts (a: OutcomeCounts | undefined, b: OutcomeCounts): OutcomeCounts {
  if (a === undefined) return b
  return {
    answered: a.answered + b.answered,
    failed: a.failed + b.failed,
    firstFailedAtMs: Math.min(a.firstFailedAtMs, b.firstFailedAtMs),
    lastFailedSentAtMs: Math.max(a.lastFailedSentAtMs, b.lastFailedSentAtMs)
  }
}
