import { addCounts, countOutcomes, ejectedUpstreams, isOut, maxEjected, type Ejection, type OutcomeCounts } from '@berylshed/outliers'
import { step, type Step } from '@berylshed/reducer'
import type { UpstreamOutcomes } from '@berylshed/scheduler'
import type { EjectionRecord } from './ejection_record.ts'
import type { Attempt, Request } from './request.ts'
import type { RoutingTarget } from './routing_target.ts'
import type { ServingEffect } from './serving_effect.ts'
import { targetLoad, updateTargetLoad, type ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/** Time over which instances spread their first probes of an upstream, in ms, so that the first ones that fail keep back the others. */
const PROBE_SPREAD_MS = 1000
/** Minimum interval between heartbeats that failures make due, in ms: that of the other urgent ones. */
const REPORT_INTERVAL_MS = 40
/** Interval added per instance, in ms, which limits the holder to 250 such heartbeats per second. */
const REPORT_MS_PER_INSTANCE = 4
/** Difference of two ends of an ejection below which they are the same, in ms; covers the time of transmission. */
const SAME_EJECTION_MS = 250

interface _Query {
  readonly request: Request
  readonly nowMs: number
}

/** Leaves out the upstreams that are ejected, unless no other one offers what the request needs. */
export function withoutEjected<Candidate extends { readonly target: RoutingTarget }> (state: ServingState, offering: readonly Candidate[], query: _Query): readonly Candidate[] {
  if (state.ejections.size === 0) return offering
  const admitted = offering.filter(({ target }) => !_isKeptBack(state, target, query))
  return admitted.length > 0 ? admitted : offering
}

// After its ejection an upstream gets one request at a time, and only such as may be sent again, until it has answered one.
function _isKeptBack (state: ServingState, { upstream, incarnation }: RoutingTarget, { request, nowMs }: _Query): boolean {
  const ejection = state.ejections.get(upstream)
  if (ejection === undefined || !isOut(ejection, incarnation, nowMs)) return false
  const isProbe = request.retryable && request.phase === 'waiting' && request.attempts.length === 0 && request.maxRuns > 1
  return nowMs < ejection.untilMs + state.phase * PROBE_SPREAD_MS || !isProbe || targetLoad(state, upstream).ownRequests > 0
}

/** Weighs the failures of an upstream after another one, and makes a heartbeat due unless one was lately. */
export function observeFailure (state: ServingState, upstream: string, nowMs: number): _Step {
  const service = state.targets.get(upstream)?.service
  if (service === undefined) return step(state)
  const weighed = _weighService(state, service, nowMs)
  const intervalMs = Math.max(REPORT_INTERVAL_MS, REPORT_MS_PER_INSTANCE * state.instances)
  if (nowMs - state.failuresReportedAtMs < intervalMs) return weighed
  return step({ ...weighed.state, failuresReportedAtMs: nowMs }, [...weighed.effects, { kind: 'failure_observed' }])
}

/** Applies the failures that all other instances have reported to this one, the lease holder. */
export function applyOutcomes (state: ServingState, outcomes: readonly UpstreamOutcomes[], nowMs: number): _Step {
  const current = outcomes.filter(({ upstream, incarnation }) => state.targets.get(upstream)?.incarnation === incarnation)
  const peerOutcomes = current.reduce((sums, { upstream, answered, failed, firstFailedAgoMs, lastFailedSentAgoMs }) => sums.set(upstream, addCounts(sums.get(upstream), {
    answered, failed, firstFailedAtMs: nowMs - firstFailedAgoMs, lastFailedSentAtMs: nowMs - lastFailedSentAgoMs
  })), new Map<string, OutcomeCounts>())
  const services = new Set(current.flatMap(({ upstream }) => state.targets.get(upstream)?.service ?? []))
  return [...services].reduce<_Step>((result, service) => {
    const weighed = _weighService(result.state, service, nowMs)
    return step(weighed.state, [...result.effects, ...weighed.effects])
  }, step({ ...state, peerOutcomes }))
}

function _weighService (state: ServingState, service: string, nowMs: number): _Step {
  const members = _membersOf(state, service)
  const outcomes = new Map<string, OutcomeCounts>()
  for (const { upstream } of members) {
    const own = countOutcomes(targetLoad(state, upstream).outcomes, nowMs)
    const reported = state.peerOutcomes.get(upstream)
    const counts = reported === undefined ? own : addCounts(own, reported)
    if (counts !== undefined) outcomes.set(upstream, counts)
  }
  return _eject(state, ejectedUpstreams(outcomes, { members, ejections: state.ejections, nowMs }), nowMs)
}

function _membersOf (state: ServingState, service: string): readonly RoutingTarget[] {
  return [...state.targets.values()].filter((target) => target.service === service && !target.leaving)
}

function _eject (state: ServingState, added: ReadonlyMap<string, Ejection>, nowMs: number): _Step {
  if (added.size === 0) return step(state)
  const records = [...added].map(([upstream, { source, times, failed, answered, untilMs }]): ServingEffect => ({
    kind: 'record', record: { what: 'upstream_ejected', upstream, reason: source, times, failures: failed, answers: answered, leftMs: Math.round(untilMs - nowMs) }
  }))
  return step({ ...state, ejections: new Map([...state.ejections, ...added]) }, records)
}

/** Applies the ejections that the lease holder names; what this instance found out by itself stays. */
export function applyEjections (state: ServingState, records: readonly EjectionRecord[], nowMs: number): _Step {
  const added = new Map<string, Ejection>()
  for (const [upstream, incarnation, remainingMs, times, failed, answered] of records) {
    const target = state.targets.get(upstream)
    if (target?.incarnation !== incarnation) continue
    const before = state.ejections.get(upstream)
    const untilMs = nowMs + remainingMs
    const isKnown = before !== undefined && before.incarnation === incarnation && (before.untilMs + SAME_EJECTION_MS >= untilMs || before.times > times)
    if (isKnown || remainingMs <= 0 || !_hasRoom(state, target, { added, nowMs })) continue
    added.set(upstream, { incarnation, times, untilMs, readmittedAtMs: undefined, failed, answered, source: 'holder' })
  }
  return _eject(state, added, nowMs)
}

// The holder and this instance may have found out different upstreams.
function _hasRoom (state: ServingState, { upstream, service }: RoutingTarget, { added, nowMs }: { readonly added: ReadonlyMap<string, Ejection>, readonly nowMs: number }): boolean {
  const members = _membersOf(state, service)
  const out = members.filter((member) => member.upstream !== upstream && isOut(added.get(member.upstream) ?? state.ejections.get(member.upstream), member.incarnation, nowMs))
  return out.length < maxEjected(members.length)
}

/** Readmits an upstream that has answered a request sent after its ejection. */
export function readmit (state: ServingState, { upstream, sentAtMs }: Attempt, nowMs: number): _Step {
  const ejection = state.ejections.get(upstream)
  if (ejection === undefined || ejection.readmittedAtMs !== undefined || sentAtMs < ejection.untilMs) return step(state)
  const ejections = new Map(state.ejections).set(upstream, { ...ejection, readmittedAtMs: nowMs })
  // Failures before the ejection were punished by it.
  const cleared = updateTargetLoad({ ...state, ejections }, upstream, (load) => ({ ...load, outcomes: load.outcomes.filter((outcome) => outcome.sentAtMs >= ejection.untilMs) }))
  const { source, times, failed, answered } = ejection
  return step(cleared, [{ kind: 'record', record: { what: 'upstream_readmitted', upstream, reason: source, times, failures: failed, answers: answered } }])
}

/** Forgets ejections of processes that have been replaced or are gone. */
export function forgetEjections (state: ServingState): ServingState {
  const kept = [...state.ejections].filter(([upstream, { incarnation }]) => state.targets.get(upstream)?.incarnation === incarnation)
  return kept.length === state.ejections.size ? state : { ...state, ejections: new Map(kept) }
}
