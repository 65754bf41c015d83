/** Retries that each admitted request adds to the budget. */
const RETRIES_PER_REQUEST = 0.2
/** Maximum number of retries that the budget holds. */
const MAX_SAVED_RETRIES = 20
const BASE_BACKOFF_MS = 50
const MAX_BACKOFF_MS = 2000

/** Retry budget, shared by all requests of an instance. */
export interface RetryBudget {
  /** Retries left; a retry takes 1. */
  readonly retries: number
}

/**
 * Creates a full retry budget.
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
 * Adds the retries that one admitted request earns.
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
 * Takes one retry from the budget.
 *
 * @param budget The budget.
 * @returns The budget after the withdrawal, or undefined if less than one retry is left.
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
 * Computes the delay before a retry: exponential backoff with full jitter.
 *
 * @param attempts The number of attempts so far.
 * @param random A random number in [0, 1).
 * @returns The delay, in ms.
 *
 * @example
 * ```ts
 * console.log(backoffMs(1, 0.5)) // 50
 * ```
 */
export function backoffMs (attempts: number, random: number): number {
  return random * Math.min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2 ** attempts)
}
