import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { customerLoad } from './_customer_load.ts'
import { candidatesFor, enqueueRequest } from './_dispatch_requests.ts'
import { refuseRequest, targetKey } from './_finish_request.ts'
import { requestPermit } from './_suspects.ts'
import { isInService } from './choose_upstream.ts'
import { refusal, type RefusalReason } from './refusal.ts'
import type { ReceivedRequest, Request } from './request.ts'
import type { RequestEffect } from './request_effect.ts'
import { upstreamLoad, type CustomerLoad, type RequestsState } from './requests_state.ts'
import { depositRetry } from './retry_budget.ts'
import type { CustomerRules } from './rules.ts'

const MS_PER_SECOND = 1000

type _Step = Step<RequestsState, RequestEffect>

interface _RefusalCause {
  readonly reason: RefusalReason
  readonly retryAfterMs?: number
}

/** Admits a received request, or refuses it before any work is done for it. */
export function admitRequest (state: RequestsState, received: ReceivedRequest, nowMs: number): _Step {
  const suspect = HashMap.has(state.suspects, received.fingerprint)
  const request: Request = { ...received, phase: 'waiting', attempts: [], mayHaveRun: false, suspect }
  const rules = state.rules.customers.get(request.customer)
  const cause = _checkAdmission(state, request, { rules, nowMs })
  if (cause !== undefined || rules === undefined) {
    return _refuseOnArrival(state, request, cause ?? { reason: 'unknown_target' })
  }
  const shed = _shedIfFull(state, request, nowMs)
  if (shed === undefined) return _refuseOnArrival(state, request, { reason: 'queue_full', retryAfterMs: MS_PER_SECOND })
  const accepted = _acceptRequest(shed.state, request, { rules, nowMs })
  return step(accepted.state, [...shed.effects, ...accepted.effects])
}

function _refuseOnArrival (state: RequestsState, request: Request, cause: _RefusalCause): _Step {
  const retry = cause.retryAfterMs === undefined ? {} : { retryAfterMs: cause.retryAfterMs }
  return step(state, [
    { kind: 'refuse', id: request.id, refusal: refusal(cause.reason, { mayHaveRun: false, ...retry }) },
    { kind: 'count', metric: `refused.${cause.reason}`, request }
  ])
}

interface _AdmissionContext {
  readonly rules: CustomerRules | undefined
  readonly nowMs: number
}

function _checkAdmission (state: RequestsState, request: Request, context: _AdmissionContext): _RefusalCause | undefined {
  if (state.draining) return { reason: 'shutting_down', retryAfterMs: 0 }
  if (!_targetExists(state, request) || context.rules === undefined) return { reason: 'unknown_target' }
  if (request.deadlineMs <= context.nowMs) return { reason: 'deadline_waiting' }
  return _checkLimits(state, customerLoad(state, context.rules, context.nowMs), context.rules) ??
    _checkQueueWait(state, request, context.nowMs)
}

function _targetExists (state: RequestsState, request: Request): boolean {
  const { kind, name } = request.target
  return kind === 'model' ? state.rules.models.has(name) : state.rules.services.has(name)
}

function _checkLimits (state: RequestsState, load: CustomerLoad, rules: CustomerRules): _RefusalCause | undefined {
  if (load.requestBucket.tokens < 1) {
    const retryAfterMs = (1 - load.requestBucket.tokens) * MS_PER_SECOND * state.instanceCount / rules.requests.perSecond
    return { reason: 'rate_limit', retryAfterMs }
  }
  if (load.tokenBucket.tokens <= 0) {
    return { reason: 'token_limit', retryAfterMs: -load.tokenBucket.tokens * MS_PER_SECOND * state.instanceCount / rules.tokens.perSecond }
  }
  const concurrency = Math.max(1, Math.floor(rules.concurrency / state.instanceCount))
  return load.openRequests >= concurrency ? { reason: 'concurrency_limit', retryAfterMs: MS_PER_SECOND } : undefined
}

// Refuses a request early if its expected wait and duration exceed its deadline; it would only time out in the queue.
function _checkQueueWait (state: RequestsState, request: Request, nowMs: number): _RefusalCause | undefined {
  const ahead = _countAhead(state, request)
  const candidates = candidatesFor(state, targetKey(request))
    .filter((name) => state.rules.upstreams.has(name) && isInService(upstreamLoad(state, name), nowMs))
  if (ahead === 0 || candidates.length === 0) return undefined
  const answersPerMs = candidates.reduce((sum, name) => {
    return sum + (state.rules.upstreams.get(name)?.slots ?? 0) / state.instanceCount / upstreamLoad(state, name).durationMs
  }, 0)
  // An upstream that has answered nothing yet makes the rate infinite, and the wait 0.
  const waitMs = ahead / answersPerMs
  const durationMs = Math.min(...candidates.map((name) => upstreamLoad(state, name).durationMs))
  if (nowMs + waitMs + durationMs <= request.deadlineMs) return undefined
  return { reason: 'overloaded', retryAfterMs: waitMs }
}

function _countAhead (state: RequestsState, request: Request): number {
  return _queuedRequests(state, request).filter((other) => other.priority >= request.priority).length
}

function _queuedRequests (state: RequestsState, request: Request): readonly Request[] {
  const ids = Option.getOrElse(HashMap.get(state.waiting, targetKey(request)), () => [])
  return ids.flatMap((id) => Option.toArray(HashMap.get(state.requests, id)))
}

// A full queue sheds its least urgent request, the latest deadline first, for a more urgent one.
function _shedIfFull (state: RequestsState, request: Request, nowMs: number): _Step | undefined {
  const queued = _queuedRequests(state, request)
  if (queued.length < state.rules.maxWaiting) return step(state)
  const leastUrgent = [...queued].sort((a, b) => a.priority - b.priority || b.deadlineMs - a.deadlineMs)[0]
  if (leastUrgent === undefined || leastUrgent.priority >= request.priority) return undefined
  return refuseRequest(state, leastUrgent, { reason: 'shed', nowMs, retryAfterMs: MS_PER_SECOND })
}

interface _AcceptOptions {
  readonly rules: CustomerRules
  readonly nowMs: number
}

function _acceptRequest (state: RequestsState, request: Request, options: _AcceptOptions): _Step {
  const load = customerLoad(state, options.rules, options.nowMs)
  const requestBucket = { ...load.requestBucket, tokens: load.requestBucket.tokens - 1 }
  const charged: RequestsState = {
    ...state,
    retryBudget: depositRetry(state.retryBudget),
    customers: HashMap.set(state.customers, request.customer, { ...load, requestBucket, openRequests: load.openRequests + 1 })
  }
  const deadlineTimer: RequestEffect = { kind: 'set_timer', id: request.id, timer: 'deadline', atMs: request.deadlineMs }
  if (!request.idempotent && request.idempotencyKey !== undefined) {
    const claiming: Request = { ...request, phase: 'claiming' }
    const next = { ...charged, requests: HashMap.set(charged.requests, request.id, claiming) }
    return step(next, [deadlineTimer, { kind: 'claim', request: claiming }])
  }
  const queued = request.suspect ? requestPermit(charged, request) : enqueueRequest(charged, request, options.nowMs)
  return step(queued.state, [deadlineTimer, ...queued.effects])
}
