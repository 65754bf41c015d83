import type { Configuration, EngineReport, UpstreamList } from '@berylshed/fleet'
import type { InstanceReport } from './demand.ts'
import type { Lease, LeaseGrant } from './lease.ts'

/** Outcome of sending an order, as far as the scheduler distinguishes responses. */
export type OrderOutcome = 'accepted' | 'held' | 'conflict' | 'fenced' | 'misdirected' | 'invalid' | 'not_sent' | 'unknown'

/** A point in time by two clocks. Only the wall clock advances while a process is suspended. */
export interface Instant {
  /** Monotonic local clock, in ms. */
  readonly nowMs: number
  /** Wall clock, in ms since the Unix epoch; it may jump. */
  readonly clockMs: number
}

/** Events that the scheduler handles. */
export type SchedulerEvent = Instant & (
  | { readonly kind: 'configured', readonly configuration: Configuration }
  | { readonly kind: 'listed', readonly list: UpstreamList }
  | {
    readonly kind: 'lease_read'
    readonly era: number
    readonly version: number
    readonly lease: Lease | undefined
    /** Whether the object of the era does not exist, and the lease is that of builds which have one object for all eras. */
    readonly legacy?: boolean
  }
  | { readonly kind: 'lease_read_failed' }
  | { readonly kind: 'lease_written', readonly writeId: string, readonly version: number }
  | { readonly kind: 'lease_conflicted', readonly writeId: string, readonly version: number, readonly lease: Lease | undefined }
  | { readonly kind: 'lease_write_failed', readonly writeId: string }
  /** The store has been restored from a copy since the lease was read, so that the lease of an earlier era is void. */
  | { readonly kind: 'store_restored', readonly era: number }
  | {
    readonly kind: 'holder_reached'
    readonly fence: number
    readonly validMs: number
    /** Incarnation of the holder, and the time by its clocks at which it sent its answer; absent if an earlier release answers. */
    readonly answer?: { readonly holder: string, readonly stamp: Instant }
  }
  | { readonly kind: 'holder_unreachable', readonly refused: boolean }
  | {
    readonly kind: 'instance_reported'
    readonly report: InstanceReport
    /** What the instance grants to this one as the lease holder, if anything. */
    readonly grant?: LeaseGrant
  }
  | { readonly kind: 'engine_reported', readonly upstream: string, readonly polledAtMs: number, readonly report: EngineReport }
  | { readonly kind: 'engine_report_failed', readonly upstream: string, readonly polledAtMs: number }
  | { readonly kind: 'order_ended', readonly upstream: string, readonly order: string, readonly outcome: OrderOutcome }
  | { readonly kind: 'stopping' }
  | { readonly kind: 'ticked' }
)
