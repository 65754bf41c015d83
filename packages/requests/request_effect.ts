import type { Refusal, RefusalReason } from './refusal.ts'
import type { Request } from './request.ts'
import type { AttemptFailure, RecordedOutcome } from './request_event.ts'

/** Side effect that the requests reducer asks its interpreter to carry out. */
export type RequestEffect =
  | { readonly kind: 'claim', readonly request: Request }
  | { readonly kind: 'settle_claim', readonly request: Request, readonly outcome: RecordedOutcome | undefined }
  | { readonly kind: 'release_claim', readonly request: Request }
  | { readonly kind: 'record_crash', readonly request: Request, readonly upstream: string }
  | { readonly kind: 'request_permit', readonly request: Request }
  /** Returns the permit early: the response has started, and requests that break an upstream do so before that. */
  | { readonly kind: 'yield_permit', readonly request: Request }
  | { readonly kind: 'clear_suspect', readonly request: Request }
  | { readonly kind: 'send', readonly request: Request, readonly attempt: number, readonly upstream: string }
  | { readonly kind: 'cancel', readonly id: string, readonly attempt: number }
  /** Completes the response to the caller; the attempt has received all of it. */
  | { readonly kind: 'deliver', readonly id: string, readonly attempt: number }
  | { readonly kind: 'refuse', readonly id: string, readonly refusal: Refusal }
  | { readonly kind: 'replay_outcome', readonly id: string, readonly outcome: RecordedOutcome }
  | { readonly kind: 'set_timer', readonly id: string, readonly timer: 'deadline' | 'retry', readonly atMs: number }
  | { readonly kind: 'demand', readonly model: string, readonly waiting: number, readonly deadlineInMs: number, readonly priority: number, readonly coldStartWeight: number }
  | { readonly kind: 'check_upstream', readonly upstream: string }
  | { readonly kind: 'count', readonly metric: RequestMetric, readonly request: Request }

/** Name of a counter of request outcomes. */
export type RequestMetric =
  | 'answered'
  | 'replayed'
  | 'caller_left'
  | `refused.${RefusalReason}`
  | `retried.${AttemptFailure}`
