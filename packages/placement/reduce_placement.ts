import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { evolveCell, type Evolution } from './_evolve_cell.ts'
import { backOffWrite, renewalIsDue, repeatWrite, startWrite, takeOver } from './_hold_lease.ts'
import { isBusy, probeUpstreams } from './_probe_upstreams.ts'
import { replicaKey } from './_replica_key.ts'
import { DEMAND_TTL_MS } from './_scene_of.ts'
import { disclaimOrders, sendOrders } from './_send_orders.ts'
import type { Cell, Replica } from './cell.ts'
import type { Demand } from './demand.ts'
import { addGap } from './gaps.ts'
import { isHolder, mayDecide } from './is_holder.ts'
import { outlookFor, type Outlook } from './outlook.ts'
import type { PlacementEffect } from './placement_effect.ts'
import type { ModelUse, PlacementEvent } from './placement_event.ts'
import type { PlacementState } from './placement_state.ts'
import { newUsage, recordUse, type Usage } from './usage.ts'

type _Step = Step<PlacementState, PlacementEffect>

const START_WINDOW_MS = 1000

/**
 * Reduces one event of a cell's placement.
 *
 * One conditional update is under way at a time; what is decided meanwhile goes into the next one.
 *
 * @param state The state so far.
 * @param event What happened.
 * @returns The next state and the effects to carry out.
 *
 * @example
 * ```ts
 * const { effects } = reducePlacement(state, { kind: 'ticked', nowMs: 0, random: 0.5 })
 * ```
 */
export function reducePlacement (state: PlacementState, event: PlacementEvent): _Step {
  const absorbed = _absorb(state, event)
  const advanced = _mayChangeCell(state, event) ? _advance(absorbed.state, event.nowMs) : step<PlacementState, PlacementEffect>(absorbed.state)
  const effects = [...absorbed.effects, ...advanced.effects]
  if (event.kind !== 'demanded') return step(advanced.state, effects)
  const outlook = _outlook(advanced.state, event.demand.model, event.nowMs)
  return step(advanced.state, [...effects, { kind: 'answer_demand', call: event.call, outlook }])
}

// Most statuses tell what is known already, and most uses only matter at the next tick.
function _mayChangeCell (state: PlacementState, event: PlacementEvent): boolean {
  if (event.kind === 'used') return false
  if (event.kind !== 'status_reported') return true
  const known = Option.getOrUndefined(HashMap.get(state.reports, event.upstream))?.status
  if (known === undefined || known.incarnation !== event.status.incarnation || known.fence !== event.status.fence) return true
  if (known.leaving !== event.status.leaving || known.holdings.length !== event.status.holdings.length) return true
  return isBusy(state, event.upstream)
}

function _outlook (state: PlacementState, model: string, nowMs: number): Outlook {
  if (!isHolder(state)) return { model, state: 'not_holder', readyInMs: 0 }
  return outlookFor(state, model, nowMs)
}

function _absorb (state: PlacementState, event: PlacementEvent): _Step {
  switch (event.kind) {
    case 'cell_seen': return _observe(state, event)
    case 'cell_unseen': return step({ ...state, quietSinceMs: event.nowMs })
    case 'write_done': return _finishWrite(state, event)
    case 'write_conflicted': return _resolveConflict(state, event)
    case 'write_lost': return _loseWrite(state, event)
    case 'order_answered': return _absorbAnswer(state, event)
    case 'status_reported': return step(_absorbStatus(state, event))
    case 'demanded': return step(_absorbDemand(state, event.demand, event.nowMs))
    case 'used': return step(_absorbUses(state, event))
    case 'catalog_changed': return step(_absorbCatalog(state, event))
    case 'upstream_gone': return step(_absorbGone(state, event.upstream))
    case 'orders_disclaimed': return step(_absorbDisclaimer(state, event.orderIds))
    case 'stopping': return step({ ...state, stopping: true })
    case 'ticked': return step(state)
  }
}

type _Seen = Extract<PlacementEvent, { kind: 'cell_seen' }>

// A watch may bring this process's own write before its answer does.
function _observe (state: PlacementState, event: _Seen): _Step {
  const own = state.pending !== undefined && event.cell.writeId === state.pending.cell.writeId
  if (own) return _finishWrite(state, { ...event, kind: 'write_done', writeId: event.cell.writeId })
  return _see(state, event.cell, event)
}

function _see (state: PlacementState, cell: Cell, seen: { readonly version: number, readonly nowMs: number }): _Step {
  if (state.cell !== undefined && seen.version <= state.version) return step(state)
  const wasHolder = isHolder(state)
  const next: PlacementState = { ...state, cell, version: seen.version, quietSinceMs: seen.nowMs, pending: undefined }
  const pruned = { ..._pruneSent(next), loadingSince: _loadingSince(next, seen.nowMs) }
  const effects: PlacementEffect[] = [{ kind: 'placement_changed', cell }]
  if (wasHolder && !isHolder(pruned)) effects.push({ kind: 'count', metric: 'lease_lapsed' })
  return step(pruned, [...effects, ...disclaimOrders(pruned)])
}

function _loadingSince (state: PlacementState, nowMs: number): PlacementState['loadingSince'] {
  const loading = (state.cell?.replicas ?? []).filter((replica) => replica.phase === 'loading')
  return HashMap.fromIterable(loading.map((replica) => {
    const sinceMs = Option.getOrElse(HashMap.get(state.loadingSince, replica.model), () => nowMs)
    return [replica.model, sinceMs] as const
  }))
}

function _pruneSent (state: PlacementState): PlacementState {
  const open = new Set((state.cell?.replicas ?? []).flatMap((replica) => replica.orders.map((order) => order.id)))
  const sent = HashMap.filter(state.sent, (answer, id) => answer === 'sending' || open.has(id))
  return { ...state, sent, disclaimed: state.disclaimed.filter((id) => open.has(id)) }
}

type _Done = Extract<PlacementEvent, { kind: 'write_done' }>

function _finishWrite (state: PlacementState, event: _Done): _Step {
  const { pending } = state
  if (pending === undefined || pending.cell.writeId !== event.writeId) return step(state)
  const tookOver = pending.cell.fence !== state.cell?.fence
  const seen = _see(state, pending.cell, event)
  const usages = tookOver ? _restartIdleTimes(seen.state, event.nowMs) : seen.state.usages
  const held: PlacementState = {
    ...seen.state,
    usages,
    gone: tookOver ? [] : state.gone,
    leaseUntilMs: pending.sentAtMs + state.times.holderTtlMs,
    lastWriteMs: pending.sentAtMs,
    probeFloor: tookOver ? state.probes : state.probeFloor,
    lastProbes: tookOver ? HashMap.empty() : state.lastProbes,
    recordedAtMs: _recordTimes(seen.state, event.nowMs)
  }
  return step(isHolder(held) ? held : { ...held, leaseUntilMs: -Infinity }, seen.effects)
}

function _recordTimes (state: PlacementState, nowMs: number): PlacementState['recordedAtMs'] {
  const orders = (state.cell?.replicas ?? []).flatMap((replica) => replica.orders)
  return HashMap.fromIterable(orders.map((order) => {
    return [order.id, Option.getOrElse(HashMap.get(state.recordedAtMs, order.id), () => nowMs)] as const
  }))
}

// A new holder does not know when models were last used, and counts the takeover as a use.
function _restartIdleTimes (state: PlacementState, nowMs: number): PlacementState['usages'] {
  const models = new Set((state.cell?.replicas ?? []).map((replica) => replica.model))
  return [...models].reduce((usages, model) => {
    const known = Option.getOrElse(HashMap.get(usages, model), () => newUsage(nowMs))
    return HashMap.set(usages, model, { ...known, lastUsedMs: nowMs })
  }, state.usages)
}

type _Conflict = Extract<PlacementEvent, { kind: 'write_conflicted' }>

function _resolveConflict (state: PlacementState, event: _Conflict): _Step {
  const { pending } = state
  if (pending === undefined || pending.cell.writeId !== event.writeId) return _see(state, event.cell, event)
  if (event.cell.writeId === event.writeId) return _finishWrite(state, { ...event, kind: 'write_done' })
  const seen = _see({ ...state, pending: undefined }, event.cell, event)
  return step(seen.state, [...seen.effects, { kind: 'count', metric: 'write_conflicted' }])
}

type _Lost = Extract<PlacementEvent, { kind: 'write_lost' }>

function _loseWrite (state: PlacementState, event: _Lost): _Step {
  if (state.pending?.cell.writeId !== event.writeId) return step(state)
  const backedOff = backOffWrite({ ...state, quietSinceMs: event.nowMs }, event.nowMs, event.random)
  return step(backedOff, [{ kind: 'count', metric: 'write_lost' }])
}

type _Answered = Extract<PlacementEvent, { kind: 'order_answered' }>

function _absorbAnswer (state: PlacementState, event: _Answered): _Step {
  const replica = _replicaOf(state, event.orderId)
  const touched = replica === undefined
    ? state.touched
    : HashMap.set(state.touched, replicaKey(replica), state.probes)
  const next = { ...state, touched, sent: HashMap.set(state.sent, event.orderId, event.answer) }
  const effects: PlacementEffect[] = [...disclaimOrders(next)]
  if (event.answer === 'unknown') effects.push({ kind: 'count', metric: 'order_unknown' })
  if (event.answer === 'refused') effects.push({ kind: 'count', metric: 'order_refused' })
  return step(next, effects)
}

function _replicaOf (state: PlacementState, orderId: string): Replica | undefined {
  return state.cell?.replicas.find((replica) => replica.orders.some((order) => order.id === orderId))
}

type _Reported = Extract<PlacementEvent, { kind: 'status_reported' }>

function _absorbStatus (state: PlacementState, event: _Reported): PlacementState {
  const last = Option.getOrUndefined(HashMap.get(state.lastProbes, event.upstream))
  if (last === undefined || last.probe !== event.probe || last.answered) return state
  const report = { status: event.status, probe: event.probe, receivedAtMs: event.nowMs }
  return {
    ...state,
    reports: HashMap.set(state.reports, event.upstream, report),
    lastProbes: HashMap.set(state.lastProbes, event.upstream, { ...last, answered: true })
  }
}

function _absorbDemand (state: PlacementState, demand: Demand, nowMs: number): PlacementState {
  const received = { ...demand, receivedAtMs: nowMs }
  const demands = HashMap.set(state.demands, `${demand.model}@${demand.instance}`, received)
  return _use({ ...state, demands }, _withBase(state, demand.model), nowMs)
}

function _withBase (state: PlacementState, model: string): readonly string[] {
  const base = state.catalog.models.get(model)?.base
  return base === undefined ? [model] : [model, base]
}

/** Factor by which the idle periods of all models lose weight at each new one. */
const ALL_GAPS_DECAY = 0.999

function _use (state: PlacementState, models: readonly string[], atMs: number): PlacementState {
  return models.reduce((known, model) => {
    const usage: Usage = Option.getOrElse(HashMap.get(known.usages, model), () => newUsage(atMs))
    const used = recordUse(usage, atMs)
    const allGaps = used.gaps === usage.gaps
      ? known.allGaps
      : addGap(known.allGaps, atMs - usage.lastUsedMs, { decay: ALL_GAPS_DECAY })
    return { ...known, allGaps, usages: HashMap.set(known.usages, model, used) }
  }, state)
}

type _Used = Extract<PlacementEvent, { kind: 'used' }>

function _absorbUses (state: PlacementState, event: _Used): PlacementState {
  return event.uses.reduce((known, use) => _absorbUse(known, event, use), state)
}

function _absorbUse (state: PlacementState, event: _Used, use: ModelUse): PlacementState {
  const running = HashMap.set(state.running, `${use.model}@${event.instance}`, use.running)
  const models = _withBase(state, use.model)
  const used = _use(state, models, event.nowMs - use.idleForMs)
  const usages = HashMap.modify(used.usages, use.model, (usage) => ({ ...usage, running: _runningOf(running, use.model) }))
  const demands = _settleDemand(state, event, use)
  return { ...used, running, usages, demands }
}

function _settleDemand (state: PlacementState, event: _Used, use: ModelUse): PlacementState['demands'] {
  const key = `${use.model}@${event.instance}`
  const demand = Option.getOrUndefined(HashMap.get(state.demands, key))
  if (demand === undefined || event.nowMs - demand.receivedAtMs <= DEMAND_TTL_MS) return state.demands
  return HashMap.remove(state.demands, key)
}

function _runningOf (running: PlacementState['running'], model: string): number {
  let sum = 0
  for (const [key, count] of running) {
    if (key.startsWith(`${model}@`)) sum += count
  }
  return sum
}

// Only a holder acts on it, and at once: kept for later it could be applied to the upstream's next incarnation.
function _absorbGone (state: PlacementState, upstream: string): PlacementState {
  if (!isHolder(state)) return state
  return {
    ...state,
    gone: [...state.gone, { upstream, probe: state.probes }],
    // What it last told would otherwise be taken for what it holds.
    reports: HashMap.remove(state.reports, upstream),
    lastProbes: HashMap.remove(state.lastProbes, upstream)
  }
}

type _CatalogChanged = Extract<PlacementEvent, { kind: 'catalog_changed' }>

function _absorbCatalog (state: PlacementState, event: _CatalogChanged): PlacementState {
  return event.catalog.version < state.catalog.version ? state : { ...state, catalog: event.catalog }
}

function _absorbDisclaimer (state: PlacementState, orderIds: readonly string[]): PlacementState {
  const touched = orderIds.reduce((known, orderId) => {
    const replica = _replicaOf(state, orderId)
    return replica === undefined ? known : HashMap.set(known, replicaKey(replica), state.probes)
  }, state.touched)
  return { ...state, touched, disclaimed: [...new Set([...state.disclaimed, ...orderIds])] }
}

// Recorded orders are handed out before the next write is made up, which takes an order that was not for void.
function _advance (state: PlacementState, nowMs: number): _Step {
  const sent = sendOrders(state, nowMs)
  const written = _write(sent.state, nowMs)
  const probed = probeUpstreams(written.state, nowMs)
  return step(probed.state, [...sent.effects, ...written.effects, ...probed.effects])
}

function _write (state: PlacementState, nowMs: number): _Step {
  if (state.pending !== undefined) return repeatWrite(state, nowMs)
  if (!isHolder(state) || state.cell === undefined) return takeOver(state, nowMs)
  if (state.stopping) return _handOver(state, state.cell, nowMs)
  if (!mayDecide(state, nowMs)) return startWrite(state, state.cell, nowMs)
  const evolution = evolveCell(state, _withOwnFence(state, state.cell), nowMs)
  if (_isSame(evolution.cell, state.cell) && !renewalIsDue(state, nowMs)) return step(state)
  return _commit(state, evolution, nowMs)
}

// An own order without an answer belongs to the past once a new fencing number is taken: an upstream that checks them
// refuses it from then on, and on any other it is treated like an order of an earlier holder.
function _withOwnFence (state: PlacementState, cell: Cell): Cell {
  const unknown = cell.replicas.some((replica) => replica.orders.some((order) => {
    return order.fence === cell.fence && Option.getOrUndefined(HashMap.get(state.sent, order.id)) === 'unknown'
  }))
  return unknown ? { ...cell, fence: cell.fence + 1 } : cell
}

// Nothing may be in flight when the lease is handed over; until then the holder only settles what it sent.
function _handOver (state: PlacementState, cell: Cell, nowMs: number): _Step {
  const sending = [...HashMap.values(state.sent)].includes('sending')
  if (sending && nowMs < state.leaseUntilMs) return step(state)
  const { cell: settled } = evolveCell(state, cell, nowMs)
  return startWrite(state, { ...settled, holder: null }, nowMs)
}

function _isSame (a: Cell, b: Cell): boolean {
  if (a === b) return true
  if (a.fence !== b.fence || a.replicas.length !== b.replicas.length) return false
  return a.replicas.every((replica, i) => {
    const other = b.replicas[i]
    if (other === undefined || replica.orders.length !== other.orders.length) return false
    return replica === other || (replica.model === other.model && replica.upstream === other.upstream &&
      replica.phase === other.phase && replica.mayHaveRun === other.mayHaveRun &&
      replica.upstreamIncarnation === other.upstreamIncarnation)
  })
}

function _commit (state: PlacementState, evolution: Evolution, nowMs: number): _Step {
  const loads = evolution.decisions.filter((decision) => decision.kind === 'load')
  const recentStarts = [...state.recentStarts, ...loads.map(() => nowMs)].filter((atMs) => atMs > nowMs - START_WINDOW_MS)
  const reasons = evolution.decisions.reduce(
    (known, decision) => HashMap.set(known, decision.model, `${decision.kind} on ${decision.upstream}: ${decision.reason}`),
    state.reasons)
  const decided = { ...state, ids: evolution.ids, recentStarts, reasons, gone: [] }
  const written = startWrite(decided, evolution.cell, nowMs)
  const counts = evolution.decisions.map((decision): PlacementEffect => ({
    kind: 'count',
    metric: decision.kind === 'load' ? 'load_decided' : 'unload_decided',
    model: decision.model
  }))
  return step(written.state, [...written.effects, ...counts])
}
