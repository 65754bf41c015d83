import type { Model } from '@berylshed/fleet'
import { isShort, isStarving, loadGain, replicaGain, type LoadPlan } from './_model_value.ts'
import { createPlacementDraft, loadMs, type PlacementDraft } from './_placement_draft.ts'
import { placementOptions, type PlacementOption } from './_placement_options.ts'
import { planAdapters } from './_plan_adapters.ts'
import { planCopies, planSpareMemory } from './_plan_copies.ts'
import type { EngineView } from './engine_view.ts'
import { PlacementPolicy } from './placement_policy.ts'
import type { Plan, Scene } from './scene.ts'

/** A load that takes no time, by which models are put in order. */
const AT_ONCE: LoadPlan = { source: 'disk', readyInMs: 0 }
/** Running requests up to which a model may be closed; more would take too long to end. */
const MAX_CLOSED_RUNNING = 2
/** Loads from the weight store at once for models that requests wait for; more would slow each other down. */
const STORE_LOADS_AT_ONCE = 2
/** Gain beyond the cost of evictions from which a swap is made. */
const MIN_NET_GAIN = 0.1

/**
 * Plans the orders of one service's engines that are due, at most one for each engine.
 *
 * The load pattern is many rare models beside a few busy ones, more than fit, with demand that moves to other models
 * within seconds. Every load is rated by the answers that it brings in time, every eviction by those that it makes late,
 * and the loads are planned in the order of their gain (compare greedy-dual size frequency: Cao and Irani, 1997).
 *
 * @param scene What is known.
 * @returns The orders, and the models that are to get no more requests.
 *
 * @example
 * ```ts
 * const { orders } = planOrders(scene)
 * ```
 */
export function planOrders (scene: Scene): Plan {
  const draft = createPlacementDraft(scene)
  planAdapters(draft)
  for (const { model, gain } of _wanted(draft)) _planLoad(draft, model, gain)
  planCopies(draft)
  planSpareMemory(draft)
  return { orders: draft.orders(), closures: draft.closures() }
}

interface _Wanted {
  readonly model: Model
  /** Rates a way to load it. */
  gain (plan: LoadPlan): number
}

// Models that are wanted on one engine more, those that gain most first.
function _wanted (draft: PlacementDraft): readonly _Wanted[] {
  return [...draft.scene.demand.models.values()]
    .flatMap((demand): readonly _Wanted[] => {
      const model = draft.scene.engine.models.get(demand.model)
      if (model === undefined || draft.isPrepared(model.name)) return []
      const held = draft.replicas(model.name).length > 0
      if (held) return [{ model, gain: (way) => replicaGain(draft, model.name, way) }]
      return demand.waiting === 0 ? [] : [{ model, gain: (way) => loadGain(demand, way) }]
    })
    .sort((a, b) => b.gain(AT_ONCE) - a.gain(AT_ONCE))
}

interface _Rated {
  readonly option: PlacementOption
  readonly net: number
}

function _planLoad (draft: PlacementDraft, model: Model, gain: _Wanted['gain']): void {
  const best = _best(draft, model, { engines: draft.copyHolders(model.name), gain }) ?? _bestFromStore(draft, model, gain)
  if (best !== undefined) _carryOut(draft, model, best)
}

interface _Search {
  readonly engines: readonly EngineView[]
  readonly gain: _Wanted['gain']
}

function _best (draft: PlacementDraft, model: Model, { engines, gain }: _Search): PlacementOption | undefined {
  // Closing a model makes its own requests wait, so that it is the last resort.
  const maxRunning = isStarving(draft.demandFor(model.name)) ? MAX_CLOSED_RUNNING : 0
  const [best] = placementOptions(draft, model, { engines, maxRunning, busyEngines: true })
    .map((option): _Rated => ({ option, net: gain(option) - option.evictions.cost }))
    .sort((a, b) => b.net - a.net || a.option.readyInMs - b.option.readyInMs)
  return best !== undefined && best.net >= MIN_NET_GAIN ? best.option : undefined
}

// A load from the weight store takes seconds of an engine, the place of another copy on its disk, and the store's pace.
function _bestFromStore (draft: PlacementDraft, model: Model, gain: _Wanted['gain']): PlacementOption | undefined {
  if (draft.copyHolders(model.name).length > 0 && !isShort(draft, model.name)) return undefined
  if (draft.storeLoadsLeft() <= 0 || draft.storeLoadsUnderWay() >= STORE_LOADS_AT_ONCE) return undefined
  return _best(draft, model, { engines: draft.scene.views, gain })
}

// Room is made first; the load follows in a later round, once the room is there.
function _carryOut (draft: PlacementDraft, model: Model, option: PlacementOption): void {
  const { view, evictions, source } = option
  if (evictions.running > 0) return draft.close({ upstream: view.upstream.id, models: evictions.models, makesWayFor: model.name })
  // The engine is worth waiting for.
  if (!draft.isFree(view)) return draft.take(view)
  const reason = _reason(draft, model)
  const [victim] = evictions.models
  if (victim === undefined) draft.add(view, { operation: 'load', model: model.name, reason, fromStore: source === 'store', expectedMs: loadMs(model, source) })
  else draft.add(view, { operation: 'unload', model: victim, reason: `makes way for ${model.name}: ${reason}`, makesWayFor: model.name })
}

function _reason (draft: PlacementDraft, model: Model): string {
  const { waiting, ratePerS } = draft.demandFor(model.name)
  return `${waiting} wait, ${ratePerS.toFixed(1)} requests/s`
}

/** Places models by the requests that wait and the demand of the last seconds; what runs in production. */
export class DemandPolicy extends PlacementPolicy {
  override readonly name = 'demand'

  override plan (scene: Scene): Plan {
    return planOrders(scene)
  }
}
