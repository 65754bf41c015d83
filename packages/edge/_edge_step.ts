import type { Configuration, Upstream } from '@berylshed/fleet'
import { step, type Step } from '@berylshed/reducer'
import { expectedLoads, reduceScheduler, type Instant, type PlacedEngine, type SchedulerEvent } from '@berylshed/scheduler'
import { isIsolated, reduceServing, type TargetModel, type RoutingTarget, type ServingEffect, type ServingEvent, type ServingState } from '@berylshed/serving'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeState } from './edge_state.ts'

/** Result of reducing an event: the next state and its effects. */
export type EdgeStep = Step<EdgeState, EdgeEffect>

/** Maximum age of the holder's view, in ms: ten heartbeats. Beyond it, routing falls back to the registrations. */
const MAX_VIEW_AGE_MS = 2000

/** Applies `next` to the state of a step and concatenates the effects of both. */
export function chain (first: EdgeStep, next: (state: EdgeState) => EdgeStep): EdgeStep {
  const second = next(first.state)
  return step(second.state, [...first.effects, ...second.effects])
}

/** Effects of request serving that only make a heartbeat due. */
const REPORTED_EFFECTS: ReadonlyArray<ServingEffect['kind']> = ['demand_changed', 'evidence_changed', 'failure_observed', 'limits_changed', 'origin_wanted']

/** Reduces an event of request serving; a change of demand, crash evidence or limits, or an unknown origin, makes a heartbeat due. */
export function applyServingEvent (state: EdgeState, event: ServingEvent): EdgeStep {
  const reduced = reduceServing(state.serving, event)
  const effects = reduced.effects.filter((effect) => !REPORTED_EFFECTS.includes(effect.kind)).map((effect): EdgeEffect => ({ subject: 'serving', effect }))
  const heartbeatDue = state.heartbeatDue || reduced.effects.some((effect) => REPORTED_EFFECTS.includes(effect.kind))
  const limitsPerS = reduced.state.limits === state.serving.limits ? state.scheduler.limitsPerS : _limitsPerS(reduced.state)
  const scheduler = { ...state.scheduler, limitsPerS, quarantines: reduced.state.evidence.quarantines, instances: reduced.state.instances, isolated: isIsolated(reduced.state, event.nowMs) }
  return step({ ...state, serving: reduced.state, scheduler, heartbeatDue }, effects)
}

function _limitsPerS ({ limits }: ServingState): ReadonlyMap<string, number> {
  return new Map([...limits].flatMap(([upstream, { perS }]) => perS === Infinity ? [] : [[upstream, perS] as const]))
}

/** Reduces an event of the scheduler, and updates the routing targets if the placement changed. */
export function applySchedulerEvent (state: EdgeState, event: SchedulerEvent): EdgeStep {
  const reduced = reduceScheduler(state.scheduler, event)
  const effects = reduced.effects.filter((effect) => effect.kind !== 'placement_changed').map((effect): EdgeEffect => ({ subject: 'scheduler', effect }))
  const next = step<EdgeState, EdgeEffect>({ ...state, scheduler: reduced.state }, effects)
  const changed = reduced.effects.some((effect) => effect.kind === 'placement_changed')
  return changed ? chain(next, (s) => updateTargets(s, event)) : next
}

/**
 * Rebuilds the routing targets.
 *
 * An instance routes by the placement published by the lease holder, or by the registrations if the received view is too old.
 */
export function updateTargets (state: EdgeState, at: Instant): EdgeStep {
  const { list, configuration } = state
  if (list === undefined || configuration === undefined) return step(state)
  const engines = _publishedEngines(state, at)
  const known = state.serving.targets
  const current = new Map([...list.upstreams.values()].map((upstream) => [upstream.id, _routingTarget(configuration, upstream, engines.get(upstream.id))]))
  const isSame = known.size === current.size && [...current].every(([id, target]) => known.get(id) === target)
  const loadEstimatesMs = _expectedLoads(state, at)
  if (isSame && loadEstimatesMs.size === 0 && state.serving.loadEstimatesMs.size === 0) return step(state)
  const version = isSame ? state.targetsVersion : state.targetsVersion + 1
  return applyServingEvent({ ...state, targetsVersion: version }, { kind: 'targets_changed', targets: isSame ? known : current, loadEstimatesMs, version, nowMs: at.nowMs })
}

function _isViewFresh (state: EdgeState, at: Instant): boolean {
  return state.received !== undefined && at.nowMs - state.received.receivedAtMs <= MAX_VIEW_AGE_MS
}

function _publishedEngines (state: EdgeState, at: Instant): ReadonlyMap<string, PlacedEngine> {
  if (state.scheduler.held !== undefined) return new Map([...state.scheduler.published.engines].map(([id, { placed }]) => [id, placed]))
  return _isViewFresh(state, at) ? state.received?.engines ?? new Map() : new Map()
}

function _expectedLoads (state: EdgeState, at: Instant): ReadonlyMap<string, number> {
  const expected = state.scheduler.held !== undefined
    ? expectedLoads(state.scheduler, at.nowMs)
    : _isViewFresh(state, at) ? state.received?.view.expected ?? [] : []
  const earliest = new Map<string, number>()
  for (const { model, readyInMs } of expected) earliest.set(model, Math.min(readyInMs, earliest.get(model) ?? Infinity))
  return earliest
}

interface _CachedTarget {
  readonly engine: PlacedEngine | undefined
  readonly configuration: Configuration
  readonly target: RoutingTarget
}

// Reuses the routing target of an upstream until its registration, engine or configuration changes.
const cachedTargets = new WeakMap<Upstream, _CachedTarget>()

function _routingTarget (configuration: Configuration, upstream: Upstream, engine: PlacedEngine | undefined): RoutingTarget {
  const known = cachedTargets.get(upstream)
  if (known !== undefined && known.engine === engine && known.configuration === configuration) return known.target
  const target = _buildTarget(configuration, upstream, engine)
  cachedTargets.set(upstream, { engine, configuration, target })
  return target
}

function _buildTarget (configuration: Configuration, upstream: Upstream, engine: PlacedEngine | undefined): RoutingTarget {
  const spec = configuration.services.get(upstream.service)?.engine
  const current = engine !== undefined && engine.incarnation >= upstream.incarnation ? engine : undefined
  const models = current === undefined
    ? new Map(upstream.residents.map(({ model, adapters }): [string, TargetModel] => [model, { usable: true, adapters: new Set(adapters) }]))
    : new Map(current.models.map(({ model, usable, adapters }): [string, TargetModel] => [model, { usable, adapters: new Set(adapters) }]))
  return {
    upstream: upstream.id,
    service: upstream.service,
    incarnation: current?.incarnation ?? upstream.incarnation,
    softwareVersion: upstream.softwareVersion,
    availabilityZone: upstream.availabilityZone,
    slots: upstream.slots,
    leaving: upstream.leaving,
    models: spec === undefined ? undefined : models,
    ...spec?.kvCapacity === undefined ? {} : { kvCapacity: spec.kvCapacity }
  }
}
