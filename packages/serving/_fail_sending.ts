import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { enqueueRequest } from './_dispatch_requests.ts'
import { freePlace, learn, putRequest, recordOf, refuseRequest } from './_settle_request.ts'
import { needKey, type PlaceLoad } from './place.ts'
import type { RefusalReason } from './refusal.ts'
import { currentSending, type Request, type Sending } from './request.ts'
import { EMPTY_WINDOW, mayRepeat } from './retry_window.ts'
import type { ServingEffect } from './serving_effect.ts'
import type { SendingFailure } from './serving_event.ts'
import { changeLoad, type ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/** Time for which an upstream gets nothing after one strike, in ms; it doubles with each further one. */
const AVOID_MS = 400
const MAX_AVOID_MS = 3200
/** Time for which a model or adapter is taken for absent after an upstream said so, in ms: two exchanges. */
const ABSENT_MS = 400
/** Sendings of one request, whatever became of them. */
const MAX_SENDINGS = 6
/** Crashed upstreams from which requests of one fingerprint are refused. */
export const MAX_CRASHES = 3
/** Time after which a crash is forgotten, in ms: longer than callers go on repeating. */
const CRASH_MEMORY_MS = 120_000

const REASONS: Readonly<Record<SendingFailure, RefusalReason>> = {
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
const RAN_NOTHING: readonly SendingFailure[] = ['not_connected', 'refused', 'misdirected']

/** What is known of a failed sending. */
export interface SendingFailed {
  readonly sending: number
  readonly failure: SendingFailure
  readonly detail: string
  readonly nowMs: number
}

/** Decides between another sending and the end of the request. */
export function failSending (state: ServingState, request: Request, failed: SendingFailed): _Step {
  const sending = currentSending(request)
  if (sending === undefined || sending.number !== failed.sending) return step(state)
  const { failure, nowMs, detail } = failed
  const ranNothing = RAN_NOTHING.includes(failure)
  const begun = request.phase === 'answering'
  const next: Request = {
    ...request,
    phase: begun ? 'interrupted' : 'waiting',
    runs: ranNothing ? request.runs - 1 : request.runs,
    waitingSinceMs: nowMs,
    hasAnswer: request.hasAnswer || failure === 'upstream_error'
  }
  const learnt = _learnOf(putRequest(freePlace(state, request, nowMs), next), request, { sending, failed })
  const crashed = failure === 'broken' ? _countCrash(learnt.state, request.fingerprint, nowMs) : learnt.state
  const record = recordOf('failed', next, { nowMs, upstream: sending.upstream, reason: failure, detail, sending: sending.number, runs: next.runs })
  const followed = _follow(crashed, next, failed)
  return step(followed.state, [record, ...learnt.effects, ...followed.effects])
}

function _follow (state: ServingState, request: Request, failed: SendingFailed): _Step {
  const { nowMs, failure } = failed
  const stop = (reason: RefusalReason): _Step => refuseRequest(state, request, { reason, nowMs, detail: failed.detail })
  if (request.abandoned) return stop(REASONS[failure])
  if (request.runs > 0 && !request.repeatable) return stop(REASONS[failure])
  if (request.runs >= request.maxRuns || request.sendings.length >= MAX_SENDINGS) return stop(REASONS[failure])
  if (isSuspected(state, request.fingerprint, nowMs)) return stop('suspected_crash')
  const window = state.windows.get(request.service) ?? EMPTY_WINDOW
  const arrived = failure !== 'not_connected'
  if (arrived && !mayRepeat(window, state.allowance, { instances: state.instances, nowMs })) return stop('retry_budget')
  return enqueueRequest(state, request, nowMs)
}

interface _Lesson {
  readonly sending: Sending
  readonly failed: SendingFailed
}

function _learnOf (state: ServingState, request: Request, lesson: _Lesson): _Step {
  const { failure, nowMs } = lesson.failed
  const { upstream } = lesson.sending
  if (failure === 'misdirected') return step(changeLoad(state, upstream, (load) => _markAbsent(load, request, nowMs)))
  if (failure !== 'not_connected' && failure !== 'silent') return step(changeLoad(state, upstream, (load) => learn(load, { failed: true, nowMs })))
  const avoided = changeLoad(state, upstream, (load) => _strike(learn(load, { failed: true, nowMs }), nowMs))
  return step(avoided, [{ kind: 'record', record: { what: 'upstream_avoided', upstream, reason: failure, request: request.callerId } }])
}

// Sendings that were under way together count as one strike.
function _strike (load: PlaceLoad, nowMs: number): PlaceLoad {
  if (load.avoidedUntilMs > nowMs) return load
  const strikes = load.strikes + 1
  return { ...load, strikes, avoidedUntilMs: nowMs + Math.min(MAX_AVOID_MS, AVOID_MS * 2 ** (strikes - 1)) }
}

function _markAbsent (load: PlaceLoad, request: Request, nowMs: number): PlaceLoad {
  if (request.model === undefined) return { ...load, avoidedUntilMs: nowMs + ABSENT_MS }
  const current = [...load.absentUntilMs].filter(([, untilMs]) => untilMs > nowMs)
  return { ...load, absentUntilMs: new Map(current).set(needKey(request.model, request.adapter), nowMs + ABSENT_MS) }
}

function _countCrash (state: ServingState, fingerprint: string, nowMs: number): ServingState {
  const known = crashesOf(state, fingerprint, nowMs)
  return { ...state, crashes: HashMap.set(state.crashes, fingerprint, { crashes: known + 1, atMs: nowMs }) }
}

/** Gives the number of crashes that a fingerprint is suspected of. */
export function crashesOf (state: ServingState, fingerprint: string, nowMs: number): number {
  const known = Option.getOrUndefined(HashMap.get(state.crashes, fingerprint))
  return known === undefined || nowMs - known.atMs > CRASH_MEMORY_MS ? 0 : known.crashes
}

/** Tells whether requests of a fingerprint are refused. */
export function isSuspected (state: ServingState, fingerprint: string, nowMs: number): boolean {
  return crashesOf(state, fingerprint, nowMs) >= MAX_CRASHES
}
