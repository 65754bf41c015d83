import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { dispatchAll, dispatchService, enqueueRequest } from './_dispatch_requests.ts'
import { crashesOf, failSending, isSuspected } from './_fail_sending.ts'
import { learn, putRequest, recordOf, refuseRequest, removeRequest } from './_settle_request.ts'
import { countInRate } from './instance_report.ts'
import { currentSending, type ReceivedRequest, type Request } from './request.ts'
import type { ServingEffect } from './serving_effect.ts'
import type { ServingEvent } from './serving_event.ts'
import { changeLoad, placeLoad, type ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/**
 * Reduces one event of an instance's requests.
 *
 * Each request ends exactly once: by a `finish`, `refuse` or `break_off` effect, or because its caller left.
 *
 * @param state The state so far.
 * @param event What happened.
 * @returns The next state and the effects to carry out.
 *
 * @example
 * ```ts
 * const { effects } = reduceServing(state, { kind: 'received', request, nowMs: 0 })
 * ```
 */
export function reduceServing (state: ServingState, event: ServingEvent): _Step {
  switch (event.kind) {
    case 'received': return _admit(state, event.request, event.nowMs)
    case 'places_changed': return _changePlaces(state, event)
    case 'others_heard': return dispatchAll(_hearOthers(state, event), event.nowMs)
    case 'crashes_heard': return step(_hearCrashes(state, event))
    case 'models_known': return step({ ...state, models: event.models })
    case 'closing': return dispatchAll({ ...state, closing: true }, event.nowMs)
    case 'ticked': return _tick(state, event.nowMs)
    default: return _reduceRequest(state, event)
  }
}

type _RequestEvent = Extract<ServingEvent, { readonly id: string }>

function _reduceRequest (state: ServingState, event: _RequestEvent): _Step {
  const request = Option.getOrUndefined(HashMap.get(state.requests, event.id))
  if (request === undefined) return step(state)
  switch (event.kind) {
    case 'answer_started': return _startAnswer(state, request, event)
    case 'answer_ended': return _endAnswer(state, request, event)
    case 'sending_failed': return _thenDispatch(failSending(state, request, event), request.service, event.nowMs)
    case 'caller_left': return _abandon(state, request, event.nowMs)
  }
}

// A freed place may serve another request.
function _thenDispatch (first: _Step, service: string, nowMs: number): _Step {
  const next = dispatchService(first.state, service, nowMs)
  return step(next.state, [...first.effects, ...next.effects])
}

function _admit (state: ServingState, received: ReceivedRequest, nowMs: number): _Step {
  const request: Request = {
    ...received, phase: 'waiting', sendings: [], runs: 0, abandoned: false, waitingSinceMs: nowMs, hasAnswer: false
  }
  const { model, service } = request
  const counted = model === undefined ? state : _countUse(state, `${service} ${model}`, nowMs)
  if (isSuspected(state, request.fingerprint, nowMs)) return refuseRequest(counted, request, { reason: 'suspected_crash', nowMs })
  const models = state.models.get(service)
  if (model !== undefined && models !== undefined && !models.has(model)) return refuseRequest(counted, request, { reason: 'unknown_model', nowMs })
  return enqueueRequest(counted, request, nowMs)
}

function _countUse (state: ServingState, key: string, nowMs: number): ServingState {
  const rate = Option.getOrUndefined(HashMap.get(state.rates, key))
  return { ...state, rates: HashMap.set(state.rates, key, countInRate(rate, nowMs)) }
}

type _Started = Extract<ServingEvent, { kind: 'answer_started' }>

function _startAnswer (state: ServingState, request: Request, event: _Started): _Step {
  const sending = currentSending(request)
  if (sending === undefined || sending.number !== event.sending) return step(state)
  const learnt = _learnSuccess(state, request, event.nowMs)
  return step(putRequest(learnt, { ...request, phase: 'answering' }))
}

function _learnSuccess (state: ServingState, request: Request, nowMs: number): ServingState {
  const sending = currentSending(request)
  if (sending === undefined) return state
  const firstByteMs = nowMs - sending.sentAtMs
  return changeLoad(state, sending.upstream, (load) => ({
    ...learn(load, { failed: false, firstByteMs, nowMs }), strikes: 0, avoidedUntilMs: -Infinity
  }))
}

type _Ended = Extract<ServingEvent, { kind: 'answer_ended' }>

function _endAnswer (state: ServingState, request: Request, event: _Ended): _Step {
  const sending = currentSending(request)
  if (sending === undefined || sending.number !== event.sending) return step(state)
  const learnt = request.phase === 'answering' ? state : _learnSuccess(state, request, event.nowMs)
  const cleared = { ...learnt, crashes: HashMap.remove(learnt.crashes, request.fingerprint) }
  const removed = removeRequest(cleared, request, event.nowMs)
  const ended = step<ServingState, ServingEffect>(removed, request.abandoned
    ? []
    : [{ kind: 'finish', id: request.id }, recordOf('answered', request, {
        nowMs: event.nowMs, upstream: sending.upstream, status: event.status, sending: sending.number, runs: request.runs
      })])
  return _thenDispatch(ended, request.service, event.nowMs)
}

// Work that may be repeated, and a stream that nobody reads, is broken off; the rest is left to end.
function _abandon (state: ServingState, request: Request, nowMs: number): _Step {
  const sending = currentSending(request)
  const record = recordOf('left', request, { nowMs, runs: request.runs })
  if (sending !== undefined && !request.repeatable && !request.stream) return step(putRequest(state, { ...request, abandoned: true }), [record])
  const cancelled: readonly ServingEffect[] = sending === undefined ? [] : [{ kind: 'cancel', id: request.id, sending: sending.number }]
  return _thenDispatch(step(removeRequest(state, request, nowMs), [...cancelled, record]), request.service, nowMs)
}

type _PlacesChanged = Extract<ServingEvent, { kind: 'places_changed' }>

function _changePlaces (state: ServingState, event: _PlacesChanged): _Step {
  const { nowMs, places, expected, version } = event
  const restarted = [...places.values()].filter((place) => {
    const before = state.places.get(place.upstream)
    return before !== undefined && before.incarnation < place.incarnation
  })
  const changed: ServingState = { ...state, places, expected, expectedAtMs: nowMs, placesVersion: version }
  // What was learnt of a process does not hold for its successor.
  const fresh = restarted.reduce((known, place) => changeLoad(known, place.upstream, (load) => ({
    ...load, avoidedUntilMs: -Infinity, strikes: 0, failureShare: 0, firstByteMs: 0, absentUntilMs: new Map()
  })), changed)
  return dispatchAll(fresh, nowMs)
}

type _OthersHeard = Extract<ServingEvent, { kind: 'others_heard' }>

function _hearOthers (state: ServingState, event: _OthersHeard): ServingState {
  const running = new Map(event.loads.map((load) => [load.upstream, load.running]))
  const known = { ...state, instances: event.instances }
  return [...state.places.keys()].reduce((next, upstream) => {
    const others = running.get(upstream) ?? 0
    return placeLoad(next, upstream).others === others ? next : changeLoad(next, upstream, (load) => ({ ...load, others }))
  }, known)
}

type _CrashesHeard = Extract<ServingEvent, { kind: 'crashes_heard' }>

function _hearCrashes (state: ServingState, event: _CrashesHeard): ServingState {
  return event.fingerprints.reduce((known, [fingerprint, crashes]) => {
    if (crashesOf(known, fingerprint, event.nowMs) >= crashes) return known
    return { ...known, crashes: HashMap.set(known.crashes, fingerprint, { crashes, atMs: event.nowMs }) }
  }, state)
}

// Deadlines of requests that wait are kept by the dispatch, those of requests that run here.
function _tick (state: ServingState, nowMs: number): _Step {
  const overdue = [...HashMap.values(state.requests)].filter((request) => {
    return request.deadlineMs <= nowMs && (request.phase !== 'waiting' || request.abandoned)
  })
  const ended = overdue.reduce<_Step>((known, request) => {
    const refused = refuseRequest(known.state, request, { reason: 'deadline_running', nowMs })
    return step(refused.state, [...known.effects, ...refused.effects])
  }, step(state))
  const dispatched = dispatchAll(ended.state, nowMs)
  return step(dispatched.state, [...ended.effects, ...dispatched.effects])
}
