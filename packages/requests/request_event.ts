import type { ReceivedRequest } from './request.ts'
import type { Rules } from './rules.ts'

/** How an attempt failed. */
export type AttemptFailure =
  /** The connection was not established, so nothing was sent. */
  | 'not_connected'
  /** The upstream refused the request and did not run it. */
  | 'refused'
  /** The connection broke after part of the request was sent. */
  | 'broken'
  /** A reused connection broke before the response started; the upstream may have closed it while it was idle. */
  | 'stale'
  /** No data arrived within the progress timeout, and another attempt can follow. */
  | 'silent'
  /** The response carries the id of another request. */
  | 'crossed'
  /** The response ended before it was complete. */
  | 'truncated'

/** HTTP response recorded under an idempotency key. */
export interface RecordedOutcome {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

/** Result of claiming an idempotency key. */
export type ClaimAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'completed', readonly outcome: RecordedOutcome }
  | { readonly kind: 'busy' }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'key_reused' }
  | { readonly kind: 'full' }
  | { readonly kind: 'unavailable' }

/** Result of a request for a permit to run a suspect request again. */
export type PermitAnswer = 'granted' | 'busy' | 'refused' | 'unavailable'

/** Upstreams on which a model or adapter is loaded. */
export interface Residency {
  readonly model: string
  readonly upstreams: readonly string[]
}

/** Input event of the requests reducer. */
export type RequestEvent =
  | { readonly kind: 'received', readonly request: ReceivedRequest, readonly nowMs: number }
  | { readonly kind: 'claim_answered', readonly id: string, readonly answer: ClaimAnswer, readonly nowMs: number }
  | { readonly kind: 'permit_answered', readonly id: string, readonly answer: PermitAnswer, readonly nowMs: number, readonly random: number }
  | { readonly kind: 'response_started', readonly id: string, readonly attempt: number, readonly nowMs: number }
  | { readonly kind: 'response_ended', readonly id: string, readonly attempt: number, readonly tokens: number, readonly outcome: RecordedOutcome | undefined, readonly nowMs: number }
  | { readonly kind: 'attempt_failed', readonly id: string, readonly attempt: number, readonly failure: AttemptFailure, readonly nowMs: number, readonly random: number }
  /** No data has arrived for the progress timeout; the attempt goes on. */
  | { readonly kind: 'attempt_silent', readonly id: string, readonly attempt: number, readonly nowMs: number }
  | { readonly kind: 'caller_left', readonly id: string, readonly nowMs: number }
  | { readonly kind: 'deadline_passed', readonly id: string, readonly nowMs: number }
  | { readonly kind: 'retry_due', readonly id: string, readonly nowMs: number }
  | { readonly kind: 'residency_changed', readonly residencies: readonly Residency[], readonly nowMs: number }
  | { readonly kind: 'estimate_received', readonly model: string, readonly state: 'loaded' | 'loading' | 'queued' | 'no_room' | 'not_holder', readonly readyInMs: number, readonly nowMs: number }
  | { readonly kind: 'upstream_reported', readonly upstream: string, readonly running: number, readonly leaving: boolean, readonly nowMs: number }
  | { readonly kind: 'upstream_listed', readonly upstream: string, readonly withdrawn: boolean, readonly nowMs: number }
  | { readonly kind: 'upstream_suspected', readonly upstream: string, readonly forMs: number, readonly nowMs: number }
  | { readonly kind: 'upstream_cleared', readonly upstream: string, readonly nowMs: number }
  | { readonly kind: 'fingerprint_suspected', readonly fingerprint: string, readonly nowMs: number }
  | { readonly kind: 'rules_changed', readonly rules: Rules, readonly instanceCount: number, readonly nowMs: number }
  | { readonly kind: 'draining', readonly nowMs: number }
  | { readonly kind: 'ticked', readonly nowMs: number }
