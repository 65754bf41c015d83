import type { CustomerTable } from '@berylshed/customers'
import type { QuotaLedger } from '@berylshed/limits'
import { buildRouteTable, type Configuration, type RouteTable, type UpstreamList } from '@berylshed/fleet'
import { leaseTimes, newSchedulerState, type FleetView, type Holder, type Instant, type LeaseBounds, type PlacedEngine, type PlacementPolicy, type SchedulerState } from '@berylshed/scheduler'
import { newServingState, type RetryBudget, type ServingState } from '@berylshed/serving'
import { UNREAD_ARCHIVE, type OriginArchive } from './origin_archive.ts'

/** State received from the lease holder. */
export interface ReceivedView {
  /** The newest view; its `engines` hold only the changes of the last heartbeat. */
  readonly view: FleetView
  /** All engines that the holder has published, by upstream. */
  readonly engines: ReadonlyMap<string, PlacedEngine>
  /** Local time at which the view arrived, in ms. */
  readonly receivedAtMs: number
  /** Whether the configurations that the holder relays contain customers. */
  readonly readsCustomers: boolean
  /** Local time of the holder's last successful read of the store, in ms. */
  readonly registryReadAtMs: number
}

/** Local times of this instance's last successful reads of the store, in ms. */
export interface RegistryReads {
  readonly configuration: number
  readonly upstreams: number
}

/** How far this instance and the lease holder have exchanged what they learn, each with versions of its own. */
export interface HolderExchange {
  /** Incarnation of the holder; empty if there was no exchange. */
  readonly holder: string
  /** Version of the holder's knowledge that arrived here. */
  readonly receivedVersion: number
  /** Version of this instance's knowledge that the holder acknowledged. */
  readonly acknowledgedVersion: number
  /** Version of this instance's knowledge in the heartbeat without an answer. */
  readonly sentVersion: number
}

/** Writes per second of the store of the smallest deployments. */
const DEFAULT_STORE_WRITES_PER_S = 400
/** Time within which changes of the registry must take effect in the smallest deployments, in ms. */
const DEFAULT_REGISTRY_DELAY_MS = 2000
/** Part of that time after which an instance reads the store itself; the rest is for its first reads. */
const RELAY_AGE_SHARE = 0.45
const NO_EXCHANGE: HolderExchange = { holder: '', receivedVersion: 0, acknowledgedVersion: 0, sentVersion: 0 }

/** State of an entry instance. */
export interface EdgeState {
  readonly self: Holder
  readonly configuration: Configuration | undefined
  readonly routes: RouteTable
  /** Customers by their keys; undefined if the deployment has none. */
  readonly customerTable: CustomerTable | undefined
  /** The registered upstreams; undefined before the first listing. */
  readonly list: UpstreamList | undefined
  readonly scheduler: SchedulerState
  readonly serving: ServingState
  readonly received: ReceivedView | undefined
  /** Whether a heartbeat to the holder awaits its answer. */
  readonly heartbeatInFlight: boolean
  /** Local time of the last heartbeat or of its answer, in ms. */
  readonly heartbeatAtMs: number
  /** Address that did not answer the last heartbeat, and the local time before which no other one is sent to it, in ms. */
  readonly unanswered: { readonly address: string, readonly untilMs: number } | undefined
  /** The holder's list revision if it requested a registry update, otherwise undefined. */
  readonly updateWantedSince: number | undefined
  readonly registryReads: RegistryReads
  /** Exchange of crash evidence. */
  readonly evidenceExchange: HolderExchange
  /** How far the origins of streams are stored. */
  readonly archive: OriginArchive
  /** Exchange of the origins of streams. */
  readonly originExchange: HolderExchange
  /** Requests per second of all instances that each limited upstream could serve, as of the holder's last report. */
  readonly limitedRates: ReadonlyMap<string, number>
  /** What all instances spend, as this one holds the lease; undefined otherwise, or if there are no quotas. */
  readonly quotaLedger: QuotaLedger | undefined
  /** Whether demand or crash evidence changed since the last heartbeat, so that the next one is sent without waiting. */
  readonly heartbeatDue: boolean
  /** Counts the updates of the routing targets. */
  readonly targetsVersion: number
  /** Time of the last tick by both clocks. */
  readonly tickedAt: Instant
  readonly draining: boolean
  /** Writes per second that the store takes from all instances together. */
  readonly storeWritesPerS: number
  /** Maximum age of the holder's last read of the store at which this instance makes no calls of its own, in ms. */
  readonly maxRelayAgeMs: number
  /** Number of instances that shared limits when the newest lease was written; 1 if it does not tell. */
  readonly leasedInstances: number
  /** Local time since which this instance has held the lease without a break, in ms; undefined if it does not hold it. */
  readonly heldSinceMs: number | undefined
  /** Host and port at which other instances hand over requests; empty until the instance listens. */
  readonly relayAddress: string
}

/** Options of {@linkcode newEdgeState}. */
export interface EdgeOptions {
  readonly availabilityZone: string
  /** Limit on retries relative to first attempts. */
  readonly retryBudget: RetryBudget
  readonly leaseBounds: LeaseBounds
  /** Number between 0 and 1 that differs between instances; 1 by default. */
  readonly phase?: number
  /** Local time at which the process started, in ms; long ago by default. */
  readonly startedAtMs?: number
  /** Writes per second that the store takes from all instances together; those of the smallest deployment by default. */
  readonly storeWritesPerS?: number
  /** Time after which this process takes a lease that nobody ever held, in ms; only if the whole system starts for the first time. */
  readonly firstTakeoverMs?: number
  /** Time within which changes of the configuration and of the upstreams must take effect, in ms; that of the smallest deployment by default. */
  readonly registryDelayMs?: number
  /** Host and port at which other instances hand over requests; none by default. */
  readonly relayAddress?: string
  /** Placement policy; defaults to the one used in production. */
  readonly policy?: PlacementPolicy
}

/**
 * Returns the initial state of an instance.
 *
 * @param self The instance.
 * @param options The availability zone, the limits and the guarantees of the platform.
 * @returns The state, without a configuration and upstreams.
 *
 * @example
 * ```ts
 * const state = newEdgeState(self, options)
 * console.log(isReady(state)) // false
 * ```
 */
export function newEdgeState (self: Holder, options: EdgeOptions): EdgeState {
  return {
    self,
    configuration: undefined,
    routes: buildRouteTable({ version: 0, routes: [], services: new Map(), limits: { maxBodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 } }),
    customerTable: undefined,
    list: undefined,
    scheduler: newSchedulerState(self, { times: leaseTimes(options.leaseBounds), ...options.policy === undefined ? {} : { policy: options.policy }, ...options.firstTakeoverMs === undefined ? {} : { firstTakeoverMs: options.firstTakeoverMs }, ...options.startedAtMs === undefined ? {} : { startedAtMs: options.startedAtMs } }),
    serving: { ...newServingState({ ...options, instance: self.instance }), historyKnown: false, versionsConfirmedAtMs: -Infinity },
    received: undefined,
    heartbeatInFlight: false,
    heartbeatAtMs: -Infinity,
    unanswered: undefined,
    updateWantedSince: undefined,
    registryReads: { configuration: -Infinity, upstreams: -Infinity },
    evidenceExchange: NO_EXCHANGE,
    archive: UNREAD_ARCHIVE,
    originExchange: NO_EXCHANGE,
    limitedRates: new Map(),
    quotaLedger: undefined,
    heartbeatDue: false,
    targetsVersion: 0,
    tickedAt: { nowMs: 0, clockMs: 0 },
    draining: false,
    storeWritesPerS: options.storeWritesPerS ?? DEFAULT_STORE_WRITES_PER_S,
    maxRelayAgeMs: RELAY_AGE_SHARE * (options.registryDelayMs ?? DEFAULT_REGISTRY_DELAY_MS),
    leasedInstances: 1,
    heldSinceMs: undefined,
    relayAddress: options.relayAddress ?? ''
  }
}

/**
 * Reports whether an instance accepts new callers.
 *
 * @param state The instance's state.
 * @returns Whether it has a configuration and a list of upstreams and is not draining.
 *
 * @example
 * ```ts
 * console.log(isReady(state))
 * ```
 */
export function isReady (state: EdgeState): boolean {
  return !state.draining && state.configuration !== undefined && state.list !== undefined
}
