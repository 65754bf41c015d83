import type { Quota } from '@berylshed/fleet'
import type { QuotaAnswer } from '@berylshed/limits'
import type { UpstreamOutcomes } from '@berylshed/scheduler'
import type { EjectionRecord } from './ejection_record.ts'
import type { EvidenceUpdate } from './evidence_update.ts'
import type { Relay } from './relay.ts'
import type { OriginUpdate } from './stream_origins.ts'
import type { RoutingTarget } from './routing_target.ts'
import type { BrittleRecord } from './brittle_record.ts'
import type { LimitRecord, LimitShare } from './upstream_limit.ts'
import type { ReceivedRequest } from './request.ts'

/** How an attempt failed. */
export type AttemptFailure =
  /** No connection was established, so no byte was sent. */
  | 'not_connected'
  /** The upstream refused the request and confirmed that it did not run it. */
  | 'refused'
  /** The upstream did not run the request because it lacks the model or is not the intended upstream. */
  | 'misdirected'
  /** The connection broke before the response was complete; the request may have run. */
  | 'broken'
  /** Nothing was received for longer than the progress timeout. */
  | 'silent'
  /** The response carries the id of another request. */
  | 'crossed'
  /** The response is truncated, unsigned or violates the protocol. */
  | 'malformed'
  /** The upstream ran the request and returned an error response, which is kept. */
  | 'upstream_error'

/** Number of requests that other instances are running on an upstream. */
export interface PeerLoad {
  readonly upstream: string
  readonly running: number
}

/** Event that affects the requests of an instance. */
export type ServingEvent = { readonly nowMs: number } & (
  | { readonly kind: 'received', readonly request: ReceivedRequest }
  /** The first event of a stream has arrived; it is forwarded once the origin of the stream is stored. */
  | { readonly kind: 'stream_began', readonly id: string, readonly attempt: number }
  /** A relay tells the software version of its upstream. */
  | { readonly kind: 'response_started', readonly id: string, readonly attempt: number, readonly softwareVersion?: string }
  | { readonly kind: 'response_ended', readonly id: string, readonly attempt: number, readonly status: number }
  | { readonly kind: 'attempt_failed', readonly id: string, readonly attempt: number, readonly failure: AttemptFailure, readonly detail: string }
  /** An attempt is silent, and no other one follows yet, so that it goes on. */
  | { readonly kind: 'silence_endured', readonly id: string }
  /** A response of an upstream names a limit on its requests, or none. */
  | { readonly kind: 'limit_stated', readonly upstream: string, readonly perS: number | undefined }
  /** A probe or a report shows whether a connection to an upstream can be opened. */
  | { readonly kind: 'upstream_probed', readonly upstream: string, readonly reached: boolean }
  /** The lease holder names instances that reach the upstreams. */
  | { readonly kind: 'relays_received', readonly relays: readonly Relay[] }
  /** A response says that its upstream is leaving, wants no requests from this instance for a time, or bears few rejections. */
  | { readonly kind: 'upstream_announced', readonly upstream: string, readonly leaving: boolean, readonly retryAfterMs: number | undefined, readonly maxRejectionsPerS: number | undefined }
  | { readonly kind: 'caller_left', readonly id: string }
  /** An exception kept the request from being handled; its caller has been answered. */
  | { readonly kind: 'exchange_failed', readonly id: string }
  | { readonly kind: 'targets_changed', readonly targets: ReadonlyMap<string, RoutingTarget>, readonly loadEstimatesMs: ReadonlyMap<string, number>, readonly version: number }
  | { readonly kind: 'peer_loads_received', readonly loads: readonly PeerLoad[], readonly instances: number }
  /** Another instance sent changes of its crash evidence, or the lease names quarantines. */
  | { readonly kind: 'evidence_received', readonly update: Pick<EvidenceUpdate, 'suspicions' | 'quarantines' | 'processes'> }
  /** Another instance sent origins of streams. */
  | { readonly kind: 'origins_received', readonly update: OriginUpdate }
  /** Another instance sent the limits of upstreams; the lease holder adds the shares of this instance. */
  | { readonly kind: 'limits_received', readonly limits: ReadonlyArray<LimitRecord | LimitShare> }
  /** Another instance names brittle services. */
  | { readonly kind: 'brittle_received', readonly services: readonly BrittleRecord[] }
  /** Other instances have reported failures of upstreams to this one, the lease holder; summed up, by upstream. */
  | { readonly kind: 'outcomes_received', readonly outcomes: readonly UpstreamOutcomes[] }
  /** The lease holder names ejected upstreams. */
  | { readonly kind: 'ejections_received', readonly ejections: readonly EjectionRecord[] }
  /** The lease holder stands by a list of the instances among which upstreams are divided. */
  | { readonly kind: 'members_received', readonly members: readonly Relay[], readonly confirmedAtMs: number }
  | { readonly kind: 'models_changed', readonly models: ReadonlyMap<string, ReadonlySet<string>> }
  /** A configuration with other quotas is in force. */
  | { readonly kind: 'quotas_changed', readonly quotas: ReadonlyMap<string, Quota> }
  /** The lease holder answers the last report of what was charged. */
  | { readonly kind: 'quotas_answered', readonly answer: QuotaAnswer }
  /** The instance may have been suspended, so that its allowances have expired. */
  | { readonly kind: 'allowances_expired' }
  /** The instance is going to shut down, and ends all its requests at `closesAtMs`. New callers may come until `newCallersUntilMs`, or if absent until it shuts down. */
  | { readonly kind: 'shutdown_announced', readonly closesAtMs: number, readonly newCallersUntilMs?: number }
  /** The instance is shutting down; callers of waiting requests can retry at another one. */
  | { readonly kind: 'shutdown_started' }
  /** The instance closes all connections now. */
  | { readonly kind: 'closed' }
  | { readonly kind: 'ticked' }
)
