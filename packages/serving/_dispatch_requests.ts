import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { estimateWait, noteSent, noteWaiting, orderQueue, rateKey, retryAfter, type WaitEstimate } from '@berylshed/queueing'
import { dequeueRequest, recordAdapterUse, putRequest, requestRecord, refuseRequest } from './_request_transitions.ts'
import { hasSuspectedPart, quarantinedKey } from './_weigh_evidence.ts'
import { isQuarantineProbe, noteQuarantineProbe } from './_weigh_upstreams.ts'
import { isVersionUnavailable, pinRequest } from './_pin_streams.ts'
import { notePrompt } from './_kept_prompts.ts'
import { countAgainstLimit } from './_limit_upstreams.ts'
import { chooseUpstream, offersModel, ownedWaitMs, type UpstreamChoice, type UpstreamSearch } from './choose_upstream.ts'
import { chooseRelay, relayKey, type Relay } from './relay.ts'
import { wantedOrigins } from './origin_exchange.ts'
import { patienceOf } from './patience.ts'
import type { RefusalReason } from './refusal.ts'
import { promptOf, type Request, type Attempt } from './request.ts'
import { countAttempt, EMPTY_RETRY_WINDOW } from './retry_window.ts'
import { latestDurationsMs } from './route_duration.ts'
import type { ServingEffect, ServingRecord } from './serving_effect.ts'
import { updateTargetLoad, targetLoad, type ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/** Maximum wait for a slot, as a multiple of the latency objective; callers of streams disconnect after four. */
const WAIT_OBJECTIVE_FACTOR = 3.6
/** Maximum wait for a slot, as a share of the caller's timeout; the rest leaves a refused caller time to retry. */
const WAIT_TIMEOUT_SHARE = 0.4
/** Lower bound of the wait by latency objective, in ms; covers a load from an engine's disk and the orders before it. */
const MIN_WAIT_MS = 900
/** Time that a load may exceed its estimate before waiting requests are refused, in ms. */
const LOAD_SLACK_MS = 400
/** Wait for the origin of a stream, and the least one of an interrupted stream for another upstream, in ms; callers disconnect after two seconds or more without an event. */
const MAX_INTERRUPTION_MS = 1500
/** Time from sending a request to an idle engine until its first event reaches the caller, in ms. */
const FIRST_EVENT_MS = 200
/** Remaining time at or below which a response can no longer reach the caller, in ms. */
const MIN_REMAINING_MS = 5
/** Number of requests of a route that may lately have taken longer than the time left when an instance that is about to shut down accepts one. */
const MAX_LONGER_REQUESTS = 1
/** Retry delay for callers if there is no estimate of when a slot becomes available, in ms; also the minimum. */
const DEFAULT_RETRY_AFTER_MS = 700
/** Retry delay for callers during shutdown, in ms; another instance can serve them at once, but not all at the same moment. */
const SHUTDOWN_RETRY_AFTER_MS = 50

/** Adds a request to the queue of its service and dispatches the queue. */
export function enqueueRequest (state: ServingState, request: Request, nowMs: number): _Step {
  const queue = state.waiting.get(request.service) ?? []
  const queued = { ...putRequest(state, request), waiting: new Map(state.waiting).set(request.service, [...queue, request.id]) }
  return dispatchService(queued, request.service, nowMs)
}

/** Dispatches the waiting requests of all services. */
export function dispatchAll (state: ServingState, nowMs: number): _Step {
  return [...state.waiting.keys()].reduce<_Step>((result, service) => {
    const next = dispatchService(result.state, service, nowMs)
    return step(next.state, [...result.effects, ...next.effects])
  }, step(state))
}

/** Sends the waiting requests of one service, most urgent first, and refuses those that have waited too long. */
export function dispatchService (state: ServingState, service: string, nowMs: number): _Step {
  const ordered = _orderQueue(state, service, nowMs)
  let next = ordered.state
  const effects: ServingEffect[] = []
  const round = _newRound(nowMs)
  for (const request of ordered.order) {
    const dispatched = _dispatchRequest(next, request, round)
    next = dispatched.state
    for (const effect of dispatched.effects) effects.push(effect)
  }
  const queueing = noteWaiting(next.queueing, service, { keys: new Set(Array.from(round.waiting.keys(), (model) => rateKey({ service, model }))), nowMs })
  const reported = _reportDemand(queueing === next.queueing ? next : { ...next, queueing })
  return step(reported.state, [...effects, ...reported.effects])
}

// Orders the queue of a service by what callers lose.
function _orderQueue (state: ServingState, service: string, nowMs: number): { readonly state: ServingState, readonly order: readonly Request[] } {
  const queue = state.waiting.get(service) ?? []
  const ordered = orderQueue(state.queueing, service, { queue, find: (id) => Option.getOrUndefined(HashMap.get(state.requests, id)), nowMs })
  return { state: ordered.state === state.queueing ? state : { ...state, queueing: ordered.state }, order: ordered.order }
}

/** Returns the upstream or relay to which a waiting request would be sent now, ahead of all others; undefined if it would wait or end. */
export function nextReceiver (state: ServingState, request: Request, nowMs: number): string | undefined {
  const { effects } = _dispatchRequest(state, request, _newRound(nowMs))
  return effects.flatMap((effect) => effect.kind === 'send' ? [effect.upstream] : [])[0]
}

/** Searches without a result in one round, by what the requests need; upstreams only fill up within a round. */
type _FutileSearches = Map<string, UpstreamSearch>

interface _Round {
  readonly futile: _FutileSearches
  /** Requests that lately took longer than the time until the end of a stop, by route. */
  readonly longer: Map<string, number>
  /** Requests that this round has left waiting for slots, by model; the empty one stands for none. */
  readonly waiting: Map<string, number>
  readonly nowMs: number
}

function _newRound (nowMs: number): _Round {
  return { futile: new Map(), longer: new Map(), waiting: new Map(), nowMs }
}

function _dispatchRequest (before: ServingState, queued: Request, round: _Round): _Step {
  const { nowMs } = round
  const request = pinRequest(before, queued, nowMs)
  const state = request === queued ? before : putRequest(before, request)
  if (request.deadlineMs - nowMs <= MIN_REMAINING_MS) return refuseRequest(state, request, { reason: 'deadline_waiting', nowMs })
  const quarantined = request.phase === 'interrupted' ? undefined : quarantinedKey(state.evidence, request, nowMs)
  if (quarantined !== undefined && !_mayProbe(state, request, { key: quarantined, nowMs })) return _refuseQuarantined(state, request, { key: quarantined, nowMs })
  if (isVersionUnavailable(state, request)) return refuseRequest(state, request, { reason: 'no_software_version', nowMs, retryAfterMs: DEFAULT_RETRY_AFTER_MS })
  if (_mayOutlastShutdown(state, request, round)) return refuseRequest(state, request, { reason: 'shutting_down', nowMs, retryAfterMs: SHUTDOWN_RETRY_AFTER_MS, fields: _shutdownFields(state, request, round) })
  if (quarantined !== undefined) return _probeQuarantine(state, request, { key: quarantined, round })
  const search = _search(state, request, round)
  if (search.kind === 'chosen' && search.choice.owner !== undefined) return _handOver(state, request, { relay: search.choice.owner, reason: `owner of ${search.choice.target.upstream}`, nowMs })
  if (search.kind === 'chosen') return _send(state, request, { choice: search.choice, round })
  const relay = search.kind === 'absent' && _isOnlyOutOfReach(state, request, nowMs) ? chooseRelay(state, request, nowMs) : undefined
  if (relay !== undefined) return _handOver(state, request, { relay, reason: `${state.unreachable.size} of ${state.targets.size} upstreams cannot be reached`, nowMs })
  return _waitOrRefuse(state, request, { search, waiting: round.waiting, nowMs })
}

// Reports whether a request may still run when the instance ends its requests; another instance can serve it to its end.
//
// Only its deadline bounds a request, as what others took tells nothing of it. While the balancer may still send new callers, who would have
// to come back one and all, requests are accepted nevertheless unless several of their route have lately taken longer than the time left. The
// same holds for further attempts of requests that were accepted. The instance that hands a stream over does not stop, so that the connection of
// its caller has no reason to end.
function _mayOutlastShutdown (state: ServingState, request: Request, round: _Round): boolean {
  if (request.phase === 'interrupted') return false
  if (round.nowMs >= state.closesAtMs) return true
  if (request.deadlineMs <= state.closesAtMs) return false
  if (request.handover !== undefined && request.stream) return true
  const isNew = request.attempts.length === 0
  if (isNew && (state.shuttingDown || round.nowMs >= state.newCallersUntilMs)) return true
  return _countLonger(state, request.route, round) > MAX_LONGER_REQUESTS
}

// Counts the latest and the running requests of a route that took, or have been running for, longer than the time left.
function _countLonger (state: ServingState, route: string, { longer, nowMs }: _Round): number {
  const known = longer.get(route)
  if (known !== undefined) return known
  const leftMs = state.closesAtMs - nowMs
  const endedMs = latestDurationsMs(state.routeDurations, route)
  const runningMs = [...HashMap.values(state.requests)].flatMap(({ route: other, attempts: [first] }) => other === route && first !== undefined ? [nowMs - first.sentAtMs] : [])
  const count = [...endedMs, ...runningMs].filter((durationMs) => durationMs > leftMs).length
  longer.set(route, count)
  return count
}

// Names what decides whether a request is sent while the instance is about to shut down.
function _shutdownFields (state: ServingState, request: Request, round: _Round): Pick<ServingRecord, 'closesInMs' | 'longerRequests'> {
  if (state.closesAtMs === Infinity) return {}
  return { closesInMs: state.closesAtMs - round.nowMs, longerRequests: _countLonger(state, request.route, round) }
}

// Only the lease holder probes, so that all instances together send one request.
function _mayProbe (state: ServingState, request: Request, { key, nowMs }: { readonly key: string, readonly nowMs: number }): boolean {
  return state.holdsLease && request.retryable && request.attempts.length === 0 && isQuarantineProbe(state.evidence, key, nowMs)
}

function _probeQuarantine (state: ServingState, request: Request, { key, round }: { readonly key: string, readonly round: _Round }): _Step {
  const { nowMs } = round
  const search = _search(state, request, { ...round, futile: new Map() })
  if (search.kind !== 'chosen' || search.choice.owner !== undefined) return _refuseQuarantined(state, request, { key, nowMs })
  return _send({ ...state, evidence: noteQuarantineProbe(state.evidence, key) }, request, { choice: search.choice, round })
}

function _refuseQuarantined (state: ServingState, request: Request, options: { readonly key: string, readonly nowMs: number }): _Step {
  const { key, nowMs } = options
  const retryAfterMs = (state.evidence.quarantines.get(key)?.untilMs ?? nowMs) - nowMs
  return refuseRequest(state, request, { reason: 'suspected_crash', nowMs, detail: key, retryAfterMs })
}

function _search (state: ServingState, request: Request, { futile, nowMs }: _Round): UpstreamSearch {
  if (_isHeldBack(state, request)) return { kind: 'suspected' }
  if (request.resumedAttempt !== undefined && request.softwareVersion === undefined) return { kind: 'unknown_origin' }
  // Earlier attempts narrow the choice of a request, so its search tells nothing of others.
  if (request.attempts.length > 0) return chooseUpstream(state, request, nowMs)
  const need = _needOf(request)
  const known = futile.get(need)
  if (known !== undefined) return known
  const search = chooseUpstream(state, request, nowMs)
  if (search.kind !== 'chosen') futile.set(need, search)
  return search
}

// Names what a request needs. Most need a model alone, whose name is hashed once for all rounds; other names are marked to differ from it.
function _needOf ({ model, adapter, softwareVersion, handover }: Request): string {
  if (adapter === undefined && softwareVersion === undefined && handover === undefined) return model ?? ''
  return `\n${model} ${adapter} ${softwareVersion} ${handover !== undefined}`
}

// A request that may have crashed an upstream waits until the responses to others or further crashes tell whether it did.
function _isHeldBack (state: ServingState, request: Request): boolean {
  return request.phase === 'waiting' && request.runs > 0 && hasSuspectedPart(state.evidence, request)
}

// Reports whether upstreams offer what a request needs, and only this instance has no path to any of them.
function _isOnlyOutOfReach (state: ServingState, request: Request, nowMs: number): boolean {
  return [...state.unreachable.keys()].some((upstream) => {
    const target = state.targets.get(upstream)
    return target !== undefined && offersModel(state, target, { request, nowMs })
  })
}

interface _HandOverOptions {
  readonly relay: Relay
  readonly reason: string
  readonly nowMs: number
}

// The relay counts the request against limits and budgets, as it reaches upstreams from there.
function _handOver (state: ServingState, request: Request, options: _HandOverOptions): _Step {
  const { relay, reason, nowMs } = options
  const upstream = relayKey(relay)
  const attempt: Attempt = { number: request.attempts.length + 1, upstream, relay, softwareVersion: '', sentAtMs: nowMs }
  const next = _sentRequest(request, attempt)
  const counted = updateTargetLoad(putRequest(_leaveQueue(state, request, nowMs), next), upstream, (load) => ({ ...load, ownRequests: load.ownRequests + 1 }))
  return step(_countHandover(counted, request, nowMs), [
    { kind: 'send', request: next, attempt: attempt.number, upstream, relay, patienceMs: patienceOf(counted, next, nowMs).patienceMs },
    requestRecord('sent', next, { nowMs, upstream, relay: relay.instance, sending: attempt.number, detail: reason })
  ])
}

// The relay takes its attempt for the first one, so a retry is counted here.
function _countHandover (state: ServingState, request: Request, nowMs: number): ServingState {
  if (request.runs === 0) return state
  const window = countAttempt(state.retryWindows.get(request.service) ?? EMPTY_RETRY_WINDOW, { isRetry: true, nowMs })
  return { ...state, retryWindows: new Map(state.retryWindows).set(request.service, window) }
}

// Takes a request that is sent out of its queue, and counts the slot that it was granted.
function _leaveQueue (state: ServingState, request: Request, nowMs: number): ServingState {
  const left = dequeueRequest(state, request)
  const queueing = noteSent(state.queueing, request, nowMs)
  return queueing === state.queueing ? left : { ...left, queueing }
}

function _sentRequest (request: Request, attempt: Attempt): Request {
  return { ...request, phase: request.phase === 'interrupted' ? 'responding' : 'sent', attempts: [...request.attempts, attempt], runs: request.runs + 1, enduredFor: undefined }
}

interface _SendOptions {
  readonly choice: UpstreamChoice
  readonly round: _Round
}

function _send (state: ServingState, request: Request, options: _SendOptions): _Step {
  const { choice, round, round: { nowMs } } = options
  const { upstream } = choice.target
  const attempt: Attempt = { number: request.attempts.length + 1, upstream, relay: undefined, softwareVersion: choice.target.softwareVersion, sentAtMs: nowMs }
  const next = _sentRequest(request, attempt)
  const before = targetLoad(state, upstream)
  const window = countAttempt(state.retryWindows.get(request.service) ?? EMPTY_RETRY_WINDOW, { isRetry: attempt.number > 1, nowMs })
  const counted = updateTargetLoad(putRequest(_leaveQueue(state, request, nowMs), next), upstream, (load) => ({
    ...load, ownRequests: load.ownRequests + 1, sentAtMs: nowMs, unanswered: next.phase === 'sent' ? load.unanswered + 1 : load.unanswered
  }))
  const marked = recordAdapterUse({ ...counted, retryWindows: new Map(counted.retryWindows).set(request.service, window) }, request, { upstream, nowMs })
  return step(countAgainstLimit(notePrompt(marked, request, { upstream, keptTokens: choice.keptTokens }), upstream, nowMs), [
    { kind: 'send', request: next, attempt: attempt.number, upstream, relay: undefined, patienceMs: patienceOf(marked, next, nowMs).patienceMs },
    requestRecord('sent', next, {
      nowMs, upstream, softwareVersion: choice.target.softwareVersion, ...request.resumedAttempt === undefined ? {} : { resumes: request.resumedAttempt }, sending: attempt.number, load: before.ownRequests + before.peerRequests, candidates: choice.candidates, placement: state.placementVersion, ..._promptFields(request, choice), ..._shutdownFields(state, request, round)
    })
  ])
}

function _promptFields (request: Request, { keptTokens }: UpstreamChoice): Pick<ServingRecord, 'promptTokens' | 'keptTokens'> {
  const prompt = promptOf(request)
  return prompt === undefined ? {} : { promptTokens: prompt.tokens.reduce((sum, tokens) => sum + tokens, 0), keptTokens }
}

interface _WaitOptions {
  readonly search: UpstreamSearch
  /** Requests that this round has left waiting for slots, by model; the empty one stands for none. */
  readonly waiting: Map<string, number>
  readonly nowMs: number
}

function _waitOrRefuse (state: ServingState, request: Request, options: _WaitOptions): _Step {
  const { search, waiting, nowMs } = options
  // The caller of a stream that has begun cannot be told to retry.
  if (state.shuttingDown && request.phase !== 'interrupted') return refuseRequest(state, request, { reason: 'shutting_down', nowMs, retryAfterMs: SHUTDOWN_RETRY_AFTER_MS })
  const resumesAtMs = search.kind === 'full' ? search.resumesAtMs : undefined
  const untilMs = _waitUntilMs(state, request, options)
  // Most requests neither have just arrived nor have waited for long, so the estimate is made for the others only.
  const estimate = request.waitingSinceMs === nowMs || nowMs >= untilMs ? _estimateWait(state, request, options) : undefined
  const waitUntilMs = estimate === undefined || nowMs < untilMs ? untilMs : _extendWait(request, { untilMs, estimate, nowMs })
  if (_isUnservable(state, request, options)) return refuseRequest(state, request, { reason: 'no_replica', nowMs, retryAfterMs: _retryAfterMs(state, request, nowMs) })
  const hasArrived = request.waitingSinceMs === nowMs && request.attempts.length === 0
  if (hasArrived && _isHopeless(state, request, { search, waiting, nowMs, waitUntilMs })) return refuseRequest(state, request, { reason: 'no_capacity', nowMs, detail: 'owner\'s queue', retryAfterMs: _retryAfterMs(state, request, nowMs) })
  if (hasArrived && estimate !== undefined && _isBacklogTooLong(request, estimate, nowMs)) return _refuseForCapacity(state, request, { estimate, detail: 'backlog', nowMs })
  if (nowMs < waitUntilMs && (resumesAtMs === undefined || resumesAtMs < waitUntilMs)) {
    if (search.kind === 'full') _countWaiting(waiting, request)
    return step(state)
  }
  if (resumesAtMs !== undefined && resumesAtMs > nowMs) return refuseRequest(state, request, { reason: 'upstreams_paused', nowMs, retryAfterMs: resumesAtMs - nowMs })
  if (search.kind === 'full') return _refuseForCapacity(state, request, { estimate, nowMs })
  return refuseRequest(state, request, { reason: _refusalReason(state, request, search), nowMs, retryAfterMs: _retryAfterMs(state, request, nowMs) })
}

function _countWaiting (waiting: Map<string, number>, request: Request): void {
  const model = request.model ?? ''
  waiting.set(model, (waiting.get(model) ?? 0) + 1)
}

// Estimates the wait for a slot; requests that the round has left waiting go before this one. Those of owners and pauses have bounds of their own.
function _estimateWait (state: ServingState, request: Request, { search, waiting, nowMs }: _WaitOptions): WaitEstimate | undefined {
  if (search.kind !== 'full' || search.maxWaitMs !== undefined || search.resumesAtMs !== undefined || request.phase === 'interrupted') return undefined
  return estimateWait(state.queueing.rates.get(rateKey(request)), waiting.get(request.model ?? '') ?? 0, nowMs)
}

interface _EstimateOptions {
  readonly estimate: WaitEstimate | undefined
  readonly nowMs: number
}

// A backlog is judged on arrival: later the caller has spent its time, and a rate that dips for a moment would end many waits at once.
function _isBacklogTooLong (request: Request, estimate: WaitEstimate, nowMs: number): boolean {
  return nowMs + estimate.waitMs > _latestSendMs(request)
}

// A request that is expected to be sent in time for its caller goes on waiting, as a late response is worth more than a refusal.
function _extendWait (request: Request, { untilMs, estimate, nowMs }: { readonly untilMs: number, readonly estimate: WaitEstimate, readonly nowMs: number }): number {
  const latestMs = _latestSendMs(request)
  return nowMs + estimate.waitMs <= latestMs ? latestMs : untilMs
}

function _refuseForCapacity (state: ServingState, request: Request, { estimate, detail, nowMs }: _EstimateOptions & { readonly detail?: string }): _Step {
  const retryAfterMs = retryAfter(request.id, { roomInMs: estimate?.waitMs, minMs: DEFAULT_RETRY_AFTER_MS })
  const fields = estimate === undefined ? {} : { waitMs: Math.round(estimate.waitMs), ahead: estimate.ahead, grantedPerS: Math.round(estimate.perS * 100) / 100 }
  return refuseRequest(state, request, { reason: 'no_capacity', nowMs, retryAfterMs, fields, ...detail === undefined ? {} : { detail } })
}

// A request whose model is held nowhere is refused once its load is known to end after the caller has left; the caller may return.
function _isUnservable (state: ServingState, request: Request, { search, nowMs }: _WaitOptions): boolean {
  if (search.kind !== 'absent' || request.phase === 'interrupted') return false
  const readyAtMs = _readyAtMs(state, request)
  return readyAtMs !== undefined && readyAtMs > nowMs && readyAtMs > _latestSendMs(request)
}

// Returns the local time at which a load of the request's model is expected to have finished, in ms, if one is in progress.
function _readyAtMs (state: ServingState, request: Request): number | undefined {
  const readyInMs = request.model === undefined ? undefined : state.loadEstimatesMs.get(request.model)
  return readyInMs === undefined ? undefined : state.estimatedAtMs + readyInMs
}

// Returns the local time after which the first event no longer reaches the caller, in ms.
function _latestSendMs ({ deadlineMs, leavesAtMs }: Request): number {
  return leavesAtMs === undefined ? deadlineMs : Math.min(deadlineMs, leavesAtMs - FIRST_EVENT_MS)
}

// A request that has just arrived at the only instance which sends to its upstreams is refused if those ahead of it take too long.
function _isHopeless (state: ServingState, request: Request, options: _WaitOptions & { readonly waitUntilMs: number }): boolean {
  const { search, waiting, nowMs, waitUntilMs } = options
  if (search.kind !== 'full') return false
  const ahead = waiting.get(request.model ?? '') ?? 0
  return nowMs + (ownedWaitMs(state, request, { ahead, nowMs }) ?? 0) > waitUntilMs
}

// Returns how long the caller waits for an event, in ms; 0 if that is not known.
function _patienceMs ({ leavesAtMs, arrivedAtMs }: Request): number {
  return leavesAtMs === undefined ? 0 : leavesAtMs - arrivedAtMs
}

// A late response is worth more to the caller than a refusal, but a refusal must leave the caller time to retry.
function _waitUntilMs (state: ServingState, request: Request, { search, nowMs }: _WaitOptions): number {
  if (request.phase === 'interrupted') return request.waitingSinceMs + Math.max(MAX_INTERRUPTION_MS, _patienceMs(request) - FIRST_EVENT_MS)
  if (search.kind === 'unknown_origin') return request.arrivedAtMs + MAX_INTERRUPTION_MS
  if (search.kind === 'full' && search.maxWaitMs !== undefined) return request.arrivedAtMs + search.maxWaitMs
  const shareMs = (request.deadlineMs - request.arrivedAtMs) * WAIT_TIMEOUT_SHARE
  const latestMs = _latestSendMs(request)
  const waitUntilMs = Math.min(latestMs, request.arrivedAtMs + Math.min(Math.max(MIN_WAIT_MS, request.objectiveMs * WAIT_OBJECTIVE_FACTOR), Math.max(shareMs, request.objectiveMs)))
  const readyAtMs = _readyAtMs(state, request)
  if (readyAtMs === undefined || readyAtMs > latestMs) return waitUntilMs
  const loadedByMs = Math.min(latestMs, readyAtMs + LOAD_SLACK_MS)
  return loadedByMs > nowMs ? Math.max(waitUntilMs, loadedByMs) : waitUntilMs
}

function _refusalReason (state: ServingState, request: Request, search: UpstreamSearch): RefusalReason {
  if (search.kind === 'full') return 'no_capacity'
  if (search.kind === 'suspected') return 'suspected_crash'
  if (search.kind === 'unknown_origin') return 'unknown_origin'
  const offered = [...state.targets.values()].some((target) => target.service === request.service && !target.leaving)
  return offered && request.model !== undefined ? 'no_replica' : 'no_upstream'
}

function _retryAfterMs (state: ServingState, request: Request, nowMs: number): number {
  const readyAtMs = _readyAtMs(state, request)
  return retryAfter(request.id, { roomInMs: readyAtMs === undefined ? undefined : readyAtMs - nowMs, minMs: DEFAULT_RETRY_AFTER_MS })
}

// Changes of unmet demand are reported to the lease holder immediately unless none is left; the rest follows with the
// next heartbeat. The same queues have the same demand, unless a request of them may yet learn its software version.
function _reportDemand (state: ServingState): _Step {
  if (state.waiting === state.queueing.reported) return step(state)
  const demand = _demandOf(state)
  const wanted: readonly ServingEffect[] = demand.isFinal || wantedOrigins(state).length === 0 ? [] : [{ kind: 'origin_wanted' }]
  const noted: ServingState = { ...state, queueing: { ...state.queueing, reported: demand.isFinal ? state.waiting : undefined } }
  const current = [...demand.keys].sort().join(';')
  if (current === state.reportedDemand) return step(noted, wanted)
  const changed = { ...noted, reportedDemand: current }
  return current === '' ? step(changed, wanted) : step(changed, [...wanted, { kind: 'demand_changed' }])
}

// Lists the models and adapters of the unmet demand, and tells whether every waiting request is known to be part of it or not.
function _demandOf (state: ServingState): { readonly keys: ReadonlySet<string>, readonly isFinal: boolean } {
  const keys = new Set<string>()
  let isFinal = true
  for (const queue of state.waiting.values()) {
    const models = new Set<string>()
    for (const id of queue) {
      const request = Option.getOrUndefined(HashMap.get(state.requests, id))
      if (request === undefined || (request.adapter === undefined && request.resumedAttempt === undefined && models.has(request.model ?? ''))) continue
      const isUnknown = request.resumedAttempt !== undefined && request.softwareVersion === undefined
      if (!isUnknown && request.adapter === undefined) models.add(request.model ?? '')
      if (isUnknown) isFinal = false
      else if (request.model !== undefined) keys.add(`${request.service} ${request.model} ${request.adapter ?? ''}`)
    }
  }
  return { keys, isFinal }
}
