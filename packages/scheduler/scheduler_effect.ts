import type { Upstream } from '@berylshed/fleet'
import type { OpenOrder } from './engine_view.ts'
import type { Lease } from './lease.ts'

/** A decision or an observed change, written to the log and counted in metrics. */
export interface SchedulerRecord {
  readonly what:
    | 'lease_taken' | 'lease_lost' | 'lease_given_up' | 'lease_overdue' | 'lease_voided'
    | 'model_closed' | 'load_deferred' | 'order_decided' | 'order_ended' | 'engine_changed' | 'engine_lost' | 'engine_regained'
  readonly fence?: number
  readonly upstream?: string
  readonly model?: string
  readonly adapter?: string
  readonly operation?: string
  readonly outcome?: string
  readonly reason?: string
  /** Requests that wait for the model. */
  readonly waiting?: number
  /** Requests per second for the model. */
  readonly ratePerS?: number
  /** Time for which the model has been asked for in vain, in ms. */
  readonly unservedMs?: number
  /** Requests that asked for it meanwhile. */
  readonly missed?: number
  /** Engines that have a copy of the model. */
  readonly copies?: number
  /** What occupies these engines and the weight store. */
  readonly detail?: string
  readonly sequence?: number
  /** Age of the information on which the record is based, in ms. */
  readonly ageMs?: number
}

/** Side effects that the scheduler requests. */
export type SchedulerEffect =
  | { readonly kind: 'read_lease' }
  | { readonly kind: 'write_lease', readonly era: number, readonly expectedVersion: number, readonly lease: Lease }
  | { readonly kind: 'poll_engine', readonly upstream: Upstream, readonly polledAtMs: number }
  | {
    readonly kind: 'send_order'
    readonly upstream: Upstream
    readonly order: OpenOrder
    readonly fence: number
    /** Latest time at which the order may be sent, by the monotonic clock in ms. */
    readonly notAfterMs: number
  }
  /** The set of models and adapters that requests may be routed to has changed. */
  | { readonly kind: 'placement_changed' }
  | { readonly kind: 'record', readonly record: SchedulerRecord }
