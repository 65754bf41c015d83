import type { Engine, Model } from '@berylshed/fleet'
import { noDemand, placeKey, adapterKey, type ModelDemand } from './demand.ts'
import type { EngineView, PlannedOrder, ResidentView } from './engine_view.ts'
import type { PlannedClosure, Scene } from './scene.ts'

/** What one round of planning has decided so far, and what that leaves. */
export interface PlacementDraft {
  readonly scene: Scene
  orders (): readonly PlannedOrder[]
  demandFor (model: string): ModelDemand
  /** Whether an engine can take an order in this round. */
  isFree (view: EngineView): boolean
  freeMb (view: EngineView): number
  freeAdapterPlaces (view: EngineView): number
  runningOn (view: EngineView, model: string): number
  adapterRuns (view: EngineView, model: string, options: { readonly adapter: string }): { readonly running: number, readonly idleMs: number }
  /** Engines that hold a model or are loading it. */
  replicas (model: string): readonly EngineView[]
  /** Whether any engine can load a model without the weight store. */
  hasCopyAnywhere (model: string): boolean
  /** Whether room is being made for a model somewhere. */
  isPrepared (model: string): boolean
  storeLoadsLeft (): number
  add (view: EngineView, order: DraftOrder): void
  /** Keeps an engine for a model that waits until the engine's present order has ended. */
  take (view: EngineView): void
  isTaken (view: EngineView): boolean
  closures (): readonly PlannedClosure[]
  close (closure: PlannedClosure): void
}

/** A decided order; what is left out does not apply. */
export type DraftOrder = Pick<PlannedOrder, 'operation' | 'model' | 'reason'> & Partial<PlannedOrder>

/** Expected duration of an unload of an idle model, in ms. */
export const UNLOAD_MS = 100

/** Time after which an adapter that nobody was seen to use counts as idle, in ms. */
const UNSEEN_ADAPTER_IDLE_MS = 60_000

/** Starts a round of planning. */
export function createPlacementDraft (scene: Scene): PlacementDraft {
  const orders: PlannedOrder[] = []
  const ordered = new Set<string>()
  const added = new Map<string, string[]>()
  const closures: PlannedClosure[] = []

  function replicas (model: string): readonly EngineView[] {
    return scene.views.filter((view) => {
      const resident = view.residents.get(model)
      return (resident !== undefined && resident.phase !== 'unloading') || added.get(view.upstream.id)?.includes(model) === true
    })
  }

  function add (view: EngineView, order: DraftOrder): void {
    const { id } = view.upstream
    ordered.add(id)
    orders.push({ adapter: undefined, fromStore: false, makesWayFor: undefined, expectedMs: UNLOAD_MS, ...order, upstream: id })
    if (order.operation === 'load' && order.adapter === undefined) added.set(id, [...added.get(id) ?? [], order.model])
  }

  return {
    scene,
    orders: () => orders,
    demandFor: (model) => scene.demand.models.get(model) ?? noDemand(model),
    isFree: (view) => view.confirmed && view.open === undefined && scene.nowMs >= view.restUntilMs && !ordered.has(view.upstream.id),
    freeMb: (view) => scene.engine.memoryMb - usedMb(scene.engine, view),
    freeAdapterPlaces: (view) => scene.engine.adapterPlaces - countAdapters(view),
    runningOn: (view, model) => scene.demand.running.get(placeKey(view.upstream.id, model)) ?? 0,
    adapterRuns: (view, model, { adapter }) => {
      const use = scene.demand.adapterUse.get(adapterKey(view.upstream.id, model, { adapter }))
      return { running: use?.running ?? 0, idleMs: use?.idleMs ?? UNSEEN_ADAPTER_IDLE_MS }
    },
    replicas,
    hasCopyAnywhere: (model) => scene.views.some((view) => hasCopy(view, model)),
    isPrepared: (model) => scene.views.some(({ open }) => open?.planned.makesWayFor === model) || orders.some(({ makesWayFor }) => makesWayFor === model),
    storeLoadsLeft: () => scene.storeLoadsAllowed - orders.filter((order) => order.fromStore).length,
    add,
    take: (view) => { ordered.add(view.upstream.id) },
    isTaken: (view) => ordered.has(view.upstream.id),
    closures: () => closures,
    close: (closure) => {
      ordered.add(closure.upstream)
      closures.push(closure)
    }
  }
}

/** Adds up the memory of everything that an engine holds, loads or has not dropped yet, in MB. */
export function usedMb (engine: Engine, view: EngineView): number {
  let sum = 0
  for (const [model, resident] of view.residents) sum += residentMb(engine.models.get(model), resident)
  return sum
}

/** Gives the memory of a model with its adapters, in MB; an unknown model counts as a whole engine. */
export function residentMb (model: Model | undefined, resident: ResidentView): number {
  if (model === undefined) return Infinity
  return model.memoryMb + resident.adapters.size * model.adapterMb
}

/** Counts the adapters that an engine holds, loads or has not dropped yet. */
export function countAdapters (view: EngineView): number {
  let count = 0
  for (const resident of view.residents.values()) count += resident.adapters.size
  return count
}

/** How an engine would come by a model's weights. */
export type WeightSource = 'memory' | 'disk' | 'store'

/** Tells from where an engine would load a model. */
export function weightSource (view: EngineView, model: string): WeightSource {
  if (view.copies.inMemory.includes(model)) return 'memory'
  return view.copies.onDisk.includes(model) ? 'disk' : 'store'
}

/** Tells whether an engine can load a model without the weight store. */
export function hasCopy (view: EngineView, model: string): boolean {
  return weightSource(view, model) !== 'store'
}

/** Estimates the duration of a load, in ms. */
export function loadMs (model: Model, source: WeightSource): number {
  if (source === 'memory') return model.memoryLoadMs
  return source === 'disk' ? model.diskLoadMs : model.storeLoadMs
}
