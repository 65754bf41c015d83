import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { updateCustomer } from './_customer_load.ts'
import { refusal, type RefusalReason } from './refusal.ts'
import type { Attempt, Request } from './request.ts'
import type { RecordedOutcome } from './request_event.ts'
import type { RequestEffect } from './request_effect.ts'
import { upstreamLoad, type RequestsState } from './requests_state.ts'

/** Weight of the latest duration in the moving average. */
const DURATION_WEIGHT = 0.2

type _Step = Step<RequestsState, RequestEffect>

/** Returns the key of a target's queue. */
export function targetKey (request: Pick<Request, 'target'>): string {
  return `${request.target.kind}/${request.target.name}`
}

/** Returns the attempt in flight. */
export function currentAttempt (request: Request): Attempt | undefined {
  const inFlight = request.phase === 'sent' || request.phase === 'responding'
  return inFlight ? request.attempts.at(-1) : undefined
}

/** Removes a request from the queue of its target. */
export function dequeueRequest (state: RequestsState, request: Request): RequestsState {
  const key = targetKey(request)
  const queue = Option.getOrElse(HashMap.get(state.waiting, key), () => [])
  const rest = queue.filter((id) => id !== request.id)
  const waiting = rest.length === 0 ? HashMap.remove(state.waiting, key) : HashMap.set(state.waiting, key, rest)
  return { ...state, waiting }
}

/** Releases the slot of a request's current attempt. */
export function releaseSlot (state: RequestsState, request: Request, nowMs: number): RequestsState {
  const attempt = currentAttempt(request)
  if (attempt === undefined) return state
  const load = upstreamLoad(state, attempt.upstream)
  const upstreams = HashMap.set(state.upstreams, attempt.upstream, { ...load, ownRequests: Math.max(0, load.ownRequests - 1) })
  const released = updateCustomer({ ...state, upstreams }, request.customer, (customer) => ({
    ...customer, runningRequests: customer.runningRequests - 1
  }))
  return { ...released, upstreamByFingerprint: HashMap.remove(released.upstreamByFingerprint, request.fingerprint), usedAtMs: _recordUse(released, request, nowMs) }
}

function _recordUse (state: RequestsState, request: Request, nowMs: number): RequestsState['usedAtMs'] {
  return request.target.kind === 'model' ? HashMap.set(state.usedAtMs, request.target.name, nowMs) : state.usedAtMs
}

function _removeRequest (state: RequestsState, request: Request, nowMs: number): RequestsState {
  const released = releaseSlot(dequeueRequest(state, request), request, nowMs)
  const removed = updateCustomer(released, request.customer, (customer) => ({ ...customer, openRequests: customer.openRequests - 1 }))
  return { ...removed, requests: HashMap.remove(removed.requests, request.id) }
}

/** Options of {@linkcode refuseRequest}. */
export interface RefuseOptions {
  readonly reason: RefusalReason
  readonly nowMs: number
  readonly retryAfterMs?: number
}

/** Ends an open request with a refusal and cancels its attempt in flight. */
export function refuseRequest (state: RequestsState, request: Request, options: RefuseOptions): _Step {
  const attempt = currentAttempt(request)
  const mayHaveRun = request.mayHaveRun || attempt !== undefined
  const refusalOptions = options.retryAfterMs === undefined ? { mayHaveRun } : { mayHaveRun, retryAfterMs: options.retryAfterMs }
  const effects: RequestEffect[] = [
    { kind: 'refuse', id: request.id, refusal: refusal(options.reason, refusalOptions) },
    { kind: 'count', metric: `refused.${options.reason}`, request }
  ]
  if (attempt !== undefined) effects.push({ kind: 'cancel', id: request.id, attempt: attempt.number })
  return step(_removeRequest(state, request, options.nowMs), [...effects, ..._settleOrReleaseClaim(request, mayHaveRun, options.reason)])
}

// Reasons of requests that were not granted the claim. Another request with the same key may hold it, so it must not be changed.
const REASONS_WITHOUT_CLAIM: readonly RefusalReason[] = ['claim_busy', 'claim_unknown', 'claim_full', 'key_reused']

function _settleOrReleaseClaim (request: Request, mayHaveRun: boolean, reason: RefusalReason): readonly RequestEffect[] {
  if (request.idempotent || request.idempotencyKey === undefined || REASONS_WITHOUT_CLAIM.includes(reason)) return []
  if (mayHaveRun) return [{ kind: 'settle_claim', request, outcome: undefined }]
  return [{ kind: 'release_claim', request }]
}

/** Options of {@linkcode completeRequest}. */
export interface CompletionOptions {
  readonly nowMs: number
  /** Number of tokens in the response. */
  readonly tokens: number
  /** The response, to be recorded under the idempotency key. */
  readonly outcome: RecordedOutcome | undefined
}

/** Ends an open request whose response is complete. */
export function completeRequest (state: RequestsState, request: Request, options: CompletionOptions): _Step {
  const attempt = currentAttempt(request)
  const charged = updateCustomer(state, request.customer, (customer) => ({
    ...customer, tokenBucket: { ...customer.tokenBucket, tokens: customer.tokenBucket.tokens - options.tokens }
  }))
  const started = request.phase === 'sent' ? recordStart(charged, request, options.nowMs) : charged
  const recorded = attempt === undefined ? started : _recordDuration(started, request, { attempt, nowMs: options.nowMs })
  const effects: RequestEffect[] = [
    { kind: 'deliver', id: request.id, attempt: attempt?.number ?? 0 },
    { kind: 'count', metric: 'answered', request }
  ]
  if (!request.idempotent && request.idempotencyKey !== undefined) {
    effects.push({ kind: 'settle_claim', request, outcome: options.outcome })
  }
  if (request.suspect) effects.push({ kind: 'clear_suspect', request })
  return step(_removeRequest(recorded, request, options.nowMs), effects)
}

interface _CompletedAttempt {
  readonly attempt: Attempt
  readonly nowMs: number
}

function _recordDuration (state: RequestsState, request: Request, { attempt, nowMs }: _CompletedAttempt): RequestsState {
  const load = upstreamLoad(state, attempt.upstream)
  const elapsedMs = nowMs - attempt.sentAtMs
  const single = request.idempotent ? {} : { singleRunMs: _average(load.singleRunMs, elapsedMs), singleRunAtMs: nowMs }
  const recorded = { ...load, durationMs: _average(load.durationMs, elapsedMs), ...single }
  return { ...state, upstreams: HashMap.set(state.upstreams, attempt.upstream, recorded) }
}

/** Records how long the upstream of a request was silent before its response started. */
export function recordStart (state: RequestsState, request: Request, nowMs: number): RequestsState {
  const attempt = currentAttempt(request)
  if (attempt === undefined) return state
  const load = upstreamLoad(state, attempt.upstream)
  const silenceMs = _average(load.silenceMs, nowMs - attempt.sentAtMs)
  return { ...state, upstreams: HashMap.set(state.upstreams, attempt.upstream, { ...load, silenceMs }) }
}

function _average (averageMs: number, elapsedMs: number): number {
  return averageMs === 0 ? elapsedMs : averageMs + DURATION_WEIGHT * (elapsedMs - averageMs)
}

/** Ends an open request with the response recorded for an earlier request with the same key. */
export function replayRequest (state: RequestsState, request: Request, options: ReplayOptions): _Step {
  return step(_removeRequest(state, request, options.nowMs), [
    { kind: 'replay_outcome', id: request.id, outcome: options.outcome },
    { kind: 'count', metric: 'replayed', request }
  ])
}

/** Options of {@linkcode replayRequest}. */
export interface ReplayOptions {
  readonly outcome: RecordedOutcome
  readonly nowMs: number
}

/** Ends an open request whose caller has disconnected; cancels its attempt only if the request is idempotent. */
export function abandonRequest (state: RequestsState, request: Request, nowMs: number): _Step {
  const attempt = currentAttempt(request)
  // A request that is not idempotent runs on, so that its outcome is recorded for a retry by the caller.
  if (attempt !== undefined && !request.idempotent) return step(state)
  const effects: RequestEffect[] = [{ kind: 'count', metric: 'caller_left', request }]
  if (attempt !== undefined) effects.push({ kind: 'cancel', id: request.id, attempt: attempt.number })
  return step(_removeRequest(state, request, nowMs), [...effects, ..._settleOrReleaseClaim(request, request.mayHaveRun, 'deadline_waiting')])
}
