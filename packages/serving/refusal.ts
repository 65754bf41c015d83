/** Reason why a request ended without an upstream's response; each reason has a counter. */
export type RefusalReason =
  /** The instance has not received a configuration yet. */
  | 'not_configured'
  | 'no_upstream'
  | 'unknown_model'
  /** No upstream offers the model, and no load of it is expected in time. */
  | 'no_replica'
  /** The instance is shutting down; the caller can retry at another one. */
  | 'shutting_down'
  /** All eligible upstreams stayed at capacity for too long. */
  | 'no_capacity'
  /** All eligible upstreams want no requests from this instance for longer than the request can wait. */
  | 'upstreams_paused'
  | 'deadline_waiting'
  | 'deadline_running'
  | 'retry_budget'
  | 'attempts_used'
  | 'upstream_broken'
  | 'upstream_silent'
  | 'answer_crossed'
  | 'answer_malformed'
  /** It is not known at which software version the stream that the request resumes began. */
  | 'unknown_origin'
  /** No upstream of the software version that began the stream can continue it. */
  | 'no_software_version'
  /** Requests with this fingerprint are suspected of having crashed several upstreams. */
  | 'suspected_crash'
  /** The customer has used its quota. */
  | 'quota_exceeded'
  /** The instance has no memory for the request. */
  | 'memory_short'
  /** The instance has no descriptors for the request's connections. */
  | 'descriptors_short'
  /** The key of the request was removed while it waited or ran. */
  | 'key_revoked'
  /** An exception kept the instance from handling the request. */
  | 'internal_error'

/** Outcome of a request that ended without an upstream's response. */
export interface Refusal {
  readonly reason: RefusalReason
  /** Whether it is certain that the request has not run. */
  readonly notRun: boolean
  /** Status code of the HTTP response. */
  readonly status: number
  /** Delay after which the caller may retry, in ms; undefined if the request may have run. */
  readonly retryAfterMs: number | undefined
}

const SERVICE_UNAVAILABLE = 503
const BAD_GATEWAY = 502
const GATEWAY_TIMEOUT = 504
/** Statuses of requests that have not run, if it is not 503. */
const NOT_RUN_STATUSES: Readonly<Partial<Record<RefusalReason, number>>> = { quota_exceeded: 429, key_revoked: 401 }
const TIMEOUT_REASONS: readonly RefusalReason[] = ['deadline_running', 'upstream_silent']

/** Facts about a request that determine its refusal. */
export interface RefusalFacts {
  /** Whether any byte may have reached an upstream that has not confirmed that the request did not run. */
  readonly mayHaveRun: boolean
  /** Delay after which the caller may retry, in ms. */
  readonly retryAfterMs?: number
}

/**
 * Builds a refusal.
 *
 * Only this function decides whether a refusal states that the request has not run.
 *
 * @param reason Why the request is refused.
 * @param facts Whether an attempt may have run the request, and when the caller may retry.
 * @returns The refusal.
 *
 * @example
 * ```ts
 * console.log(refusal('no_replica', { mayHaveRun: false }).status) // 503
 * ```
 */
export function refusal (reason: RefusalReason, facts: RefusalFacts): Refusal {
  if (!facts.mayHaveRun) return { reason, notRun: true, status: NOT_RUN_STATUSES[reason] ?? SERVICE_UNAVAILABLE, retryAfterMs: facts.retryAfterMs }
  const status = TIMEOUT_REASONS.includes(reason) ? GATEWAY_TIMEOUT : BAD_GATEWAY
  return { reason, notRun: false, status, retryAfterMs: undefined }
}
