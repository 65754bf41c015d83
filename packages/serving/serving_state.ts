import type { Ejection, OutcomeCounts } from '@berylshed/outliers'
import { HashMap, Option } from 'effect'
import { NO_QUEUES, type QueueingState } from '@berylshed/queueing'
import { newInstanceQuotas, type InstanceQuotas } from '@berylshed/limits'
import type { KeptParts } from '@berylshed/prompt_cache'
import { NO_CRASH_EVIDENCE, type CrashEvidence } from './crash_evidence.ts'
import { INITIAL_TARGET_LOAD, type RoutingTarget, type TargetLoad } from './routing_target.ts'
import type { Request } from './request.ts'
import type { Relay } from './relay.ts'
import { NO_STREAM_ORIGINS, type SoftwareVersions, type StreamOrigins } from './stream_origins.ts'
import { NO_MEMBERS, type Members } from './upstream_owner.ts'
import type { UpstreamLimit } from './upstream_limit.ts'
import type { RetryBudget, RetryWindow } from './retry_window.ts'
import type { RouteDurations } from './route_duration.ts'

/** Rate of events that decays exponentially. */
export interface DecayingRate {
  /** Events per second. */
  readonly perS: number
  /** Local time of the last event, in ms. */
  readonly atMs: number
}

/** A service whose upstreams fall over if they have to reject too many requests. */
export interface BrittleService {
  /** Rejections in a second that each upstream bears. */
  readonly maxRejectionsPerS: number
  /** Local time at which this instance learnt of it, in ms. */
  readonly sinceMs: number
  /** Local time until which the service counts as brittle, in ms. */
  readonly untilMs: number
}

/** State of an instance's requests and of the upstreams that serve them. */
export interface ServingState {
  /** Name of this instance. */
  readonly instance: string
  readonly availabilityZone: string
  readonly retryBudget: RetryBudget
  /** Number between 0 and 1 that differs between instances. */
  readonly phase: number
  /** Local time at which this process started, in ms. */
  readonly startedAtMs: number
  /** Number of instances that share the retry budget, including this one. */
  readonly instances: number
  readonly requests: HashMap.HashMap<string, Request>
  /** Ids of the waiting requests, by service. */
  readonly waiting: ReadonlyMap<string, readonly string[]>
  /** Order of the waiting requests, and what was observed of their waits. */
  readonly queueing: QueueingState
  readonly targets: ReadonlyMap<string, RoutingTarget>
  readonly placementVersion: number
  /** Estimated time until a model is loaded, in ms from `estimatedAtMs`, by model. */
  readonly loadEstimatesMs: ReadonlyMap<string, number>
  /** Local time of the last change of targets, in ms. */
  readonly estimatedAtMs: number
  /** Models named by the configuration, by service. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>
  readonly loads: HashMap.HashMap<string, TargetLoad>
  /** Prompt parts that upstreams probably keep, by upstream. */
  readonly keptPrompts: ReadonlyMap<string, KeptParts>
  /** Prompt tokens that upstreams were expected to read for this instance so far. */
  readonly readTokens: number
  /** Local time of the last report of other instances' requests, in ms. */
  readonly peerLoadsAtMs: number
  /** Upstreams to which no connection can be opened, and the local time of the next probe of each, in ms. */
  readonly unreachable: ReadonlyMap<string, number>
  /** Local time at which an upstream last responded or accepted a connection, in ms. */
  readonly contactAtMs: number
  /** Instances that take over requests whose upstreams cannot be reached. */
  readonly relays: readonly Relay[]
  /** Instances among which upstreams are divided that not all of them may send to. */
  readonly members: Members
  /** Limits that upstreams name, and those that they have lifted. */
  readonly limits: ReadonlyMap<string, UpstreamLimit>
  /** Services that are brittle or were lately, by name. */
  readonly brittle: ReadonlyMap<string, BrittleService>
  /** Quotas of customers, and what this instance has charged. */
  readonly quotas: InstanceQuotas
  /** Whether this instance holds the lease, as one instance alone probes quarantines. */
  readonly holdsLease: boolean
  /** Upstreams that are ejected for their failures or were lately. */
  readonly ejections: ReadonlyMap<string, Ejection>
  /** Failures that other instances have reported to this one as the lease holder, by upstream. */
  readonly peerOutcomes: ReadonlyMap<string, OutcomeCounts>
  /** Local time at which failures of upstreams last made a heartbeat due, in ms. */
  readonly failuresReportedAtMs: number
  readonly retryWindows: ReadonlyMap<string, RetryWindow>
  readonly evidence: CrashEvidence
  /** Origins of streams that callers may resume. */
  readonly origins: StreamOrigins
  /** Whether `softwareVersions` includes what earlier processes of all instances have seen, so that one alone began every stream. */
  readonly historyKnown: boolean
  /** Local time up to which others are known to have seen no version that `softwareVersions` lacks, in ms. */
  readonly versionsConfirmedAtMs: number
  /** When upstreams last ran each software version, by service. */
  readonly softwareVersions: SoftwareVersions
  /** Local time at which the software versions were last noted, in ms. */
  readonly versionsNotedAtMs: number
  /** Requests per second by service and model. */
  readonly requestRates: HashMap.HashMap<string, DecayingRate>
  /** Local time of the last use of each adapter on each upstream, in ms, by `adapterKey`. */
  readonly adapterUsedAtMs: HashMap.HashMap<string, number>
  /** Whether the instance is shutting down; requests that cannot be sent at once are then refused. */
  readonly shuttingDown: boolean
  /** Local time at which this instance ends all requests to shut down, in ms; Infinity if it is not about to. */
  readonly closesAtMs: number
  /** Local time until which the load balancer may send new callers to an instance that is about to shut down, in ms. */
  readonly newCallersUntilMs: number
  /** How long the latest requests of each route took. */
  readonly routeDurations: RouteDurations
  /** Local time at which unused names were last forgotten, in ms. */
  readonly forgottenAtMs: number
  /** Unmet demand as last reported, so that only changes are reported immediately. */
  readonly reportedDemand: string
}

/** Options of {@linkcode newServingState}. */
export interface ServingOptions {
  /** Name of the instance; empty by default, so that it owns no upstreams. */
  readonly instance?: string
  readonly availabilityZone: string
  readonly retryBudget: RetryBudget
  /** Number between 0 and 1 that differs between instances; 1 by default. */
  readonly phase?: number
  /** Local time at which the process started, in ms; long ago by default. */
  readonly startedAtMs?: number
}

/**
 * Creates the state of an instance without requests.
 *
 * @param options The instance's availability zone and the retry budget.
 * @returns The state.
 *
 * @example
 * ```ts
 * const state = newServingState({ availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 } })
 * ```
 */
export function newServingState (options: ServingOptions): ServingState {
  return {
    instance: '',
    phase: 1,
    startedAtMs: -Infinity,
    ...options,
    instances: 1,
    requests: HashMap.empty(),
    waiting: new Map(),
    queueing: NO_QUEUES,
    targets: new Map(),
    placementVersion: 0,
    loadEstimatesMs: new Map(),
    estimatedAtMs: -Infinity,
    models: new Map(),
    loads: HashMap.empty(),
    keptPrompts: new Map(),
    readTokens: 0,
    peerLoadsAtMs: -Infinity,
    unreachable: new Map(),
    contactAtMs: -Infinity,
    relays: [],
    members: NO_MEMBERS,
    limits: new Map(),
    brittle: new Map(),
    quotas: newInstanceQuotas({ phase: options.phase ?? 1 }),
    holdsLease: false,
    ejections: new Map(),
    peerOutcomes: new Map(),
    failuresReportedAtMs: -Infinity,
    retryWindows: new Map(),
    evidence: NO_CRASH_EVIDENCE,
    origins: NO_STREAM_ORIGINS,
    historyKnown: true,
    versionsConfirmedAtMs: Infinity,
    softwareVersions: new Map(),
    versionsNotedAtMs: -Infinity,
    requestRates: HashMap.empty(),
    adapterUsedAtMs: HashMap.empty(),
    shuttingDown: false,
    closesAtMs: Infinity,
    newCallersUntilMs: Infinity,
    routeDurations: HashMap.empty(),
    forgottenAtMs: -Infinity,
    reportedDemand: ''
  }
}

/**
 * Returns the observed load of an upstream.
 *
 * @param state The state.
 * @param upstream The upstream's id.
 * @returns The load; idle and healthy if nothing has been observed.
 *
 * @example
 * ```ts
 * console.log(targetLoad(state, 'u1').ownRequests) // 0
 * ```
 */
export function targetLoad (state: ServingState, upstream: string): TargetLoad {
  const load = HashMap.get(state.loads, upstream)
  return Option.isSome(load) ? load.value : INITIAL_TARGET_LOAD
}

/**
 * Updates the observed load of an upstream.
 *
 * @param state The state.
 * @param upstream The upstream's id.
 * @param change Function that returns the updated load.
 * @returns The state with the updated load.
 *
 * @example
 * ```ts
 * const next = updateTargetLoad(state, 'u1', (load) => ({ ...load, consecutiveFailures: 0 }))
 * ```
 */
export function updateTargetLoad (state: ServingState, upstream: string, change: (load: TargetLoad) => TargetLoad): ServingState {
  return { ...state, loads: HashMap.set(state.loads, upstream, change(targetLoad(state, upstream))) }
}
