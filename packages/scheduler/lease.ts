import type { QuarantineRecord } from './quarantine.ts'
import type { Instant } from './scheduler_event.ts'

/** A process that may hold the lease; the incarnation distinguishes it from earlier processes of the same instance. */
export interface Holder {
  readonly instance: string
  readonly incarnation: string
  /** Host and port on which other instances reach the process. */
  readonly address: string
}

/** Incarnation of a process that may take the lease over. */
export type Successor = Holder['incarnation']

/** The lease object in the platform's store. */
export interface Lease {
  /** Fencing token; higher for each new holder. */
  readonly fence: number
  /** Current holder, or null after the last holder has released the lease. */
  readonly holder: Holder | null
  /** Identifies the write, so that its writer recognizes it if the response was lost. */
  readonly writeId: string
  /** Quarantines that the holder knew of, so that they outlast all processes; absent if an earlier release wrote the lease. */
  readonly quarantines?: readonly QuarantineRecord[]
  /** Number of instances that shared limits when the lease was written; absent if an earlier release wrote the lease. */
  readonly instances?: number
  /**
   * Processes that may take the lease over as soon as it has expired; others have to wait until the holder can no longer go on without
   * the store. Absent if engines check fencing tokens, or if an earlier release wrote the lease.
   */
  readonly successors?: readonly Successor[]
}

/** Time that a process grants to the lease holder, within which it does not take the lease over. */
export interface LeaseGrant {
  /** Time by the holder's clocks at which it sent the answer that the process has received; the grant lasts from then on. */
  readonly stamp: Instant
  /** Whether the process never takes the lease over again, as it is stopping. */
  readonly isFinal: boolean
}

/** Timing parameters of the lease. */
export interface LeaseTimes {
  /** Interval between renewals, in ms. */
  readonly renewMs: number
  /** Time after the start of its last successful write until which the holder may send orders, in ms. */
  readonly holderTtlMs: number
  /** Time without a new version of the lease after which another instance takes over if the store responds, in ms. */
  readonly takeoverMs: number
  /** Time after which an unanswered write is repeated unchanged, in ms. */
  readonly writeTimeoutMs: number
  /**
   * Time for which the holder continues to send orders while its store calls fail, in ms; 0 if engines do not check
   * fencing tokens.
   */
  readonly outageMs: number
  /**
   * Time after its last successful write until which a holder can go on by grants of the others, in ms; 0 if engines check
   * fencing tokens.
   */
  readonly bridgeMs: number
}

/** Platform properties from which the lease times are derived. */
export interface LeaseBounds {
  /** Whether engines refuse orders with an outdated fencing token. */
  readonly enginesCheckFence: boolean
  /** Minimum time between orders of two consecutive holders if engines do not check fencing tokens, in ms. */
  readonly holderChangeMs: number
}

/**
 * Time for which a holder goes on by grants of the others, in ms: the longest outage that deployments announce (9 s) and a
 * renewal interval. A process that knows nobody waits that much longer until it takes the lease over.
 */
const BRIDGE_MS = 10_000

/** Number of fencing tokens reserved for each era of the store. */
const FENCES_PER_ERA = 2 ** 32

/**
 * Returns the lowest fencing token of an era of the store.
 *
 * It is higher than all tokens of earlier eras, so that a store that was restored from a copy, and may have lost the lease
 * of the last holder, gives out no token again.
 *
 * @param era How often the store had been restored from a copy.
 * @returns The fencing token.
 *
 * @example
 * ```ts
 * console.log(firstFence(0)) // 1
 * ```
 */
export function firstFence (era: number): number {
  return era * FENCES_PER_ERA + 1
}

/** Interval between renewals, in ms; half the time in which a waiting request becomes late (1,500 ms). */
const RENEW_MS = 700
/** Time for which a write entitles the holder to send orders, in ms; tolerates two lost renewals. */
const HOLDER_TTL_MS = 2100
/** Margin between the expiry of a lease and its takeover, in ms; longer than a store call plus a delayed timer. */
const TAKEOVER_MARGIN_MS = 400
/** Time after which an unanswered write is repeated, in ms. */
const WRITE_TIMEOUT_MS = 800
/** Store outage that a holder bridges, in ms; twice the longest outage that deployments announce (9 s). */
const OUTAGE_MS = 18_000

/**
 * Derives the lease times from the guarantees of the platform.
 *
 * @param bounds The guarantees of the platform.
 * @returns The lease times.
 *
 * @example
 * ```ts
 * console.log(leaseTimes({ enginesCheckFence: true, holderChangeMs: 3000 }).takeoverMs) // 2500
 * ```
 */
export function leaseTimes (bounds: LeaseBounds): LeaseTimes {
  const handoverMs = bounds.enginesCheckFence ? 0 : bounds.holderChangeMs
  return {
    renewMs: RENEW_MS,
    holderTtlMs: HOLDER_TTL_MS,
    takeoverMs: HOLDER_TTL_MS + TAKEOVER_MARGIN_MS + handoverMs,
    writeTimeoutMs: WRITE_TIMEOUT_MS,
    outageMs: bounds.enginesCheckFence ? OUTAGE_MS : 0,
    bridgeMs: bounds.enginesCheckFence ? 0 : BRIDGE_MS
  }
}
