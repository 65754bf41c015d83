import { upstreamUpdateSince } from '@berylshed/fleet'
import { step } from '@berylshed/reducer'
import { fleetView, leaseGrant, REPORT_TTL_MS, type InstanceReport, type Instant, type LeaseGrant, type PlacedEngine } from '@berylshed/scheduler'
import { brittleRecords, ejectionRecords, evidenceUpdateSince, instanceReport, limitedRates, limitRecords, limitShares, membersDigest, originUpdate, versionHistory, wantedOrigins, type BrittleRecord, type EjectionRecord, type EvidenceUpdate, type LimitRecord, type LimitShare, type OriginUpdate, type Relay } from '@berylshed/serving'
import { quotaReport } from '@berylshed/limits'
import { learnHistory } from './_archive_origins.ts'
import { chain, applySchedulerEvent, applyServingEvent, updateTargets, type EdgeStep } from './_edge_step.ts'
import { allowancesFor, applyOwnQuotas, applyQuotaAllowances, chargeQuotas } from './_quota_exchange.ts'
import type { EdgeEffect } from './edge_effect.ts'
import type { HolderExchange, ReceivedView, EdgeState } from './edge_state.ts'
import type { HeartbeatAnswer, HeartbeatRequest, MembersUpdate, RegistryUpdate } from './heartbeat.ts'

/** Interval between heartbeats without unmet demand, in ms: the age of an engine's own report. */
const HEARTBEAT_MS = 200
/** Minimum interval between heartbeats while requests wait for a model, in ms: a tenth of a load from an engine's disk. */
const URGENT_HEARTBEAT_MS = 40
/** Time within which what arrived during a suspension has been read, in ms. */
const MAX_BUFFERED_MS = 100
/** Interval added per instance while requests wait, in ms, which limits the holder to 250 heartbeats per second. */
const URGENT_MS_PER_INSTANCE = 4
/** Minimum interval between heartbeats while an allowance runs short, in ms: a fifth of the usual one. */
const SHORT_ALLOWANCE_MS = 40
/** Interval added per instance while an allowance runs short, in ms: small quotas run short with each request, and a holder of 32 instances fell behind with 25 heartbeats a second of each. */
const SHORT_ALLOWANCE_MS_PER_INSTANCE = 4
/** Interval added per other instance before a heartbeat that is due at once, in ms: changes of demand come many times a second, and a holder answers some 300 heartbeats a second. */
const DUE_MS_PER_INSTANCE = 3
/** Pause after a heartbeat without an answer, in ms: the time for which that one was waited for. */
const UNANSWERED_PAUSE_MS = 400
/** Number of instances to which the holder sends all origins of streams, so that they outlast it; the others get those that they ask for. */
const ORIGIN_COPIES = 3
/** Number of instances that the holder names to each other one as relays. */
const RELAYS_PER_INSTANCE = 3
/** Time after which an instance that reported nothing owns no upstreams, in ms; longer than its own list of members is valid. */
const MEMBER_LIFE_MS = 1500
/** Time after which an instance that reported nothing no longer counts, in ms. */
const INSTANCE_LIFE_MS = 4000

/** Notes that a heartbeat got no answer. A holder that is behind with its work would fall behind further by repeated ones. */
export function noteUnanswered (state: EdgeState, refused: boolean, nowMs: number): EdgeState {
  const address = state.scheduler.lease?.holder?.address
  const unanswered = refused || address === undefined ? undefined : { address, untilMs: nowMs + UNANSWERED_PAUSE_MS }
  return { ...state, heartbeatInFlight: false, heartbeatAtMs: nowMs, unanswered }
}

/** Sends a heartbeat to the lease holder if one is due; the holder applies its own report directly. */
export function sendHeartbeat (state: EdgeState, at: Instant): EdgeStep {
  if (state.heartbeatInFlight || at.nowMs < state.heartbeatAtMs + _intervalMs(state) || _isPaused(state, at)) return step(state)
  const report = _report(state, at)
  const serving = { ...state.serving, holdsLease: state.scheduler.held !== undefined }
  const next = { ...state, serving, heartbeatDue: false, heartbeatAtMs: at.nowMs, heldSinceMs: state.scheduler.held === undefined ? undefined : state.heldSinceMs ?? at.nowMs }
  if (state.scheduler.held !== undefined) {
    const reported = applySchedulerEvent(next, { kind: 'instance_reported', report, ...at })
    const summed = chain(reported, (s) => step(_sumLimitedRates(s, at)))
    const limited = chain(summed, (s) => _applyLimits(s, _limitShares(s, report, at), at))
    const relayed = chain(limited, (s) => _applyRelays(s, _relaysFor(s, report.instance, at), at))
    const charged = chain(relayed, (s) => applyOwnQuotas(s, { report, instances: instancesOf(s, at) }, at))
    return chain(charged, (s) => _applyMembers(s, _membersOf(s, at), { nowMs: at.nowMs, confirmedAtMs: at.nowMs }))
  }
  const to = state.scheduler.lease?.holder?.address
  if (to === undefined || to === state.self.address) return step(next)
  const { received, updateWantedSince } = state
  const charged = quotaReport(state.serving.quotas, at.nowMs)
  const evidence = _evidenceUpdate(state, { since: _acknowledgedVersion(state, state.evidenceExchange), relay: false, nowMs: at.nowMs })
  const receiver = state.scheduler.lease?.holder?.incarnation ?? ''
  const origins = originUpdate(state.serving, state.self.incarnation, { since: _acknowledgedVersion(state, state.originExchange), receiver, wanted: [], nowMs: at.nowMs })
  const request: HeartbeatRequest = {
    report,
    configurationVersion: state.configuration?.version ?? 0,
    listRevision: state.list?.revision ?? 0,
    receivedView: { holder: received?.view.holder.incarnation ?? '', version: received?.view.version ?? 0 },
    receivedEvidence: { origin: state.evidenceExchange.holder, version: state.evidenceExchange.receivedVersion },
    evidence,
    receivedOrigins: { origin: state.originExchange.holder, version: state.originExchange.receivedVersion },
    origins,
    wantedOrigins: wantedOrigins(state.serving),
    historyKnown: state.archive.historyKnown,
    limits: limitRecords(state.serving, at.nowMs),
    brittle: brittleRecords(state.serving, at.nowMs),
    members: membersDigest(state.serving.members.relays),
    grant: leaseGrant(state.scheduler),
    ...charged.report === undefined ? {} : { quotas: charged.report },
    update: updateWantedSince === undefined ? undefined : _update(state, { configurationVersion: 0, listRevision: updateWantedSince })
  }
  const evidenceExchange = { ...state.evidenceExchange, sentVersion: evidence?.version ?? state.serving.evidence.version }
  const originExchange = { ...state.originExchange, sentVersion: origins?.version ?? _acknowledgedVersion(state, state.originExchange) }
  return step({ ...next, serving: { ...next.serving, quotas: charged.quotas }, quotaLedger: undefined, heartbeatInFlight: true, evidenceExchange, originExchange }, [{ subject: 'heartbeat', to, request }])
}

// Asked before a report is built, as events come many times during a pause.
function _isPaused ({ scheduler, self, unanswered }: EdgeState, at: Instant): boolean {
  if (unanswered === undefined || scheduler.held !== undefined || at.nowMs >= unanswered.untilMs) return false
  return unanswered.address === scheduler.lease?.holder?.address && unanswered.address !== self.address
}

function _report (state: EdgeState, at: Instant): InstanceReport {
  const report = instanceReport(state.serving, state.self, at)
  return state.draining || state.relayAddress === '' ? report : { ...report, relayAddress: state.relayAddress, ownsUpstreams: true }
}

// Consecutive instances get different relays, so that those of a zone that is cut off spread over the others.
function _relaysFor (state: EdgeState, requester: string, at: Instant): readonly Relay[] {
  const live = [...state.scheduler.reports.values()].filter(({ receivedAtMs }) => at.nowMs - receivedAtMs < INSTANCE_LIFE_MS).map(({ report }) => report)
  const candidates = live.flatMap(({ instance, relayAddress, isolated }) => {
    return instance === requester || relayAddress === undefined || isolated === true ? [] : [{ instance, address: relayAddress }]
  }).sort((a, b) => a.instance < b.instance ? -1 : 1)
  if (candidates.length <= RELAYS_PER_INSTANCE) return candidates
  const first = live.filter(({ instance }) => instance < requester).length * RELAYS_PER_INSTANCE
  return Array.from({ length: RELAYS_PER_INSTANCE }, (_, i) => candidates[(first + i) % candidates.length]).filter((relay) => relay !== undefined)
}

// A new holder keeps to the list of its predecessor until all instances have had time to report to it.
function _membersOf (state: EdgeState, at: Instant): readonly Relay[] {
  if (state.heldSinceMs === undefined || at.nowMs - state.heldSinceMs < MEMBER_LIFE_MS) return state.serving.members.relays
  return [...state.scheduler.reports.values()].flatMap(({ report, receivedAtMs }) => {
    const { instance, relayAddress, ownsUpstreams, isolated } = report
    const isMember = ownsUpstreams === true && isolated !== true && at.nowMs - receivedAtMs < MEMBER_LIFE_MS
    return isMember && relayAddress !== undefined ? [{ instance, address: relayAddress }] : []
  }).sort((a, b) => a.instance < b.instance ? -1 : 1)
}

function _applyMembers (state: EdgeState, members: readonly Relay[], times: { readonly nowMs: number, readonly confirmedAtMs: number }): EdgeStep {
  return applyServingEvent(state, { kind: 'members_received', members, ...times })
}

function _membersUpdate (state: EdgeState, digest: string): MembersUpdate {
  const { relays } = state.serving.members
  const known = membersDigest(relays)
  return known === digest ? { digest } : { digest: known, relays }
}

function _applyBrittle (state: EdgeState, services: readonly BrittleRecord[], at: Instant): EdgeStep {
  if (services.length === 0) return step(state)
  return applyServingEvent(state, { kind: 'brittle_received', services, nowMs: at.nowMs })
}

// Reports repeat their counts until these lapse, so that the sum is made anew from the newest report of each instance.
function _applyOutcomes (state: EdgeState, at: Instant): EdgeStep {
  const outcomes = [...state.scheduler.reports.values()].flatMap(({ report, receivedAtMs }) => {
    const ageMs = at.nowMs - receivedAtMs
    if (report.instance === state.self.instance || ageMs > REPORT_TTL_MS) return []
    return (report.outcomes ?? []).map((of) => ({ ...of, firstFailedAgoMs: of.firstFailedAgoMs + ageMs, lastFailedSentAgoMs: of.lastFailedSentAgoMs + ageMs }))
  })
  if (outcomes.length === 0 && state.serving.peerOutcomes.size === 0) return step(state)
  return applyServingEvent(state, { kind: 'outcomes_received', outcomes, nowMs: at.nowMs })
}

function _applyEjections (state: EdgeState, ejections: readonly EjectionRecord[], at: Instant): EdgeStep {
  if (ejections.length === 0) return step(state)
  return applyServingEvent(state, { kind: 'ejections_received', ejections, nowMs: at.nowMs })
}

function _applyRelays (state: EdgeState, relays: readonly Relay[], at: Instant): EdgeStep {
  const known = state.serving.relays
  if (relays.length === known.length && relays.every(({ instance, address }, i) => known[i]?.instance === instance && known[i]?.address === address)) return step(state)
  return applyServingEvent(state, { kind: 'relays_received', relays, nowMs: at.nowMs })
}

function _intervalMs (state: EdgeState): number {
  const { instances, quotas } = state.serving
  if (state.heartbeatDue) return Math.min(HEARTBEAT_MS, DUE_MS_PER_INSTANCE * (instances - 1))
  return Math.min(HEARTBEAT_MS, _demandIntervalMs(state), quotas.isReportDue ? Math.max(SHORT_ALLOWANCE_MS, SHORT_ALLOWANCE_MS_PER_INSTANCE * instances) : HEARTBEAT_MS)
}

function _demandIntervalMs (state: EdgeState): number {
  if (state.serving.reportedDemand === '') return HEARTBEAT_MS
  return Math.min(HEARTBEAT_MS, Math.max(URGENT_HEARTBEAT_MS, URGENT_MS_PER_INSTANCE * state.serving.instances))
}

interface _Known {
  readonly configurationVersion: number
  readonly listRevision: number
}

// Updates from each list, by the versions that their receivers have. Encoding one takes milliseconds, and after a change all instances need the same.
const sharedUpdates = new WeakMap<NonNullable<EdgeState['list']>, Map<string, RegistryUpdate>>()

function _update (state: EdgeState, known: _Known): RegistryUpdate | undefined {
  const { configuration, list } = state
  const newer = (configuration?.version ?? 0) > known.configurationVersion ? configuration : undefined
  const isListNewer = list !== undefined && list.revision > known.listRevision
  if (newer === undefined && !isListNewer) return undefined
  const updates = list === undefined ? undefined : sharedUpdates.get(list) ?? new Map<string, RegistryUpdate>()
  if (list !== undefined && updates !== undefined) sharedUpdates.set(list, updates)
  const key = `${newer?.version ?? 0} ${isListNewer ? known.listRevision : 'none'}`
  const shared = updates?.get(key)
  if (shared !== undefined && shared.configuration === newer) return shared
  const update: RegistryUpdate = { configuration: newer, upstreams: isListNewer ? upstreamUpdateSince(list, known.listRevision) : undefined, readsCustomers: true }
  updates?.set(key, update)
  return update
}

// A new holder has acknowledged nothing.
function _acknowledgedVersion (state: EdgeState, { holder, acknowledgedVersion }: HolderExchange): number {
  return holder === state.scheduler.lease?.holder?.incarnation ? acknowledgedVersion : 0
}

function _evidenceUpdate (state: EdgeState, options: { readonly since: number, readonly relay: boolean, readonly nowMs: number }): EvidenceUpdate | undefined {
  const { evidence } = state.serving
  if (evidence.version <= options.since) return undefined
  return evidenceUpdateSince(evidence, { origin: state.self.incarnation, ...options }, options)
}

function _applyLimits (state: EdgeState, limits: ReadonlyArray<LimitRecord | LimitShare>, at: Instant): EdgeStep {
  if (limits.length === 0) return step(state)
  return applyServingEvent(state, { kind: 'limits_received', limits, nowMs: at.nowMs })
}

// The holder sums up the rates with each report of its own, and divides by them when it answers heartbeats.
function _sumLimitedRates (state: EdgeState, at: Instant): EdgeState {
  if (state.serving.limits.size === 0) return state
  const live = [...state.scheduler.reports.values()].filter(({ receivedAtMs }) => at.nowMs - receivedAtMs < INSTANCE_LIFE_MS)
  return { ...state, limitedRates: limitedRates(state.serving, live.flatMap(({ report }) => report.requestRates)) }
}

function _limitShares (state: EdgeState, report: InstanceReport, at: Instant): ReadonlyArray<LimitRecord | LimitShare> {
  return limitShares(state.serving, report.requestRates, { totals: state.limitedRates, instance: report.instance, instances: instancesOf(state, at), nowMs: at.nowMs })
}

function _applyEvidence (state: EdgeState, evidence: EvidenceUpdate | undefined, at: Instant): EdgeStep {
  if (evidence === undefined) return step(state)
  return applyServingEvent(state, { kind: 'evidence_received', update: evidence, nowMs: at.nowMs })
}

function _applyOrigins (state: EdgeState, update: OriginUpdate | undefined, at: Instant): EdgeStep {
  if (update === undefined) return step(state)
  return applyServingEvent(state, { kind: 'origins_received', update, nowMs: at.nowMs })
}

/** Notes that no other instance knows of a software version which this one lacks. */
export function confirmVersions (state: EdgeState, confirmedAtMs: number): EdgeState {
  if (confirmedAtMs <= state.serving.versionsConfirmedAtMs) return state
  return { ...state, serving: { ...state.serving, versionsConfirmedAtMs: confirmedAtMs } }
}

// Heartbeats that arrived during a suspension are read at its end, so one counts only for what came some time before.
function _confirmByReport (state: EdgeState, request: HeartbeatRequest, at: Instant): EdgeState {
  return request.listRevision <= (state.list?.revision ?? 0) ? confirmVersions(state, at.nowMs - MAX_BUFFERED_MS) : state
}

// What was granted to an earlier process of this instance, or to another one, does not count.
function _grantTo (state: EdgeState, { grant }: HeartbeatRequest): { readonly grant?: LeaseGrant } {
  return grant?.holder === state.self.incarnation ? { grant: { stamp: grant.stamp, isFinal: grant.isFinal } } : {}
}

/** Applies the report in the heartbeat of another instance. */
export function applyReport (state: EdgeState, request: HeartbeatRequest, at: Instant): EdgeStep {
  const reported = applySchedulerEvent(_confirmByReport(state, request, at), { kind: 'instance_reported', report: request.report, ..._grantTo(state, request), ...at })
  const informed = chain(reported, (s) => _applyEvidence(s, request.evidence, at))
  const located = chain(informed, (s) => _applyOrigins(s, request.origins, at))
  const limited = chain(located, (s) => _applyLimits(s, request.limits, at))
  const fragile = chain(limited, (s) => _applyBrittle(s, request.brittle, at))
  const weighed = chain(fragile, (s) => _applyOutcomes(s, at))
  return chain(weighed, (s) => step(chargeQuotas(s, { report: request.report, quotas: request.quotas, instances: instancesOf(s, at) }, at)))
}

/**
 * Returns the answer to a heartbeat whose report was already applied.
 *
 * @param state The holder's state.
 * @param request The heartbeat.
 * @param at The time by both clocks.
 * @returns The answer; it says whether this instance holds the lease.
 *
 * @example
 * ```ts
 * const answer = answerHeartbeat(state, request, at)
 * ```
 */
export function answerHeartbeat (state: EdgeState, request: HeartbeatRequest, at: Instant): HeartbeatAnswer {
  const { configuration, upstreams } = state.registryReads
  const listRevision = state.list?.revision ?? 0
  const instances = instancesOf(state, at)
  const quotas = allowancesFor(state, { report: request.report, instances }, at)
  const since = request.receivedView.holder === state.self.incarnation ? request.receivedView.version : 0
  return {
    view: fleetView(state.scheduler, at, { requester: request.report.instance, since }),
    stamp: at,
    instances,
    ...quotas === undefined ? {} : { quotas },
    limits: _limitShares(state, request.report, at),
    brittle: brittleRecords(state.serving, at.nowMs),
    ejections: ejectionRecords(state.serving, at.nowMs),
    members: _membersUpdate(state, request.members),
    relays: _relaysFor(state, request.report.instance, at),
    versionHistory: !request.historyKnown && state.archive.historyKnown ? versionHistory(state.serving, at.nowMs) : undefined,
    evidence: _evidenceUpdate(state, { since: request.receivedEvidence.origin === state.self.incarnation ? request.receivedEvidence.version : 0, relay: true, nowMs: at.nowMs }),
    origins: _originsFor(state, request, at),
    update: _update(state, request),
    wantsNews: (state.configuration?.version ?? 0) < request.configurationVersion || listRevision < request.listRevision,
    listRevision,
    readsCustomers: true,
    registryAgeMs: at.nowMs - Math.min(configuration, upstreams)
  }
}

// Copies at a few instances outlast the holder; copies at all of them would grow with the square of their number.
function _originsFor (state: EdgeState, request: HeartbeatRequest, at: Instant): OriginUpdate | undefined {
  const { instance, incarnation } = request.report
  const keepers = _otherInstances(state, at).sort().slice(0, ORIGIN_COPIES)
  const received = request.receivedOrigins.origin === state.self.incarnation ? request.receivedOrigins.version : 0
  const since = keepers.includes(instance) ? received : Infinity
  return originUpdate(state.serving, state.self.incarnation, { since, receiver: incarnation, wanted: request.wantedOrigins, nowMs: at.nowMs })
}

/**
 * Counts the instances that share limits.
 *
 * A new holder counts at least those that the lease names, until all instances have had time to report to it.
 *
 * @param state The state of an instance.
 * @param at The time by both clocks.
 * @returns The number, this instance included.
 *
 * @example
 * ```ts
 * console.log(instancesOf(state, at)) // 1
 * ```
 */
export function instancesOf (state: EdgeState, at: Instant): number {
  const isNew = state.heldSinceMs === undefined || at.nowMs - state.heldSinceMs < INSTANCE_LIFE_MS
  return Math.max(_otherInstances(state, at).length + 1, isNew ? state.leasedInstances : 1)
}

// Names of the other instances that have reported recently.
function _otherInstances (state: EdgeState, at: Instant): string[] {
  return [...state.scheduler.reports.values()]
    .filter(({ report, receivedAtMs }) => report.instance !== state.self.instance && at.nowMs - receivedAtMs < INSTANCE_LIFE_MS)
    .map(({ report }) => report.instance)
}

/** Applies the holder's answer to a heartbeat. */
export function applyHolderAnswer (state: EdgeState, answer: HeartbeatAnswer, at: Instant): EdgeStep {
  const { view } = answer
  const known = state.received?.view.holder.incarnation === view.holder.incarnation
  const found: readonly EdgeEffect[] = known || view.validMs <= 0 ? [] : [{ subject: 'record', record: { what: 'holder_found', fence: view.fence, holder: view.holder.instance } }]
  const next: EdgeState = {
    ...state,
    heartbeatInFlight: false,
    heartbeatAtMs: at.nowMs,
    leasedInstances: answer.instances,
    updateWantedSince: answer.wantsNews ? answer.listRevision : undefined,
    received: view.validMs > 0 ? _merge(state.received, answer, at) : state.received,
    evidenceExchange: _exchangeWith(state, state.evidenceExchange, { answer, update: answer.evidence }),
    originExchange: _exchangeWith(state, state.originExchange, { answer, update: answer.origins })
  }
  const confirmed = view.validMs > 0 && !answer.wantsNews && answer.listRevision <= (next.list?.revision ?? 0) ? confirmVersions(next, state.heartbeatAtMs) : next
  const extended = chain(step(confirmed, found), (s) => applySchedulerEvent(s, { kind: 'holder_reached', fence: view.fence, validMs: view.validMs, ...answer.stamp === undefined ? {} : { answer: { holder: view.holder.incarnation, stamp: answer.stamp } }, ...at }))
  const targeted = chain(extended, (s) => updateTargets(s, at))
  const informed = chain(targeted, (s) => _applyEvidence(s, answer.evidence, at))
  const located = chain(informed, (s) => _applyOrigins(s, answer.origins, at))
  const dated = chain(located, (s) => answer.versionHistory === undefined || s.archive.historyKnown ? step(s) : learnHistory(s, answer.versionHistory, at))
  const limited = chain(dated, (s) => _applyLimits(s, answer.limits, at))
  const relayed = chain(limited, (s) => _applyRelays(s, answer.relays, at))
  const fragile = chain(relayed, (s) => _applyBrittle(s, answer.brittle, at))
  const ejected = chain(fragile, (s) => _applyEjections(s, answer.ejections, at))
  const { members } = answer
  const divided = chain(ejected, (s) => members === undefined || view.validMs <= 0 ? step(s) : _applyMembers(s, members.relays ?? s.serving.members.relays, { nowMs: at.nowMs, confirmedAtMs: state.heartbeatAtMs }))
  const charged = chain(divided, (s) => view.validMs <= 0 ? step(s) : applyQuotaAllowances(s, answer.quotas, at))
  return chain(charged, (s) => applyPeerLoads(s, { running: view.running, instances: answer.instances }, at))
}

interface _Exchanged {
  readonly answer: HeartbeatAnswer
  readonly update: { readonly version: number } | undefined
}

function _exchangeWith (state: EdgeState, before: HolderExchange, { answer, update }: _Exchanged): HolderExchange {
  const holder = answer.view.holder.incarnation
  const assumed = state.scheduler.lease?.holder?.incarnation
  return {
    ...before,
    holder,
    receivedVersion: update?.version ?? (before.holder === holder ? before.receivedVersion : 0),
    acknowledgedVersion: assumed === holder ? before.sentVersion : 0
  }
}

// The view lists only the engines changed since the version stated in the heartbeat. A new holder starts from an empty base.
function _merge (known: ReceivedView | undefined, answer: HeartbeatAnswer, at: Instant): ReceivedView {
  const { view } = answer
  const base = known?.view.holder.incarnation === view.holder.incarnation ? known.engines : new Map<string, PlacedEngine>()
  const engines = view.engines.length === 0 ? base : new Map([...base, ...view.engines.map((engine) => [engine.upstream, engine] as const)])
  return { view, engines, receivedAtMs: at.nowMs, readsCustomers: answer.readsCustomers === true, registryReadAtMs: at.nowMs - answer.registryAgeMs }
}

/** Load of the other instances. */
export interface PeerLoads {
  /** Requests that they have running, by upstream. */
  readonly running: ReadonlyArray<readonly [upstream: string, count: number]>
  readonly instances: number
}

/** Applies the load of the other instances on the upstreams. */
export function applyPeerLoads (state: EdgeState, peers: PeerLoads, at: Instant): EdgeStep {
  const loads = peers.running.map(([upstream, running]) => ({ upstream, running }))
  return applyServingEvent(state, { kind: 'peer_loads_received', loads, instances: peers.instances, nowMs: at.nowMs })
}

/**
 * Reports whether the lease holder keeps the registry of this instance up to date, so that it need not read the store itself.
 *
 * @param state The instance's state.
 * @param nowMs The local time in ms.
 * @returns Whether the last read of the store that the holder passed on is recent enough.
 *
 * @example
 * ```ts
 * if (!isRegistryRelayed(state, performance.now())) await registry.listUpstreams()
 * ```
 */
export function isRegistryRelayed (state: EdgeState, nowMs: number): boolean {
  if (state.scheduler.held !== undefined || state.received === undefined) return false
  return nowMs - state.received.registryReadAtMs < state.maxRelayAgeMs
}

/**
 * Reports whether the lease holder relays configurations that this instance can use. Those of an earlier release lack the customers, so that
 * every caller would be served.
 *
 * @param state The state of this instance.
 * @param nowMs The local time in ms.
 * @returns Whether this instance need not read the configuration itself.
 *
 * @example
 * ```ts
 * if (!isConfigurationRelayed(state, performance.now())) await registry.readConfiguration()
 * ```
 */
export function isConfigurationRelayed (state: EdgeState, nowMs: number): boolean {
  return isRegistryRelayed(state, nowMs) && state.received?.readsCustomers === true
}
