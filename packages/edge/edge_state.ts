import { buildRouteTable, type Configuration, type RouteTable, type UpstreamList } from '@berylshed/fleet'
import { leaseTimes, newSchedulerState, type FleetView, type Holder, type Instant, type LeaseBounds, type PlacementPolicy, type SchedulerState } from '@berylshed/scheduler'
import { newServingState, type RetryAllowance, type ServingState } from '@berylshed/serving'

/** The newest news from the holder of the lease. */
export interface HeardView {
  readonly view: FleetView
  readonly heardAtMs: number
}

/** The whole state of an entry instance. */
export interface EdgeState {
  readonly self: Holder
  readonly configuration: Configuration | undefined
  readonly routes: RouteTable
  /** The registered upstreams; undefined before the first listing. */
  readonly list: UpstreamList | undefined
  readonly scheduler: SchedulerState
  readonly serving: ServingState
  readonly heard: HeardView | undefined
  /** Whether an exchange with the holder is under way. */
  readonly exchanging: boolean
  readonly exchangedAtMs: number
  /** Whether the holder asked for this instance's beliefs. */
  readonly sendsBeliefs: boolean
  /** Whether a need came up while an exchange was under way. */
  readonly needsExchange: boolean
  readonly placesVersion: number
  readonly tickedAt: Instant
  readonly draining: boolean
}

/** What an instance's state is built from. */
export interface EdgeOptions {
  readonly availabilityZone: string
  readonly allowance: RetryAllowance
  readonly leaseBounds: LeaseBounds
  /** The placement policy, where it is not the one of production. */
  readonly policy?: PlacementPolicy
}

/**
 * Builds the state of an instance that knows nothing yet.
 *
 * @param self The instance.
 * @param options Its place and what the platform guarantees.
 * @returns The state.
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
    list: undefined,
    scheduler: newSchedulerState(self, { times: leaseTimes(options.leaseBounds), ...options.policy === undefined ? {} : { policy: options.policy } }),
    serving: newServingState(options),
    heard: undefined,
    exchanging: false,
    exchangedAtMs: -Infinity,
    sendsBeliefs: false,
    needsExchange: false,
    placesVersion: 0,
    tickedAt: { nowMs: 0, clockMs: 0 },
    draining: false
  }
}

/**
 * Tells whether an instance should get new callers.
 *
 * @param state The instance's state.
 * @returns Whether it knows enough to serve and is not stopping.
 *
 * @example
 * ```ts
 * console.log(isReady(state))
 * ```
 */
export function isReady (state: EdgeState): boolean {
  return !state.draining && state.configuration !== undefined && state.list !== undefined
}
