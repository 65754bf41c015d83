import { demandKey } from '@berylshed/scheduler'
import type { RoutingTarget } from './routing_target.ts'
import type { Request } from './request.ts'
import { mayHandOver, relayKey, type Relay } from './relay.ts'
import { targetLoad, type ServingState } from './serving_state.ts'
import { brittleService, isRiskAllowed, ownershipOf } from './upstream_owner.ts'
import { isWithinLimit } from './upstream_limit.ts'

/** Maximum number of running and queued requests on a plain upstream, as a multiple of its slots; its own queue holds four. */
const PLAIN_CAPACITY_FACTOR = 3
/** Half-life of the weight of observations, in ms; the decay lets a recovered upstream be tried again. */
const OBSERVATION_HALF_LIFE_MS = 4000
/** Expected time to the first byte if none was observed on any upstream, in ms. */
const DEFAULT_FIRST_BYTE_MS = 40
/** Increase of the expected time to the first byte from an idle to a full upstream, as a multiple of the idle time. */
const UTILIZATION_WEIGHT = 4
/** Delay added for an upstream in another availability zone, in ms: twice the longest current round trip between zones. */
const CROSS_ZONE_PENALTY_MS = 6
const MS_PER_SECOND = 1000
/** Maximum wait of a request for news of the owner of its upstreams, in ms: two heartbeats. */
const MAX_OWNER_WAIT_MS = 400

/** Upstream chosen for a request. */
interface UpstreamChoice {
  readonly target: RoutingTarget
  /** Number of eligible upstreams. */
  readonly candidates: number
  /** The instance that alone sends to the upstream; absent if this one may. */
  readonly owner?: Relay
}

/** Result of the search for an upstream. */
type UpstreamSearch =
  | { readonly kind: 'chosen', readonly choice: UpstreamChoice }
  /** Eligible upstreams exist, but those considered are at capacity. */
  | {
    readonly kind: 'full'
    /** Local time at which the first of them takes requests again, in ms, if all of them want none for a time. */
    readonly resumesAtMs?: number
    /** Time after the request's arrival at which it no longer waits, in ms, if other instances own all of them. */
    readonly maxWaitMs?: number
  }
  /** The request resumes a stream, and the software version that began it is not known. */
  | { readonly kind: 'unknown_origin' }
  /** The request may have crashed an upstream, so that no other one is risked for now. */
  | { readonly kind: 'suspected' }
  /** No upstream is eligible. */
  | { readonly kind: 'absent' }

/** Chooses the upstream for a request as commit 5830e61 did, for comparisons. */
export function chooseEarlier (state: ServingState, request: Request, nowMs: number): UpstreamSearch {
  const reachable = [...state.targets.values()].filter((target) => isEligible(state, target, { request, nowMs }))
  if (reachable.length === 0) return { kind: 'absent' }
  // Upstreams are avoided for their silence, which does not tell that they cannot serve a request.
  const unsuspected = reachable.filter((target) => !_isAvoided(state, target, { request, nowMs }))
  const eligible = unsuspected.length > 0 ? unsuspected : reachable
  const untried = eligible.filter((target) => !request.attempts.some((attempt) => attempt.upstream === target.upstream))
  const candidates = untried.length > 0 ? untried : eligible
  const available = candidates.filter((target) => _isAvailable(state, target, { request, nowMs }))
  if (available.length === 0) return _full(state, eligible, { request, nowMs })
  // A request waits at an owner for its turn, so upstreams that this instance may send to come first.
  const direct = available.filter((target) => ownershipOf(state, target, nowMs).kind !== 'elsewhere')
  const preferred = direct.length > 0 ? direct : available
  const medianMs = _medianFirstByteMs(state, preferred)
  const scored = preferred
    .map((target) => ({ target, score: _expectedDelayMs(state, target, { request, nowMs, medianMs }) }))
    .sort((x, y) => x.score - y.score || (x.target.upstream < y.target.upstream ? -1 : 1))
  const [best] = scored
  if (best === undefined) return { kind: 'full' }
  const ownership = ownershipOf(state, best.target, nowMs)
  return { kind: 'chosen', choice: { target: best.target, candidates: eligible.length, ...ownership.kind === 'elsewhere' ? { owner: ownership.relay } : {} } }
}

/** A request and the local time in ms at which upstreams are evaluated for it. */
interface RoutingQuery {
  readonly request: Request
  readonly nowMs: number
}

function isEligible (state: ServingState, target: RoutingTarget, query: RoutingQuery): boolean {
  if (_isLeftToOwner(state, target, query)) return offersModel(state, target, query)
  if (state.unreachable.has(target.upstream) || targetLoad(state, target.upstream).misdirectedUntilMs > query.nowMs) return false
  return offersModel(state, target, query)
}

function offersModel (state: ServingState, target: RoutingTarget, query: RoutingQuery): boolean {
  const { request, nowMs } = query
  if (target.service !== request.service || isLeaving(state, target) || request.refusedBy.includes(target.upstream)) return false
  if (request.softwareVersion !== undefined && request.softwareVersion !== target.softwareVersion) return false
  if (request.model === undefined || target.models === undefined) return true
  const targetModel = target.models.get(request.model)
  if (targetModel === undefined || !targetModel.usable) return false
  if (request.adapter !== undefined && !targetModel.adapters.has(request.adapter)) return false
  const absentUntilMs = targetLoad(state, target.upstream).absentUntilMs.get(demandKey(request.model, request.adapter)) ?? -Infinity
  return absentUntilMs <= nowMs
}

function isLeaving (state: ServingState, target: RoutingTarget): boolean {
  return target.leaving || targetLoad(state, target.upstream).leaving
}

// An owner has a path of its own.
function _isLeftToOwner (state: ServingState, target: RoutingTarget, { request, nowMs }: RoutingQuery): boolean {
  return request.handover === undefined && ownershipOf(state, target, nowMs).kind === 'elsewhere'
}

function _isAvoided (state: ServingState, target: RoutingTarget, query: RoutingQuery): boolean {
  return !_isLeftToOwner(state, target, query) && targetLoad(state, target.upstream).avoidedUntilMs > query.nowMs
}

function _isAvailable (state: ServingState, target: RoutingTarget, query: RoutingQuery): boolean {
  const { request, nowMs } = query
  const ownership = ownershipOf(state, target, nowMs)
  switch (ownership.kind) {
    case 'pending': return false
    case 'elsewhere': return request.handover === undefined && mayHandOver(state, request, { relay: ownership.relay, nowMs })
    case 'unowned': return isRiskAllowed(state, target, nowMs) && _hasCapacity(state, target, nowMs) && _mayReceive(state, target, nowMs)
    default: return _hasCapacity(state, target, nowMs) && _mayReceive(state, target, nowMs)
  }
}

function _full (state: ServingState, eligible: readonly RoutingTarget[], { request, nowMs }: RoutingQuery): UpstreamSearch {
  // A request that was handed over waits only for this instance to learn that it owns an upstream, and one that all owners refused not at all.
  if (eligible.every((target) => ownershipOf(state, target, nowMs).kind === 'elsewhere')) return { kind: 'full', maxWaitMs: request.handover === undefined && request.attempts.length > 0 ? 0 : MAX_OWNER_WAIT_MS }
  const resumesAtMs = Math.min(...eligible.map((target) => targetLoad(state, target.upstream).pausedUntilMs))
  return resumesAtMs > nowMs ? { kind: 'full', resumesAtMs } : { kind: 'full' }
}

function _hasCapacity (state: ServingState, target: RoutingTarget, nowMs: number): boolean {
  const load = targetLoad(state, target.upstream)
  const isBrittle = brittleService(state, target, nowMs) !== undefined && ownershipOf(state, target, nowMs).kind !== 'shared'
  const capacity = target.models === undefined && !isBrittle ? target.slots * PLAIN_CAPACITY_FACTOR : target.slots
  const cancelled = isBrittle ? load.cancelledUntilMs.filter((untilMs) => untilMs > nowMs).length : 0
  return load.ownRequests + load.peerRequests + cancelled < capacity
}

function _mayReceive (state: ServingState, target: RoutingTarget, nowMs: number): boolean {
  if (targetLoad(state, target.upstream).pausedUntilMs > nowMs) return false
  const limit = state.limits.get(target.upstream)
  return limit === undefined || isWithinLimit(limit, nowMs)
}

function _medianFirstByteMs (state: ServingState, targets: readonly RoutingTarget[]): number {
  const observedMs = targets.map((target) => targetLoad(state, target.upstream).firstByteMs).filter((ms) => ms > 0).sort((a, b) => a - b)
  return observedMs[Math.floor((observedMs.length - 1) / 2)] ?? DEFAULT_FIRST_BYTE_MS
}

interface _ScoringQuery extends RoutingQuery {
  /** Median time to the first byte over the available upstreams, in ms. */
  readonly medianMs: number
}

function _expectedDelayMs (state: ServingState, target: RoutingTarget, query: _ScoringQuery): number {
  const load = targetLoad(state, target.upstream)
  const weight = 0.5 ** (Math.max(0, query.nowMs - load.observedAtMs) / OBSERVATION_HALF_LIFE_MS)
  const observedMs = load.firstByteMs === 0 ? query.medianMs : load.firstByteMs
  const firstByteMs = query.medianMs + weight * (observedMs - query.medianMs)
  const utilization = (load.ownRequests + load.peerRequests) / Math.max(1, target.slots)
  const failureMs = weight * load.failureShare * query.request.objectiveMs
  const zoneMs = target.availabilityZone === state.availabilityZone ? 0 : CROSS_ZONE_PENALTY_MS
  return firstByteMs * (1 + UTILIZATION_WEIGHT * utilization) + failureMs + zoneMs + _ownerDelayMs(state, target, query.nowMs)
}

// Requests that this instance has handed to the owner of a limited upstream are served one after another.
function _ownerDelayMs (state: ServingState, target: RoutingTarget, nowMs: number): number {
  const ownership = ownershipOf(state, target, nowMs)
  const limit = state.limits.get(target.upstream)
  if (ownership.kind !== 'elsewhere' || limit === undefined || limit.perS === Infinity) return 0
  return (1 + targetLoad(state, relayKey(ownership.relay)).ownRequests) * MS_PER_SECOND / limit.perS
}
