/** Attempts counted within one second. */
interface _SecondCounts {
  readonly second: number
  readonly firstAttempts: number
  readonly retries: number
}

/** First attempts and retries of requests to one service within the last seconds. */
export interface RetryWindow {
  readonly seconds: readonly _SecondCounts[]
}

/** Limit on retries, shared by all instances. */
export interface RetryBudget {
  /** Retries allowed per first attempt. */
  readonly ratio: number
  /** Retries allowed per window in addition, regardless of the number of first attempts. */
  readonly minRetries: number
  /** Length of the window, in ms. */
  readonly windowMs: number
}

/** A window without attempts. */
export const EMPTY_RETRY_WINDOW: RetryWindow = { seconds: [] }

/** Share of the budget that instances spend; the remainder covers restarted and uncounted instances. */
const USABLE_BUDGET_SHARE = 0.8
const MS_PER_SECOND = 1000

/**
 * Counts an attempt.
 *
 * @param window The window so far.
 * @param attempt Whether the attempt is a retry, and the local time in ms.
 * @returns The window including the attempt.
 *
 * @example
 * ```ts
 * const window = countAttempt(EMPTY_RETRY_WINDOW, { isRetry: false, nowMs: 0 })
 * ```
 */
export function countAttempt (window: RetryWindow, attempt: { readonly isRetry: boolean, readonly nowMs: number }): RetryWindow {
  const currentSecond = Math.floor(attempt.nowMs / MS_PER_SECOND)
  const last = window.seconds.at(-1)
  const counts = last?.second === currentSecond ? last : { second: currentSecond, firstAttempts: 0, retries: 0 }
  const updated = attempt.isRetry ? { ...counts, retries: counts.retries + 1 } : { ...counts, firstAttempts: counts.firstAttempts + 1 }
  const earlier = (last?.second === currentSecond ? window.seconds.slice(0, -1) : window.seconds).filter((s) => s.second > currentSecond - RETENTION_S)
  return { seconds: [...earlier, updated] }
}

/** Seconds for which counts are kept; the longest window in the deployments is 10 s. */
const RETENTION_S = 30

/**
 * Reports whether another retry stays within the budget shared by all instances.
 *
 * Each instance may retry in proportion to its own first attempts and has an equal share of the additional retries, so
 * that the sum stays within the budget without coordination. A new process does not know what its predecessor spent, so its
 * share grows over the first window.
 *
 * @param window The instance's own attempts.
 * @param budget The budget of all instances together.
 * @param options The number of instances, the local time and the time at which the process started, in ms.
 * @returns Whether a retry is allowed.
 *
 * @example
 * ```ts
 * console.log(isRetryAllowed(EMPTY_RETRY_WINDOW, { ratio: 0.2, minRetries: 40, windowMs: 10_000 }, { instances: 4, nowMs: 0, startedAtMs: -10_000 })) // true
 * ```
 */
export function isRetryAllowed (window: RetryWindow, budget: RetryBudget, options: { readonly instances: number, readonly nowMs: number, readonly startedAtMs: number }): boolean {
  const firstSecond = Math.floor((options.nowMs - budget.windowMs) / MS_PER_SECOND)
  const recent = window.seconds.filter(({ second }) => second >= firstSecond)
  const firstAttempts = recent.reduce((sum, second) => sum + second.firstAttempts, 0)
  const retries = recent.reduce((sum, second) => sum + second.retries, 0)
  const known = Math.min(1, Math.max(0, options.nowMs - options.startedAtMs) / budget.windowMs)
  return retries + 1 <= USABLE_BUDGET_SHARE * (budget.ratio * firstAttempts + known * budget.minRetries / Math.max(1, options.instances))
}
