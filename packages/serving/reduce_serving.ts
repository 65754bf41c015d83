import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { dispatchAll, dispatchService, enqueueRequest } from './_dispatch_requests.ts'
import { applyAnnouncement, applyBrittleServices } from './_apply_announcement.ts'
import { applyQuotas, changeQuotas, chargeQuota, endAllowances, noteFallback } from './_charge_quota.ts'
import { changeEvidence } from './_change_evidence.ts'
import { applyEjections, applyOutcomes, forgetEjections, readmit } from './_eject_upstreams.ts'
import { forgetLostPrompts, touchPrompt } from './_kept_prompts.ts'
import { forgetUnused } from './_forget_unused.ts'
import { weighSilence } from './continuation.ts'
import { applyOrigins } from './origin_exchange.ts'
import { maintainOrigins, noteVersions, pinStream } from './_pin_streams.ts'
import { failAttempt } from './_fail_attempt.ts'
import { applyLimits, pruneLimits, stateLimit } from './_limit_upstreams.ts'
import { quarantineCulprits, recordResponse } from './_weigh_evidence.ts'
import { noteGone } from './_weigh_upstreams.ts'
import { attemptFields, noteCancelled, observeOutcome, observeTokens, putRequest, requestRecord, refuseRequest, removeRequest } from './_request_transitions.ts'
import { applyEvidenceUpdate } from './evidence_update.ts'
import { incrementRate } from './instance_report.ts'
import { markReached, markUnreachable, noteContact, probeSilent, probeUnreachable } from './reach.ts'
import { noteFirstByte, slowestFirstByteMs } from './patience.ts'
import { currentAttempt, type Attempt, type ReceivedRequest, type Request } from './request.ts'
import type { ServingEffect } from './serving_effect.ts'
import type { ServingEvent } from './serving_event.ts'
import { updateTargetLoad, targetLoad, type ServingState } from './serving_state.ts'
import { confirmMembers, membersDigest } from './upstream_owner.ts'

type _Step = Step<ServingState, ServingEffect>

/** Minimum time without a response of an upstream after which it is probed, in ms; a failed probe ends before requests are given up. */
const PROBE_AFTER_MS = 150

/**
 * Applies an event to the requests of an instance.
 *
 * Each request ends exactly once: with a `finish`, `refuse` or `abort` effect, or because its caller disconnected.
 *
 * @param state The state before the event.
 * @param event The event.
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
    case 'targets_changed': return _changeTargets(state, event)
    case 'peer_loads_received': return dispatchAll(_applyPeerLoads(state, event), event.nowMs)
    case 'evidence_received': return _applyEvidence(state, event)
    case 'origins_received': return dispatchAll(applyOrigins(state, event.update, event.nowMs), event.nowMs)
    case 'limit_stated': return stateLimit(state, event)
    case 'limits_received': return applyLimits(state, event.limits, event.nowMs)
    case 'brittle_received': return applyBrittleServices(state, event.services, event.nowMs)
    case 'outcomes_received': return applyOutcomes(state, event.outcomes, event.nowMs)
    case 'ejections_received': return applyEjections(state, event.ejections, event.nowMs)
    case 'members_received': return _applyMembers(state, event)
    case 'upstream_probed': return _applyProbe(state, event)
    case 'upstream_announced': return applyAnnouncement(state, event)
    case 'relays_received': return dispatchAll({ ...state, relays: event.relays }, event.nowMs)
    case 'models_changed': return step({ ...state, models: event.models })
    case 'quotas_changed': return step(changeQuotas(state, event.quotas))
    case 'quotas_answered': return applyQuotas(state, event.answer, event.nowMs)
    case 'allowances_expired': return step(endAllowances(state, event.nowMs))
    case 'shutdown_announced': return dispatchAll({ ...state, closesAtMs: event.closesAtMs, newCallersUntilMs: event.newCallersUntilMs ?? Infinity }, event.nowMs)
    case 'shutdown_started': return dispatchAll({ ...state, shuttingDown: true }, event.nowMs)
    case 'closed': return _cutAll(state, event.nowMs)
    case 'ticked': return _tick(state, event.nowMs)
    default: return _reduceRequest(state, event)
  }
}

type _RequestEvent = Extract<ServingEvent, { readonly id: string }>

function _reduceRequest (state: ServingState, event: _RequestEvent): _Step {
  const request = Option.getOrUndefined(HashMap.get(state.requests, event.id))
  if (request === undefined) return step(state)
  switch (event.kind) {
    case 'stream_began': return _beginStream(state, request, event.attempt)
    case 'response_started': return _startResponse(state, request, event)
    case 'response_ended': return _endResponse(state, request, event)
    case 'attempt_failed': return _thenDispatch(failAttempt(state, request, event), request.service, event.nowMs)
    case 'silence_endured': return _endureSilence(state, request, event.nowMs)
    case 'caller_left': return _abandon(state, request, event.nowMs)
    case 'exchange_failed': return _giveUp(state, request, event.nowMs)
  }
}

// The released slot may serve a waiting request.
function _thenDispatch (first: _Step, service: string, nowMs: number): _Step {
  const next = dispatchService(first.state, service, nowMs)
  return step(next.state, [...first.effects, ...next.effects])
}

function _admit (state: ServingState, received: ReceivedRequest, nowMs: number): _Step {
  const request: Request = {
    ...received, phase: 'waiting', softwareVersion: received.handover?.softwareVersion, attempts: [], runs: 0, refusedBy: [], abandoned: false, waitingSinceMs: nowMs, respondingSinceMs: undefined, enduredFor: undefined, hasErrorResponse: false
  }
  const { model, service } = request
  const models = state.models.get(service)
  // Callers make up names without end.
  if (model !== undefined && models !== undefined && !models.has(model)) return refuseRequest(state, request, { reason: 'unknown_model', nowMs })
  // The instance that handed a request over has counted it.
  const counted = model === undefined || received.handover !== undefined ? state : _countRequest(state, `${service} ${models === undefined ? '' : model}`, nowMs)
  const charge = chargeQuota(counted, received, nowMs)
  if (charge.refusal !== undefined) return refuseRequest(charge.state, request, charge.refusal)
  return enqueueRequest(charge.state, charge.chargedUnits === undefined ? request : { ...request, chargedUnits: charge.chargedUnits }, nowMs)
}

function _countRequest (state: ServingState, key: string, nowMs: number): ServingState {
  const rate = Option.getOrUndefined(HashMap.get(state.requestRates, key))
  return { ...state, requestRates: HashMap.set(state.requestRates, key, incrementRate(rate, nowMs)) }
}

// A retry has to begin at the same version, as the origin may be stored already.
function _beginStream (state: ServingState, request: Request, number: number): _Step {
  const attempt = currentAttempt(request)
  if (attempt === undefined || attempt.number !== number) return step(state)
  const { softwareVersion } = attempt
  const pinned = pinStream(putRequest(state, { ...request, softwareVersion }), request, softwareVersion)
  return step(pinned, [{ kind: 'store_origin', id: request.id, origin: pinned.origins.newest }])
}

// An attempt has a line for each reason for which it goes on, not for each time at which that is asked.
function _endureSilence (state: ServingState, request: Request, nowMs: number): _Step {
  const verdict = weighSilence(state, request, nowMs)
  if (!verdict.isGivenUp && verdict.isUsual) return step(state)
  const detail = verdict.isGivenUp ? 'given up next' : verdict.reason
  const probed = probeSilent(state, currentAttempt(request)?.upstream ?? '', nowMs)
  if (detail === request.enduredFor) return step(probed.state, probed.effects)
  const record = requestRecord('waits', request, { nowMs, reason: 'silent', detail, runs: request.runs, ...attemptFields(request) })
  return step(putRequest(probed.state, { ...request, enduredFor: detail }), [...probed.effects, record])
}

type _ResponseStarted = Extract<ServingEvent, { kind: 'response_started' }>

function _startResponse (state: ServingState, request: Request, event: _ResponseStarted): _Step {
  const attempt = currentAttempt(request)
  if (attempt === undefined || attempt.number !== event.attempt) return step(state)
  const observed = updateTargetLoad(touchPrompt(_observeSuccess(state, request, event.nowMs), request, attempt.upstream), attempt.upstream, (load) => ({ ...load, unanswered: Math.max(0, load.unanswered - 1) }))
  const softwareVersion = event.softwareVersion ?? attempt.softwareVersion
  const responding = pinStream(putRequest(observed, { ...request, phase: 'responding', softwareVersion, respondingSinceMs: event.nowMs }), request, softwareVersion)
  const readmitted = readmit(responding, attempt, event.nowMs)
  const changed = changeEvidence(readmitted.state, recordResponse(readmitted.state.evidence, request, event.nowMs, _processOf(readmitted.state, attempt)), event.nowMs)
  return step(changed.state, [...readmitted.effects, ...changed.effects])
}

// Relays answer for upstreams of their choice.
function _processOf (state: ServingState, { upstream, relay }: Attempt): string | undefined {
  const target = state.targets.get(upstream)
  return relay !== undefined || target === undefined ? undefined : `${upstream}#${target.incarnation}`
}

function _observeSuccess (state: ServingState, request: Request, nowMs: number): ServingState {
  const attempt = currentAttempt(request)
  if (attempt === undefined) return state
  const firstByteMs = nowMs - attempt.sentAtMs
  const contacted = attempt.relay === undefined ? noteContact(state, nowMs) : state
  return updateTargetLoad(contacted, attempt.upstream, (load) => ({
    ...observeOutcome(load, { failed: false, firstByteMs, sentAtMs: attempt.sentAtMs, nowMs }), slowest: noteFirstByte(load.slowest, request.route, { firstByteMs, nowMs }), answeredAtMs: nowMs, consecutiveFailures: 0, avoidedUntilMs: -Infinity, misdirectedUntilMs: -Infinity
  }))
}

type _ResponseEnded = Extract<ServingEvent, { kind: 'response_ended' }>

function _endResponse (state: ServingState, request: Request, event: _ResponseEnded): _Step {
  const attempt = currentAttempt(request)
  if (attempt === undefined || attempt.number !== event.attempt) return step(state)
  const observed = request.phase === 'responding' ? _observePace(state, request, event.nowMs) : _observeSuccess(state, request, event.nowMs)
  const readmitted = request.phase === 'responding' ? step<ServingState, ServingEffect>(observed) : readmit(observed, attempt, event.nowMs)
  const changed = changeEvidence(readmitted.state, recordResponse(readmitted.state.evidence, request, event.nowMs, _processOf(readmitted.state, attempt)), event.nowMs)
  const cleared = step(changed.state, [...readmitted.effects, ...changed.effects])
  const removed = removeRequest(cleared.state, request, event.nowMs)
  const fields = { nowMs: event.nowMs, status: event.status, runs: request.runs, ...attemptFields(request) }
  const ended = step<ServingState, ServingEffect>(removed, request.abandoned
    ? [...cleared.effects, requestRecord('ended', request, fields)]
    : [...cleared.effects, { kind: 'finish', id: request.id }, requestRecord('answered', request, fields)])
  return _thenDispatch(ended, request.service, event.nowMs)
}

// The caller states how many tokens the answer has at most, which compares upstreams if answers are as long everywhere.
function _observePace (state: ServingState, request: Request, nowMs: number): ServingState {
  const { respondingSinceMs, outputTokens = 0, attempts } = request
  const attempt = currentAttempt(request)
  if (attempt === undefined || attempts.length !== 1 || respondingSinceMs === undefined || !request.stream || outputTokens === 0) return state
  return updateTargetLoad(state, attempt.upstream, (load) => observeTokens(load, (nowMs - respondingSinceMs) / outputTokens))
}

// Cancels retryable requests and streams, which no one reads any longer. Other requests run to completion; whether one that was handed over
// has been sent to an upstream is known to the relay, which applies the same rule.
function _abandon (state: ServingState, request: Request, nowMs: number): _Step {
  const attempt = currentAttempt(request)
  const record = requestRecord('left', request, { nowMs, runs: request.runs, ...attemptFields(request) })
  if (attempt !== undefined && attempt.relay === undefined && !request.retryable && !request.stream) return step(putRequest(state, { ...request, abandoned: true }), [record])
  const cancelled: readonly ServingEffect[] = attempt === undefined ? [] : [{ kind: 'cancel', id: request.id, attempt: attempt.number }]
  return _thenDispatch(step(removeRequest(noteCancelled(state, request, nowMs), request, nowMs), [...cancelled, record]), request.service, nowMs)
}

// The caller has been answered already, so only what the request occupies is released.
function _giveUp (state: ServingState, request: Request, nowMs: number): _Step {
  const what = request.respondingSinceMs === undefined ? 'refused' : 'broken_off'
  const record = requestRecord(what, request, { nowMs, reason: 'internal_error', runs: request.runs })
  return _thenDispatch(step(removeRequest(noteCancelled(state, request, nowMs), request, nowMs), [record]), request.service, nowMs)
}

// The connections of callers and upstreams are closed with the instance.
function _cutAll (state: ServingState, nowMs: number): _Step {
  return [...HashMap.values(state.requests)].reduce<_Step>((result, request) => {
    const attempt = currentAttempt(request)
    const cancelled: ServingEffect[] = attempt === undefined ? [] : [{ kind: 'cancel', id: request.id, attempt: attempt.number }]
    if (request.respondingSinceMs !== undefined && !request.abandoned) cancelled.push({ kind: 'abort', id: request.id })
    const record = requestRecord(request.abandoned ? 'ended' : 'broken_off', request, { nowMs, reason: 'closed', runs: request.runs, ...attemptFields(request) })
    return step(removeRequest(result.state, request, nowMs), [...result.effects, ...cancelled, record])
  }, step(state))
}

type _TargetsChanged = Extract<ServingEvent, { kind: 'targets_changed' }>

function _changeTargets (state: ServingState, event: _TargetsChanged): _Step {
  const { nowMs, targets, loadEstimatesMs, version } = event
  const restarted = [...targets.values()].filter((target) => {
    const before = state.targets.get(target.upstream)
    return before !== undefined && before.incarnation < target.incarnation
  })
  const unreachable = new Map([...state.unreachable].filter(([id]) => targets.has(id) && !restarted.some(({ upstream }) => upstream === id)))
  const changed: ServingState = { ...forgetLostPrompts(state, targets), targets, unreachable, loadEstimatesMs, estimatedAtMs: nowMs, placementVersion: version }
  // Observations of an upstream's previous process do not apply to the restarted one.
  const reset = restarted.reduce((result, target) => updateTargetLoad(result, target.upstream, (load) => ({
    ...load, avoidedUntilMs: -Infinity, misdirectedUntilMs: -Infinity, pausedUntilMs: -Infinity, leaving: false, consecutiveFailures: 0, failureShare: 0, outcomes: [], firstByteMs: 0, recentFirstByteMs: 0, tokenMs: 0, fullUntilMs: -Infinity, slowest: new Map(), absentUntilMs: new Map()
  })), changed)
  return dispatchAll(noteVersions(pruneLimits(forgetEjections(reset)), targets, nowMs), nowMs)
}

type _UpstreamProbed = Extract<ServingEvent, { kind: 'upstream_probed' }>

function _applyProbe (state: ServingState, event: _UpstreamProbed): _Step {
  const { upstream, reached, nowMs } = event
  const next = reached ? markReached(state, upstream, nowMs) : markUnreachable(state, upstream, nowMs)
  if (next.unreachable === state.unreachable) return step(next)
  const record: ServingEffect = { kind: 'record', record: { what: reached ? 'upstream_reached' : 'upstream_unreachable', upstream, detail: 'probe' } }
  const left = reached ? step<ServingState, ServingEffect>(next) : _leaveUnreachable(next, upstream, nowMs)
  const dispatched = dispatchAll(left.state, nowMs)
  return step(dispatched.state, [record, ...left.effects, ...dispatched.effects])
}

// Attempts that were silent before the probe began are given up now rather than when their time is over.
function _leaveUnreachable (state: ServingState, upstream: string, nowMs: number): _Step {
  const silent = [...HashMap.values(state.requests)].filter((request) => {
    const attempt = currentAttempt(request)
    return request.phase === 'sent' && attempt?.upstream === upstream && nowMs - attempt.sentAtMs >= PROBE_AFTER_MS
  })
  return silent.reduce<_Step>((result, request) => {
    const attempt = currentAttempt(request)
    if (attempt === undefined || !weighSilence(result.state, request, nowMs).isGivenUp) return result
    const failed = failAttempt(result.state, request, { attempt: attempt.number, failure: 'silent', detail: 'its upstream is out of reach', nowMs })
    return step(failed.state, [...result.effects, { kind: 'cancel', id: request.id, attempt: attempt.number }, ...failed.effects])
  }, step(state))
}

// Returns the upstreams at which a request waits for its first byte for longer than usual, and that have responded to none meanwhile.
function _silentUpstreams (state: ServingState, nowMs: number): readonly string[] {
  const silent = new Set<string>()
  for (const request of HashMap.values(state.requests)) {
    const attempt = currentAttempt(request)
    if (request.phase !== 'sent' || attempt === undefined || attempt.relay !== undefined) continue
    const sinceMs = Math.max(attempt.sentAtMs, targetLoad(state, attempt.upstream).answeredAtMs)
    if (nowMs - sinceMs >= Math.max(PROBE_AFTER_MS, slowestFirstByteMs(state, request, nowMs))) silent.add(attempt.upstream)
  }
  return [...silent]
}

function _probeSilent (state: ServingState, nowMs: number): _Step {
  return _silentUpstreams(state, nowMs).reduce<_Step>((result, upstream) => {
    const probed = probeSilent(result.state, upstream, nowMs)
    return step(probed.state, [...result.effects, ...probed.effects])
  }, step(state))
}

type _PeerLoadsReceived = Extract<ServingEvent, { kind: 'peer_loads_received' }>

function _applyPeerLoads (state: ServingState, event: _PeerLoadsReceived): ServingState {
  const running = new Map(event.loads.map((load) => [load.upstream, load.running]))
  const updated = { ...state, instances: event.instances, peerLoadsAtMs: event.nowMs }
  return [...state.targets.keys()].reduce((next, upstream) => {
    const peerRequests = running.get(upstream) ?? 0
    return targetLoad(next, upstream).peerRequests === peerRequests ? next : updateTargetLoad(next, upstream, (load) => ({ ...load, peerRequests }))
  }, updated)
}

type _MembersReceived = Extract<ServingEvent, { kind: 'members_received' }>

function _applyMembers (state: ServingState, event: _MembersReceived): _Step {
  const { nowMs, confirmedAtMs } = event
  const members = confirmMembers(state.members, event.members, { nowMs, confirmedAtMs })
  const next = { ...state, members }
  if (members.relays === state.members.relays) return step(next)
  const record: ServingEffect = { kind: 'record', record: { what: 'members_changed', members: members.relays.length, detail: membersDigest(members.relays) } }
  return _thenDispatchAll(step(next, [record]), nowMs)
}

function _thenDispatchAll (first: _Step, nowMs: number): _Step {
  const next = dispatchAll(first.state, nowMs)
  return step(next.state, [...first.effects, ...next.effects])
}

type _EvidenceReceived = Extract<ServingEvent, { kind: 'evidence_received' }>

// The instance that sent the evidence already has it, so that it need not be reported at once.
function _applyEvidence (state: ServingState, event: _EvidenceReceived): _Step {
  const changed = changeEvidence(state, applyEvidenceUpdate(state.evidence, event.update, event.nowMs), event.nowMs)
  return step(changed.state, changed.effects.filter((effect) => effect.kind !== 'evidence_changed'))
}

// Enforces the deadlines of running requests and the end of the grace period, and weighs crashes that have settled; dispatching
// enforces the deadlines of waiting requests.
function _tick (state: ServingState, nowMs: number): _Step {
  const overdue = [...HashMap.values(state.requests)].filter((request) => {
    return Math.min(request.deadlineMs, state.closesAtMs) <= nowMs && (request.phase !== 'waiting' || request.abandoned)
  })
  const ended = overdue.reduce<_Step>((result, request) => {
    const refused = refuseRequest(result.state, request, { reason: request.deadlineMs <= nowMs ? 'deadline_running' : 'shutting_down', nowMs })
    return step(refused.state, [...result.effects, ...refused.effects])
  }, step(state))
  const { targets, unreachable } = ended.state
  const gone = noteGone(ended.state.evidence, (upstream, incarnation) => unreachable.has(upstream) || targets.get(upstream)?.incarnation !== incarnation, nowMs)
  const weighed = changeEvidence(ended.state, quarantineCulprits(gone, nowMs), nowMs)
  const silent = _probeSilent(weighed.state, nowMs)
  const probed = probeUnreachable(silent.state, nowMs)
  const quotas = noteFallback(probed.state, nowMs)
  const dispatched = dispatchAll(forgetUnused(maintainOrigins(quotas.state, nowMs), nowMs), nowMs)
  return step(dispatched.state, [...ended.effects, ...weighed.effects, ...silent.effects, ...probed.effects, ...quotas.effects, ...dispatched.effects])
}
