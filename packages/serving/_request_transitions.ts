import { observeOutcome as addOutcome } from '@berylshed/outliers'
import { HashMap } from 'effect'
import { refundRequest } from '@berylshed/limits'
import { step, type Step } from '@berylshed/reducer'
import { adapterKey } from '@berylshed/scheduler'
import type { TargetLoad } from './routing_target.ts'
import { refusal, type RefusalReason } from './refusal.ts'
import { currentAttempt, type Request } from './request.ts'
import { observeDuration } from './route_duration.ts'
import type { ServingEffect, ServingRecord } from './serving_effect.ts'
import { updateTargetLoad, type ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/** Weight of the newest outcome in an upstream's averages. */
const SMOOTHING_FACTOR = 0.15
/**
 * Weight of a counted failure in the share of failures. At 0.15 an upstream that broke an attempt after some ms was chosen again, as the
 * failure left it idle: the penalty has to exceed the difference between an idle and a busy upstream.
 */
const FAILURE_WEIGHT = 0.5
/** Time after which the weight of earlier first bytes has halved in the recent average, in ms; slow phases last seconds. */
const RECENT_HALF_LIFE_MS = 500

/** Stores a request. */
export function putRequest (state: ServingState, request: Request): ServingState {
  return { ...state, requests: HashMap.set(state.requests, request.id, request) }
}

/** Takes a request out of its queue. */
export function dequeueRequest (state: ServingState, request: Request): ServingState {
  const queue = state.waiting.get(request.service)
  if (queue === undefined || !queue.includes(request.id)) return state
  const rest = queue.filter((id) => id !== request.id)
  const waiting = new Map(state.waiting)
  if (rest.length === 0) waiting.delete(request.service)
  else waiting.set(request.service, rest)
  return { ...state, waiting }
}

/** Releases the slot that the current attempt occupies on its upstream. */
export function releaseSlot (state: ServingState, request: Request, nowMs: number): ServingState {
  const attempt = currentAttempt(request)
  if (attempt === undefined) return state
  const freed = updateTargetLoad(state, attempt.upstream, (load) => ({
    ...load, ownRequests: Math.max(0, load.ownRequests - 1), unanswered: request.phase === 'sent' ? Math.max(0, load.unanswered - 1) : load.unanswered
  }))
  return attempt.relay === undefined ? recordAdapterUse(freed, request, { upstream: attempt.upstream, nowMs }) : freed
}

/** Time for which a cancelled request may go on at an upstream whose response times are not known, in ms: a round trip and a short job. */
const MIN_CANCELLED_MS = 100
/** Time for which a cancelled request may go on, as a multiple of the average time to the first byte. */
const CANCELLED_FACTOR = 2

/** Notes that the current attempt is cancelled, while its upstream may not have learnt of it yet or run it to the end. */
export function noteCancelled (state: ServingState, request: Request, nowMs: number): ServingState {
  const attempt = currentAttempt(request)
  if (attempt === undefined || attempt.relay !== undefined) return state
  return updateTargetLoad(state, attempt.upstream, (load) => {
    const untilMs = nowMs + Math.max(MIN_CANCELLED_MS, CANCELLED_FACTOR * load.firstByteMs)
    return { ...load, cancelledUntilMs: [...load.cancelledUntilMs.filter((otherMs) => otherMs > nowMs), untilMs] }
  })
}

/** Records the time of the last use of an adapter. */
export function recordAdapterUse (state: ServingState, request: Request, use: { readonly upstream: string, readonly nowMs: number }): ServingState {
  if (request.model === undefined || request.adapter === undefined) return state
  const key = adapterKey(use.upstream, request.model, { adapter: request.adapter })
  return { ...state, adapterUsedAtMs: HashMap.set(state.adapterUsedAtMs, key, use.nowMs) }
}

/** Removes a request that has reached its outcome; one that was broken off would have taken as long at least. */
export function removeRequest (state: ServingState, request: Request, nowMs: number): ServingState {
  const released = releaseSlot(dequeueRequest(state, request), request, nowMs)
  const [first] = request.attempts
  const routeDurations = first === undefined ? released.routeDurations : observeDuration(released.routeDurations, request.route, nowMs - first.sentAtMs)
  return _refundUnrun({ ...released, routeDurations, requests: HashMap.remove(released.requests, request.id) }, request)
}

// A request that certainly has not run does not count against its customer's quota.
function _refundUnrun (state: ServingState, request: Request): ServingState {
  const { customer, chargedUnits = 0, runs } = request
  if (customer === undefined || chargedUnits === 0 || runs > 0) return state
  return { ...state, quotas: refundRequest(state.quotas, { customer, units: chargedUnits }) }
}

/** Outcome of an attempt at an upstream. */
export interface ObservedOutcome {
  readonly failed: boolean
  readonly firstByteMs?: number
  /** Local time at which the attempt was sent, in ms; absent if the outcome does not tell whether the upstream breaks what it gets. */
  readonly sentAtMs?: number
  readonly nowMs: number
}

/** Updates the observed load of an upstream with the outcome of an attempt. */
export function observeOutcome (load: TargetLoad, outcome: ObservedOutcome): TargetLoad {
  const { failed, sentAtMs, nowMs } = outcome
  const weight = failed && sentAtMs !== undefined ? FAILURE_WEIGHT : SMOOTHING_FACTOR
  const failureShare = load.failureShare + weight * ((failed ? 1 : 0) - load.failureShare)
  const outcomes = sentAtMs === undefined ? load.outcomes : addOutcome(load.outcomes, { failed, sentAtMs, atMs: nowMs })
  const observed = outcome.firstByteMs === undefined ? load : observeFirstByte(load, outcome.firstByteMs, nowMs)
  return { ...observed, failureShare, outcomes, observedAtMs: nowMs }
}

/** Adds the pace of a stream that has ended, in ms per token, to the average of its upstream. */
export function observeTokens (load: TargetLoad, tokenMs: number): TargetLoad {
  return { ...load, tokenMs: load.tokenMs === 0 ? tokenMs : load.tokenMs + SMOOTHING_FACTOR * (tokenMs - load.tokenMs) }
}

/** Adds the time to the first byte of a response, in ms, to the averages of its upstream. */
export function observeFirstByte (load: TargetLoad, firstByteMs: number, nowMs: number): TargetLoad {
  if (load.firstByteMs === 0) return { ...load, firstByteMs, recentFirstByteMs: firstByteMs }
  // Instances see few responses of each upstream, so that one after a pause tells more of a slow phase than those before it.
  const weight = Math.max(SMOOTHING_FACTOR, 1 - 0.5 ** (Math.max(0, nowMs - load.observedAtMs) / RECENT_HALF_LIFE_MS))
  return {
    ...load,
    firstByteMs: load.firstByteMs + SMOOTHING_FACTOR * (firstByteMs - load.firstByteMs),
    recentFirstByteMs: load.recentFirstByteMs + weight * (firstByteMs - load.recentFirstByteMs)
  }
}

/** Builds the effect that records a decision about a request. */
export function requestRecord (what: ServingRecord['what'], request: Request, fields: Omit<ServingRecord, 'what'> & { readonly nowMs: number }): ServingEffect {
  const { nowMs, ...rest } = fields
  const modelFields = request.model === undefined ? {} : { model: request.model, ...request.adapter === undefined ? {} : { adapter: request.adapter } }
  const customerFields = request.customer === undefined ? {} : { customer: request.customer }
  return {
    kind: 'record',
    record: {
      what, request: request.callerId, route: request.route, ...customerFields, ...modelFields, elapsedMs: nowMs - request.arrivedAtMs, leftMs: request.deadlineMs - nowMs, ...rest
    }
  }
}

/** Returns the fields of a record that name the attempt in progress. */
export function attemptFields (request: Request): Pick<ServingRecord, 'upstream' | 'sending'> {
  const attempt = currentAttempt(request)
  return attempt === undefined ? {} : { upstream: attempt.upstream, sending: attempt.number }
}

/** Details of a refusal. */
export interface RefusalDetails {
  readonly reason: RefusalReason
  readonly nowMs: number
  readonly retryAfterMs?: number
  readonly detail?: string
  /** Further fields of the record. */
  readonly fields?: Partial<ServingRecord>
}

/**
 * Ends a request without a successful response.
 *
 * A response that has started is aborted. Otherwise the caller gets the kept error response if there is one, or a refusal.
 */
export function refuseRequest (state: ServingState, request: Request, details: RefusalDetails): _Step {
  const { nowMs, reason } = details
  const attempt = currentAttempt(request)
  const cancelled: readonly ServingEffect[] = attempt === undefined ? [] : [{ kind: 'cancel', id: request.id, attempt: attempt.number }]
  const removed = removeRequest(noteCancelled(state, request, nowMs), request, nowMs)
  const detail = details.detail === undefined ? {} : { detail: details.detail }
  const fields = { nowMs, reason, runs: request.runs, ...attemptFields(request), ...detail, ...details.fields }
  if (request.abandoned) return step(removed, [...cancelled, requestRecord('ended', request, fields)])
  if (request.phase === 'responding' || request.phase === 'interrupted') {
    return step(removed, [...cancelled, { kind: 'abort', id: request.id }, requestRecord('broken_off', request, fields)])
  }
  if (request.hasErrorResponse && attempt === undefined) return step(removed, [{ kind: 'finish', id: request.id }, requestRecord('answered', request, { ...fields, status: UPSTREAM_ERROR_STATUS })])
  const mayHaveRun = request.runs > 0
  const retry = details.retryAfterMs === undefined || mayHaveRun ? {} : { retryAfterMs: details.retryAfterMs }
  const refused = refusal(reason, { mayHaveRun, ...retry })
  return step(removed, [...cancelled, { kind: 'refuse', id: request.id, refusal: refused }, requestRecord('refused', request, { ...fields, status: refused.status })])
}

/** Status that is logged when a kept error response is delivered. */
const UPSTREAM_ERROR_STATUS = 500
