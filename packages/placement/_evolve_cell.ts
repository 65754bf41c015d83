import { HashMap, Option } from 'effect'
import { admitDecision } from './admit_decision.ts'
import { committedMemory } from './committed_memory.ts'
import { countReplicas } from './count_replicas.ts'
import type { Cell, Order, Replica } from './cell.ts'
import type { Decision } from './decision.ts'
import type { OrderAnswer } from './placement_event.ts'
import type { PlacementState } from './placement_state.ts'
import { planDecisions } from './plan_decisions.ts'
import { reconcileReplica } from './reconcile_replica.ts'
import { cellIndex } from './_cell_index.ts'
import { sceneOf } from './_scene_of.ts'
import { replicaKey } from './_replica_key.ts'
import type { UpstreamReport } from './upstream_status.ts'
import { loadSlots } from './weight_queue.ts'

/** A cell on its way to the store, with what was decided on the way. */
export interface Evolution {
  readonly cell: Cell
  readonly decisions: readonly Decision[]
  readonly ids: number
}

/** Folds answers, reports and the policy's decisions into the cell that the holder writes next. */
export function evolveCell (state: PlacementState, cell: Cell, nowMs: number): Evolution {
  const settled = _settleAnswers(state, cell)
  const reconciled = _reconcile(state, settled)
  const adopted = _adopt(state, reconciled)
  return _decide(state, adopted, nowMs)
}

function _settleAnswers (state: PlacementState, cell: Cell): Cell {
  const replicas = cell.replicas.flatMap((replica) => {
    if (replica.orders.length === 0) return [replica]
    const orders = replica.orders.filter((order) => !_isSettled(state, cell, order))
    if (orders.length === replica.orders.length) return [replica]
    const mayHaveRun = replica.mayHaveRun || !replica.orders.every((order) => orders.includes(order) || _neverRan(state, cell, order))
    const loadNeverRan = replica.phase === 'loading' && orders.length === 0 && !mayHaveRun
    return loadNeverRan ? [] : [{ ...replica, orders, mayHaveRun }]
  })
  return _isUnchanged(cell, replicas) ? cell : { ...cell, replicas }
}

// The same object is kept where nothing changed, with the look-ups that were made for it.
function _isUnchanged (cell: Cell, replicas: readonly Replica[]): boolean {
  return replicas.length === cell.replicas.length && replicas.every((replica, i) => replica === cell.replicas[i])
}

function _isSettled (state: PlacementState, cell: Cell, order: Order): boolean {
  if (state.disclaimed.includes(order.id)) return true
  return _answerOf(state, order) === 'accepted' || _neverRan(state, cell, order)
}

// An order of this process that was never handed out can't be sent once the fencing number has moved on.
function _neverRan (state: PlacementState, cell: Cell, order: Order): boolean {
  if (order.sender !== state.self.incarnation) return false
  const answer = _answerOf(state, order)
  if (answer === 'refused' || answer === 'not_sent') return true
  return answer === undefined && order.fence < cell.fence
}

function _answerOf (state: PlacementState, order: Order): OrderAnswer | 'sending' | undefined {
  return Option.getOrUndefined(HashMap.get(state.sent, order.id))
}

function _reconcile (state: PlacementState, cell: Cell): Cell {
  const replicas = cell.replicas.flatMap((replica) => {
    const report = _freshReport(state, replica)
    if (_isGone(state, replica.upstream, report)) return []
    const upstream = state.catalog.upstreams.get(replica.upstream)
    if (report === undefined || upstream === undefined) return [replica]
    const next = reconcileReplica(replica, report.status, upstream)
    return next === undefined ? [] : [next]
  })
  return _isUnchanged(cell, replicas) ? cell : { ...cell, replicas }
}

function _isGone (state: PlacementState, upstream: string, report: UpstreamReport | undefined): boolean {
  return state.gone.some((gone) => gone.upstream === upstream && (report === undefined || report.probe <= gone.probe))
}

function _freshReport (state: PlacementState, replica: Pick<Replica, 'model' | 'upstream'>): UpstreamReport | undefined {
  const report = Option.getOrUndefined(HashMap.get(state.reports, replica.upstream))
  if (report === undefined || report.probe <= state.probeFloor) return undefined
  const touched = Option.getOrElse(HashMap.get(state.touched, replicaKey(replica)), () => 0)
  return report.probe > touched ? report : undefined
}

// Counts what an engine holds without a record, so that its memory is never given away twice.
function _adopt (state: PlacementState, cell: Cell): Cell {
  const { byKey } = cellIndex(cell, state.catalog)
  const strangers = [...state.catalog.upstreams.values()].flatMap((upstream) => {
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
        phase: _mayAdopt(state, cell, holding.model, upstream.name) ? holding.phase : 'unloading',
        mayHaveRun: true,
        orders: []
      }))
  })
  return strangers.length === 0 ? cell : { ...cell, replicas: [...cell.replicas, ...strangers] }
}

function _mayAdopt (state: PlacementState, cell: Cell, model: string, upstream: string): boolean {
  const entry = state.catalog.models.get(model)
  const capacityMb = state.catalog.upstreams.get(upstream)?.memoryMb ?? 0
  if (entry === undefined || countReplicas(cell, model) >= entry.maxReplicas) return false
  return committedMemory(cell, upstream) + entry.memoryMb <= capacityMb
}

function _decide (state: PlacementState, cell: Cell, nowMs: number): Evolution {
  if (state.stopping) return { cell, decisions: [], ids: state.ids }
  const scene = sceneOf(state, cell, nowMs)
  const slots = loadSlots(cell, state.catalog, { recentStarts: state.recentStarts, nowMs })
  const planned = planDecisions(scene, state.policy, slots)
  let evolution: Evolution = { cell, decisions: [], ids: state.ids }
  for (const decision of planned) {
    const report = _decidableReport(state, decision)
    const refusal = admitDecision(evolution.cell, decision, { catalog: state.catalog, report })
    if (refusal !== undefined || report === undefined) continue
    evolution = _apply(state, evolution, { decision, report })
  }
  return evolution
}

// A decision about an upstream needs a status from after the takeover, and for the model one from after its last order.
function _decidableReport (state: PlacementState, decision: Decision): UpstreamReport | undefined {
  const report = _freshReport(state, decision)
  const checksFence = state.catalog.upstreams.get(decision.upstream)?.checksFence === true
  if (report === undefined || !checksFence) return report
  return report.status.fence >= (state.cell?.fence ?? 0) ? report : undefined
}

interface _Admitted {
  readonly decision: Decision
  readonly report: UpstreamReport
}

function _apply (state: PlacementState, evolution: Evolution, admitted: _Admitted): Evolution {
  const { decision, report } = admitted
  const { cell } = evolution
  const order: Order = {
    id: `${state.self.incarnation}/${evolution.ids}`,
    kind: decision.kind,
    fence: cell.fence,
    sender: state.self.incarnation,
    upstreamIncarnation: report.status.incarnation
  }
  return {
    cell: { ...cell, replicas: _withOrder(state, cell, { decision, order }) },
    decisions: [...evolution.decisions, decision],
    ids: evolution.ids + 1
  }
}

interface _Ordered {
  readonly decision: Decision
  readonly order: Order
}

function _withOrder (state: PlacementState, cell: Cell, ordered: _Ordered): readonly Replica[] {
  const { decision, order } = ordered
  const known = cell.replicas.find((r) => r.model === decision.model && r.upstream === decision.upstream)
  if (known === undefined) {
    return [...cell.replicas, {
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
  return cell.replicas.map((replica) => replica === known ? next : replica)
}
