import type { Relay } from './relay.ts'
import type { Request } from './request.ts'
import type { Refusal } from './refusal.ts'

/**
 * Record of a decision about a request, for logs and counters.
 *
 * Each request has one of `answered`, `refused` and `broken_off`, or `left` if its caller disconnects before. A request that goes on
 * without its caller has `ended` as well.
 */
export interface ServingRecord {
  readonly what: 'received' | 'sent' | 'failed' | 'waits' | 'answered' | 'refused' | 'broken_off' | 'left' | 'ended' | 'upstream_avoided' | 'upstream_cleared' | 'upstream_unreachable' | 'upstream_reached' | 'upstream_leaving' | 'upstream_paused' | 'service_brittle' | 'members_changed' | 'upstream_ejected' | 'upstream_readmitted' | 'quarantined' | 'quarantine_lifted' | 'limit_named' | 'limit_lifted' | 'quota_exhausted' | 'quota_available' | 'quota_fallback' | 'quota_shared'
  readonly request?: string
  readonly route?: string
  readonly upstream?: string
  /** Instance that the request was handed to. */
  readonly relay?: string
  /** Software version of the upstream. */
  readonly softwareVersion?: string
  /** Caller's id of the attempt that began the stream that the request resumes. */
  readonly resumes?: string
  readonly model?: string
  readonly adapter?: string
  readonly reason?: string
  readonly detail?: string
  readonly status?: number
  /** Number of the attempt. */
  readonly sending?: number
  /** Attempts that may have run the request. */
  readonly runs?: number
  /** Time since the request arrived, in ms. */
  readonly elapsedMs?: number
  /** Time until the request's deadline, in ms. */
  readonly leftMs?: number
  /** Requests of all instances running on the upstream when it was chosen. */
  readonly load?: number
  /** Tokens of the prompt, if its route is sticky and the request names its parts. */
  readonly promptTokens?: number
  /** Prompt tokens that the upstream was expected to keep and not to read again. */
  readonly keptTokens?: number
  /** Version of the placement on which the decision was based. */
  readonly placement?: number
  /** Number of instances among which upstreams are divided. */
  readonly members?: number
  /** Requests per second that an upstream takes from all instances together. */
  readonly perS?: number
  /** Name of the customer of the request, or of the one whose quota changed. */
  readonly customer?: string
  /** Units that the request counts against the quota. */
  readonly units?: number
  /** Units of the quota that were left for it; negative after an overdraft. */
  readonly unitsLeft?: number
  /** Time since the lease holder's last answer, in ms; absent if there was none. */
  readonly allowanceAgeMs?: number
  /** Delay after which the caller may retry, in ms. */
  readonly retryAfterMs?: number
  /** Attempts that failed at an upstream, and those that it answered, on which its ejection rests. */
  readonly failures?: number
  readonly answers?: number
  /** Consecutive ejections of an upstream. */
  readonly times?: number
  /** How often the same requests were quarantined. */
  readonly offences?: number
  /** Independent crashes on which a quarantine is based. */
  readonly crashes?: number
  /** Number of upstreams that were eligible for the request. */
  readonly candidates?: number
  /** Digest of path, body and caller of a request whose attempt failed. */
  readonly fingerprint?: string
  /** Ids of the parts of the prompt of a request whose attempt failed, separated by commas. */
  readonly parts?: string
  /** Time for which an attempt waited for its first byte before another upstream was preferred, in ms. */
  readonly patienceMs?: number
  /** Longest first byte of the route that was lately seen at the upstream, in ms; 0 if none was. */
  readonly slowestMs?: number
  /** Time until this instance ends all requests to shut down, in ms; absent if it is not about to. */
  readonly closesInMs?: number
  /** Recent requests of the route that took longer than that; absent if the instance is not about to shut down. */
  readonly longerRequests?: number
  /** Expected wait for a slot, in ms, if a request is refused for it or was not sent in time. */
  readonly waitMs?: number
  /** Requests that would have gone before it. */
  readonly ahead?: number
  /** Slots per second that the upstreams of its model lately granted to this instance. */
  readonly grantedPerS?: number
  /** Time since the response started when the attempt failed, in ms; absent if it had not started. */
  readonly respondingMs?: number
}

/** Action for the caller of the reducer to carry out. */
export type ServingEffect =
  /** Sends an attempt, and asks after `patienceMs` without a first byte whether it is given up. */
  | { readonly kind: 'send', readonly request: Request, readonly attempt: number, readonly upstream: string, readonly relay: Relay | undefined, readonly patienceMs: number }
  /** Opens a connection to an upstream to see whether it can be reached. */
  | { readonly kind: 'probe', readonly upstream: string }
  /** Cancels an attempt whose response is no longer needed. */
  | { readonly kind: 'cancel', readonly id: string, readonly attempt: number }
  /** Stores the origin of a stream, and then begins the response. */
  | { readonly kind: 'store_origin', readonly id: string, readonly origin: number }
  /** Forwards the first event of a stream. */
  | { readonly kind: 'begin_response', readonly id: string }
  /** Completes the response to the caller, all of which has been forwarded or collected. */
  | { readonly kind: 'finish', readonly id: string }
  /** Responds to the caller with a refusal by this instance. */
  | { readonly kind: 'refuse', readonly id: string, readonly refusal: Refusal }
  /** Closes the caller's connection, because its response has started and cannot be completed. */
  | { readonly kind: 'abort', readonly id: string }
  /** The models and adapters that requests wait for have changed, and at least one request waits. */
  | { readonly kind: 'demand_changed' }
  /** This instance observed a crash or a response that changes what other instances should suspect. */
  | { readonly kind: 'evidence_changed' }
  /** A waiting request resumes a stream whose origin is not known here. */
  | { readonly kind: 'origin_wanted' }
  /** An upstream named, changed or lifted its limit, or a service became brittle. */
  | { readonly kind: 'limits_changed' }
  /** An upstream failed an attempt, which the lease holder should learn of soon. */
  | { readonly kind: 'failure_observed' }
  | { readonly kind: 'record', readonly record: ServingRecord }
