import { demandKey } from '@berylshed/scheduler'
import { withoutEjected } from './_eject_upstreams.ts'
import type { RoutingTarget, TargetLoad } from './routing_target.ts'
import type { Request } from './request.ts'
import { listTargets } from './_target_index.ts'
import { pickTarget } from './_pick_target.ts'
import { estimateDelays, type DelayEstimate } from './expected_delay.ts'
import { mayHandOver, type Relay } from './relay.ts'
import { targetLoad, type ServingState } from './serving_state.ts'
import { brittleService, isRiskAllowed, ownershipOf } from './upstream_owner.ts'
import { isWithinLimit } from './upstream_limit.ts'

/** Maximum number of running and queued requests on a plain upstream, as a multiple of its slots; its own queue holds four. */
const PLAIN_CAPACITY_FACTOR = 3
const MS_PER_SECOND = 1000
/** Share of an upstream's slots below which a rejection does not show that it is full: reports of other instances lag by less than the rest. */
const MIN_FULL_SHARE = 0.5
/** Maximum wait of a request for news of the owner of its upstreams, in ms: two heartbeats. */
const MAX_OWNER_WAIT_MS = 400

/** Upstream chosen for a request. */
export interface UpstreamChoice {
  readonly target: RoutingTarget
  /** Number of eligible upstreams. */
  readonly candidates: number
  /** Prompt tokens that the upstream probably keeps, so that it does not read them again. */
  readonly keptTokens: number
  /** The instance that alone sends to the upstream; absent if this one may. */
  readonly owner?: Relay
}

/** Result of the search for an upstream. */
export type UpstreamSearch =
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

/**
 * Chooses the upstream for a request.
 *
 * Bursts reach several instances at once while load reports lag, and upstreams become slow or fail part of their
 * requests while their health checks pass. An upstream with the lowest expected delay, or nearly so, is therefore chosen
 * (`estimateDelays`, `pickTarget`). Upstreams that are avoided are chosen from only if there are no others.
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
  const offering = _candidates(state, { request, nowMs })
  if (offering.length === 0) return { kind: 'absent' }
  const reachable = withoutEjected(state, offering, { request, nowMs })
  // Upstreams are avoided for their silence, which does not tell that they cannot serve a request.
  const unsuspected = reachable.filter((candidate) => !_isAvoided(state, candidate.target, candidate))
  const eligible = unsuspected.length > 0 ? unsuspected : reachable
  const untried = request.attempts.length === 0 ? eligible : eligible.filter(({ target }) => !request.attempts.some((attempt) => attempt.upstream === target.upstream))
  const candidates = untried.length > 0 ? untried : eligible
  const available = candidates.filter((candidate) => _isAvailable(state, candidate.target, candidate))
  if (available.length === 0) return _full(state, eligible, { request, nowMs })
  // A request waits at an owner for its turn, so upstreams that this instance may send to come first.
  const direct = available.filter(({ target }) => ownershipOf(state, target, nowMs).kind !== 'elsewhere')
  const permitted = direct.length > 0 ? direct : available
  const accepting = permitted.filter(({ load }) => load.fullUntilMs <= nowMs)
  const preferred = accepting.length > 0 ? accepting : permitted
  const isShared = ({ target }: DelayEstimate): boolean => ownershipOf(state, target, nowMs).kind === 'shared'
  const estimates = estimateDelays(state, preferred.map(({ target }) => target), { request, nowMs, loads: preferred.map(({ load }) => load) })
  const best = pickTarget(state, estimates, { request, nowMs, isShared })
  if (best === undefined) return { kind: 'full' }
  const ownership = ownershipOf(state, best.target, nowMs)
  return { kind: 'chosen', choice: { target: best.target, candidates: eligible.length, keptTokens: Math.round(best.keptTokens), ...ownership.kind === 'elsewhere' ? { owner: ownership.relay } : {} } }
}

interface _Candidate extends _LoadQuery {
  readonly target: RoutingTarget
}

// The load of each upstream is looked up once, as the look-ups take most of the time of a choice.
function _candidates (state: ServingState, { request, nowMs }: RoutingQuery): readonly _Candidate[] {
  const candidates: _Candidate[] = []
  for (const target of listTargets(state.targets, request.service, request.model)) {
    const candidate = { request, nowMs, target, load: targetLoad(state, target.upstream) }
    if (_isEligible(state, target, candidate)) candidates.push(candidate)
  }
  return candidates
}

/** A request and the local time in ms at which upstreams are evaluated for it. */
export interface RoutingQuery {
  readonly request: Request
  readonly nowMs: number
}

interface _LoadQuery extends RoutingQuery {
  readonly load: TargetLoad
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
  return _isEligible(state, target, { ...query, load: targetLoad(state, target.upstream) })
}

function _isEligible (state: ServingState, target: RoutingTarget, query: _LoadQuery): boolean {
  if (!_isLeftToOwner(state, target, query) && (state.unreachable.has(target.upstream) || query.load.misdirectedUntilMs > query.nowMs)) return false
  return _offersModel(target, query)
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
  return _offersModel(target, { ...query, load: targetLoad(state, target.upstream) })
}

function _offersModel (target: RoutingTarget, { request, nowMs, load }: _LoadQuery): boolean {
  if (target.service !== request.service || target.leaving || load.leaving || request.refusedBy.includes(target.upstream)) return false
  if (request.softwareVersion !== undefined && request.softwareVersion !== target.softwareVersion) return false
  if (request.model === undefined || target.models === undefined) return true
  const targetModel = target.models.get(request.model)
  if (targetModel === undefined || !targetModel.usable) return false
  if (request.adapter !== undefined && !targetModel.adapters.has(request.adapter)) return false
  if (load.absentUntilMs.size === 0) return true
  const absentUntilMs = load.absentUntilMs.get(demandKey(request.model, request.adapter)) ?? -Infinity
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

/**
 * Estimates how long the requests that wait for the upstreams which this instance owns will take.
 *
 * @param state The state of the requests.
 * @param request A waiting request.
 * @param options The number of requests ahead of it and the local time in ms.
 * @returns The time in ms; undefined if other instances send to some of the upstreams as well.
 *
 * @example
 * ```ts
 * const isHopeless = (ownedWaitMs(state, request, { ahead: 40, nowMs }) ?? 0) > leftMs
 * ```
 */
export function ownedWaitMs (state: ServingState, request: Request, options: { readonly ahead: number, readonly nowMs: number }): number | undefined {
  const { ahead, nowMs } = options
  const eligible = listTargets(state.targets, request.service, request.model).filter((target) => offersModel(state, target, { request, nowMs }))
  if (eligible.length === 0 || eligible.some((target) => ownershipOf(state, target, nowMs).kind !== 'own')) return undefined
  const perMs = eligible.reduce((sum, target) => {
    const limitPerMs = (state.limits.get(target.upstream)?.perS ?? Infinity) / MS_PER_SECOND
    return sum + Math.min(limitPerMs, target.slots / Math.max(1, targetLoad(state, target.upstream).firstByteMs))
  }, 0)
  return ahead / perMs
}

// An owner has a path of its own.
function _isLeftToOwner (state: ServingState, target: RoutingTarget, { request, nowMs }: RoutingQuery): boolean {
  return request.handover === undefined && ownershipOf(state, target, nowMs).kind === 'elsewhere'
}

function _isAvoided (state: ServingState, target: RoutingTarget, query: _LoadQuery): boolean {
  return !_isLeftToOwner(state, target, query) && query.load.avoidedUntilMs > query.nowMs
}

function _isAvailable (state: ServingState, target: RoutingTarget, query: _LoadQuery): boolean {
  const { request, nowMs } = query
  const ownership = ownershipOf(state, target, nowMs)
  switch (ownership.kind) {
    case 'pending': return false
    case 'elsewhere': return request.handover === undefined && mayHandOver(state, request, { relay: ownership.relay, nowMs })
    case 'unowned': return isRiskAllowed(state, target, nowMs) && _hasCapacity(state, target, query) && _mayReceive(state, target, query)
    default: return _hasCapacity(state, target, query) && _mayReceive(state, target, query)
  }
}

function _full (state: ServingState, eligible: readonly _Candidate[], { request, nowMs }: RoutingQuery): UpstreamSearch {
  // A request that was handed over waits only for this instance to learn that it owns an upstream, and one that all owners refused not at all.
  if (eligible.every(({ target }) => ownershipOf(state, target, nowMs).kind === 'elsewhere')) return { kind: 'full', maxWaitMs: request.handover === undefined && request.attempts.length > 0 ? 0 : MAX_OWNER_WAIT_MS }
  const resumesAtMs = Math.min(...eligible.map(({ load }) => load.pausedUntilMs))
  return resumesAtMs > nowMs ? { kind: 'full', resumesAtMs } : { kind: 'full' }
}

function _hasCapacity (state: ServingState, target: RoutingTarget, { load, nowMs }: _LoadQuery): boolean {
  if (load.fullUntilMs > nowMs && load.ownRequests + load.peerRequests >= MIN_FULL_SHARE * target.slots) return false
  const isBrittle = brittleService(state, target, nowMs) !== undefined && ownershipOf(state, target, nowMs).kind !== 'shared'
  const capacity = target.models === undefined && !isBrittle ? target.slots * PLAIN_CAPACITY_FACTOR : target.slots
  const cancelled = isBrittle ? load.cancelledUntilMs.filter((untilMs) => untilMs > nowMs).length : 0
  return load.ownRequests + load.peerRequests + cancelled < capacity
}

function _mayReceive (state: ServingState, target: RoutingTarget, { load, nowMs }: _LoadQuery): boolean {
  if (load.pausedUntilMs > nowMs) return false
  const limit = state.limits.get(target.upstream)
  return limit === undefined || isWithinLimit(limit, nowMs)
}
