import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { admitRequest } from './_admit_request.ts'
import { checkSuspected } from './_check_suspected.ts'
import { requestPermit, suspectFingerprint } from './_suspects.ts'
import { dispatchAll, dispatchTarget, enqueueRequest } from './_dispatch_requests.ts'
import { failAttempt, reviewSilence } from './_fail_attempt.ts'
import { abandonRequest, completeRequest, currentAttempt, recordStart, refuseRequest, replayRequest, targetKey } from './_finish_request.ts'
import type { RefusalReason } from './refusal.ts'
import type { Request } from './request.ts'
import type { ClaimAnswer, RequestEvent } from './request_event.ts'
import type { RequestEffect } from './request_effect.ts'
import { upstreamLoad, type RequestsState } from './requests_state.ts'
import { backoffMs } from './retry_budget.ts'
import type { UpstreamLoad } from './upstream_load.ts'

type _Step = Step<RequestsState, RequestEffect>

/**
 * Applies one event to the requests of an instance.
 *
 * Each request ends exactly once: with the count `answered`, `replayed` or `caller_left`, or with a `refuse` effect.
 *
 * @param state The current state.
 * @param event The event to apply.
 * @returns The next state and the effects to carry out.
 *
 * @example
 * ```ts
 * const { effects } = reduceRequests(state, { kind: 'received', request, nowMs: 0 })
 * ```
 */
export function reduceRequests (state: RequestsState, event: RequestEvent): _Step {
  switch (event.kind) {
    case 'received': return admitRequest(state, event.request, event.nowMs)
    case 'residency_changed': return _updateResidencies(state, event)
    case 'estimate_received': return _applyEstimate(state, event)
    case 'upstream_reported': return _applyReport(state, event)
    case 'upstream_listed': return step(_updateLoad(state, event.upstream, (load) => ({ ...load, withdrawn: event.withdrawn })))
    case 'upstream_suspected': return step(_updateLoad(state, event.upstream, (load) => ({
      ...load, suspectedUntilMs: Math.max(load.suspectedUntilMs, event.nowMs + event.forMs)
    })))
    case 'upstream_cleared': return dispatchAll(_updateLoad(state, event.upstream, (load) => ({
      ...load, suspectedUntilMs: -Infinity
    })), event.nowMs)
    case 'fingerprint_suspected': return step(suspectFingerprint(state, event.fingerprint, event.nowMs))
    case 'rules_changed': return dispatchAll({ ...state, rules: event.rules, instanceCount: event.instanceCount }, event.nowMs)
    case 'draining': return step({ ...state, draining: true })
    case 'ticked': return _tick(state, event.nowMs)
    default: return _reduceRequestEvent(state, event)
  }
}

function _tick (state: RequestsState, nowMs: number): _Step {
  const dispatched = dispatchAll(state, nowMs)
  const checked = checkSuspected(dispatched.state, nowMs)
  return step(checked.state, [...dispatched.effects, ...checked.effects])
}

type _RequestEvent = Extract<RequestEvent, { readonly id: string }>

function _reduceRequestEvent (state: RequestsState, event: _RequestEvent): _Step {
  const request = Option.getOrUndefined(HashMap.get(state.requests, event.id))
  if (request === undefined) return step(state)
  switch (event.kind) {
    case 'claim_answered': return _applyClaim(state, request, event)
    case 'permit_answered': return _applyPermit(state, request, event)
    case 'response_started': return _startResponse(state, request, event)
    case 'response_ended': return _endResponse(state, request, event)
    case 'attempt_failed': return _failCurrentAttempt(state, request, event)
    case 'attempt_silent': return _isCurrentAttempt(request, event.attempt) ? _dispatchAfter(reviewSilence(state, request, event.nowMs), request, event.nowMs) : step(state)
    case 'caller_left': return _dispatchAfter(abandonRequest(state, request, event.nowMs), request, event.nowMs)
    case 'deadline_passed': return _expireRequest(state, request, event.nowMs)
    case 'retry_due': return _retry(state, request, event.nowMs)
  }
}

function _isCurrentAttempt (request: Request, attempt: number): boolean {
  return currentAttempt(request)?.number === attempt
}

type _ResponseStarted = Extract<RequestEvent, { kind: 'response_started' }>

function _startResponse (state: RequestsState, request: Request, event: _ResponseStarted): _Step {
  if (!_isCurrentAttempt(request, event.attempt)) return step(state)
  const recorded = recordStart(state, request, event.nowMs)
  const responding: Request = { ...request, phase: 'responding' }
  const effects: readonly RequestEffect[] = request.suspect ? [{ kind: 'yield_permit', request: responding }] : []
  return step({ ...recorded, requests: HashMap.set(recorded.requests, request.id, responding) }, effects)
}

type _ResponseEnded = Extract<RequestEvent, { kind: 'response_ended' }>

function _endResponse (state: RequestsState, request: Request, event: _ResponseEnded): _Step {
  if (!_isCurrentAttempt(request, event.attempt)) return step(state)
  return _dispatchAfter(completeRequest(state, request, event), request, event.nowMs)
}

type _AttemptFailed = Extract<RequestEvent, { kind: 'attempt_failed' }>

function _failCurrentAttempt (state: RequestsState, request: Request, event: _AttemptFailed): _Step {
  const attempt = currentAttempt(request)
  if (attempt === undefined || attempt.number !== event.attempt) return step(state)
  return _dispatchAfter(failAttempt(state, request, { ...event, upstream: attempt.upstream }), request, event.nowMs)
}

// A released slot can serve every target on that upstream; without an attempt no slot is released.
function _dispatchAfter (finished: _Step, request: Request, nowMs: number): _Step {
  const next = request.attempts.length === 0 ? dispatchTarget(finished.state, targetKey(request), nowMs) : dispatchAll(finished.state, nowMs)
  return step(next.state, [...finished.effects, ...next.effects])
}

const REASON_BY_CLAIM_ANSWER: Readonly<Record<Exclude<ClaimAnswer['kind'], 'granted' | 'completed'>, RefusalReason>> = {
  busy: 'claim_busy',
  unknown: 'claim_unknown',
  key_reused: 'key_reused',
  full: 'claim_full',
  unavailable: 'claim_unavailable'
}

type _ClaimAnswered = Extract<RequestEvent, { kind: 'claim_answered' }>

function _applyClaim (state: RequestsState, request: Request, event: _ClaimAnswered): _Step {
  if (request.phase !== 'claiming') return step(state)
  const { answer, nowMs } = event
  if (answer.kind === 'granted') return request.suspect ? requestPermit(state, request) : enqueueRequest(state, request, nowMs)
  if (answer.kind === 'completed') return replayRequest(state, request, { outcome: answer.outcome, nowMs })
  return refuseRequest(state, request, { reason: REASON_BY_CLAIM_ANSWER[answer.kind], nowMs })
}

type _PermitAnswered = Extract<RequestEvent, { kind: 'permit_answered' }>

function _applyPermit (state: RequestsState, request: Request, event: _PermitAnswered): _Step {
  if (request.phase !== 'claiming') return step(state)
  if (event.answer === 'granted') return enqueueRequest(state, request, event.nowMs)
  if (event.answer === 'refused') return refuseRequest(state, request, { reason: 'suspected_crash', nowMs: event.nowMs })
  const backingOff: Request = { ...request, phase: 'backing_off' }
  const atMs = event.nowMs + backoffMs(request.attempts.length + 2, event.random)
  return step({ ...state, requests: HashMap.set(state.requests, request.id, backingOff) }, [
    { kind: 'set_timer', id: request.id, timer: 'retry', atMs }
  ])
}

function _retry (state: RequestsState, request: Request, nowMs: number): _Step {
  if (request.phase !== 'backing_off') return step(state)
  return request.suspect ? requestPermit(state, request) : enqueueRequest(state, request, nowMs)
}

function _expireRequest (state: RequestsState, request: Request, nowMs: number): _Step {
  return _dispatchAfter(refuseRequest(state, request, { reason: _expiryReason(request), nowMs }), request, nowMs)
}

function _expiryReason (request: Request): RefusalReason {
  const attempt = currentAttempt(request)
  if (attempt === undefined) return 'deadline_waiting'
  return attempt.silent && request.phase === 'sent' ? 'upstream_silent' : 'deadline_running'
}

type _ResidencyChanged = Extract<RequestEvent, { kind: 'residency_changed' }>

function _updateResidencies (state: RequestsState, event: _ResidencyChanged): _Step {
  const residencies = HashMap.fromIterable(event.residencies.map((r) => [r.model, r.upstreams] as const))
  return dispatchAll({ ...state, residencies }, event.nowMs)
}

type _EstimateReceived = Extract<RequestEvent, { kind: 'estimate_received' }>

// Refuses the waiting requests whose deadline is earlier than the estimated end of the load.
function _applyEstimate (state: RequestsState, event: _EstimateReceived): _Step {
  if (event.state === 'loaded' || event.state === 'not_holder') return step(state)
  const key = targetKey({ target: { kind: 'model', name: event.model } })
  const ids = Option.getOrElse(HashMap.get(state.waiting, key), () => [])
  const late = ids.flatMap((id) => Option.toArray(HashMap.get(state.requests, id)))
    .filter((request) => request.deadlineMs < event.nowMs + event.readyInMs)
  const reason = event.state === 'no_room' ? 'no_room' : 'cold_start_too_long'
  return late.reduce<_Step>((previous, request) => {
    const refused = refuseRequest(previous.state, request, { reason, nowMs: event.nowMs, retryAfterMs: event.readyInMs })
    return step(refused.state, [...previous.effects, ...refused.effects])
  }, step(state))
}

type _UpstreamReported = Extract<RequestEvent, { kind: 'upstream_reported' }>

function _applyReport (state: RequestsState, event: _UpstreamReported): _Step {
  const updated = _updateLoad(state, event.upstream, (load) => ({
    ...load, otherRequests: Math.max(0, event.running - load.ownRequests), reportedAtMs: event.nowMs, leaving: event.leaving
  }))
  return dispatchAll(updated, event.nowMs)
}

function _updateLoad (state: RequestsState, upstream: string, update: (load: UpstreamLoad) => UpstreamLoad): RequestsState {
  return { ...state, upstreams: HashMap.set(state.upstreams, upstream, update(upstreamLoad(state, upstream))) }
}
