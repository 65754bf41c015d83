/** Retries that each first attempt pays for. */
const RETRIES_PER_REQUEST = 0.2
/** Most retries that can be saved up. */
const MAX_SAVED_RETRIES = 20
const BASE_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 2000

/** Saved-up permission to retry, shared by all requests of an instance. */
export interface RetryBudget {
  readonly retries: number
}

/**
 * Builds a full retry budget.
 *
 * @returns The budget.
 *
 * @example
 * ```ts
 * console.log(fullRetryBudget().retries) // 20
 * ```
 */
export function fullRetryBudget (): RetryBudget {
  return { retries: MAX_SAVED_RETRIES }
}

/**
 * Adds what a first attempt pays in.
 *
 * @param budget The budget.
 * @returns The budget after the deposit.
 *
 * @example
 * ```ts
 * console.log(depositRetry({ retries: 0 }).retries) // 0.2
 * ```
 */
export function depositRetry (budget: RetryBudget): RetryBudget {
  return { retries: Math.min(MAX_SAVED_RETRIES, budget.retries + RETRIES_PER_REQUEST) }
}

/**
 * Takes one retry out of the budget.
 *
 * @param budget The budget.
 * @returns The budget after the withdrawal, or undefined where it has no retry left.
 *
 * @example
 * ```ts
 * console.log(withdrawRetry({ retries: 0.5 })) // undefined
 * ```
 */
export function withdrawRetry (budget: RetryBudget): RetryBudget | undefined {
  return budget.retries >= 1 ? { retries: budget.retries - 1 } : undefined
}

/**
 * Computes the pause before a retry with full jitter.
 *
 * @param attempts The number of attempts so far.
 * @param random A random number from 0 up to 1.
 * @returns The pause in ms.
 *
 * @example
 * ```ts
 * console.log(backoffMs(1, 0.5)) // 50
 * ```
 */
export function backoffMs (attempts: number, random: number): number {
  return random * Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** attempts)
}
