import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { leaveQueue, markAdapterUse, putRequest, recordOf, refuseRequest } from './_settle_request.ts'
import { chooseUpstream, type Choice, type Search } from './choose_upstream.ts'
import { needs } from './instance_report.ts'
import type { RefusalReason } from './refusal.ts'
import type { Request, Sending } from './request.ts'
import { countSending, EMPTY_WINDOW } from './retry_window.ts'
import type { ServingEffect } from './serving_effect.ts'
import { changeLoad, placeLoad, type ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/** Time that a request waits for a place, as a multiple of its latency objective; stream callers leave after four. */
const PATIENCE = 3.6
/** The same as a share of the time that the caller gives; one that is refused by then can still come back. */
const PATIENT_SHARE = 0.4
/** Shortest time that a request waits for a place, in ms: a load from an engine's disk with the orders before it. */
const MIN_PATIENCE_MS = 900
/** Time that is allowed beyond the expected end of a load, in ms. */
const LOAD_SLACK_MS = 400
/** Time that an interrupted stream waits for another upstream, in ms; callers leave after two seconds without an event. */
const INTERRUPTION_MS = 1500
/** Time left below which an answer can no longer reach the caller, in ms. */
const LEAST_LEFT_MS = 5
/** When a caller may come back where nothing says when a place will be free, in ms. */
const RETRY_AFTER_MS = 700

/** When a caller may come back to another instance, in ms: at once, but not all in the same moment. */
const ELSEWHERE_MS = 50

/** Puts a request into its queue and sends what can be sent. */
export function enqueueRequest (state: ServingState, request: Request, nowMs: number): _Step {
  const queue = state.waiting.get(request.service) ?? []
  const queued = { ...putRequest(state, request), waiting: new Map(state.waiting).set(request.service, [...queue, request.id]) }
  return dispatchService(queued, request.service, nowMs)
}

/** Sends the waiting requests of all services as far as upstreams have room. */
export function dispatchAll (state: ServingState, nowMs: number): _Step {
  return [...state.waiting.keys()].reduce<_Step>((known, service) => {
    const next = dispatchService(known.state, service, nowMs)
    return step(next.state, [...known.effects, ...next.effects])
  }, step(state))
}

/** Sends the waiting requests of one service, the most urgent first, and refuses those that wait in vain. */
export function dispatchService (state: ServingState, service: string, nowMs: number): _Step {
  let next = state
  const effects: ServingEffect[] = []
  for (const request of _inOrder(state, service)) {
    const search = chooseUpstream(next, request, nowMs)
    const done = search.kind === 'chosen'
      ? _send(next, request, { choice: search.choice, nowMs })
      : _wait(next, request, { search, nowMs })
    next = done.state
    effects.push(...done.effects)
  }
  const told = _tellNeeds(next, nowMs)
  return step(told.state, [...effects, ...told.effects])
}

// Interrupted streams first, then by rank, then by the time at which the objective is missed.
function _inOrder (state: ServingState, service: string): readonly Request[] {
  const requests = (state.waiting.get(service) ?? []).flatMap((id) => Option.toArray(HashMap.get(state.requests, id)))
  if (requests.length < 2) return requests
  return requests.sort((a, b) => {
    return Number(b.phase === 'interrupted') - Number(a.phase === 'interrupted') || a.rank - b.rank ||
      a.arrivedAtMs + a.objectiveMs - b.arrivedAtMs - b.objectiveMs
  })
}

interface _Sent {
  readonly choice: Choice
  readonly nowMs: number
}

function _send (state: ServingState, request: Request, sent: _Sent): _Step {
  const { nowMs, choice } = sent
  const { upstream } = choice.place
  const sending: Sending = { number: request.sendings.length + 1, upstream, sentAtMs: nowMs }
  const next: Request = { ...request, phase: request.phase === 'interrupted' ? 'answering' : 'sent', sendings: [...request.sendings, sending], runs: request.runs + 1 }
  const before = placeLoad(state, upstream)
  const window = countSending(state.windows.get(request.service) ?? EMPTY_WINDOW, { repeat: sending.number > 1, nowMs })
  const counted = changeLoad(putRequest(leaveQueue(state, request), next), upstream, (load) => ({ ...load, own: load.own + 1 }))
  const marked = markAdapterUse({ ...counted, windows: new Map(counted.windows).set(request.service, window) }, request, { upstream, nowMs })
  return step(marked, [
    { kind: 'send', request: next, sending: sending.number, upstream },
    recordOf('sent', next, {
      nowMs, upstream, sending: sending.number, load: before.own + before.others, candidates: choice.candidates, placement: state.placesVersion
    })
  ])
}

interface _Waiting {
  readonly search: Search
  readonly nowMs: number
}

function _wait (state: ServingState, request: Request, waiting: _Waiting): _Step {
  const { nowMs } = waiting
  if (request.deadlineMs - nowMs <= LEAST_LEFT_MS) return refuseRequest(state, request, { reason: 'deadline_waiting', nowMs })
  if (state.closing) return refuseRequest(state, request, { reason: 'shutting_down', nowMs, retryAfterMs: ELSEWHERE_MS })
  const endMs = _patienceEnd(state, request, nowMs)
  if (nowMs < endMs) return step(state)
  return refuseRequest(state, request, { reason: _reason(state, request, waiting.search), nowMs, retryAfterMs: _retryAfter(state, request, nowMs) })
}

// A late answer is worth more to a caller than a refusal, but not a refusal that comes too late to try again.
function _patienceEnd (state: ServingState, request: Request, nowMs: number): number {
  if (request.phase === 'interrupted') return request.waitingSinceMs + INTERRUPTION_MS
  const shareMs = (request.deadlineMs - request.arrivedAtMs) * PATIENT_SHARE
  const patientMs = request.arrivedAtMs + Math.min(Math.max(MIN_PATIENCE_MS, request.objectiveMs * PATIENCE), Math.max(shareMs, request.objectiveMs))
  const readyInMs = request.model === undefined ? undefined : state.expected.get(request.model)
  if (readyInMs === undefined) return patientMs
  const readyAtMs = state.expectedAtMs + readyInMs + LOAD_SLACK_MS
  return readyAtMs < request.deadlineMs && readyAtMs > nowMs ? Math.max(patientMs, readyAtMs) : patientMs
}

function _reason (state: ServingState, request: Request, search: Search): RefusalReason {
  if (search.kind === 'full') return 'no_capacity'
  const offered = [...state.places.values()].some((place) => place.service === request.service && !place.leaving)
  return offered && request.model !== undefined ? 'no_replica' : 'no_upstream'
}

function _retryAfter (state: ServingState, request: Request, nowMs: number): number {
  const readyInMs = request.model === undefined ? undefined : state.expected.get(request.model)
  return readyInMs === undefined ? RETRY_AFTER_MS : Math.max(RETRY_AFTER_MS, state.expectedAtMs + readyInMs - nowMs)
}

// The holder hears of a new need at once, and of the others with the next exchange.
function _tellNeeds (state: ServingState, nowMs: number): _Step {
  const reported = needs(state, nowMs).map((need) => `${need.service} ${need.model} ${need.adapter ?? ''}`).sort().join(';')
  if (reported === state.reportedNeeds) return step(state)
  const changed = { ...state, reportedNeeds: reported }
  return reported === '' ? step(changed) : step(changed, [{ kind: 'need_changed' }])
}
