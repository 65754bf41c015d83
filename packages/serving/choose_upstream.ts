import { needKey, type Place, type PlaceLoad } from './place.ts'
import type { Request } from './request.ts'
import { placeLoad, type ServingState } from './serving_state.ts'

/** Requests that a plain upstream may have running and queued, as a multiple of its slots; its own queue holds four. */
const PLAIN_FILL = 3
/** Time after which half of what was learnt of an upstream no longer counts, in ms, so that it is tried again. */
const MEMORY_HALF_LIFE_MS = 4000
/** Expected time to the first byte where nothing is known of any upstream, in ms. */
const DEFAULT_FIRST_BYTE_MS = 40
/** Growth of the expected delay from an idle upstream to a full one, as a multiple of the idle one's. */
const BUSY_WEIGHT = 4
/** Price of a way into another availability zone, in ms: twice today's longest way there and back. */
const OTHER_ZONE_MS = 6

/** The chosen upstream, with what the choice was made from. */
export interface Choice {
  readonly place: Place
  readonly candidates: number
}

/** The result of looking for an upstream. */
export type Search =
  | { readonly kind: 'chosen', readonly choice: Choice }
  /** Upstreams have what is needed, but are full. */
  | { readonly kind: 'full' }
  /** No upstream that can be used has what is needed. */
  | { readonly kind: 'absent' }

/**
 * Chooses the upstream for a request.
 *
 * The load pattern is bursts that reach several instances at once while reports lag, and upstreams that turn slow or
 * fail part of their requests while their health checks pass. The expected delay of each upstream follows from the time
 * to its first byte and its failures as seen here, and from what this instance and the others have running there. What
 * was learnt fades, so that an upstream which has recovered is tried again.
 *
 * @param state The state of the requests.
 * @param request The request.
 * @param nowMs The local time in ms.
 * @returns The choice, or why there is none.
 *
 * @example
 * ```ts
 * const search = chooseUpstream(state, request, performance.now())
 * ```
 */
export function chooseUpstream (state: ServingState, request: Request, nowMs: number): Search {
  const able = [...state.places.values()].filter((place) => canServe(state, place, { request, nowMs }))
  if (able.length === 0) return { kind: 'absent' }
  const untried = able.filter((place) => !request.sendings.some((sending) => sending.upstream === place.upstream))
  const candidates = untried.length > 0 ? untried : able
  const open = candidates.filter((place) => _hasRoom(place, placeLoad(state, place.upstream)))
  if (open.length === 0) return { kind: 'full' }
  const typicalMs = _typicalFirstByteMs(state, open)
  const scored = open
    .map((place) => ({ place, score: _delayMs(state, place, { request, nowMs, typicalMs }) }))
    .sort((a, b) => a.score - b.score || (a.place.upstream < b.place.upstream ? -1 : 1))
  const [best] = scored
  return best === undefined ? { kind: 'full' } : { kind: 'chosen', choice: { place: best.place, candidates: able.length } }
}

/** A request and the time at which an upstream is judged for it. */
export interface ServiceQuestion {
  readonly request: Request
  readonly nowMs: number
}

/**
 * Tells whether an upstream has what a request needs and may be used.
 *
 * @param state The state of the requests.
 * @param place The upstream.
 * @param question The request and the time.
 * @returns Whether the request could be sent there, were there room.
 *
 * @example
 * ```ts
 * const able = canServe(state, place, { request, nowMs })
 * ```
 */
export function canServe (state: ServingState, place: Place, question: ServiceQuestion): boolean {
  const { request, nowMs } = question
  if (place.service !== request.service || place.leaving) return false
  const load = placeLoad(state, place.upstream)
  if (load.avoidedUntilMs > nowMs) return false
  if (request.model === undefined || place.models === undefined) return true
  const resident = place.models.get(request.model)
  if (resident === undefined || !resident.usable) return false
  if (request.adapter !== undefined && !resident.adapters.has(request.adapter)) return false
  const absentUntilMs = load.absentUntilMs.get(needKey(request.model, request.adapter)) ?? -Infinity
  return absentUntilMs <= nowMs
}

function _hasRoom (place: Place, load: PlaceLoad): boolean {
  const most = place.models === undefined ? place.slots * PLAIN_FILL : place.slots
  return load.own + load.others < most
}

function _typicalFirstByteMs (state: ServingState, places: readonly Place[]): number {
  const known = places.map((place) => placeLoad(state, place.upstream).firstByteMs).filter((ms) => ms > 0).sort((a, b) => a - b)
  return known[Math.floor((known.length - 1) / 2)] ?? DEFAULT_FIRST_BYTE_MS
}

interface _Question extends ServiceQuestion {
  /** Time to the first byte of an ordinary upstream, in ms. */
  readonly typicalMs: number
}

function _delayMs (state: ServingState, place: Place, question: _Question): number {
  const load = placeLoad(state, place.upstream)
  const weight = 0.5 ** (Math.max(0, question.nowMs - load.learntAtMs) / MEMORY_HALF_LIFE_MS)
  const learntMs = load.firstByteMs === 0 ? question.typicalMs : load.firstByteMs
  const firstByteMs = question.typicalMs + weight * (learntMs - question.typicalMs)
  const busy = (load.own + load.others) / Math.max(1, place.slots)
  const failing = weight * load.failureShare * question.request.objectiveMs
  const zoneMs = place.availabilityZone === state.availabilityZone ? 0 : OTHER_ZONE_MS
  return firstByteMs * (1 + BUSY_WEIGHT * busy) + failing + zoneMs
}
