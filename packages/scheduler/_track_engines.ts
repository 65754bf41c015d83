import type { EngineReport, Upstream, UpstreamList } from '@berylshed/fleet'
import { step, type Step } from '@berylshed/reducer'
import { newEngineView, loadedResidents, type AdapterView, type EngineView, type OpenOrder, type ResidentView } from './engine_view.ts'
import type { OrderOutcome } from './scheduler_event.ts'
import type { SchedulerEffect, SchedulerRecord } from './scheduler_effect.ts'
import type { SchedulerState } from './scheduler_state.ts'

type _Step = Step<SchedulerState, SchedulerEffect>

/** Poll interval of an engine without an expected change, in ms. */
const IDLE_POLL_MS = 1000
/** Poll interval of an engine whose order should have finished, in ms; a fraction of the shortest load. */
const BUSY_POLL_MS = 40
/** Time after which an unanswered poll is repeated, in ms. */
const POLL_TIMEOUT_MS = 400
/** Maximum age of the model list in a report, in ms; engines announce a lag of a few hundred ms. */
export const REPORT_LAG_MS = 400
/** Backoff after an engine has refused an order, in ms. */
const REFUSAL_BACKOFF_MS = 60
/** Backoff after an engine has rejected an order as invalid or as meant for another engine, in ms. */
const INVALID_BACKOFF_MS = 3000
/** Time for which freed memory is reserved for the replacement, in ms; long enough for two further unloads. */
const RESERVATION_MS = 500
/** Consecutive failed polls after which an engine is excluded from planning. */
export const MAX_MISSED_REPORTS = 3

/** Updates the engine views from the list of registrations. */
export function applyUpstreamList (state: SchedulerState, list: UpstreamList, nowMs: number): SchedulerState {
  const engines = new Map<string, EngineView>()
  for (const upstream of list.upstreams.values()) {
    if (state.configuration?.services.get(upstream.service)?.engine === undefined) continue
    engines.set(upstream.id, _register(state.engines.get(upstream.id), upstream, nowMs))
  }
  return { ...state, list, engines }
}

function _register (known: EngineView | undefined, upstream: Upstream, nowMs: number): EngineView {
  return known === undefined || upstream.incarnation > known.incarnation ? newEngineView(upstream, nowMs) : { ...known, upstream }
}

/** Polls the engines whose reports are due. */
export function pollEngines (state: SchedulerState, nowMs: number): _Step {
  const engines = new Map(state.engines)
  const effects: SchedulerEffect[] = []
  for (const [id, view] of state.engines) {
    if (!_isPollDue(view, nowMs)) continue
    engines.set(id, { ...view, polledAtMs: nowMs })
    effects.push({ kind: 'poll_engine', upstream: view.upstream, polledAtMs: nowMs })
  }
  return effects.length === 0 ? step(state) : step({ ...state, engines }, effects)
}

function _isPollDue (view: EngineView, nowMs: number): boolean {
  const ageMs = nowMs - view.polledAtMs
  if (view.reportedAtMs < view.polledAtMs && ageMs < POLL_TIMEOUT_MS) return false
  const { open } = view
  if (open?.phase === 'running' && nowMs < open.answeredAtMs + open.planned.expectedMs) return ageMs >= IDLE_POLL_MS
  const busy = !view.confirmed || (open !== undefined && open.phase !== 'in_flight')
  return ageMs >= (busy ? BUSY_POLL_MS : IDLE_POLL_MS)
}

/**
 * Applies a report of an engine.
 *
 * A report shows the current number of accepted orders and whether one is in progress, but its list of models lags by
 * a few hundred ms. The list is therefore used only once the engine has been idle for longer than that; until then the
 * view is based on the known effects of this process's own orders.
 */
export function applyReport (view: EngineView, report: EngineReport, times: ReportTimes): EngineView {
  const { nowMs, polledAtMs } = times
  const received: EngineView = { ...view, reportedAtMs: nowMs, missedReports: 0 }
  const incarnation = report.incarnation ?? view.incarnation
  if (incarnation < view.incarnation || view.open?.phase === 'in_flight') return received
  const restarted = incarnation > view.incarnation
  const isOld = report.sequence < view.sequence && polledAtMs < view.acceptedAtMs + REPORT_LAG_MS
  if (!restarted && isOld) return received
  if (restarted || report.sequence !== view.sequence) return _resynchronize(received, report, { ...times, incarnation })
  if (view.open !== undefined) return _updateOpenOrder(received, view.open, report, times)
  if (report.busy) return { ...received, stableSinceMs: Infinity, confirmed: false }
  const stableSinceMs = Math.min(view.stableSinceMs, nowMs)
  const copies = report.copies
  if (polledAtMs < stableSinceMs + REPORT_LAG_MS) return { ...received, stableSinceMs, copies }
  const residents = _withPendingAdapters(loadedResidents(report.residents, view.residents, nowMs), report, nowMs)
  return { ...received, stableSinceMs, copies, residents, confirmed: true }
}

/** Local times at which a report was requested and received, in ms. */
export interface ReportTimes {
  readonly polledAtMs: number
  readonly nowMs: number
}

// Adopts the reported state after a restart of the engine or after it has executed an order of another process, or one
// of this process whose response was lost.
function _resynchronize (view: EngineView, report: EngineReport, times: ReportTimes & { readonly incarnation: number }): EngineView {
  const { nowMs, incarnation } = times
  const known = incarnation > view.incarnation ? new Map() : view.residents
  return {
    ...view,
    incarnation,
    sequence: report.sequence,
    // Known residents keep their memory accounted for until the list of models is reliable.
    residents: new Map([...known, ..._withPendingAdapters(loadedResidents(report.residents, known, nowMs), report, nowMs)]),
    copies: report.copies,
    open: undefined,
    confirmed: false,
    stableSinceMs: report.busy ? Infinity : nowMs
  }
}

function _updateOpenOrder (view: EngineView, open: OpenOrder, report: EngineReport, times: ReportTimes): EngineView {
  const { nowMs, polledAtMs } = times
  if (open.phase === 'unknown') {
    // The number of accepted orders has not changed, so the order has not been executed.
    const notExecuted = !report.busy && polledAtMs >= open.answeredAtMs + REPORT_LAG_MS
    return notExecuted ? { ...view, open: undefined, confirmed: false, stableSinceMs: nowMs } : view
  }
  if (report.busy || polledAtMs < open.answeredAtMs) return view
  const residents = new Map(view.residents)
  const { model, operation, replacement } = open.planned
  if (operation === 'unload') residents.delete(model)
  else residents.set(model, { phase: 'loaded', sinceMs: nowMs, adapters: new Map() })
  const reservation = replacement === undefined ? undefined : { model: replacement, untilMs: nowMs + RESERVATION_MS }
  return { ...view, open: undefined, residents, reservation, stableSinceMs: nowMs }
}

function _withPendingAdapters (residents: EngineView['residents'], report: EngineReport, nowMs: number): EngineView['residents'] {
  if (report.pendingAdapters.length === 0) return residents
  const next = new Map(residents)
  for (const pending of report.pendingAdapters) {
    const [model = '', adapter = ''] = pending.split('/')
    const resident = next.get(model)
    if (resident !== undefined) next.set(model, withAdapter(resident, adapter, { phase: 'loading', sinceMs: nowMs }))
  }
  return next
}

/** Returns a copy of a resident with an adapter set, or removed if `view` is undefined. */
export function withAdapter (resident: ResidentView, adapter: string, view: AdapterView | undefined): ResidentView {
  const adapters = new Map(resident.adapters)
  if (view === undefined) adapters.delete(adapter)
  else adapters.set(adapter, view)
  return { ...resident, adapters }
}

/** Applies the effect of an order when it is sent, so that no request is routed to a model that is being unloaded. */
export function openOrder (view: EngineView, order: OpenOrder, nowMs: number): EngineView {
  const { operation, model, adapter } = order.planned
  const resident = view.residents.get(model)
  const phase = operation === 'load' ? 'loading' : 'unloading'
  const next: ResidentView = adapter === undefined
    ? { phase, sinceMs: nowMs, adapters: resident?.adapters ?? new Map() }
    : withAdapter(resident ?? { phase: 'loaded', sinceMs: nowMs, adapters: new Map() }, adapter, { phase, sinceMs: nowMs })
  // Drained models that need not make way after all serve again.
  const isDrainOver = operation === 'load' && adapter === undefined && view.drain?.replacement === model
  return { ...view, open: order, drain: isDrainOver ? undefined : view.drain, residents: new Map(view.residents).set(model, next) }
}

/** Applies the outcome of sending an order. */
export function endOrder (view: EngineView, outcome: OrderOutcome, nowMs: number): EngineView {
  const { open } = view
  if (open === undefined) return view
  const unconfirmed: EngineView = { ...view, open: undefined, confirmed: false, stableSinceMs: Infinity, backoffUntilMs: nowMs + REFUSAL_BACKOFF_MS }
  switch (outcome) {
    case 'accepted': return _acceptOrder(view, open, nowMs)
    // An engine unloads an idle adapter at once and counts the order as accepted.
    case 'held': return open.planned.adapter !== undefined && open.planned.operation === 'unload' ? _acceptOrder(view, open, nowMs) : unconfirmed
    case 'unknown': return { ...view, open: { ...open, phase: 'unknown', answeredAtMs: nowMs } }
    case 'misdirected':
    case 'invalid': return { ...unconfirmed, backoffUntilMs: nowMs + INVALID_BACKOFF_MS }
    case 'conflict':
    case 'not_sent':
    case 'fenced': return unconfirmed
  }
}

function _acceptOrder (view: EngineView, open: OpenOrder, nowMs: number): EngineView {
  const sequence = open.expectedSequence + 1
  const { model, adapter, operation } = open.planned
  const accepted: EngineView = { ...view, sequence, acceptedAtMs: nowMs, stableSinceMs: adapter === undefined ? Infinity : nowMs }
  if (adapter === undefined) return { ...accepted, open: { ...open, phase: 'running', answeredAtMs: nowMs } }
  const resident = view.residents.get(model)
  if (resident === undefined) return { ...accepted, open: undefined }
  const adapterView: AdapterView | undefined = operation === 'load' ? { phase: 'loading', sinceMs: nowMs } : undefined
  return { ...accepted, open: undefined, residents: new Map(view.residents).set(model, withAdapter(resident, adapter, adapterView)) }
}

/** Returns a log record of the changes that a report made to a view, or undefined if there are none. */
export function describeChange (before: EngineView, after: EngineView, nowMs: number): SchedulerRecord | undefined {
  const models = (view: EngineView): string => [...view.residents].map(([model, { phase }]) => `${model}:${phase}`).sort().join(' ')
  if (after.incarnation === before.incarnation && models(before) === models(after)) return undefined
  return {
    what: 'engine_changed', upstream: after.upstream.id, sequence: after.sequence, outcome: models(after), ageMs: nowMs - after.polledAtMs
  }
}
