import { buildCustomerTable } from '@berylshed/customers'
import { applyUpstreamUpdate, buildRouteTable, NO_UPSTREAMS, storeRevision, type Upstream } from '@berylshed/fleet'
import { step } from '@berylshed/reducer'
import { noteContact } from '@berylshed/serving'
import { fleetView, type Instant, type SchedulerEvent } from '@berylshed/scheduler'
import { applyArchiveEvent, holdStream, maintainArchive } from './_archive_origins.ts'
import { applyConfiguredQuotas, expireAfterSuspension } from './_quota_exchange.ts'
import { noteUnanswered, sendHeartbeat, applyHolderAnswer, applyPeerLoads, applyReport, confirmVersions, instancesOf } from './_peer_heartbeat.ts'
import { chain, applySchedulerEvent, applyServingEvent, updateTargets, type EdgeStep } from './_edge_step.ts'
import type { EdgeEffect, EdgeRecord } from './edge_effect.ts'
import type { EdgeEvent } from './edge_event.ts'
import type { EdgeState } from './edge_state.ts'

/**
 * Reduces one event of an entry instance.
 *
 * Effects that one part of the instance addresses to another are reduced within the same step.
 *
 * @param state The current state.
 * @param event The event.
 * @returns The next state and the effects to carry out.
 *
 * @example
 * ```ts
 * const { effects } = reduceEdge(state, { subject: 'tick', at: { nowMs: 0, clockMs: Date.now() } })
 * ```
 */
export function reduceEdge (state: EdgeState, event: EdgeEvent): EdgeStep {
  const reduced = _reduce(state, event)
  const held = _holdStreams(reduced, _instantOf(state, event))
  if (!held.state.heartbeatDue && !held.state.serving.quotas.isReportDue) return held
  return chain(held, (s) => sendHeartbeat(s, _instantOf(s, event)))
}

// A stream whose origin has to be stored is held by the archive.
function _holdStreams (reduced: EdgeStep, at: Instant): EdgeStep {
  const stored = reduced.effects.flatMap((effect) => effect.subject === 'serving' && effect.effect.kind === 'store_origin' ? [effect.effect] : [])
  if (stored.length === 0) return reduced
  const others = reduced.effects.filter((effect) => effect.subject !== 'serving' || effect.effect.kind !== 'store_origin')
  return stored.reduce((result, effect) => chain(result, (s) => holdStream(s, effect, at)), step<EdgeState, EdgeEffect>(reduced.state, others))
}

function _reduce (state: EdgeState, event: EdgeEvent): EdgeStep {
  switch (event.subject) {
    case 'listening': return step(_applyAddresses(state, event))
    case 'serving': return applyServingEvent(state, event.event)
    case 'scheduler': return chain(chain(applySchedulerEvent(state, event.event), (s) => _applyLeased(s, event.event)), (s) => _applyEngineContact(s, event.event))
    case 'configured': return _applyConfiguration(state, event)
    case 'listed': return _applyList(state, event.list, { from: 'store', at: event.at })
    case 'upstreams_updated': return _applyList(state, applyUpstreamUpdate(state.list ?? NO_UPSTREAMS, event.update), { from: 'peer', at: event.at })
    case 'registry_read': return step(_applyRead(state, event))
    case 'heartbeat_received': return applyReport(state, event.request, event.at)
    case 'heartbeat_answered': return applyHolderAnswer(state, event.answer, event.at)
    case 'heartbeat_failed': return _handleHeartbeatFailure(state, event)
    case 'archive': return applyArchiveEvent(state, event.event, event.at)
    case 'draining': return _drain(state, event)
    case 'tick': return _tick(state, event.at)
  }
}

function _applyAddresses (state: EdgeState, { peerAddress, relayAddress }: Extract<EdgeEvent, { subject: 'listening' }>): EdgeState {
  const self = { ...state.self, address: peerAddress }
  return { ...state, self, relayAddress, scheduler: { ...state.scheduler, self } }
}

type _Draining = Extract<EdgeEvent, { subject: 'draining' }>

function _drain (state: EdgeState, { newCallersUntilMs, closesAtMs, at }: _Draining): EdgeStep {
  const stopping = applySchedulerEvent({ ...state, draining: true }, { kind: 'stopping', ...at })
  return chain(stopping, (s) => applyServingEvent(s, { kind: 'shutdown_announced', newCallersUntilMs, closesAtMs, nowMs: at.nowMs }))
}

// Until a holder tells the number of instances, a new process would take all limits for itself.
function _applyLeasedInstances (state: EdgeState, leasedInstances: number): EdgeState {
  if (leasedInstances === state.leasedInstances && leasedInstances <= state.serving.instances) return state
  const isTold = state.received !== undefined || state.scheduler.held !== undefined
  const instances = isTold ? state.serving.instances : Math.max(state.serving.instances, leasedInstances)
  return { ...state, leasedInstances, serving: { ...state.serving, instances }, scheduler: { ...state.scheduler, instances } }
}

function _applyRead (state: EdgeState, { what, sentAtMs, at }: Extract<EdgeEvent, { subject: 'registry_read' }>): EdgeState {
  const read = { ...state, registryReads: { ...state.registryReads, [what]: at.nowMs } }
  return what === 'upstreams' ? confirmVersions(read, sentAtMs) : read
}

function _applyLeased (state: EdgeState, event: SchedulerEvent): EdgeStep {
  if (event.kind !== 'lease_read' && event.kind !== 'lease_conflicted') return step(state)
  const counted = _applyLeasedInstances(state, event.lease?.instances ?? 1)
  const quarantines = event.lease?.quarantines ?? []
  if (quarantines.length === 0) return step(counted)
  return applyServingEvent(counted, { kind: 'evidence_received', update: { suspicions: [], quarantines }, nowMs: event.nowMs })
}

// The holder polls all engines, so it learns of a lost path even without requests.
function _applyEngineContact (state: EdgeState, event: SchedulerEvent): EdgeStep {
  if (event.kind === 'engine_reported') return step({ ...state, serving: noteContact(state.serving, event.nowMs) })
  if (event.kind !== 'engine_report_failed') return step(state)
  return applyServingEvent(state, { kind: 'upstream_probed', upstream: event.upstream, reached: false, nowMs: event.nowMs })
}

// Derives the wall-clock time from the last tick, so that the reducer stays deterministic.
function _instantOf (state: EdgeState, event: EdgeEvent): Instant {
  if ('at' in event) return event.at
  const { nowMs } = event.event
  return { nowMs, clockMs: state.tickedAt.clockMs + nowMs - state.tickedAt.nowMs }
}

type _Configured = Extract<EdgeEvent, { subject: 'configured' }>

// Ignores a configuration that is not newer than the one in force, whether it comes from the store or from a peer.
function _applyConfiguration (state: EdgeState, event: _Configured): EdgeStep {
  const { configuration, at } = event
  const knownVersion = state.configuration?.version ?? 0
  if (configuration.version < knownVersion) return _ignored(state, { what: 'configuration_ignored', version: configuration.version, knownVersion, from: event.from })
  if (state.configuration !== undefined && configuration.version === knownVersion) return step(state)
  const customerTable = configuration.customers === undefined ? undefined : buildCustomerTable(configuration.customers)
  const next: EdgeState = { ...state, configuration, routes: buildRouteTable(configuration), customerTable }
  const record: EdgeEffect = { subject: 'record', record: { what: 'configuration_in_force', version: configuration.version, from: event.from, count: configuration.routes.length } }
  const models = new Map([...configuration.services].flatMap(([name, { engine }]) => engine === undefined ? [] : [[name, new Set(engine.models.keys())] as const]))
  const known = chain(step(next, [record]), (s) => applyServingEvent(s, { kind: 'models_changed', models, nowMs: at.nowMs }))
  const limited = chain(known, (s) => applyConfiguredQuotas(s, at))
  return chain(limited, (s) => chain(applySchedulerEvent(s, { kind: 'configured', configuration, ...at }), (t) => updateTargets(t, at)))
}

function _ignored (state: EdgeState, record: EdgeRecord): EdgeStep {
  return step(state, [{ subject: 'record', record }])
}

interface _UpdateSource {
  readonly from: 'store' | 'peer'
  readonly at: Instant
}

function _applyList (state: EdgeState, list: NonNullable<EdgeState['list']>, { from, at }: _UpdateSource): EdgeStep {
  const knownVersion = state.list?.revision ?? 0
  if (list.revision < knownVersion) {
    const ignored = storeRevision(list.revision)
    return _ignored(state, { what: 'upstreams_ignored', version: ignored.revision, era: ignored.era, knownVersion: storeRevision(knownVersion).revision, from })
  }
  if (state.list !== undefined && list.revision === knownVersion) return step(state)
  const { era, revision } = storeRevision(list.revision)
  const records = _describeChanges(state.list, list).map((record): EdgeEffect => ({ subject: 'record', record: { ...record, version: revision, era, from } }))
  const listed = chain(step({ ...state, list }, records), (s) => applySchedulerEvent(s, { kind: 'listed', list, ...at }))
  return chain(listed, (s) => updateTargets(s, at))
}

function _describeChanges (before: EdgeState['list'], after: NonNullable<EdgeState['list']>): readonly EdgeRecord[] {
  if (before === undefined) return [{ what: 'upstreams_listed', count: after.upstreams.size }]
  const restored: readonly EdgeRecord[] = storeRevision(after.revision).era > storeRevision(before.revision).era ? [{ what: 'store_restored', count: after.upstreams.size }] : []
  const changed = [...after.changedAt].filter(([, revision]) => revision > before.revision)
  return [...restored, ...changed.map(([id]): EdgeRecord => ({ what: 'upstream_changed', upstream: id, outcome: _describeChange(before.upstreams.get(id), after.upstreams.get(id)), ..._softwareVersion(after.upstreams.get(id)) }))]
}

function _describeChange (before: Upstream | undefined, after: Upstream | undefined): string {
  if (after === undefined) return 'gone'
  if (after.leaving) return 'leaving'
  if (before === undefined) return 'joined'
  return after.incarnation > before.incarnation ? 'restarted' : 'changed'
}

function _softwareVersion (upstream: Upstream | undefined): Pick<EdgeRecord, 'softwareVersion'> {
  return upstream === undefined ? {} : { softwareVersion: upstream.softwareVersion }
}

type _HeartbeatFailed = Extract<EdgeEvent, { subject: 'heartbeat_failed' }>

function _handleHeartbeatFailure (state: EdgeState, event: _HeartbeatFailed): EdgeStep {
  const { at, refused } = event
  return applySchedulerEvent(noteUnanswered(state, refused, at.nowMs), { kind: 'holder_unreachable', refused, ...at })
}

function _tick (state: EdgeState, at: Instant): EdgeStep {
  const expired = expireAfterSuspension(state, at)
  const ticked = chain(expired, (s) => applySchedulerEvent({ ...s, tickedAt: at }, { kind: 'ticked', ...at }))
  const others = chain(ticked, (s) => s.scheduler.held === undefined ? step(s) : _applyReportedLoads(s, at))
  const served = chain(others, (s) => applyServingEvent(s, { kind: 'ticked', nowMs: at.nowMs }))
  const archived = chain(served, (s) => maintainArchive(s, at))
  return chain(archived, (s) => sendHeartbeat(s, at))
}

// The holder receives no answer to a heartbeat, so it derives the load of its peers from their reports.
function _applyReportedLoads (state: EdgeState, at: Instant): EdgeStep {
  const { running } = fleetView(state.scheduler, at, { requester: state.self.instance, since: Infinity })
  return applyPeerLoads(state, { running, instances: instancesOf(state, at) }, at)
}
