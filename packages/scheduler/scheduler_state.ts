import { NO_UPSTREAMS, type Configuration, type UpstreamList } from '@berylshed/fleet'
import type { ReceivedReport } from './demand.ts'
import type { EngineView } from './engine_view.ts'
import type { Holder, Lease, LeaseGrant, LeaseTimes, Successor } from './lease.ts'
import type { PlacementPolicy } from './placement_policy.ts'
import { DemandPolicy } from './plan_orders.ts'
import type { Quarantine } from './quarantine.ts'
import type { Instant } from './scheduler_event.ts'
import { EMPTY_PLACEMENT, type PublishedPlacement } from './published_placement.ts'
import type { UnservedDemand } from './unserved_demand.ts'

/** A conditional update of the lease that has no response yet. */
export interface PendingLeaseWrite {
  readonly lease: Lease
  readonly expectedVersion: number
  readonly startedAt: Instant
  readonly retryAtMs: number
}

/** The lease while this process holds it. */
export interface HeldLease {
  readonly fence: number
  /** Start of the last successful write. */
  readonly renewedAt: Instant
  /** Whether a store call for the lease has failed since that write. */
  readonly storeFailing: boolean
  /** Processes that may take the lease over, as of that write. */
  readonly successors: readonly Successor[]
}

/** State of the scheduler in one process: the lease, the engines and the reported demand. */
export interface SchedulerState {
  readonly self: Holder
  readonly times: LeaseTimes
  readonly policy: PlacementPolicy
  readonly configuration: Configuration | undefined
  readonly list: UpstreamList
  /** The last known lease, which may be of an era of the store before `leaseEra`. */
  readonly lease: Lease | undefined
  /** Whether `lease` is that of builds which have one object for all eras, as no other one exists yet. */
  readonly legacyLease: boolean
  /** Era of the store whose lease object is used; each era has an object of its own. */
  readonly leaseEra: number
  /** Store version of the lease object; 0 if it does not exist, undefined if it has not been read. */
  readonly leaseVersion: number | undefined
  /**
   * Local time from which the takeover time is measured, in ms: the last change of the lease version, the last contact
   * with the holder or the last failed call of the store.
   */
  readonly quietSinceMs: number
  /** Local time of the last read of the lease, in ms. */
  readonly leaseReadAtMs: number
  /** Local time of the last heartbeat that the holder answered, in ms. */
  readonly holderReachedAtMs: number
  /** Whether the holder's address refuses connections, which means that its process has ended. */
  readonly holderRefusesConnections: boolean
  /** Write of the lease without a response. */
  readonly pending: PendingLeaseWrite | undefined
  /** Quarantines that the next write of the lease includes, by what is banned. */
  readonly quarantines: ReadonlyMap<string, Quarantine>
  /** Number of instances that share limits, which the next write of the lease includes. */
  readonly instances: number
  /** Set while this process holds the lease. */
  readonly held: HeldLease | undefined
  /** What other processes have granted to this one while it holds the lease, by incarnation. */
  readonly grants: ReadonlyMap<Successor, LeaseGrant>
  /** The newest answer of the holder since which this process stays away from the lease. */
  readonly grantedSince: { readonly holder: string, readonly stamp: Instant } | undefined
  readonly lastTick: Instant | undefined
  /** Engine views, by upstream. */
  readonly engines: ReadonlyMap<string, EngineView>
  /** Newest reports, by instance. */
  readonly reports: ReadonlyMap<string, ReceivedReport>
  /** Local start times of recent loads from the weight store, in ms. */
  readonly storeLoadStartsMs: readonly number[]
  /** What was asked for while no engine could serve it, by service. */
  readonly unserved: ReadonlyMap<string, UnservedDemand>
  /** Local time at which the lack of a load was last recorded, in ms, by service and model. */
  readonly deferredAtMs: ReadonlyMap<string, number>
  /** Local time of the last planning round, in ms. */
  readonly plannedAtMs: number
  /** Placement that this process publishes to other instances while it holds the lease. */
  readonly published: PublishedPlacement
  /** Counter for the ids of orders and lease writes. */
  readonly nextId: number
  readonly stopping: boolean
  /** Whether this instance reaches none of several upstreams. */
  readonly isolated: boolean
  /** Time after which this process takes a lease that nobody ever held, in ms; Infinity unless the whole system starts for the first time. */
  readonly firstTakeoverMs: number
  /** Local time at which this process started, in ms. */
  readonly startedAtMs: number
  /** Requests per second that engines take from all instances together, for those that name a limit. */
  readonly limitsPerS: ReadonlyMap<string, number>
}

/** Options of {@linkcode newSchedulerState}. */
export interface SchedulerOptions {
  readonly times: LeaseTimes
  readonly policy?: PlacementPolicy
  /** Time after which the process takes a lease that nobody ever held, in ms; by default it waits like for any other lease. */
  readonly firstTakeoverMs?: number
  /** Local time at which the process started, in ms; 0 by default. */
  readonly startedAtMs?: number
}

/**
 * Creates the initial state of a scheduler, before it has read the lease or received any report.
 *
 * @param self The identity of this process.
 * @param options The lease times and, if it is not the production policy, the placement policy.
 * @returns The initial state.
 *
 * @example
 * ```ts
 * const state = newSchedulerState(self, { times: leaseTimes(bounds) })
 * console.log(state.held) // undefined
 * ```
 */
export function newSchedulerState (self: Holder, options: SchedulerOptions): SchedulerState {
  return {
    self,
    times: options.times,
    policy: options.policy ?? new DemandPolicy(),
    configuration: undefined,
    list: NO_UPSTREAMS,
    lease: undefined,
    legacyLease: false,
    leaseEra: 0,
    leaseVersion: undefined,
    quietSinceMs: -Infinity,
    leaseReadAtMs: -Infinity,
    holderReachedAtMs: -Infinity,
    holderRefusesConnections: false,
    pending: undefined,
    quarantines: new Map(),
    instances: 1,
    held: undefined,
    grants: new Map(),
    grantedSince: undefined,
    lastTick: undefined,
    engines: new Map(),
    reports: new Map(),
    storeLoadStartsMs: [],
    unserved: new Map(),
    deferredAtMs: new Map(),
    plannedAtMs: -Infinity,
    published: EMPTY_PLACEMENT,
    nextId: 0,
    stopping: false,
    isolated: false,
    firstTakeoverMs: options.firstTakeoverMs ?? Infinity,
    startedAtMs: options.startedAtMs ?? 0,
    limitsPerS: new Map()
  }
}
