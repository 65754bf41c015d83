import { step, type Step } from '@berylshed/reducer'
import { demandKey } from '@berylshed/scheduler'
import { enqueueRequest, nextReceiver } from './_dispatch_requests.ts'
import { changeEvidence } from './_change_evidence.ts'
import { observeFailure } from './_eject_upstreams.ts'
import { forgetPrompts } from './_kept_prompts.ts'
import { isSuspectedRequest, recordCrash } from './_weigh_evidence.ts'
import { noteCancelled, releaseSlot, observeFirstByte, observeOutcome, putRequest, requestRecord, refuseRequest } from './_request_transitions.ts'
import type { TargetLoad } from './routing_target.ts'
import type { RefusalReason } from './refusal.ts'
import { noteFirstByte, patienceOf } from './patience.ts'
import { currentAttempt, hasAttemptsLeft, type Request, type Attempt } from './request.ts'
import { markUnreachable, noteContact, probeSilent } from './reach.ts'
import type { Relay } from './relay.ts'
import { EMPTY_RETRY_WINDOW, isRetryAllowed } from './retry_window.ts'
import { brittleService, ownershipOf } from './upstream_owner.ts'
import type { ServingEffect, ServingRecord } from './serving_effect.ts'
import type { AttemptFailure } from './serving_event.ts'
import { updateTargetLoad, type ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/** Time for which an upstream is avoided after the first failure, in ms; doubles with each consecutive one. */
const AVOID_MS = 400
/** Maximum time for which an upstream is avoided, in ms. */
const MAX_AVOID_MS = 3200
/** Time for which a model, adapter or plain upstream is treated as absent after an upstream reported so, in ms: two heartbeat intervals. */
const ABSENT_MS = 400
/** Time for which an upstream counts as full after it rejected a request, in ms: the mean age of other instances' reports. */
const FULL_MS = 300
/** Time over which brittle upstreams count rejections, in ms. */
const REJECTION_WINDOW_MS = 1000

const REASONS: Readonly<Record<AttemptFailure, RefusalReason>> = {
  not_connected: 'no_upstream',
  refused: 'no_capacity',
  misdirected: 'no_replica',
  broken: 'upstream_broken',
  silent: 'upstream_silent',
  crossed: 'answer_crossed',
  malformed: 'answer_malformed',
  upstream_error: 'attempts_used'
}

/** Failures after which the request certainly has not run. */
const NOT_RUN_FAILURES: readonly AttemptFailure[] = ['not_connected', 'refused', 'misdirected']

/** Failures in which the upstream responded. */
const RESPONDED_FAILURES: readonly AttemptFailure[] = ['refused', 'misdirected', 'crossed', 'malformed', 'upstream_error']

/** Failures that count against the upstream as one that breaks what it gets. */
const COUNTED_FAILURES: readonly AttemptFailure[] = ['broken', 'malformed', 'crossed', 'upstream_error']

/** Description of a failed attempt. */
export interface FailedAttempt {
  /** Number of the attempt. */
  readonly attempt: number
  readonly failure: AttemptFailure
  readonly detail: string
  readonly nowMs: number
}

/** Handles a failed attempt by retrying or ending the request. */
export function failAttempt (state: ServingState, request: Request, failed: FailedAttempt): _Step {
  const attempt = currentAttempt(request)
  if (attempt === undefined || attempt.number !== failed.attempt) return step(state)
  const { failure, nowMs, detail } = failed
  const responding = request.phase === 'responding'
  const next = _endAttempt(request, attempt, failed)
  const observed = _observeFailure(putRequest(releaseSlot(failure === 'silent' ? noteCancelled(state, request, nowMs) : state, request, nowMs), next), request, { attempt, failed })
  const blamed = failure === 'broken' && !responding && attempt.relay === undefined ? _blame(observed.state, request, { attempt, nowMs }) : step<ServingState, ServingEffect>(observed.state)
  const record = requestRecord('failed', next, { nowMs, upstream: attempt.upstream, reason: failure, detail, sending: attempt.number, runs: next.runs, ..._traceFields(request, failed), ..._patienceFields(state, request, failed) })
  const followUp = _retryOrRefuse(blamed.state, next, { ...failed, relay: attempt.relay })
  return step(followUp.state, [record, ...observed.effects, ...blamed.effects, ...followUp.effects])
}

function _endAttempt (request: Request, attempt: Attempt, { failure, nowMs }: Pick<FailedAttempt, 'failure' | 'nowMs'>): Request {
  return {
    ...request,
    phase: request.phase === 'responding' ? 'interrupted' : 'waiting',
    runs: NOT_RUN_FAILURES.includes(failure) ? request.runs - 1 : request.runs,
    refusedBy: !request.retryable && (failure === 'refused' || failure === 'misdirected') ? [...request.refusedBy, attempt.upstream] : request.refusedBy,
    waitingSinceMs: nowMs,
    hasErrorResponse: request.hasErrorResponse || failure === 'upstream_error'
  }
}

// What requests with failed attempts have in common tells a request that breaks upstreams from an upstream that breaks.
function _traceFields (request: Request, failed: FailedAttempt): Pick<ServingRecord, 'fingerprint' | 'parts' | 'respondingMs'> {
  if (NOT_RUN_FAILURES.includes(failed.failure)) return {}
  const parts = request.promptParts.length === 0 ? {} : { parts: request.promptParts.join(',') }
  const responding = request.respondingSinceMs === undefined ? {} : { respondingMs: failed.nowMs - request.respondingSinceMs }
  return { fingerprint: request.fingerprint, ...parts, ...responding }
}

// What is known of the upstream's responses tells an upstream that hangs from one that is usually slow.
function _patienceFields (state: ServingState, request: Request, { failure, nowMs }: FailedAttempt): Pick<ServingRecord, 'patienceMs' | 'slowestMs'> {
  return failure !== 'silent' || request.phase !== 'sent' ? {} : patienceOf(state, request, nowMs)
}

interface _EndedAttempt {
  readonly failure: AttemptFailure
  readonly relay: Relay | undefined
  readonly nowMs: number
}

function _retryOrRefuse (state: ServingState, request: Request, failed: _EndedAttempt & { readonly detail: string }): _Step {
  const { nowMs, detail } = failed
  const reason = _endReason(state, request, failed)
  return reason === undefined ? enqueueRequest(state, request, nowMs) : refuseRequest(state, request, { reason, nowMs, detail })
}

// Returns why a request ends with a failed attempt; undefined if another one may follow.
function _endReason (state: ServingState, request: Request, { failure, relay, nowMs }: _EndedAttempt): RefusalReason | undefined {
  if (request.abandoned) return REASONS[failure]
  if (request.runs > 0 && !request.retryable) return REASONS[failure]
  // A relay has made the attempts that the request is allowed.
  if (relay !== undefined && failure === 'upstream_error') return REASONS[failure]
  if (!hasAttemptsLeft(request)) return REASONS[failure]
  if (isSuspectedRequest(state.evidence, request)) return 'suspected_crash'
  const arrived = failure !== 'not_connected' && relay === undefined
  return arrived && !_mayRetry(state, request, nowMs) ? 'retry_budget' : undefined
}

// Reports whether the retry budget of all instances allows another attempt of a request that has arrived at an upstream.
function _mayRetry (state: ServingState, request: Request, nowMs: number): boolean {
  const window = state.retryWindows.get(request.service) ?? EMPTY_RETRY_WINDOW
  return isRetryAllowed(window, state.retryBudget, { instances: state.instances, nowMs, startedAtMs: state.startedAtMs })
}

/** What would follow an attempt that is given up for silence. */
export type FollowUp =
  /** Another attempt at once, at an upstream or a relay. */
  | { readonly kind: 'sent', readonly upstream: string }
  /** No other attempt, or not at once. */
  | { readonly kind: 'none', readonly reason: string }

/** Tells what would follow if the attempt in progress were given up for silence now. */
export function followUpOf (state: ServingState, request: Request, nowMs: number): FollowUp {
  const attempt = currentAttempt(request)
  if (attempt === undefined) return { kind: 'none', reason: 'no attempt in progress' }
  const ended = _endAttempt(request, attempt, { failure: 'silent', nowMs })
  const reason = _endReason(state, ended, { failure: 'silent', relay: attempt.relay, nowMs })
  if (reason !== undefined) return { kind: 'none', reason: reason === REASONS.silent ? 'no attempts left' : reason }
  const upstream = nextReceiver(releaseSlot(state, request, nowMs), ended, nowMs)
  return upstream === undefined ? { kind: 'none', reason: 'nothing else can be sent to' } : { kind: 'sent', upstream }
}

interface _FailureObservation {
  readonly attempt: Attempt
  readonly failed: FailedAttempt
}

function _observeFailure (state: ServingState, request: Request, observation: _FailureObservation): _Step {
  const { failure, nowMs } = observation.failed
  const { upstream, relay } = observation.attempt
  const contacted = relay === undefined && RESPONDED_FAILURES.includes(failure) ? noteContact(state, nowMs) : state
  if (failure === 'misdirected') return step(updateTargetLoad(forgetPrompts(contacted, upstream, request.model), upstream, (load) => _markAbsent(load, request, nowMs)))
  if (failure === 'refused') return step(updateTargetLoad(contacted, upstream, (load) => _markFull(state, _pauseBrittle(state, observeOutcome(load, { failed: true, nowMs }), { upstream, nowMs }), { upstream, nowMs })))
  if (COUNTED_FAILURES.includes(failure)) return observeFailure(updateTargetLoad(contacted, upstream, (load) => observeOutcome(load, { failed: true, sentAtMs: observation.attempt.sentAtMs, nowMs })), upstream, nowMs)
  const waitedMs = failure === 'silent' && request.phase === 'sent' ? nowMs - observation.attempt.sentAtMs : 0
  const avoided = updateTargetLoad(contacted, upstream, (load) => _avoidUpstream(_observeSilence(observeOutcome(load, { failed: true, nowMs }), request.route, { waitedMs, nowMs }), nowMs))
  if (failure === 'silent') {
    const probed = probeSilent(avoided, upstream, nowMs)
    return step(probed.state, [...probed.effects, { kind: 'record', record: { what: 'upstream_avoided', upstream, reason: failure, request: request.callerId } }])
  }
  const marked = markUnreachable(avoided, upstream, nowMs)
  const what = marked === avoided ? 'upstream_avoided' : 'upstream_unreachable'
  return step(marked, [{ kind: 'record', record: { what, upstream, reason: failure, request: request.callerId } }])
}

// The response would have taken at least as long as it was waited for.
function _observeSilence (load: TargetLoad, route: string, { waitedMs, nowMs }: { readonly waitedMs: number, readonly nowMs: number }): TargetLoad {
  if (waitedMs === 0) return load
  const slower = waitedMs > load.firstByteMs ? observeFirstByte(load, waitedMs, nowMs) : load
  return { ...slower, slowest: noteFirstByte(load.slowest, route, { firstByteMs: waitedMs, nowMs }) }
}

// All instances together may be rejected so often in a second, so each that sends to the upstream waits for its turn.
function _pauseBrittle (state: ServingState, load: TargetLoad, rejected: { readonly upstream: string, readonly nowMs: number }): TargetLoad {
  const { upstream, nowMs } = rejected
  const target = state.targets.get(upstream)
  const brittle = target === undefined ? undefined : brittleService(state, target, nowMs)
  if (target === undefined || brittle === undefined) return load
  const senders = ownershipOf(state, target, nowMs).kind === 'own' ? 1 : state.instances
  const pauseMs = REJECTION_WINDOW_MS * senders / Math.max(1, brittle.maxRejectionsPerS)
  return { ...load, pausedUntilMs: Math.max(load.pausedUntilMs, nowMs + pauseMs) }
}

// Until the next reports tell how full the upstream is, this instance knows it only by the rejection. Brittle and limited upstreams have pauses of their own.
function _markFull (state: ServingState, load: TargetLoad, rejected: { readonly upstream: string, readonly nowMs: number }): TargetLoad {
  const { upstream, nowMs } = rejected
  const target = state.targets.get(upstream)
  if (target === undefined || ownershipOf(state, target, nowMs).kind !== 'shared' || state.limits.has(upstream)) return load
  return { ...load, fullUntilMs: nowMs + FULL_MS }
}

// Failures of concurrent attempts count once: while the upstream is avoided, further ones are not added.
function _avoidUpstream (load: TargetLoad, nowMs: number): TargetLoad {
  if (load.avoidedUntilMs > nowMs) return load
  const consecutiveFailures = load.consecutiveFailures + 1
  return { ...load, consecutiveFailures, avoidedUntilMs: nowMs + Math.min(MAX_AVOID_MS, AVOID_MS * 2 ** (consecutiveFailures - 1)) }
}

function _markAbsent (load: TargetLoad, request: Request, nowMs: number): TargetLoad {
  if (request.model === undefined) return { ...load, misdirectedUntilMs: nowMs + ABSENT_MS }
  const current = [...load.absentUntilMs].filter(([, untilMs]) => untilMs > nowMs)
  return { ...load, absentUntilMs: new Map(current).set(demandKey(request.model, request.adapter), nowMs + ABSENT_MS) }
}

// Responses that had begun show that an upstream survives the request, so its crash has another cause.
function _blame (state: ServingState, request: Request, crash: { readonly attempt: Attempt, readonly nowMs: number }): _Step {
  const incarnation = state.targets.get(crash.attempt.upstream)?.incarnation ?? 0
  return changeEvidence(state, recordCrash(state.evidence, request, { ...crash, incarnation }), crash.nowMs)
}
