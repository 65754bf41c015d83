import { HashMap } from 'effect'
import type { Catalog } from './catalog.ts'
import type { PlacementShard, Holder } from './placement_shard.ts'
import type { ReceivedDemand } from './demand.ts'
import { emptyIdleHistogram, type IdleHistogram } from './idle_histogram.ts'
import type { OrderAnswer } from './placement_event.ts'
import type { Policy } from './policy.ts'
import type { UpstreamReport } from './upstream_status.ts'
import type { Usage } from './usage.ts'
import type { RecentStarts } from './load_slots.ts'

/** Timing of leases, probes and unloads. */
export interface LeaseTimes {
  /** Time without a new version, with the store reachable, after which another process takes over. */
  readonly leaseTtlMs: number
  /** Time from the start of the holder's last successful write during which it may decide and send orders. */
  readonly holderTtlMs: number
  readonly renewMs: number
  /** Time after which an unanswered write is retried unchanged. */
  readonly writeTimeoutMs: number
  /** Interval between probes of an upstream without pending changes. */
  readonly probeMs: number
  /** Interval between probes of an upstream with a load, an unload or an unresolved order. */
  readonly busyProbeMs: number
  /** Time after which a new probe may replace an unanswered one, whose late answer is then ignored. */
  readonly probeTimeoutMs: number
  /** Minimum time from recording an unload, which tells routers to stop using the replica, to sending the order. */
  readonly unloadSettleMs: number
}

/** Default lease times. */
export const DEFAULT_LEASE_TIMES: LeaseTimes = {
  leaseTtlMs: 6000,
  holderTtlMs: 4000,
  renewMs: 1500,
  writeTimeoutMs: 1000,
  probeMs: 2000,
  busyProbeMs: 200,
  probeTimeoutMs: 1000,
  unloadSettleMs: 300
}

/** A conditional update whose outcome is not yet known. */
export interface PendingWrite {
  readonly shard: PlacementShard
  readonly expectedVersion: number
  readonly sentAtMs: number
  readonly retryAtMs: number
  readonly attempts: number
}

/** A sent probe, answered or not. */
export interface SentProbe {
  readonly probe: number
  readonly sentAtMs: number
  readonly answered: boolean
}

/** An upstream whose process has ended according to the platform. */
export interface TerminatedUpstream {
  readonly upstream: string
  /** Number of the last probe sent before the termination; an answer to a later probe comes from a new process. */
  readonly probe: number
}

/** State of one process for the placement of one shard. */
export interface PlacementState {
  readonly self: Holder
  readonly times: LeaseTimes
  readonly policy: Policy
  readonly catalog: Catalog
  readonly shard: PlacementShard | undefined
  readonly version: number
  /** Local time since which the store has answered and the version has not changed, in ms. */
  readonly unchangedSinceMs: number
  readonly pending: PendingWrite | undefined
  /** Local time at which this process must stop acting as lease holder, in ms. */
  readonly leaseUntilMs: number
  readonly lastWriteMs: number
  readonly reports: HashMap.HashMap<string, UpstreamReport>
  /** Last probe of each upstream. */
  readonly lastProbes: HashMap.HashMap<string, SentProbe>
  /** Number of probes sent. */
  readonly probes: number
  /** Number of the last probe before the takeover; statuses up to it predate the lease. */
  readonly probeFloor: number
  /** Per replica key, the number of the last probe sent before the last order was answered or disclaimed. */
  readonly replicaProbeFloors: HashMap.HashMap<string, number>
  /** Outcomes of the orders passed on for sending, by order ID. */
  readonly sentOrders: HashMap.HashMap<string, OrderAnswer | 'in_flight'>
  readonly demands: HashMap.HashMap<string, ReceivedDemand>
  readonly usages: HashMap.HashMap<string, Usage>
  /** Histogram of the idle periods of all models. */
  readonly globalIdlePeriods: IdleHistogram
  /** Number of running requests per model and instance. */
  readonly running: HashMap.HashMap<string, number>
  readonly terminated: readonly TerminatedUpstream[]
  readonly disclaimedOrders: readonly string[]
  readonly recentStarts: RecentStarts
  /** Local time at which a replica of each loading model was first observed, in ms. */
  readonly loadingSinceMs: HashMap.HashMap<string, number>
  /** Local time at which each order's record was confirmed, in ms. */
  readonly recordedAtMs: HashMap.HashMap<string, number>
  /** Explanation of the last decision about each model. */
  readonly reasons: HashMap.HashMap<string, string>
  readonly nextId: number
  readonly stopping: boolean
}

/** Options of `newPlacementState`. */
export interface PlacementOptions {
  readonly policy: Policy
  readonly catalog: Catalog
  readonly nowMs: number
  readonly times?: LeaseTimes
}

/**
 * Returns the initial state of a process.
 *
 * @param self The process, as a candidate for the lease.
 * @param options The policy, the configuration, the current time and the lease times.
 * @returns The initial state.
 *
 * @example
 * ```ts
 * const state = newPlacementState(self, { policy, catalog, nowMs: 0 })
 * console.log(state.version) // 0
 * ```
 */
export function newPlacementState (self: Holder, options: PlacementOptions): PlacementState {
  return {
    self,
    times: options.times ?? DEFAULT_LEASE_TIMES,
    policy: options.policy,
    catalog: options.catalog,
    shard: undefined,
    version: 0,
    unchangedSinceMs: options.nowMs,
    pending: undefined,
    leaseUntilMs: -Infinity,
    lastWriteMs: -Infinity,
    reports: HashMap.empty(),
    lastProbes: HashMap.empty(),
    probes: 0,
    probeFloor: 0,
    replicaProbeFloors: HashMap.empty(),
    sentOrders: HashMap.empty(),
    demands: HashMap.empty(),
    usages: HashMap.empty(),
    globalIdlePeriods: emptyIdleHistogram(),
    running: HashMap.empty(),
    terminated: [],
    disclaimedOrders: [],
    recentStarts: [],
    loadingSinceMs: HashMap.empty(),
    recordedAtMs: HashMap.empty(),
    reasons: HashMap.empty(),
    nextId: 0,
    stopping: false
  }
}
