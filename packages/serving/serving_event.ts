import type { Place } from './place.ts'
import type { ReceivedRequest } from './request.ts'

/** How a sending failed. */
export type SendingFailure =
  /** No connection was made, so that no byte left. */
  | 'not_connected'
  /** The upstream says that it refuses the request and ran nothing. */
  | 'refused'
  /** The upstream says that it ran nothing because it lacks the model or is another one than was meant. */
  | 'misdirected'
  /** The connection broke before a whole answer; the request may have run. */
  | 'broken'
  /** Nothing came for longer than the progress timeout. */
  | 'silent'
  /** The answer names another request. */
  | 'crossed'
  /** The answer is cut short, is not signed or is no answer in the protocol. */
  | 'malformed'
  /** The upstream ran the request and answered with a failure of its own, which is kept. */
  | 'upstream_error'

/** Requests that other instances have running on an upstream. */
export interface OthersLoad {
  readonly upstream: string
  readonly running: number
}

/** Everything that can happen to the requests of an instance. */
export type ServingEvent = { readonly nowMs: number } & (
  | { readonly kind: 'received', readonly request: ReceivedRequest }
  | { readonly kind: 'answer_started', readonly id: string, readonly sending: number }
  | { readonly kind: 'answer_ended', readonly id: string, readonly sending: number, readonly status: number }
  | { readonly kind: 'sending_failed', readonly id: string, readonly sending: number, readonly failure: SendingFailure, readonly detail: string }
  | { readonly kind: 'caller_left', readonly id: string }
  | { readonly kind: 'places_changed', readonly places: ReadonlyMap<string, Place>, readonly expected: ReadonlyMap<string, number>, readonly version: number }
  | { readonly kind: 'others_heard', readonly loads: readonly OthersLoad[], readonly instances: number }
  | { readonly kind: 'crashes_heard', readonly fingerprints: ReadonlyArray<readonly [fingerprint: string, crashes: number]> }
  | { readonly kind: 'models_known', readonly models: ReadonlyMap<string, ReadonlySet<string>> }
  /** The instance takes no more requests; those that wait can go to another one. */
  | { readonly kind: 'closing' }
  | { readonly kind: 'ticked' }
)
