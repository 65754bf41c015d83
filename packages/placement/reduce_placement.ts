import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { updateShard, type ShardUpdate } from './_update_shard.ts'
import { backOffWrite, isRenewalDue, retryWrite, startWrite, takeOverLease } from './_hold_lease.ts'
import { isBusy, probeUpstreams } from './_probe_upstreams.ts'
import { replicaKey } from './_replica_key.ts'
import { DEMAND_TTL_MS } from './_build_planning_input.ts'
import { disclaimOrders, sendOrders } from './_send_orders.ts'
import type { PlacementShard, Replica } from './placement_shard.ts'
import type { Demand } from './demand.ts'
import { addIdlePeriod } from './idle_histogram.ts'
import { isHolder, mayDecide } from './is_holder.ts'
import { estimateFor, type Estimate } from './estimate.ts'
import type { PlacementEffect } from './placement_effect.ts'
import type { ModelUse, PlacementEvent } from './placement_event.ts'
import type { PlacementState } from './placement_state.ts'
import { newUsage, recordUse, type Usage } from './usage.ts'

type _Step = Step<PlacementState, PlacementEffect>

const START_WINDOW_MS = 1000

/**
 * Applies one event to the placement of a shard.
 *
 * At most one conditional update is pending at a time; decisions made meanwhile go into the next one.
 *
 * @param state The current state.
 * @param event The event.
 * @returns The next state and the effects to carry out.
 *
 * @example
 * ```ts
 * const { effects } = reducePlacement(state, { kind: 'ticked', nowMs: 0, random: 0.5 })
 * ```
 */
export function reducePlacement (state: PlacementState, event: PlacementEvent): _Step {
  const handled = _applyEvent(state, event)
  const advanced = _mayChangeShard(state, event) ? _advance(handled.state, event.nowMs) : step<PlacementState, PlacementEffect>(handled.state)
  const effects = [...handled.effects, ...advanced.effects]
  if (event.kind !== 'demand_received') return step(advanced.state, effects)
  const estimate = _estimate(advanced.state, event.demand.model, event.nowMs)
  return step(advanced.state, [...effects, { kind: 'answer_demand', call: event.call, estimate }])
}

// Most statuses contain nothing new, and reported uses can wait for the next tick.
function _mayChangeShard (state: PlacementState, event: PlacementEvent): boolean {
  if (event.kind === 'usage_reported') return false
  if (event.kind !== 'status_reported') return true
  const known = Option.getOrUndefined(HashMap.get(state.reports, event.upstream))?.status
  if (known === undefined || known.incarnation !== event.status.incarnation || known.fence !== event.status.fence) return true
  if (known.leaving !== event.status.leaving || known.holdings.length !== event.status.holdings.length) return true
  return isBusy(state, event.upstream)
}

function _estimate (state: PlacementState, model: string, nowMs: number): Estimate {
  if (!isHolder(state)) return { model, state: 'not_holder', readyInMs: 0 }
  return estimateFor(state, model, nowMs)
}

function _applyEvent (state: PlacementState, event: PlacementEvent): _Step {
  switch (event.kind) {
    case 'shard_read': return _applyRead(state, event)
    case 'shard_read_failed': return step({ ...state, unchangedSinceMs: event.nowMs })
    case 'write_done': return _finishWrite(state, event)
    case 'write_conflicted': return _resolveConflict(state, event)
    case 'write_lost': return _retryLater(state, event)
    case 'order_answered': return _applyAnswer(state, event)
    case 'status_reported': return step(_applyStatus(state, event))
    case 'demand_received': return step(_applyDemand(state, event.demand, event.nowMs))
    case 'usage_reported': return step(_applyUses(state, event))
    case 'catalog_changed': return step(_applyCatalog(state, event))
    case 'upstream_terminated': return step(_applyTermination(state, event.upstream))
    case 'orders_disclaimed': return step(_applyDisclaimer(state, event.orderIds))
    case 'stopping': return step({ ...state, stopping: true })
    case 'ticked': return step(state)
  }
}

type _Read = Extract<PlacementEvent, { kind: 'shard_read' }>

// A watch may deliver this process's own write before the store answers the write.
function _applyRead (state: PlacementState, event: _Read): _Step {
  const own = state.pending !== undefined && event.shard.writeId === state.pending.shard.writeId
  if (own) return _finishWrite(state, { ...event, kind: 'write_done', writeId: event.shard.writeId })
  return _observeShard(state, event.shard, event)
}

function _observeShard (state: PlacementState, shard: PlacementShard, read: { readonly version: number, readonly nowMs: number }): _Step {
  if (state.shard !== undefined && read.version <= state.version) return step(state)
  const wasHolder = isHolder(state)
  const next: PlacementState = { ...state, shard, version: read.version, unchangedSinceMs: read.nowMs, pending: undefined }
  const pruned = { ..._pruneSentOrders(next), loadingSinceMs: _loadingSince(next, read.nowMs) }
  const effects: PlacementEffect[] = [{ kind: 'placement_changed', shard }]
  if (wasHolder && !isHolder(pruned)) effects.push({ kind: 'count', metric: 'lease_lapsed' })
  return step(pruned, [...effects, ...disclaimOrders(pruned)])
}

function _loadingSince (state: PlacementState, nowMs: number): PlacementState['loadingSinceMs'] {
  const loading = (state.shard?.replicas ?? []).filter((replica) => replica.phase === 'loading')
  return HashMap.fromIterable(loading.map((replica) => {
    const sinceMs = Option.getOrElse(HashMap.get(state.loadingSinceMs, replica.model), () => nowMs)
    return [replica.model, sinceMs] as const
  }))
}

function _pruneSentOrders (state: PlacementState): PlacementState {
  const open = new Set((state.shard?.replicas ?? []).flatMap((replica) => replica.orders.map((order) => order.id)))
  const sentOrders = HashMap.filter(state.sentOrders, (answer, id) => answer === 'in_flight' || open.has(id))
  return { ...state, sentOrders, disclaimedOrders: state.disclaimedOrders.filter((id) => open.has(id)) }
}

type _Done = Extract<PlacementEvent, { kind: 'write_done' }>

function _finishWrite (state: PlacementState, event: _Done): _Step {
  const { pending } = state
  if (pending === undefined || pending.shard.writeId !== event.writeId) return step(state)
  const tookOver = pending.shard.fence !== state.shard?.fence
  const observed = _observeShard(state, pending.shard, event)
  const usages = tookOver ? _restartIdleTimes(observed.state, event.nowMs) : observed.state.usages
  const held: PlacementState = {
    ...observed.state,
    usages,
    terminated: tookOver ? [] : state.terminated,
    leaseUntilMs: pending.sentAtMs + state.times.holderTtlMs,
    lastWriteMs: pending.sentAtMs,
    probeFloor: tookOver ? state.probes : state.probeFloor,
    lastProbes: tookOver ? HashMap.empty() : state.lastProbes,
    recordedAtMs: _recordTimes(observed.state, event.nowMs)
  }
  return step(isHolder(held) ? held : { ...held, leaseUntilMs: -Infinity }, observed.effects)
}

function _recordTimes (state: PlacementState, nowMs: number): PlacementState['recordedAtMs'] {
  const orders = (state.shard?.replicas ?? []).flatMap((replica) => replica.orders)
  return HashMap.fromIterable(orders.map((order) => {
    return [order.id, Option.getOrElse(HashMap.get(state.recordedAtMs, order.id), () => nowMs)] as const
  }))
}

// A new holder doesn't know when models were last used, so it counts the takeover as a use.
function _restartIdleTimes (state: PlacementState, nowMs: number): PlacementState['usages'] {
  const models = new Set((state.shard?.replicas ?? []).map((replica) => replica.model))
  return [...models].reduce((usages, model) => {
    const known = Option.getOrElse(HashMap.get(usages, model), () => newUsage(nowMs))
    return HashMap.set(usages, model, { ...known, lastUsedMs: nowMs })
  }, state.usages)
}

type _Conflict = Extract<PlacementEvent, { kind: 'write_conflicted' }>

function _resolveConflict (state: PlacementState, event: _Conflict): _Step {
  const { pending } = state
  if (pending === undefined || pending.shard.writeId !== event.writeId) return _observeShard(state, event.shard, event)
  if (event.shard.writeId === event.writeId) return _finishWrite(state, { ...event, kind: 'write_done' })
  const observed = _observeShard({ ...state, pending: undefined }, event.shard, event)
  return step(observed.state, [...observed.effects, { kind: 'count', metric: 'write_conflicted' }])
}

type _Lost = Extract<PlacementEvent, { kind: 'write_lost' }>

function _retryLater (state: PlacementState, event: _Lost): _Step {
  if (state.pending?.shard.writeId !== event.writeId) return step(state)
  const backedOff = backOffWrite({ ...state, unchangedSinceMs: event.nowMs }, event.nowMs, event.random)
  return step(backedOff, [{ kind: 'count', metric: 'write_lost' }])
}

type _Answered = Extract<PlacementEvent, { kind: 'order_answered' }>

function _applyAnswer (state: PlacementState, event: _Answered): _Step {
  const replica = _replicaOf(state, event.orderId)
  const replicaProbeFloors = replica === undefined
    ? state.replicaProbeFloors
    : HashMap.set(state.replicaProbeFloors, replicaKey(replica), state.probes)
  const next = { ...state, replicaProbeFloors, sentOrders: HashMap.set(state.sentOrders, event.orderId, event.answer) }
  const effects: PlacementEffect[] = [...disclaimOrders(next)]
  if (event.answer === 'unknown') effects.push({ kind: 'count', metric: 'order_unknown' })
  if (event.answer === 'refused') effects.push({ kind: 'count', metric: 'order_refused' })
  return step(next, effects)
}

function _replicaOf (state: PlacementState, orderId: string): Replica | undefined {
  return state.shard?.replicas.find((replica) => replica.orders.some((order) => order.id === orderId))
}

type _Reported = Extract<PlacementEvent, { kind: 'status_reported' }>

function _applyStatus (state: PlacementState, event: _Reported): PlacementState {
  const last = Option.getOrUndefined(HashMap.get(state.lastProbes, event.upstream))
  if (last === undefined || last.probe !== event.probe || last.answered) return state
  const report = { status: event.status, probe: event.probe, receivedAtMs: event.nowMs }
  return {
    ...state,
    reports: HashMap.set(state.reports, event.upstream, report),
    lastProbes: HashMap.set(state.lastProbes, event.upstream, { ...last, answered: true })
  }
}

function _applyDemand (state: PlacementState, demand: Demand, nowMs: number): PlacementState {
  const received = { ...demand, receivedAtMs: nowMs }
  const demands = HashMap.set(state.demands, `${demand.model}@${demand.instance}`, received)
  return _recordUses({ ...state, demands }, _modelAndBase(state, demand.model), nowMs)
}

function _modelAndBase (state: PlacementState, model: string): readonly string[] {
  const base = state.catalog.models.get(model)?.base
  return base === undefined ? [model] : [model, base]
}

/** Factor by which the weight of earlier idle periods of all models is multiplied at each new one. */
const GLOBAL_DECAY = 0.999

function _recordUses (state: PlacementState, models: readonly string[], atMs: number): PlacementState {
  return models.reduce((known, model) => {
    const usage: Usage = Option.getOrElse(HashMap.get(known.usages, model), () => newUsage(atMs))
    const used = recordUse(usage, atMs)
    const globalIdlePeriods = used.idlePeriods === usage.idlePeriods
      ? known.globalIdlePeriods
      : addIdlePeriod(known.globalIdlePeriods, atMs - usage.lastUsedMs, { decay: GLOBAL_DECAY })
    return { ...known, globalIdlePeriods, usages: HashMap.set(known.usages, model, used) }
  }, state)
}

type _UsageReported = Extract<PlacementEvent, { kind: 'usage_reported' }>

function _applyUses (state: PlacementState, event: _UsageReported): PlacementState {
  return event.uses.reduce((known, use) => _applyUse(known, event, use), state)
}

function _applyUse (state: PlacementState, event: _UsageReported, use: ModelUse): PlacementState {
  const running = HashMap.set(state.running, `${use.model}@${event.instance}`, use.running)
  const models = _modelAndBase(state, use.model)
  const used = _recordUses(state, models, event.nowMs - use.idleForMs)
  const usages = HashMap.modify(used.usages, use.model, (usage) => ({ ...usage, running: _runningOf(running, use.model) }))
  const demands = _dropExpiredDemand(state, event, use)
  return { ...used, running, usages, demands }
}

function _dropExpiredDemand (state: PlacementState, event: _UsageReported, use: ModelUse): PlacementState['demands'] {
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

// Only a holder applies a termination, and immediately; if deferred, it could apply to the upstream's next incarnation.
function _applyTermination (state: PlacementState, upstream: string): PlacementState {
  if (!isHolder(state)) return state
  return {
    ...state,
    terminated: [...state.terminated, { upstream, probe: state.probes }],
    // The last report would otherwise be taken for the upstream's current state.
    reports: HashMap.remove(state.reports, upstream),
    lastProbes: HashMap.remove(state.lastProbes, upstream)
  }
}

type _CatalogChanged = Extract<PlacementEvent, { kind: 'catalog_changed' }>

function _applyCatalog (state: PlacementState, event: _CatalogChanged): PlacementState {
  return event.catalog.version < state.catalog.version ? state : { ...state, catalog: event.catalog }
}

function _applyDisclaimer (state: PlacementState, orderIds: readonly string[]): PlacementState {
  const replicaProbeFloors = orderIds.reduce((known, orderId) => {
    const replica = _replicaOf(state, orderId)
    return replica === undefined ? known : HashMap.set(known, replicaKey(replica), state.probes)
  }, state.replicaProbeFloors)
  return { ...state, replicaProbeFloors, disclaimedOrders: [...new Set([...state.disclaimedOrders, ...orderIds])] }
}

// Recorded orders are sent before the next write is built, since that write treats unsent orders as void.
function _advance (state: PlacementState, nowMs: number): _Step {
  const sent = sendOrders(state, nowMs)
  const written = _write(sent.state, nowMs)
  const probed = probeUpstreams(written.state, nowMs)
  return step(probed.state, [...sent.effects, ...written.effects, ...probed.effects])
}

function _write (state: PlacementState, nowMs: number): _Step {
  if (state.pending !== undefined) return retryWrite(state, nowMs)
  if (!isHolder(state) || state.shard === undefined) return takeOverLease(state, nowMs)
  if (state.stopping) return _releaseLease(state, state.shard, nowMs)
  if (!mayDecide(state, nowMs)) return startWrite(state, state.shard, nowMs)
  const update = updateShard(state, _withNewFence(state, state.shard), nowMs)
  if (_isEqual(update.shard, state.shard) && !isRenewalDue(state, nowMs)) return step(state)
  return _commit(state, update, nowMs)
}

// An order of this process with an unknown outcome is handled by advancing the fencing token: upstreams that check
// tokens refuse the order from then on, and on others it is treated like an order of an earlier holder.
function _withNewFence (state: PlacementState, shard: PlacementShard): PlacementShard {
  const unknown = shard.replicas.some((replica) => replica.orders.some((order) => {
    return order.fence === shard.fence && Option.getOrUndefined(HashMap.get(state.sentOrders, order.id)) === 'unknown'
  }))
  return unknown ? { ...shard, fence: shard.fence + 1 } : shard
}

// The lease is released once no order is in flight or its local expiry has passed; until then, nothing is written.
function _releaseLease (state: PlacementState, shard: PlacementShard, nowMs: number): _Step {
  const inFlight = [...HashMap.values(state.sentOrders)].includes('in_flight')
  if (inFlight && nowMs < state.leaseUntilMs) return step(state)
  const { shard: settled } = updateShard(state, shard, nowMs)
  return startWrite(state, { ...settled, holder: null }, nowMs)
}

function _isEqual (a: PlacementShard, b: PlacementShard): boolean {
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

function _commit (state: PlacementState, update: ShardUpdate, nowMs: number): _Step {
  const loads = update.decisions.filter((decision) => decision.kind === 'load')
  const recentStarts = [...state.recentStarts, ...loads.map(() => nowMs)].filter((atMs) => atMs > nowMs - START_WINDOW_MS)
  const reasons = update.decisions.reduce(
    (known, decision) => HashMap.set(known, decision.model, `${decision.kind} on ${decision.upstream}: ${decision.reason}`),
    state.reasons)
  const decided = { ...state, nextId: update.nextId, recentStarts, reasons, terminated: [] }
  const written = startWrite(decided, update.shard, nowMs)
  const counts = update.decisions.map((decision): PlacementEffect => ({
    kind: 'count',
    metric: decision.kind === 'load' ? 'load_decided' : 'unload_decided',
    model: decision.model
  }))
  return step(written.state, [...written.effects, ...counts])
}
