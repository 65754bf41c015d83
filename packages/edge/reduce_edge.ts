import { HashMap } from 'effect'
import { buildRouteTable, type Configuration, type Upstream } from '@berylshed/fleet'
import { step, type Step } from '@berylshed/reducer'
import { fleetView, reduceScheduler, type FleetView, type Instant, type PlacedEngine, type SchedulerEvent } from '@berylshed/scheduler'
import { instanceReport, reduceServing, type PlacedAdapters, type Place, type ServingEvent } from '@berylshed/serving'
import superjson from 'superjson'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeEvent } from './edge_event.ts'
import type { EdgeState } from './edge_state.ts'
import type { ExchangeAnswer, ExchangeRequest } from './exchange.ts'

type _Step = Step<EdgeState, EdgeEffect>

/** Time between two exchanges with the holder while nothing is needed, in ms: as old as an engine's own report. */
const EXCHANGE_MS = 200
/** Time between two exchanges while requests wait for a model, in ms: a tenth of a load from an engine's disk. */
const URGENT_EXCHANGE_MS = 40
/** Age from which the holder's view is no longer trusted over the registrations, in ms: several exchanges. */
const VIEW_LIFE_MS = 2000
/** Crashes that one exchange passes on at most. */
const MAX_CRASHES_TOLD = 50

/**
 * Reduces one event of an entry instance.
 *
 * What one part asks of another part of the same instance is reduced within the same step.
 *
 * @param state The state so far.
 * @param event What happened.
 * @returns The next state and the effects to carry out.
 *
 * @example
 * ```ts
 * const { effects } = reduceEdge(state, { subject: 'tick', at: { nowMs: 0, clockMs: Date.now() } })
 * ```
 */
export function reduceEdge (state: EdgeState, event: EdgeEvent): _Step {
  switch (event.subject) {
    case 'serving': return _serving(state, event.event)
    case 'scheduler': return _scheduler(state, event.event)
    case 'configured': return _configure(state, event)
    case 'listed': return _list(state, event)
    case 'exchange_asked': return _hearReport(state, event.request, event.at)
    case 'exchanged': return _hearHolder(state, event.answer, event.at)
    case 'exchange_failed': return _loseHolder(state, event)
    case 'draining': return _scheduler({ ...state, draining: true }, { kind: 'stopping', ...event.at })
    case 'tick': return _tick(state, event.at)
  }
}

function _chain (first: _Step, next: (state: EdgeState) => _Step): _Step {
  const second = next(first.state)
  return step(second.state, [...first.effects, ...second.effects])
}

function _serving (state: EdgeState, event: ServingEvent): _Step {
  const reduced = reduceServing(state.serving, event)
  const effects = reduced.effects.filter((effect) => effect.kind !== 'need_changed').map((effect): EdgeEffect => ({ subject: 'serving', effect }))
  const next = step<EdgeState, EdgeEffect>({ ...state, serving: reduced.state }, effects)
  const needed = reduced.effects.some((effect) => effect.kind === 'need_changed')
  return needed ? _chain(next, (s) => _exchange({ ...s, needsExchange: true }, _instant(s, event.nowMs))) : next
}

// The time of day follows from the last tick, so that a step depends on its event alone.
function _instant (state: EdgeState, nowMs: number): Instant {
  return { nowMs, clockMs: state.tickedAt.clockMs + nowMs - state.tickedAt.nowMs }
}

function _scheduler (state: EdgeState, event: SchedulerEvent): _Step {
  const reduced = reduceScheduler(state.scheduler, event)
  const effects = reduced.effects.filter((effect) => effect.kind !== 'placement_changed').map((effect): EdgeEffect => ({ subject: 'scheduler', effect }))
  const next = step<EdgeState, EdgeEffect>({ ...state, scheduler: reduced.state }, effects)
  const changed = reduced.effects.some((effect) => effect.kind === 'placement_changed')
  return changed ? _chain(next, (s) => _showPlaces(s, event)) : next
}

type _Configured = Extract<EdgeEvent, { subject: 'configured' }>

// A configuration older than the one in force never replaces it, wherever it comes from.
function _configure (state: EdgeState, event: _Configured): _Step {
  const { configuration, at } = event
  if (state.configuration !== undefined && configuration.version <= state.configuration.version) return step(state)
  const next: EdgeState = { ...state, configuration, routes: buildRouteTable(configuration) }
  const record: EdgeEffect = { subject: 'record', record: { what: 'configuration_in_force', version: configuration.version, from: event.from, count: configuration.routes.length } }
  const models = new Map([...configuration.services].flatMap(([name, { engine }]) => engine === undefined ? [] : [[name, new Set(engine.models.keys())] as const]))
  const known = _chain(step(next, [record]), (s) => _serving(s, { kind: 'models_known', models, nowMs: at.nowMs }))
  return _chain(known, (s) => _chain(_scheduler(s, { kind: 'configured', configuration, ...at }), (t) => _showPlaces(t, at)))
}

type _Listed = Extract<EdgeEvent, { subject: 'listed' }>

function _list (state: EdgeState, event: _Listed): _Step {
  const { list, at } = event
  if (state.list !== undefined && list.revision <= state.list.revision) return step(state)
  const first: readonly EdgeEffect[] = state.list === undefined || event.from === 'peer'
    ? [{ subject: 'record', record: { what: 'upstreams_listed', version: list.revision, from: event.from, count: list.upstreams.size } }]
    : []
  return _chain(step({ ...state, list }, first), (s) => _scheduler(s, { kind: 'listed', list, ...at }))
}

// Every instance routes by what the holder says, and by the registrations where it has heard nothing for a while.
function _showPlaces (state: EdgeState, at: Instant): _Step {
  const { list, configuration } = state
  if (list === undefined || configuration === undefined) return step(state)
  const view = _currentView(state, at)
  const engines = new Map(view?.engines.map((engine) => [engine.upstream, engine]))
  const places = new Map([...list.upstreams.values()].map((upstream) => [upstream.id, _place(configuration, upstream, engines.get(upstream.id))]))
  const expected = new Map(view?.expected.map((load) => [load.model, load.readyInMs]))
  const version = state.placesVersion + 1
  return _serving({ ...state, placesVersion: version }, { kind: 'places_changed', places, expected, version, nowMs: at.nowMs })
}

function _currentView (state: EdgeState, at: Instant): FleetView | undefined {
  if (state.scheduler.held !== undefined) return fleetView(state.scheduler, at)
  if (state.heard === undefined || at.nowMs - state.heard.heardAtMs > VIEW_LIFE_MS) return undefined
  return state.heard.view
}

function _place (configuration: Configuration, upstream: Upstream, engine: PlacedEngine | undefined): Place {
  const isEngine = configuration.services.get(upstream.service)?.engine !== undefined
  const current = engine !== undefined && engine.incarnation >= upstream.incarnation ? engine : undefined
  const models = current === undefined
    ? new Map(upstream.residents.map(({ model, adapters }): [string, PlacedAdapters] => [model, { usable: true, adapters: new Set(adapters) }]))
    : new Map(current.models.map(({ model, usable, adapters }): [string, PlacedAdapters] => [model, { usable, adapters: new Set(adapters) }]))
  return {
    upstream: upstream.id,
    service: upstream.service,
    incarnation: current?.incarnation ?? upstream.incarnation,
    availabilityZone: upstream.availabilityZone,
    slots: upstream.slots,
    leaving: upstream.leaving,
    models: isEngine ? models : undefined
  }
}

function _hearReport (state: EdgeState, request: ExchangeRequest, at: Instant): _Step {
  const reported = _scheduler(state, { kind: 'instance_reported', report: request.report, ...at })
  const heard = _chain(reported, (s) => _serving(s, { kind: 'crashes_heard', fingerprints: request.crashes, nowMs: at.nowMs }))
  return _chain(heard, (s) => _hearOthers(s, fleetView(s.scheduler, at), { instances: instancesOf(s, at), at }))
}

/**
 * Answers an exchange that was reduced already.
 *
 * @param state The holder's state.
 * @param request The exchange.
 * @param at The time by both clocks.
 * @returns The answer; it says whether this instance holds the lease.
 *
 * @example
 * ```ts
 * const answer = exchangeAnswer(state, request, at)
 * ```
 */
export function exchangeAnswer (state: EdgeState, request: ExchangeRequest, at: Instant): ExchangeAnswer {
  const version = state.configuration?.version ?? 0
  const revision = state.list?.revision ?? 0
  const newer = version > request.configurationVersion || revision > request.listRevision
  return {
    view: fleetView(state.scheduler, at),
    instances: instancesOf(state, at),
    crashes: _crashes(state),
    beliefs: newer ? encodeBeliefs(state) : undefined,
    wantsBeliefs: version < request.configurationVersion || revision < request.listRevision
  }
}

/** What an instance knows from the store and passes on to others. */
export interface Beliefs {
  readonly configuration: Configuration | undefined
  readonly list: EdgeState['list']
}

/**
 * Encodes what an instance knows from the store.
 *
 * @param state The instance's state.
 * @returns The text, for `decodeBeliefs`.
 *
 * @example
 * ```ts
 * const beliefs = decodeBeliefs(encodeBeliefs(state))
 * ```
 */
export function encodeBeliefs (state: EdgeState): string {
  return superjson.stringify({ configuration: state.configuration, list: state.list })
}

/**
 * Decodes what another instance knows from the store.
 *
 * @param text The text.
 * @returns The beliefs.
 *
 * @example
 * ```ts
 * const { configuration } = decodeBeliefs(text)
 * ```
 */
export function decodeBeliefs (text: string): Beliefs {
  return superjson.parse<Beliefs>(text)
}

/** Time after which an instance that reported nothing no longer counts, in ms. */
const INSTANCE_LIFE_MS = 4000

/**
 * Counts the instances that share limits.
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
  const others = [...state.scheduler.reports.values()]
    .filter(({ report, receivedAtMs }) => report.instance !== state.self.instance && at.nowMs - receivedAtMs < INSTANCE_LIFE_MS)
  return others.length + 1
}

function _crashes (state: EdgeState): ExchangeAnswer['crashes'] {
  return HashMap.toEntries(state.serving.crashes).slice(-MAX_CRASHES_TOLD).map(([fingerprint, { crashes }]) => [fingerprint, crashes])
}

function _hearHolder (state: EdgeState, answer: ExchangeAnswer, at: Instant): _Step {
  const { view } = answer
  const found: readonly EdgeEffect[] = state.heard?.view.holder.incarnation === view.holder.incarnation || view.validMs <= 0
    ? []
    : [{ subject: 'record', record: { what: 'holder_found', fence: view.fence, holder: view.holder.instance } }]
  const next: EdgeState = {
    ...state,
    exchanging: false,
    exchangedAtMs: at.nowMs,
    sendsBeliefs: answer.wantsBeliefs,
    heard: view.validMs > 0 ? { view, heardAtMs: at.nowMs } : state.heard
  }
  const heard = _chain(step(next, found), (s) => _scheduler(s, { kind: 'holder_heard', fence: view.fence, validMs: view.validMs, ...at }))
  const shown = _chain(heard, (s) => _showPlaces(s, at))
  const told = _chain(shown, (s) => _serving(s, { kind: 'crashes_heard', fingerprints: answer.crashes, nowMs: at.nowMs }))
  return _chain(told, (s) => _hearOthers(s, view, { instances: answer.instances, at }))
}

interface _Heard {
  readonly instances: number
  readonly at: Instant
}

function _hearOthers (state: EdgeState, view: FleetView, heard: _Heard): _Step {
  const loads = view.engines.map(({ upstream, running }) => ({
    upstream,
    running: running.filter(([instance]) => instance !== state.self.instance).reduce((sum, [, count]) => sum + count, 0)
  }))
  return _serving(state, { kind: 'others_heard', loads, instances: heard.instances, nowMs: heard.at.nowMs })
}

type _Failed = Extract<EdgeEvent, { subject: 'exchange_failed' }>

function _loseHolder (state: EdgeState, event: _Failed): _Step {
  const { at, refused } = event
  const next = { ...state, exchanging: false, exchangedAtMs: at.nowMs }
  return _scheduler(next, { kind: 'holder_unheard', refused, ...at })
}

function _tick (state: EdgeState, at: Instant): _Step {
  const ticked = _scheduler({ ...state, tickedAt: at }, { kind: 'ticked', ...at })
  const served = _chain(ticked, (s) => _serving(s, { kind: 'ticked', nowMs: at.nowMs }))
  return _chain(served, (s) => _exchange(s, at))
}

function _exchange (state: EdgeState, at: Instant): _Step {
  const urgent = state.needsExchange || state.serving.reportedNeeds !== ''
  const dueMs = state.exchangedAtMs + (state.needsExchange ? 0 : urgent ? URGENT_EXCHANGE_MS : EXCHANGE_MS)
  if (state.exchanging || at.nowMs < dueMs) return step(state)
  const report = instanceReport(state.serving, state.self, at)
  const next = { ...state, needsExchange: false, exchangedAtMs: at.nowMs }
  if (state.scheduler.held !== undefined) {
    const reported = _scheduler(next, { kind: 'instance_reported', report, ...at })
    return _chain(reported, (s) => _showPlaces(s, at))
  }
  const to = state.scheduler.lease?.holder?.address
  if (to === undefined || to === state.self.address) return step(next)
  const request: ExchangeRequest = {
    report,
    configurationVersion: state.configuration?.version ?? 0,
    listRevision: state.list?.revision ?? 0,
    crashes: _crashes(state),
    beliefs: state.sendsBeliefs ? encodeBeliefs(state) : undefined
  }
  return step({ ...next, exchanging: true }, [{ subject: 'exchange', to, request }])
}
