import { demandKey, type RoutingTarget } from './routing_target.ts'
import type { Request } from './request.ts'
import { targetLoad, type ServingState } from './serving_state.ts'
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

/** Upstream chosen for a request. */
export interface UpstreamChoice {
  readonly target: RoutingTarget
  /** Number of eligible upstreams. */
  readonly candidates: number
}

/** Result of the search for an upstream. */
export type UpstreamSearch =
  | { readonly kind: 'chosen', readonly choice: UpstreamChoice }
  /** Eligible upstreams exist, but those considered are at capacity. */
  | {
    readonly kind: 'full'
    /** Local time at which the first of them takes requests again, in ms, if all of them want none for a time. */
    readonly resumesAtMs?: number
  }
  /** The request resumes a stream, and the software version that began it is not known. */
  | { readonly kind: 'unknown_origin' }
  /** The request may have crashed an upstream, so that no other one is risked for now. */
  | { readonly kind: 'suspected' }
  /** No upstream is eligible. */
  | { readonly kind: 'absent' }

/**
 * Chooses the upstream for a request.
 *
 * Bursts reach several instances at once while load reports lag, and upstreams become slow or fail part of their
 * requests while their health checks pass. The upstream with the lowest expected delay is therefore chosen. The delay is
 * estimated from the time to first byte and the failures that this instance has observed, and from the requests that all
 * instances are running on the upstream. The weight of observations decays, so that a recovered upstream is tried again.
 *
 * @param state The state of the requests.
 * @param request The request.
 * @param nowMs The local time in ms.
 * @returns The choice, or the reason why no upstream was chosen.
 *
 * @example
 * ```ts
 * const search = chooseUpstream(state, request, performance.now())
 * ```
 */
export function chooseUpstream (state: ServingState, request: Request, nowMs: number): UpstreamSearch {
  const eligible = [...state.targets.values()].filter((target) => isEligible(state, target, { request, nowMs }))
  if (eligible.length === 0) return { kind: 'absent' }
  const untried = eligible.filter((target) => !request.attempts.some((attempt) => attempt.upstream === target.upstream))
  const candidates = untried.length > 0 ? untried : eligible
  const available = candidates.filter((target) => _hasCapacity(state, target, nowMs) && _mayReceive(state, target, nowMs))
  if (available.length === 0) return _full(state, eligible, nowMs)
  const medianMs = _medianFirstByteMs(state, available)
  const scored = available
    .map((target) => ({ target, score: _expectedDelayMs(state, target, { request, nowMs, medianMs }) }))
    .sort((a, b) => a.score - b.score || (a.target.upstream < b.target.upstream ? -1 : 1))
  const [best] = scored
  return best === undefined ? { kind: 'full' } : { kind: 'chosen', choice: { target: best.target, candidates: eligible.length } }
}

/** A request and the local time in ms at which upstreams are evaluated for it. */
export interface RoutingQuery {
  readonly request: Request
  readonly nowMs: number
}

/**
 * Reports whether an upstream offers the model and adapter of a request and accepts requests.
 *
 * @param state The state of the requests.
 * @param target The upstream.
 * @param query The request and the time.
 * @returns Whether the request may be sent to the upstream, regardless of its remaining capacity.
 *
 * @example
 * ```ts
 * const eligible = isEligible(state, target, { request, nowMs })
 * ```
 */
export function isEligible (state: ServingState, target: RoutingTarget, query: RoutingQuery): boolean {
  if (state.unreachable.has(target.upstream) || targetLoad(state, target.upstream).avoidedUntilMs > query.nowMs) return false
  return offersModel(state, target, query)
}

/**
 * Reports whether an upstream offers the model and adapter of a request, whether or not this instance reaches it.
 *
 * @param state The state of the requests.
 * @param target The upstream.
 * @param query The request and the time.
 * @returns Whether some instance may send the request there.
 *
 * @example
 * ```ts
 * const offered = offersModel(state, target, { request, nowMs })
 * ```
 */
export function offersModel (state: ServingState, target: RoutingTarget, query: RoutingQuery): boolean {
  const { request, nowMs } = query
  if (target.service !== request.service || isLeaving(state, target)) return false
  if (request.softwareVersion !== undefined && request.softwareVersion !== target.softwareVersion) return false
  if (request.model === undefined || target.models === undefined) return true
  const targetModel = target.models.get(request.model)
  if (targetModel === undefined || !targetModel.usable) return false
  if (request.adapter !== undefined && !targetModel.adapters.has(request.adapter)) return false
  const absentUntilMs = targetLoad(state, target.upstream).absentUntilMs.get(demandKey(request.model, request.adapter)) ?? -Infinity
  return absentUntilMs <= nowMs
}

/**
 * Reports whether an upstream is leaving, as its registration or one of its responses says.
 *
 * @param state The state of the requests.
 * @param target The upstream.
 * @returns Whether it receives no new requests.
 *
 * @example
 * ```ts
 * const staying = targets.filter((target) => !isLeaving(state, target))
 * ```
 */
export function isLeaving (state: ServingState, target: RoutingTarget): boolean {
  return target.leaving || targetLoad(state, target.upstream).leaving
}

function _full (state: ServingState, eligible: readonly RoutingTarget[], nowMs: number): UpstreamSearch {
  const resumesAtMs = Math.min(...eligible.map((target) => targetLoad(state, target.upstream).pausedUntilMs))
  return resumesAtMs > nowMs ? { kind: 'full', resumesAtMs } : { kind: 'full' }
}

function _hasCapacity (state: ServingState, target: RoutingTarget, nowMs: number): boolean {
  const load = targetLoad(state, target.upstream)
  const brittle = state.brittle.get(target.service)
  const isBrittle = brittle !== undefined && brittle.untilMs > nowMs
  // Each request without a response may be rejected, so the instances together have no more of them than the upstream bears.
  if (isBrittle && load.unanswered >= Math.max(1, Math.floor(brittle.maxRejectionsPerS / state.instances))) return false
  const capacity = target.models === undefined && !isBrittle ? target.slots * PLAIN_CAPACITY_FACTOR : target.slots
  return load.ownRequests + load.peerRequests < capacity
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
  return firstByteMs * (1 + UTILIZATION_WEIGHT * utilization) + failureMs + zoneMs
}
