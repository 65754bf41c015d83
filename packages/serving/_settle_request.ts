import { HashMap } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { adapterKey } from '@berylshed/scheduler'
import type { PlaceLoad } from './place.ts'
import { refusal, type RefusalReason } from './refusal.ts'
import { currentSending, type Request } from './request.ts'
import type { ServingEffect, ServingRecord } from './serving_effect.ts'
import { changeLoad, type ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/** Weight of the newest outcome in an upstream's averages. */
const NEWEST_WEIGHT = 0.15

/** Stores a request. */
export function putRequest (state: ServingState, request: Request): ServingState {
  return { ...state, requests: HashMap.set(state.requests, request.id, request) }
}

/** Takes a request out of its queue. */
export function leaveQueue (state: ServingState, request: Request): ServingState {
  const queue = state.waiting.get(request.service)
  if (queue === undefined || !queue.includes(request.id)) return state
  const rest = queue.filter((id) => id !== request.id)
  const waiting = new Map(state.waiting)
  if (rest.length === 0) waiting.delete(request.service)
  else waiting.set(request.service, rest)
  return { ...state, waiting }
}

/** Frees the place that a request's sending takes on its upstream. */
export function freePlace (state: ServingState, request: Request, nowMs: number): ServingState {
  const sending = currentSending(request)
  if (sending === undefined) return state
  const freed = changeLoad(state, sending.upstream, (load) => ({ ...load, own: Math.max(0, load.own - 1) }))
  return markAdapterUse(freed, request, { upstream: sending.upstream, nowMs })
}

/** Remembers when an adapter was last used. */
export function markAdapterUse (state: ServingState, request: Request, use: { readonly upstream: string, readonly nowMs: number }): ServingState {
  if (request.model === undefined || request.adapter === undefined) return state
  const key = adapterKey(use.upstream, request.model, { adapter: request.adapter })
  return { ...state, adapterUse: HashMap.set(state.adapterUse, key, use.nowMs) }
}

/** Forgets a request that has its outcome. */
export function removeRequest (state: ServingState, request: Request, nowMs: number): ServingState {
  const freed = freePlace(leaveQueue(state, request), request, nowMs)
  return { ...freed, requests: HashMap.remove(freed.requests, request.id) }
}

/** Learns from an outcome of a sending. */
export function learn (load: PlaceLoad, outcome: { readonly failed: boolean, readonly firstByteMs?: number, readonly nowMs: number }): PlaceLoad {
  const failureShare = load.failureShare + NEWEST_WEIGHT * ((outcome.failed ? 1 : 0) - load.failureShare)
  const firstByteMs = outcome.firstByteMs === undefined ? load.firstByteMs : _average(load.firstByteMs, outcome.firstByteMs)
  return { ...load, failureShare, firstByteMs, learntAtMs: outcome.nowMs }
}

function _average (known: number, newest: number): number {
  return known === 0 ? newest : known + NEWEST_WEIGHT * (newest - known)
}

/** Describes a request, for logs. */
export function recordOf (what: ServingRecord['what'], request: Request, facts: Omit<ServingRecord, 'what'> & { readonly nowMs: number }): ServingEffect {
  const { nowMs, ...rest } = facts
  const named = request.model === undefined ? {} : { model: request.model, ...request.adapter === undefined ? {} : { adapter: request.adapter } }
  return {
    kind: 'record',
    record: {
      what, request: request.callerId, route: request.route, ...named, elapsedMs: nowMs - request.arrivedAtMs, leftMs: request.deadlineMs - nowMs, ...rest
    }
  }
}

/** How a request that can't be answered ends. */
export interface Ending {
  readonly reason: RefusalReason
  readonly nowMs: number
  readonly retryAfterMs?: number
  readonly detail?: string
}

/** Ends a request without an upstream's answer; one that has begun to be answered is broken off. */
export function refuseRequest (state: ServingState, request: Request, ending: Ending): _Step {
  const { nowMs, reason } = ending
  const sending = currentSending(request)
  const cancelled: readonly ServingEffect[] = sending === undefined ? [] : [{ kind: 'cancel', id: request.id, sending: sending.number }]
  const removed = removeRequest(state, request, nowMs)
  if (request.abandoned) return step(removed, cancelled)
  const detail = ending.detail === undefined ? {} : { detail: ending.detail }
  const facts = { nowMs, reason, runs: request.runs, ...detail }
  if (request.phase === 'answering' || request.phase === 'interrupted') {
    return step(removed, [...cancelled, { kind: 'break_off', id: request.id }, recordOf('broken_off', request, facts)])
  }
  if (request.hasAnswer && sending === undefined) return step(removed, [{ kind: 'finish', id: request.id }, recordOf('answered', request, { ...facts, status: UPSTREAM_FAILURE })])
  const mayHaveRun = request.runs > 0
  const retry = ending.retryAfterMs === undefined || mayHaveRun ? {} : { retryAfterMs: ending.retryAfterMs }
  const refused = refusal(reason, { mayHaveRun, ...retry })
  return step(removed, [...cancelled, { kind: 'refuse', id: request.id, refusal: refused }, recordOf('refused', request, { ...facts, status: refused.status })])
}

/** Status under which a kept failure of an upstream is logged. */
const UPSTREAM_FAILURE = 500
