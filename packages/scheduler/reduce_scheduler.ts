import type { Configuration } from '@berylshed/fleet'
import { step, type Step } from '@berylshed/reducer'
import { noteGrant, noteStamp } from './_lease_grants.ts'
import { isDraining } from './_draining.ts'
import { advanceLease, failWrite, finishWrite, loseLease, mayOrder, observeLease, orderDeadline, resolveConflict, voidLease } from './_hold_lease.ts'
import { loadMs, weightSource } from './_placement_draft.ts'
import { applyUpstreamList, applyReport, pollEngines, describeChange, endOrder, MAX_MISSED_REPORTS, openOrder } from './_track_engines.ts'
import { REPORT_TTL_MS, sumDemand, type ReceivedReport } from './demand.ts'
import type { EngineView, OpenOrder, PlannedOrder } from './engine_view.ts'
import type { ExpectedLoad, FleetView } from './fleet_view.ts'
import type { Deferral, PlannedDrain } from './planning_input.ts'
import type { Instant, SchedulerEvent } from './scheduler_event.ts'
import type { SchedulerEffect } from './scheduler_effect.ts'
import type { SchedulerState } from './scheduler_state.ts'
import { EMPTY_PLACEMENT, publishPlacement } from './published_placement.ts'
import { trackUnserved } from './unserved_demand.ts'

type _Step = Step<SchedulerState, SchedulerEffect>

/** Window over which the rate of loads from the weight store is measured, in ms. */
const STORE_WINDOW_MS = 5000
/** Time for which the last report of an instance is kept, in ms: several times as long as a grant in it can count. */
const REPORT_RETENTION_MS = 60_000
/** Share of the weight store's rate limit to use; the rest covers loads that a previous lease holder has started. */
const STORE_SHARE = 0.6
/** Minimum time between two planning rounds, in ms; a fraction of the shortest load. */
const MIN_PLAN_INTERVAL_MS = 15
/** Minimum time between two records of a model without an engine, in ms. */
const DEFERRAL_INTERVAL_MS = 1000
/** Time for which draining models receive no requests, in ms; most responses finish within it. */
const DRAIN_TIMEOUT_MS = 1800

/**
 * Applies an event to the state of the scheduler.
 *
 * The instance that holds the lease plans orders. Every order carries the fencing token of the lease and the number of
 * orders that the engine must have accepted before, so that the engine itself refuses orders that arrive late or were
 * planned on an outdated view.
 *
 * @param state The current state.
 * @param event The event to apply.
 * @returns The next state and the effects to perform.
 *
 * @example
 * ```ts
 * const { effects } = reduceScheduler(state, { kind: 'ticked', nowMs: 0, clockMs: Date.now() })
 * ```
 */
export function reduceScheduler (state: SchedulerState, event: SchedulerEvent): _Step {
  const applied = _applyEvent(state, event)
  const planned = _shouldPlan(applied.state, event) ? _chain(applied, (next) => _planRound(next, event)) : applied
  return _chain(planned, (next) => _publish(state, next, event.nowMs))
}

function _chain (first: _Step, next: (state: SchedulerState) => _Step): _Step {
  const second = next(first.state)
  return step(second.state, [...first.effects, ...second.effects])
}

// A minimum interval keeps reports of many instances and engines from causing a planning round each. A skipped round is
// made up for by the next tick.
function _shouldPlan (state: SchedulerState, event: SchedulerEvent): boolean {
  if (event.kind === 'ticked') return true
  return ['engine_reported', 'order_ended', 'instance_reported', 'lease_written'].includes(event.kind) && event.nowMs - state.plannedAtMs >= MIN_PLAN_INTERVAL_MS
}

function _publish (before: SchedulerState, state: SchedulerState, nowMs: number): _Step {
  const changed: SchedulerEffect = { kind: 'placement_changed' }
  if (state.held === undefined) return before.held === undefined ? step(state) : step({ ...state, published: { ...EMPTY_PLACEMENT, version: state.published.version } }, [changed])
  const published = publishPlacement(state.published, state.engines, nowMs)
  return published.version === state.published.version ? step({ ...state, published }) : step({ ...state, published }, [changed])
}

function _applyEvent (state: SchedulerState, event: SchedulerEvent): _Step {
  switch (event.kind) {
    case 'configured': return step(_configure(state, event.configuration, event.nowMs))
    case 'listed': return step(applyUpstreamList(state, event.list, event.nowMs))
    case 'lease_read': return _chain(voidLease(state, event.era, event), (next) => event.era < next.leaseEra ? step(next) : observeLease(next, event, event))
    // A store that does not respond is no evidence that the holder has failed.
    case 'lease_read_failed': return step({ ...state, quietSinceMs: event.nowMs })
    case 'lease_written': return finishWrite(state, event, event)
    case 'lease_conflicted': return resolveConflict(state, event, event)
    case 'lease_write_failed': return failWrite(state, event.writeId, event)
    case 'store_restored': return voidLease(state, event.era, event)
    case 'holder_reached': return _applyHolderContact(state, event)
    case 'holder_unreachable': return step({ ...state, holderRefusesConnections: event.refused })
    case 'instance_reported': return step(noteGrant({ ...state, reports: _recentReports(state, event.nowMs).set(event.report.instance, { report: event.report, receivedAtMs: event.nowMs }) }, event.report.incarnation, event.grant))
    case 'engine_reported': return _applyEngineReport(state, event)
    case 'engine_report_failed': return _countMissedReport(state, event.upstream)
    case 'order_ended': return _endOrder(state, event)
    case 'stopping': return step({ ...state, stopping: true })
    case 'ticked': return advanceLease(state, event)
  }
}

function _configure (state: SchedulerState, configuration: Configuration, nowMs: number): SchedulerState {
  return applyUpstreamList({ ...state, configuration }, state.list, nowMs)
}

type _HolderReached = Extract<SchedulerEvent, { kind: 'holder_reached' }>

function _applyHolderContact (state: SchedulerState, event: _HolderReached): _Step {
  if (state.held !== undefined && event.fence > state.held.fence) return loseLease(state, `fence ${event.fence} was heard of`)
  if (event.validMs <= 0) return step(state)
  return step(noteStamp({ ...state, holderReachedAtMs: event.nowMs, quietSinceMs: event.nowMs, holderRefusesConnections: false }, event.answer))
}

type _EngineReported = Extract<SchedulerEvent, { kind: 'engine_reported' }>

function _applyEngineReport (state: SchedulerState, event: _EngineReported): _Step {
  const before = state.engines.get(event.upstream)
  if (before === undefined) return step(state)
  const after = applyReport(before, event.report, event)
  const next = _withEngine(state, after)
  const effects: SchedulerEffect[] = []
  if (before.missedReports >= MAX_MISSED_REPORTS) effects.push({ kind: 'record', record: { what: 'engine_regained', upstream: event.upstream } })
  const change = describeChange(before, after, event.nowMs)
  if (change !== undefined) effects.push({ kind: 'record', record: change })
  if (before.open !== undefined && after.open === undefined && before.open.phase !== 'in_flight') effects.push(_orderEnded(before.open, 'finished', event.nowMs))
  return step(next, effects)
}

function _withEngine (state: SchedulerState, view: EngineView): SchedulerState {
  return { ...state, engines: new Map(state.engines).set(view.upstream.id, view) }
}

function _countMissedReport (state: SchedulerState, upstream: string): _Step {
  const view = state.engines.get(upstream)
  if (view === undefined) return step(state)
  const missedReports = view.missedReports + 1
  const lost: readonly SchedulerEffect[] = missedReports === MAX_MISSED_REPORTS ? [{ kind: 'record', record: { what: 'engine_lost', upstream, reason: `${missedReports} reports missed` } }] : []
  return step(_withEngine(state, { ...view, missedReports, reportedAtMs: Math.max(view.reportedAtMs, view.polledAtMs) }), lost)
}

type _OrderEnded = Extract<SchedulerEvent, { kind: 'order_ended' }>

function _endOrder (state: SchedulerState, event: _OrderEnded): _Step {
  const view = state.engines.get(event.upstream)
  if (view?.open === undefined || view.open.id !== event.order) return step(state)
  const next = _withEngine(state, endOrder(view, event.outcome, event.nowMs))
  const effects: readonly SchedulerEffect[] = [_orderEnded(view.open, event.outcome, event.nowMs)]
  if (event.outcome !== 'fenced') return step(next, effects)
  const lost = loseLease(next, `${event.upstream} has seen a higher fence`)
  return step(lost.state, [...effects, ...lost.effects])
}

function _orderEnded (order: OpenOrder, outcome: string, nowMs: number): SchedulerEffect {
  const { upstream, model, adapter, operation } = order.planned
  return {
    kind: 'record',
    record: { what: 'order_ended', upstream, model, operation, outcome, sequence: order.expectedSequence, ageMs: nowMs - order.sentAtMs, ...adapter === undefined ? {} : { adapter } }
  }
}

function _planRound (state: SchedulerState, at: Instant): _Step {
  const { held, configuration } = state
  const notAfterMs = orderDeadline(state, at)
  if (held === undefined || configuration === undefined) return step(state)
  const polled = pollEngines(state, at.nowMs)
  if (notAfterMs === undefined || !mayOrder(state)) return polled
  return _chain(polled, (next) => _planServices({ ...next, plannedAtMs: at.nowMs }, { at, notAfterMs, fence: held.fence }))
}

// Authority of the lease under which the orders of a planning round are sent.
interface _Authority {
  readonly at: Instant
  readonly notAfterMs: number
  readonly fence: number
}

function _planServices (state: SchedulerState, authority: _Authority): _Step {
  const { nowMs } = authority.at
  const storeLoadStartsMs = state.storeLoadStartsMs.filter((atMs) => nowMs - atMs < STORE_WINDOW_MS)
  const services = [...state.configuration?.services.values() ?? []]
  return services.reduce<_Step>((result, service) => _chain(result, (current) => {
    if (service.engine === undefined) return step(current)
    const views = [...current.engines.values()].filter((view) => {
      return view.upstream.service === service.name && !view.upstream.leaving && view.missedReports < MAX_MISSED_REPORTS
    })
    const demand = sumDemand([...current.reports.values()], service.name, { nowMs })
    const unserved = trackUnserved(current.unserved.get(service.name) ?? new Map(), demand, { views, nowMs })
    const planned = current.policy.plan({
      nowMs,
      engine: service.engine,
      views,
      limitsPerS: current.limitsPerS,
      demand,
      unserved,
      // A lost engine loads nothing, though its registration takes seconds to lapse.
      storeLoadsInProgress: [...current.engines.values()].filter(({ open, missedReports }) => open?.planned.fromStore === true && missedReports < MAX_MISSED_REPORTS).length,
      storeLoadsAllowed: service.engine.loadsPerSecond * STORE_WINDOW_MS / MS_PER_SECOND * STORE_SHARE - current.storeLoadStartsMs.length
    })
    const drained = planned.drains.reduce<_Step>((done, drain) => _chain(done, (s) => _startDrain(s, drain, nowMs)), step({ ...current, unserved: new Map(current.unserved).set(service.name, unserved) }))
    const deferred = _chain(drained, (s) => _recordDeferrals(s, planned.deferrals, { service: service.name, nowMs }))
    return planned.orders.reduce<_Step>((done, order) => _chain(done, (s) => _sendOrder(s, order, authority)), deferred)
  }), step({ ...state, storeLoadStartsMs }))
}

const MS_PER_SECOND = 1000

// A model that stays without an engine has a line each second, however often that is decided.
function _recordDeferrals (state: SchedulerState, deferrals: readonly Deferral[], { service, nowMs }: { readonly service: string, readonly nowMs: number }): _Step {
  const due = deferrals.filter(({ model }) => nowMs - (state.deferredAtMs.get(`${service} ${model}`) ?? -Infinity) >= DEFERRAL_INTERVAL_MS)
  if (due.length === 0) return step(state)
  const recent = [...state.deferredAtMs].filter(([, atMs]) => nowMs - atMs < DEFERRAL_INTERVAL_MS)
  const deferredAtMs = new Map([...recent, ...due.map(({ model }) => [`${service} ${model}`, nowMs] as const)])
  return step({ ...state, deferredAtMs }, due.map((deferral) => ({ kind: 'record', record: { what: 'load_deferred', ...deferral } })))
}

function _startDrain (state: SchedulerState, drain: PlannedDrain, nowMs: number): _Step {
  const view = state.engines.get(drain.upstream)
  if (view === undefined) return step(state)
  const { upstream, models, replacement } = drain
  const next = _withEngine(state, { ...view, drain: { models, replacement, untilMs: nowMs + DRAIN_TIMEOUT_MS } })
  if (models.every((model) => isDraining(view, model, nowMs)) && view.drain?.replacement === replacement) return step(next)
  return step(next, [
    { kind: 'record', record: { what: 'model_closed', upstream, model: models.join(' '), reason: `makes way for ${replacement}` } }
  ])
}

function _sendOrder (state: SchedulerState, planned: PlannedOrder, authority: _Authority): _Step {
  const view = state.engines.get(planned.upstream)
  if (view === undefined) return step(state)
  const { nowMs } = authority.at
  const order: OpenOrder = {
    id: `${state.self.incarnation}/${state.nextId}`,
    planned,
    expectedSequence: view.sequence,
    sentAtMs: nowMs,
    phase: 'in_flight',
    answeredAtMs: nowMs
  }
  const next = _withEngine({ ...state, nextId: state.nextId + 1, storeLoadStartsMs: planned.fromStore ? [...state.storeLoadStartsMs, nowMs] : state.storeLoadStartsMs }, openOrder(view, order, nowMs))
  const { upstream, model, adapter, operation, reason } = planned
  return step(next, [
    { kind: 'send_order', upstream: view.upstream, order, fence: authority.fence, notAfterMs: authority.notAfterMs },
    {
      kind: 'record',
      record: {
        what: 'order_decided', fence: authority.fence, upstream, model, operation, reason, sequence: view.sequence, ageMs: nowMs - view.reportedAtMs, ...adapter === undefined ? {} : { adapter }
      }
    }
  ])
}

/**
 * Returns the view of the fleet that the lease holder sends to another instance.
 *
 * @param state The state of the scheduler.
 * @param at The current time by both clocks.
 * @param options The requesting instance, and the last version of this holder's placement that it applied; 0 for none.
 * @returns The view; `validMs` is 0 if this process does not hold the lease.
 *
 * @example
 * ```ts
 * const view = fleetView(state, at, { requester: 'entry-2', since: 0 })
 * ```
 */
export function fleetView (state: SchedulerState, at: Instant, options: { readonly requester: string, readonly since: number }): FleetView {
  const deadlineMs = orderDeadline(state, at)
  return {
    holder: state.self,
    fence: state.held?.fence ?? state.lease?.fence ?? 0,
    validMs: state.held === undefined || deadlineMs === undefined ? 0 : deadlineMs - at.nowMs,
    version: state.published.version,
    engines: [...state.published.engines.values()].filter(({ version }) => version > options.since).map(({ placed }) => placed),
    running: _runningElsewhere(state, options.requester, at.nowMs),
    expected: expectedLoads(state, at.nowMs)
  }
}

function _runningElsewhere (state: SchedulerState, requester: string, nowMs: number): FleetView['running'] {
  const running = new Map<string, number>()
  for (const { report, receivedAtMs } of state.reports.values()) {
    if (report.instance === requester || nowMs - receivedAtMs > REPORT_TTL_MS) continue
    for (const load of report.loads) running.set(load.upstream, (running.get(load.upstream) ?? 0) + load.running)
  }
  return [...running]
}

/**
 * Lists the model loads in progress.
 *
 * @param state The state of the lease holder.
 * @param nowMs The local time in ms.
 * @returns The loads, with the expected time until each is finished.
 *
 * @example
 * ```ts
 * const loads = expectedLoads(state, performance.now())
 * ```
 */
export function expectedLoads (state: SchedulerState, nowMs: number): readonly ExpectedLoad[] {
  return [...state.engines.values()].flatMap((view) => _expectedLoads(state, view, nowMs))
}

function _expectedLoads (state: SchedulerState, view: EngineView, nowMs: number): readonly ExpectedLoad[] {
  if (view.open === undefined || view.open.planned.operation !== 'load' || view.open.planned.adapter !== undefined) return []
  const { model } = view.open.planned
  const known = state.configuration?.services.get(view.upstream.service)?.engine?.models.get(model)
  if (known === undefined) return []
  const source = view.open.planned.fromStore ? 'store' : weightSource(view, model)
  return [{ model, readyInMs: Math.max(0, loadMs(known, source) - (nowMs - view.open.sentAtMs)) }]
}

// Instances that have ended are replaced by others with new names.
function _recentReports (state: SchedulerState, nowMs: number): Map<string, ReceivedReport> {
  return new Map([...state.reports].filter(([, { receivedAtMs }]) => nowMs - receivedAtMs < REPORT_RETENTION_MS))
}
