import { HashMap } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { enqueueRequest, untriedUpstream } from './_dispatch_requests.ts'
import { currentAttempt, releaseSlot, refuseRequest } from './_finish_request.ts'
import { suspectFingerprint } from './_suspects.ts'
import type { RefusalReason } from './refusal.ts'
import type { Attempt, Request } from './request.ts'
import type { AttemptFailure } from './request_event.ts'
import type { RequestEffect } from './request_effect.ts'
import { upstreamLoad, type RequestsState } from './requests_state.ts'
import { backoffMs, withdrawRetry } from './retry_budget.ts'

/** Time for which a failed upstream receives no requests, unless a check clears it earlier, in ms. */
const SUSPICION_MS = 3000

type _Step = Step<RequestsState, RequestEffect>

const REASON_BY_FAILURE: Readonly<Record<AttemptFailure, RefusalReason>> = {
  not_connected: 'no_upstream',
  refused: 'no_upstream',
  broken: 'upstream_broken',
  stale: 'upstream_broken',
  silent: 'upstream_silent',
  crossed: 'answer_crossed',
  truncated: 'answer_truncated'
}

/** Options of {@linkcode failAttempt}. */
export interface FailureOptions {
  readonly failure: AttemptFailure
  readonly upstream: string
  readonly nowMs: number
  readonly random: number
}

/**
 * Judges the silence of an attempt's upstream: gives the attempt up if another one can really follow.
 *
 * A sound upstream may need longer than the progress timeout. An attempt that no other can replace goes on until the deadline.
 */
export function reviewSilence (state: RequestsState, request: Request, nowMs: number): _Step {
  const attempt = currentAttempt(request)
  if (attempt === undefined) return step(state)
  const check: RequestEffect = { kind: 'check_upstream', upstream: attempt.upstream }
  if (!_canFollow(state, request, { attempt, nowMs })) {
    const silent: Request = { ...request, attempts: [...request.attempts.slice(0, -1), { ...attempt, silent: true }] }
    return step({ ...state, requests: HashMap.set(state.requests, request.id, silent) }, [check])
  }
  const released = _suspectUpstream(releaseSlot(state, request, nowMs), { failure: 'silent', upstream: attempt.upstream, nowMs })
  const retryBudget = withdrawRetry(state.retryBudget) ?? state.retryBudget
  const next = enqueueRequest({ ...released, retryBudget }, { ...request, mayHaveRun: true }, nowMs)
  return step(next.state, [
    { kind: 'cancel', id: request.id, attempt: attempt.number },
    check,
    { kind: 'count', metric: 'retried.silent', request },
    ...next.effects
  ])
}

interface _SilentAttempt {
  readonly attempt: Attempt
  readonly nowMs: number
}

function _canFollow (state: RequestsState, request: Request, { attempt, nowMs }: _SilentAttempt): boolean {
  // A suspect would need another permit, which the silent attempt holds.
  if (request.phase !== 'sent' || !request.idempotent || request.suspect) return false
  if (request.attempts.length >= state.rules.maxAttempts || withdrawRetry(state.retryBudget) === undefined) return false
  if (nowMs - attempt.sentAtMs <= upstreamLoad(state, attempt.upstream).silenceMs) return false
  const other = untriedUpstream(state, request, nowMs)
  return other !== undefined && nowMs + upstreamLoad(state, other).durationMs < request.deadlineMs
}

/** Ends a failed attempt; schedules a retry of the request or refuses it. */
export function failAttempt (state: RequestsState, request: Request, options: FailureOptions): _Step {
  const notRun = options.failure === 'not_connected' || options.failure === 'refused'
  const responding = request.phase === 'responding'
  const released = _suspectUpstream(releaseSlot(state, request, options.nowMs), options)
  const failed: Request = {
    ...request,
    phase: 'backing_off',
    mayHaveRun: request.mayHaveRun || !notRun,
    suspect: request.suspect || _indicatesCrash(options.failure)
  }
  const recorded = _indicatesCrash(options.failure) ? suspectFingerprint(released, request.fingerprint, options.nowMs) : released
  const updated: RequestsState = { ...recorded, requests: HashMap.set(recorded.requests, request.id, failed) }
  const effects = _failureEffects(failed, options)
  const next = responding ? _refuse(updated, failed, options) : _retryOrRefuse(updated, failed, options)
  return step(next.state, [...effects, ...next.effects])
}

// Failures that do not indicate a fault of the upstream.
const FAILURES_WITHOUT_SUSPICION: readonly AttemptFailure[] = ['refused', 'crossed', 'stale']

function _indicatesCrash (failure: AttemptFailure): boolean {
  return failure === 'broken' || failure === 'truncated'
}

function _suspectUpstream (state: RequestsState, options: Omit<FailureOptions, 'random'>): RequestsState {
  if (FAILURES_WITHOUT_SUSPICION.includes(options.failure)) return state
  const load = upstreamLoad(state, options.upstream)
  const suspected = { ...load, suspectedUntilMs: options.nowMs + SUSPICION_MS }
  return { ...state, upstreams: HashMap.set(state.upstreams, options.upstream, suspected) }
}

function _failureEffects (request: Request, options: FailureOptions): readonly RequestEffect[] {
  const effects: RequestEffect[] = []
  if (options.failure !== 'refused') effects.push({ kind: 'check_upstream', upstream: options.upstream })
  if (_indicatesCrash(options.failure)) effects.push({ kind: 'record_crash', request, upstream: options.upstream })
  return effects
}

function _refuse (state: RequestsState, request: Request, options: FailureOptions): _Step {
  return refuseRequest(state, request, { reason: REASON_BY_FAILURE[options.failure], nowMs: options.nowMs })
}

function _retryOrRefuse (state: RequestsState, request: Request, options: FailureOptions): _Step {
  if (!request.idempotent && request.mayHaveRun) return _refuse(state, request, options)
  if (request.attempts.length >= state.rules.maxAttempts) return _refuse(state, request, options)
  const budget = withdrawRetry(state.retryBudget)
  if (budget === undefined) return refuseRequest(state, request, { reason: 'retry_budget', nowMs: options.nowMs })
  const atMs = options.nowMs + backoffMs(request.attempts.length, options.random)
  if (atMs >= request.deadlineMs) return _refuse(state, request, options)
  return step({ ...state, retryBudget: budget }, [
    { kind: 'set_timer', id: request.id, timer: 'retry', atMs },
    { kind: 'count', metric: `retried.${options.failure}`, request }
  ])
}
