/** Reason of a refusal; the counter `refused.<reason>` counts it. */
export type RefusalReason =
  | 'rate_limit'
  | 'token_limit'
  | 'concurrency_limit'
  | 'queue_full'
  | 'overloaded'
  | 'shed'
  | 'unknown_target'
  | 'deadline_waiting'
  | 'deadline_running'
  | 'cold_start_too_long'
  | 'no_room'
  | 'no_upstream'
  | 'upstream_broken'
  | 'upstream_silent'
  | 'answer_crossed'
  | 'answer_truncated'
  | 'retry_budget'
  | 'suspected_crash'
  | 'claim_unavailable'
  | 'claim_busy'
  | 'claim_unknown'
  | 'claim_full'
  | 'key_reused'
  | 'shutting_down'

/** Whether a refused request may have run: `not run` means that it is safe to send again. */
export type RefusalOutcome = 'not run' | 'outcome unknown'

/** Outcome of a request that ends without an upstream's response. */
export interface Refusal {
  readonly reason: RefusalReason
  readonly outcome: RefusalOutcome
  /** HTTP status code of the response. */
  readonly status: number
  /** Time after which the caller may retry, in ms. */
  readonly retryAfterMs: number | undefined
}

const STATUS_BY_REASON: Readonly<Record<RefusalReason, number>> = {
  rate_limit: 429,
  token_limit: 429,
  concurrency_limit: 429,
  queue_full: 503,
  overloaded: 503,
  shed: 503,
  unknown_target: 404,
  deadline_waiting: 504,
  deadline_running: 504,
  cold_start_too_long: 503,
  no_room: 503,
  no_upstream: 503,
  upstream_broken: 502,
  upstream_silent: 504,
  answer_crossed: 502,
  answer_truncated: 502,
  retry_budget: 503,
  suspected_crash: 422,
  claim_unavailable: 503,
  claim_busy: 409,
  claim_unknown: 409,
  claim_full: 503,
  key_reused: 422,
  shutting_down: 503
}

/** Lists all refusal reasons. */
export const REFUSAL_REASONS = Object.keys(STATUS_BY_REASON) as readonly RefusalReason[]

/** Options of {@linkcode refusal}. */
export interface RefusalOptions {
  /** Whether an upstream may have run the request. */
  readonly mayHaveRun: boolean
  /** Time after which the caller may retry, in ms. */
  readonly retryAfterMs?: number
}

/**
 * Creates a refusal.
 *
 * All refusals are created here, so that a single function decides between `not run` and `outcome unknown`.
 *
 * @param reason The reason of the refusal.
 * @param options Whether the request may have run, and when the caller may retry.
 * @returns The refusal.
 *
 * @example
 * ```ts
 * console.log(refusal('queue_full', { mayHaveRun: false }).outcome) // 'not run'
 * ```
 */
export function refusal (reason: RefusalReason, options: RefusalOptions): Refusal {
  // Another request with the same key holds the claim in these cases and may have run it.
  const unknown = options.mayHaveRun || reason === 'claim_busy' || reason === 'claim_unknown'
  return {
    reason,
    outcome: unknown ? 'outcome unknown' : 'not run',
    status: STATUS_BY_REASON[reason],
    retryAfterMs: options.retryAfterMs
  }
}
