import type { EngineSpec, Model } from '@berylshed/fleet'
import { isDraining } from './_draining.ts'
import { noDemand, replicaKey, adapterKey, type ModelDemand } from './demand.ts'
import type { EngineView, PlannedOrder, ResidentView } from './engine_view.ts'
import type { PlannedDrain, PlanningInput } from './planning_input.ts'

/** Decisions of one planning round so far, and the resources that remain after them. */
export interface PlacementDraft {
  readonly input: PlanningInput
  /** Orders planned so far. */
  orders (): readonly PlannedOrder[]
  /** Demand of all instances for a model. */
  demandFor (model: string): ModelDemand
  /** Number of requests that have asked for a model in vain since it was last served, refused ones included; 0 if it is served. */
  missedRequests (model: string): number
  /** Whether an engine can take an order in this round. */
  isFree (view: EngineView): boolean
  /** Memory of an engine that is not in use at the start of the round, in MB. */
  freeMb (view: EngineView): number
  /** Number of adapters that an engine can load without an unload. */
  freeAdapterSlots (view: EngineView): number
  /** Number of requests that run for a model on an engine. */
  runningOn (view: EngineView, model: string): number
  /** Running requests of an adapter on an engine, and the time since its last use in ms. */
  adapterActivity (view: EngineView, model: string, options: { readonly adapter: string }): { readonly running: number, readonly idleMs: number }
  /** Engines that hold a model, are loading it or have a load of it planned. */
  replicas (model: string): readonly EngineView[]
  /** Engines that hold a model and go on serving it: none that loads it, is drained of it or is to unload it. */
  servingReplicas (model: string): readonly EngineView[]
  /** Engines that can load a model without the weight store. */
  enginesWithCopy (model: string): readonly EngineView[]
  /** Whether an eviction for the benefit of a model is planned or in progress on some engine. */
  hasPendingEviction (model: string): boolean
  /** Number of loads from the weight store that may still start. */
  remainingStoreLoads (): number
  /** Number of loads from the weight store that are in progress or planned. */
  storeLoadsInProgress (): number
  /** Plans an order for an engine. */
  add (view: EngineView, order: DraftOrder): void
  /** Excludes a busy engine from this round, since a model is to be loaded on it after its current order. */
  assign (view: EngineView): void
  /** Whether this round has planned an order or a drain for an engine, or assigned it. */
  isAssigned (view: EngineView): boolean
  /** Drains planned so far. */
  drains (): readonly PlannedDrain[]
  /** Plans a drain of models on an engine. */
  drain (drain: PlannedDrain): void
}

/** An order to plan; omitted properties take defaults. */
export type DraftOrder = Pick<PlannedOrder, 'operation' | 'model' | 'reason'> & Partial<PlannedOrder>

/** Expected duration of an unload of an idle model, in ms. */
export const UNLOAD_MS = 100

/** Idle time assumed for an adapter without reported use, in ms. */
const UNREPORTED_ADAPTER_IDLE_MS = 60_000

const NO_ENGINES: readonly EngineView[] = []

/**
 * Starts a planning round.
 *
 * Replicas, copies and free memory are indexed once per round, which keeps rounds cheap with many engines and models.
 */
export function createPlacementDraft (input: PlanningInput): PlacementDraft {
  const orders: PlannedOrder[] = []
  const assigned = new Set<string>()
  const drains: PlannedDrain[] = []
  let plannedStoreLoads = 0
  const replicas = _indexReplicas(input.views)
  const released = new Set<string>()
  const enginesWithCopy = _indexCopies(input.views)
  const pendingEvictions = new Set(input.views.flatMap(({ open }) => open?.planned.replacement ?? []))
  const freeMb = new Map(input.views.map((view) => [view, input.engine.memoryMb - usedMb(input.engine, view)]))

  function add (view: EngineView, order: DraftOrder): void {
    const { id } = view.upstream
    assigned.add(id)
    orders.push({ adapter: undefined, fromStore: false, replacement: undefined, expectedMs: UNLOAD_MS, ...order, upstream: id })
    if (order.fromStore === true) plannedStoreLoads += 1
    if (order.replacement !== undefined) pendingEvictions.add(order.replacement)
    if (order.operation === 'unload' && order.adapter === undefined) released.add(replicaKey(id, order.model))
    if (order.operation === 'load' && order.adapter === undefined) replicas.set(order.model, [...replicas.get(order.model) ?? NO_ENGINES, view])
  }

  return {
    input,
    orders: () => orders,
    demandFor: (model) => input.demand.models.get(model) ?? noDemand(model),
    missedRequests: (model) => input.unserved.get(model)?.missed ?? 0,
    isFree: (view) => view.confirmed && view.open === undefined && input.nowMs >= view.backoffUntilMs && !assigned.has(view.upstream.id),
    freeMb: (view) => freeMb.get(view) ?? 0,
    freeAdapterSlots: (view) => input.engine.adapterPlaces - countAdapters(view),
    runningOn: (view, model) => input.demand.running.get(replicaKey(view.upstream.id, model)) ?? 0,
    adapterActivity: (view, model, { adapter }) => {
      const usage = input.demand.adapterUsage.get(adapterKey(view.upstream.id, model, { adapter }))
      return { running: usage?.running ?? 0, idleMs: usage?.idleMs ?? UNREPORTED_ADAPTER_IDLE_MS }
    },
    replicas: (model) => replicas.get(model) ?? NO_ENGINES,
    servingReplicas: (model) => (replicas.get(model) ?? NO_ENGINES).filter((view) => {
      return view.residents.get(model)?.phase === 'loaded' && !isDraining(view, model, input.nowMs) && !released.has(replicaKey(view.upstream.id, model))
    }),
    enginesWithCopy: (model) => enginesWithCopy.get(model) ?? NO_ENGINES,
    hasPendingEviction: (model) => pendingEvictions.has(model),
    remainingStoreLoads: () => input.storeLoadsAllowed - plannedStoreLoads,
    storeLoadsInProgress: () => input.storeLoadsInProgress + plannedStoreLoads,
    add,
    assign: (view) => { assigned.add(view.upstream.id) },
    isAssigned: (view) => assigned.has(view.upstream.id),
    drains: () => drains,
    drain: (drain) => {
      assigned.add(drain.upstream)
      drains.push(drain)
      for (const model of drain.models) released.add(replicaKey(drain.upstream, model))
    }
  }
}

function _indexReplicas (views: readonly EngineView[]): Map<string, readonly EngineView[]> {
  const index = new Map<string, EngineView[]>()
  for (const view of views) {
    for (const [model, { phase }] of view.residents) {
      if (phase !== 'unloading') _append(index, model, view)
    }
  }
  return index
}

function _indexCopies (views: readonly EngineView[]): ReadonlyMap<string, readonly EngineView[]> {
  const index = new Map<string, EngineView[]>()
  for (const view of views) {
    for (const model of new Set([...view.copies.inMemory, ...view.copies.onDisk])) _append(index, model, view)
  }
  return index
}

function _append (index: Map<string, EngineView[]>, model: string, view: EngineView): void {
  const existing = index.get(model)
  if (existing === undefined) index.set(model, [view])
  else existing.push(view)
}

/** Returns the memory of all models and adapters that an engine holds, loads or is still unloading, in MB. */
export function usedMb (engine: EngineSpec, view: EngineView): number {
  let sum = 0
  for (const [model, resident] of view.residents) sum += residentMb(engine.models.get(model), resident)
  return sum
}

/** Returns the memory of a model with its adapters, in MB; an unknown model counts as filling any engine. */
export function residentMb (model: Model | undefined, resident: ResidentView): number {
  if (model === undefined) return Infinity
  return model.memoryMb + resident.adapters.size * model.adapterMb
}

/** Counts the adapters that an engine holds, loads or is still unloading. */
export function countAdapters (view: EngineView): number {
  let count = 0
  for (const resident of view.residents.values()) count += resident.adapters.size
  return count
}

/** Source from which an engine loads the weights of a model. */
export type WeightSource = 'memory' | 'disk' | 'store'

/** Returns the fastest source from which an engine can load a model. */
export function weightSource (view: EngineView, model: string): WeightSource {
  if (view.copies.inMemory.includes(model)) return 'memory'
  return view.copies.onDisk.includes(model) ? 'disk' : 'store'
}

/** Reports whether an engine can load a model without the weight store. */
export function hasCopy (view: EngineView, model: string): boolean {
  return weightSource(view, model) !== 'store'
}

/** Returns the expected duration of a load, in ms. */
export function loadMs (model: Model, source: WeightSource): number {
  if (source === 'memory') return model.memoryLoadMs
  return source === 'disk' ? model.diskLoadMs : model.storeLoadMs
}
