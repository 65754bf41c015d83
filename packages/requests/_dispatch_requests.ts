import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { updateCustomer } from './_customer_load.ts'
import { dequeueRequest, refuseRequest, targetKey } from './_finish_request.ts'
import { chooseUpstream, type ChoiceContext } from './choose_upstream.ts'
import type { Attempt, Request } from './request.ts'
import type { RequestEffect } from './request_effect.ts'
import { upstreamLoad, type RequestsState } from './requests_state.ts'

/** Minimum time between two `demand` effects for the same model, in ms. */
const DEMAND_INTERVAL_MS = 500
/** Time for which the duration of requests that may run only once holds others of them back, in ms; then one is tried again. */
const SINGLE_RUN_EVIDENCE_MS = 10_000

type _Step = Step<RequestsState, RequestEffect>

/** Adds a request to the queue of its target and dispatches the queue. */
export function enqueueRequest (state: RequestsState, request: Request, nowMs: number): _Step {
  const key = targetKey(request)
  const queue = Option.getOrElse(HashMap.get(state.waiting, key), () => [])
  const queued: RequestsState = {
    ...state,
    requests: HashMap.set(state.requests, request.id, { ...request, phase: 'waiting' }),
    waiting: HashMap.set(state.waiting, key, [...queue, request.id])
  }
  return dispatchTarget(queued, key, nowMs)
}

/** Dispatches the waiting requests of all targets to upstreams with free slots. */
export function dispatchAll (state: RequestsState, nowMs: number): _Step {
  let next = step<RequestsState, RequestEffect>(state)
  for (const key of HashMap.keys(state.waiting)) {
    const dispatched = dispatchTarget(next.state, key, nowMs)
    next = step(dispatched.state, [...next.effects, ...dispatched.effects])
  }
  return next
}

/** Dispatches the waiting requests of one target; reports demand for its model if no upstream has it loaded. */
export function dispatchTarget (state: RequestsState, key: string, nowMs: number): _Step {
  const candidates = candidatesFor(state, key)
  if (candidates.length === 0) return _emitDemand(state, key, nowMs)
  let next = state
  const effects: RequestEffect[] = []
  for (const request of _sortedWaitingRequests(state, key, { candidates, nowMs })) {
    if (_wouldBeCut(next, request, { candidates, nowMs })) {
      const refused = refuseRequest(next, request, { reason: 'deadline_waiting', nowMs })
      next = refused.state
      effects.push(...refused.effects)
      continue
    }
    const upstream = _selectUpstream(next, request, { candidates, nowMs })
    if (upstream === undefined) continue
    const sent = _send(next, request, { upstream, nowMs })
    next = sent.state
    effects.push(...sent.effects)
  }
  return step(next, effects)
}

/** Lists the upstreams that offer a service or have a model loaded. */
export function candidatesFor (state: RequestsState, key: string): readonly string[] {
  const [kind, ...rest] = key.split('/')
  const name = rest.join('/')
  if (kind === 'service') return state.rules.services.get(name)?.upstreams ?? []
  return Option.getOrElse(HashMap.get(state.residencies, name), () => [])
}

function _waitingRequests (state: RequestsState, key: string): readonly Request[] {
  const ids = Option.getOrElse(HashMap.get(state.waiting, key), () => [])
  return ids.flatMap((id) => Option.toArray(HashMap.get(state.requests, id)))
}

// Requests that usually end too late come last: they take only slots that no other wants, and show whether they still do.
// The others are ordered by priority, then by the customer's running requests in proportion to its weight, then by deadline.
function _sortedWaitingRequests (state: RequestsState, key: string, context: _DispatchContext): readonly Request[] {
  const durations = context.candidates.map((name) => upstreamLoad(state, name).durationMs).filter((durationMs) => durationMs > 0)
  const endMs = durations.length === 0 ? -Infinity : context.nowMs + Math.min(...durations)
  return [..._waitingRequests(state, key)].sort((a, b) => {
    return Number(endMs > a.deadlineMs) - Number(endMs > b.deadlineMs) || b.priority - a.priority || _weightedRunning(state, a) - _weightedRunning(state, b) || a.deadlineMs - b.deadlineMs
  })
}

function _weightedRunning (state: RequestsState, request: Request): number {
  const running = Option.getOrUndefined(HashMap.get(state.customers, request.customer))?.runningRequests ?? 0
  return running / (state.rules.customers.get(request.customer)?.weight ?? 1)
}

// A request that may run only once is better refused as not run than cut with an unknown outcome, if fresh answers say that it would be.
function _wouldBeCut (state: RequestsState, request: Request, context: _DispatchContext): boolean {
  if (request.idempotent) return false
  const loads = context.candidates.map((name) => upstreamLoad(state, name))
  const isFresh = loads.every((load) => context.nowMs - load.singleRunAtMs <= SINGLE_RUN_EVIDENCE_MS)
  return isFresh && context.nowMs + Math.min(...loads.map((load) => load.singleRunMs)) > request.deadlineMs
}

interface _DispatchContext {
  readonly candidates: readonly string[]
  readonly nowMs: number
}

/** Returns the upstream that can take another attempt of a request now and has had none, or undefined. */
export function untriedUpstream (state: RequestsState, request: Request, nowMs: number): string | undefined {
  return chooseUpstream(candidatesFor(state, targetKey(request)), _choiceContext(state, request, nowMs))
}

function _choiceContext (state: RequestsState, request: Request, nowMs: number): ChoiceContext {
  return {
    rules: state.rules,
    nowMs,
    instanceCount: state.instanceCount,
    triedUpstreams: request.attempts.map((attempt) => attempt.upstream),
    affinity: request.prefix,
    load: (upstream: string) => upstreamLoad(state, upstream),
    hash: state.hash
  }
}

function _selectUpstream (state: RequestsState, request: Request, dispatch: _DispatchContext): string | undefined {
  const sharedUpstream = Option.getOrUndefined(HashMap.get(state.upstreamByFingerprint, request.fingerprint))
  // Concurrent repeats of a request run on the same upstream.
  const candidates = sharedUpstream !== undefined && dispatch.candidates.includes(sharedUpstream) ? [sharedUpstream] : dispatch.candidates
  const context = _choiceContext(state, request, dispatch.nowMs)
  return chooseUpstream(candidates, context) ?? chooseUpstream(candidates, { ...context, triedUpstreams: [] })
}

interface _SendOptions {
  readonly upstream: string
  readonly nowMs: number
}

function _send (state: RequestsState, request: Request, options: _SendOptions): _Step {
  const { upstream, nowMs } = options
  const attempt: Attempt = { number: request.attempts.length + 1, upstream, sentAtMs: nowMs, silent: false }
  const sent: Request = { ...request, phase: 'sent', attempts: [...request.attempts, attempt] }
  const dequeued = dequeueRequest(state, request)
  const load = upstreamLoad(dequeued, upstream)
  const counted = updateCustomer(dequeued, request.customer, (customer) => ({ ...customer, runningRequests: customer.runningRequests + 1 }))
  const next: RequestsState = {
    ...counted,
    requests: HashMap.set(counted.requests, sent.id, sent),
    upstreams: HashMap.set(counted.upstreams, upstream, { ...load, ownRequests: load.ownRequests + 1 }),
    upstreamByFingerprint: HashMap.set(counted.upstreamByFingerprint, sent.fingerprint, upstream),
    usedAtMs: sent.target.kind === 'model' ? HashMap.set(counted.usedAtMs, sent.target.name, nowMs) : counted.usedAtMs
  }
  return step(next, [{ kind: 'send', request: sent, attempt: attempt.number, upstream }])
}

function _emitDemand (state: RequestsState, key: string, nowMs: number): _Step {
  const waiting = _waitingRequests(state, key)
  const first = waiting[0]
  if (first === undefined || first.target.kind !== 'model') return step(state)
  const model = first.target.name
  const lastDemandMs = Option.getOrElse(HashMap.get(state.demandedAtMs, model), () => -Infinity)
  if (nowMs - lastDemandMs < DEMAND_INTERVAL_MS) return step(state)
  const effect: RequestEffect = {
    kind: 'demand',
    model,
    waiting: waiting.length,
    deadlineInMs: Math.min(...waiting.map((request) => request.deadlineMs)) - nowMs,
    priority: Math.max(...waiting.map((request) => request.priority)),
    coldStartWeight: Math.max(...waiting.map((request) => request.coldStartWeight))
  }
  return step({ ...state, demandedAtMs: HashMap.set(state.demandedAtMs, model, nowMs) }, [effect])
}
