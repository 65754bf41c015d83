import { newClaimsState, type ClaimsState } from '@berylshed/claims'
import { newMembershipState, type MembershipState, type PeerEntry } from '@berylshed/membership'
import { DEFAULT_LEASE_TIMES, newPlacementState, type Catalog, type PlacementState, type Policy } from '@berylshed/placement'
import { newRequestsState, type RequestsState, type Rules } from '@berylshed/requests'
import type { Settings } from '@berylshed/settings'
import type { Deployment } from './deployment.ts'

/** State of an entry instance. */
export interface InstanceState {
  readonly settings: Settings
  /** Membership entry of this instance. */
  readonly self: PeerEntry
  /** Configuration in force, or undefined before the first one arrives. */
  readonly deployment: Deployment | undefined
  readonly placement: PlacementState
  readonly requests: RequestsState
  readonly claims: ClaimsState
  readonly membership: MembershipState
  /** Local time of the last heartbeat to the lease holder, in ms. */
  readonly lastHeartbeatMs: number
  /** Local time of the last tick of placement, requests and membership, in ms. */
  readonly lastTickMs: number
  /** Number of claims operations so far; makes operation ids unique. */
  readonly operationCount: number
}

/** Options for `newInstanceState`. */
export interface InstanceOptions {
  readonly settings: Settings
  readonly policy: Policy
  /** Local time in ms. */
  readonly nowMs: number
  /** Addresses of peers to contact before any peer is known. */
  readonly seeds: readonly string[]
  /** Hashes a text to an integer; must be the same function on every instance. */
  readonly hash: (text: string) => number
}

const EMPTY_CATALOG: Catalog = {
  version: 0,
  models: new Map(),
  upstreams: new Map(),
  weightStoreLimits: { startsPerSecond: 1, loadsInFlight: 1, adapterLoadsInFlight: 1 }
}

const EMPTY_RULES: Rules = {
  customers: new Map(),
  upstreams: new Map(),
  services: new Map(),
  models: new Set(),
  maxWaiting: 0,
  maxAttempts: 1,
  maxCrashes: 1
}

/**
 * Returns the initial state of an instance, without a configuration.
 *
 * @param self The membership entry of the instance.
 * @param options Settings, placement policy, seeds and hash function.
 * @returns The initial state.
 *
 * @example
 * ```ts
 * const state = newInstanceState(self, options)
 * console.log(state.deployment) // undefined
 * ```
 */
export function newInstanceState (self: PeerEntry, options: InstanceOptions): InstanceState {
  const { settings, nowMs } = options
  const holder = { instance: self.name, incarnation: self.incarnation, address: self.address }
  const times = {
    ...DEFAULT_LEASE_TIMES,
    leaseTtlMs: settings.lease.lease_ttl_ms,
    holderTtlMs: settings.lease.holder_ttl_ms,
    renewMs: settings.lease.renew_ms
  }
  const maxCrashes = settings.requests.max_crashes
  return {
    settings,
    self,
    deployment: undefined,
    placement: newPlacementState(holder, { policy: options.policy, catalog: EMPTY_CATALOG, nowMs, times }),
    requests: newRequestsState({ rules: EMPTY_RULES, hash: options.hash }),
    claims: newClaimsState(self.incarnation, { limits: { maxClaims: 1500, retentionMs: 3_600_000, maxCrashes } }),
    membership: newMembershipState(self, { seeds: options.seeds }),
    lastHeartbeatMs: -Infinity,
    lastTickMs: -Infinity,
    operationCount: 0
  }
}
