import { HashMap, Option } from 'effect'
import { admitDecision } from './admit_decision.ts'
import { committedMemory } from './committed_memory.ts'
import { countReplicas } from './count_replicas.ts'
import type { PlacementShard, Order, Replica } from './placement_shard.ts'
import type { Decision } from './decision.ts'
import type { OrderAnswer } from './placement_event.ts'
import type { PlacementState } from './placement_state.ts'
import { planDecisions } from './plan_decisions.ts'
import { reconcileReplica } from './reconcile_replica.ts'
import { shardIndex } from './_shard_index.ts'
import { buildPlanningInput } from './_build_planning_input.ts'
import { replicaKey } from './_replica_key.ts'
import type { UpstreamReport } from './upstream_status.ts'
import { freeLoadSlots } from './load_slots.ts'

/** The next value of a shard, with the decisions that it records. */
export interface ShardUpdate {
  readonly shard: PlacementShard
  readonly decisions: readonly Decision[]
  readonly nextId: number
}

/** Returns the shard that the holder writes next, from order answers, upstream reports and the policy's decisions. */
export function updateShard (state: PlacementState, shard: PlacementShard, nowMs: number): ShardUpdate {
  const settled = _removeSettledOrders(state, shard)
  const reconciled = _reconcile(state, settled)
  const adopted = _adopt(state, reconciled)
  return _applyPlan(state, adopted, nowMs)
}

function _removeSettledOrders (state: PlacementState, shard: PlacementShard): PlacementShard {
  const replicas = shard.replicas.flatMap((replica) => {
    if (replica.orders.length === 0) return [replica]
    const orders = replica.orders.filter((order) => !_isSettled(state, shard, order))
    if (orders.length === replica.orders.length) return [replica]
    const mayHaveRun = replica.mayHaveRun || !replica.orders.every((order) => orders.includes(order) || _neverRan(state, shard, order))
    const loadNeverRan = replica.phase === 'loading' && orders.length === 0 && !mayHaveRun
    return loadNeverRan ? [] : [{ ...replica, orders, mayHaveRun }]
  })
  return _isUnchanged(shard, replicas) ? shard : { ...shard, replicas }
}

// An unchanged shard keeps its identity, so that its cached index stays valid.
function _isUnchanged (shard: PlacementShard, replicas: readonly Replica[]): boolean {
  return replicas.length === shard.replicas.length && replicas.every((replica, i) => replica === shard.replicas[i])
}

function _isSettled (state: PlacementState, shard: PlacementShard, order: Order): boolean {
  if (state.disclaimedOrders.includes(order.id)) return true
  return _answerOf(state, order) === 'accepted' || _neverRan(state, shard, order)
}

// An order of this process that was never passed on for sending can't be sent once the fencing token has advanced.
function _neverRan (state: PlacementState, shard: PlacementShard, order: Order): boolean {
  if (order.sender !== state.self.incarnation) return false
  const answer = _answerOf(state, order)
  if (answer === 'refused' || answer === 'not_sent') return true
  return answer === undefined && order.fence < shard.fence
}

function _answerOf (state: PlacementState, order: Order): OrderAnswer | 'in_flight' | undefined {
  return Option.getOrUndefined(HashMap.get(state.sentOrders, order.id))
}

function _reconcile (state: PlacementState, shard: PlacementShard): PlacementShard {
  const replicas = shard.replicas.flatMap((replica) => {
    const report = _freshReport(state, replica)
    if (_isTerminated(state, replica.upstream, report)) return []
    const upstream = state.catalog.upstreams.get(replica.upstream)
    if (report === undefined || upstream === undefined) return [replica]
    const next = reconcileReplica(replica, report.status, upstream)
    return next === undefined ? [] : [next]
  })
  return _isUnchanged(shard, replicas) ? shard : { ...shard, replicas }
}

function _isTerminated (state: PlacementState, upstream: string, report: UpstreamReport | undefined): boolean {
  return state.terminated.some((ended) => ended.upstream === upstream && (report === undefined || report.probe <= ended.probe))
}

function _freshReport (state: PlacementState, replica: Pick<Replica, 'model' | 'upstream'>): UpstreamReport | undefined {
  const report = Option.getOrUndefined(HashMap.get(state.reports, replica.upstream))
  if (report === undefined || report.probe <= state.probeFloor) return undefined
  const probeFloor = Option.getOrElse(HashMap.get(state.replicaProbeFloors, replicaKey(replica)), () => 0)
  return report.probe > probeFloor ? report : undefined
}

// Records replicas that an engine reports but the shard lacks, so that their memory is never allocated twice.
function _adopt (state: PlacementState, shard: PlacementShard): PlacementShard {
  const { byKey } = shardIndex(shard, state.catalog)
  const unrecorded = [...state.catalog.upstreams.values()].flatMap((upstream) => {
    const report = Option.getOrUndefined(HashMap.get(state.reports, upstream.name))
    if (report === undefined) return []
    return report.status.holdings
      .filter((holding) => !byKey.has(replicaKey({ model: holding.model, upstream: upstream.name })))
      .filter((holding) => _freshReport(state, { model: holding.model, upstream: upstream.name }) !== undefined)
      .map((holding): Replica => ({
        model: holding.model,
        upstream: upstream.name,
        upstreamIncarnation: report.status.incarnation,
        memoryMb: state.catalog.models.get(holding.model)?.memoryMb ?? holding.memoryMb,
        phase: _mayAdopt(state, shard, holding.model, upstream.name) ? holding.phase : 'unloading',
        mayHaveRun: true,
        orders: []
      }))
  })
  return unrecorded.length === 0 ? shard : { ...shard, replicas: [...shard.replicas, ...unrecorded] }
}

function _mayAdopt (state: PlacementState, shard: PlacementShard, model: string, upstream: string): boolean {
  const entry = state.catalog.models.get(model)
  const capacityMb = state.catalog.upstreams.get(upstream)?.memoryMb ?? 0
  if (entry === undefined || countReplicas(shard, model) >= entry.maxReplicas) return false
  return committedMemory(shard, upstream) + entry.memoryMb <= capacityMb
}

function _applyPlan (state: PlacementState, shard: PlacementShard, nowMs: number): ShardUpdate {
  if (state.stopping) return { shard, decisions: [], nextId: state.nextId }
  const input = buildPlanningInput(state, shard, nowMs)
  const slots = freeLoadSlots(shard, state.catalog, { recentStarts: state.recentStarts, nowMs })
  const planned = planDecisions(input, state.policy, slots)
  let update: ShardUpdate = { shard, decisions: [], nextId: state.nextId }
  for (const decision of planned) {
    const report = _reportForDecision(state, decision)
    const refusal = admitDecision(update.shard, decision, { catalog: state.catalog, report })
    if (refusal !== undefined || report === undefined) continue
    update = _addDecision(state, update, { decision, report })
  }
  return update
}

// A decision requires an upstream status that is newer than the takeover and newer than the replica's last order.
function _reportForDecision (state: PlacementState, decision: Decision): UpstreamReport | undefined {
  const report = _freshReport(state, decision)
  const checksFence = state.catalog.upstreams.get(decision.upstream)?.checksFence === true
  if (report === undefined || !checksFence) return report
  return report.status.fence >= (state.shard?.fence ?? 0) ? report : undefined
}

interface _Admitted {
  readonly decision: Decision
  readonly report: UpstreamReport
}

function _addDecision (state: PlacementState, update: ShardUpdate, admitted: _Admitted): ShardUpdate {
  const { decision, report } = admitted
  const { shard } = update
  const order: Order = {
    id: `${state.self.incarnation}/${update.nextId}`,
    kind: decision.kind,
    fence: shard.fence,
    sender: state.self.incarnation,
    upstreamIncarnation: report.status.incarnation
  }
  return {
    shard: { ...shard, replicas: _withOrder(state, shard, { decision, order }) },
    decisions: [...update.decisions, decision],
    nextId: update.nextId + 1
  }
}

interface _DecisionOrder {
  readonly decision: Decision
  readonly order: Order
}

function _withOrder (state: PlacementState, shard: PlacementShard, ordered: _DecisionOrder): readonly Replica[] {
  const { decision, order } = ordered
  const known = shard.replicas.find((r) => r.model === decision.model && r.upstream === decision.upstream)
  if (known === undefined) {
    return [...shard.replicas, {
      model: decision.model,
      upstream: decision.upstream,
      upstreamIncarnation: order.upstreamIncarnation,
      memoryMb: state.catalog.models.get(decision.model)?.memoryMb ?? 0,
      phase: 'loading',
      mayHaveRun: false,
      orders: [order]
    }]
  }
  const phase = decision.kind === 'load' ? 'loading' : 'unloading'
  const next: Replica = { ...known, phase, orders: [...known.orders, order] }
  return shard.replicas.map((replica) => replica === known ? next : replica)
}
