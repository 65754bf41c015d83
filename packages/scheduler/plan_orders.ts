import type { Model } from '@berylshed/fleet'
import { createPlacementDraft, hasCopy, loadMs, UNLOAD_MS, weightSource, type PlacementDraft, type WeightSource } from './_placement_draft.ts'
import { planAdapters } from './_plan_adapters.ts'
import { isClosed, planEvictions, type EvictionSet } from './_plan_evictions.ts'
import { wantedReplicas } from './_wanted_replicas.ts'
import type { EngineView } from './engine_view.ts'
import { PlacementPolicy } from './placement_policy.ts'
import type { Plan, Scene } from './scene.ts'

/** Weight of a request per second that an eviction makes wait, against the duration of a load, in ms. */
const EVICTION_WEIGHT_MS = 300
/** Weight of a request that runs on an engine, whose batch a further model slows down, in ms. */
const RUNNING_WEIGHT_MS = 8
/** Largest cost of evictions for a model that requests wait for, in requests per second, beside one for each of them. */
const AWAITED_COST = 5
/** Expected time from a decision to the first answer of a model that is loaded from disk after an unload, in ms. */
const SWAP_MS = 700
/** Running requests up to which a model may be closed; more would take too long to end. */
const MAX_CLOSED_RUNNING = 3
/** Factor by which a model's replicas are too few from which they go before models that only some requests wait for. */
const OVERLOAD = 1.5
/** Largest cost of evictions for another replica, as a share of the model's requests per second. */
const REPLICA_COST_SHARE = 0.5
/** Largest cost of evictions for a copy that nobody waits for, in requests per second. */
const COPY_COST = 1.5
/** Loads from the weight store at once for copies that nobody waits for; the store's full speed allows 2 to 4. */
const COPY_LOADS_AT_ONCE = 4
/** The same while there are requests: the engine takes no other order meanwhile. */
const COPY_LOADS_IN_TRAFFIC = 1

/**
 * Plans the orders of one service's engines that are due, at most one for each engine.
 *
 * The load pattern is many rare models beside a few busy ones, more than fit. Each model is brought onto some engine's
 * disk early, so that a miss costs a fraction of a second instead of a load from the weight store. A model that requests
 * wait for goes where its load and the requests that its evictions make wait cost least. Replicas of busy models are
 * kept as long as demand lasts. Victims are ranked by the requests per second that their absence delays (compare
 * greedy-dual size frequency: Cao and Irani, 1997).
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
  for (const model of _understaffed(draft, OVERLOAD)) _planReplica(draft, model)
  for (const model of _awaited(draft)) _planAwaited(draft, model)
  for (const model of _understaffed(draft, 1)) _planReplica(draft, model)
  for (const model of scene.engine.models.values()) _planCopy(draft, model)
  for (const model of _absent(draft)) _planSpare(draft, model)
  return { orders: draft.orders(), closures: draft.closures() }
}

// Models that requests wait for and no engine holds: first those that can still be in time, the most urgent one first,
// then the others, the longest overdue one first.
function _awaited (draft: PlacementDraft): readonly Model[] {
  return [...draft.scene.demand.models.values()]
    .filter(({ waiting, model }) => waiting > 0 && draft.replicas(model).length === 0 && !draft.isPrepared(model))
    .sort((a, b) => Number(a.objectiveInMs < SWAP_MS) - Number(b.objectiveInMs < SWAP_MS) || a.objectiveInMs - b.objectiveInMs)
    .flatMap(({ model }) => draft.scene.engine.models.get(model) ?? [])
}

// Models with fewer replicas than they should have by a factor.
function _understaffed (draft: PlacementDraft, factor: number): readonly Model[] {
  return [...draft.scene.demand.models.values()]
    .filter(({ model }) => draft.replicas(model).length > 0)
    .filter(({ model }) => !draft.isPrepared(model) && draft.replicas(model).length * factor < wantedReplicas(draft, model))
    .sort((a, b) => b.ratePerS - a.ratePerS)
    .flatMap(({ model }) => draft.scene.engine.models.get(model) ?? [])
}

interface _Option {
  readonly view: EngineView
  readonly source: WeightSource
  readonly evictions: EvictionSet
  readonly score: number
}

function _options (draft: PlacementDraft, model: Model): readonly _Option[] {
  return draft.scene.views
    .filter((view) => draft.isFree(view) && !view.residents.has(model.name) && !_isReserved(draft, view, model))
    .flatMap((view): readonly _Option[] => {
      const evictions = planEvictions(draft, view, { needMb: model.memoryMb })
      if (evictions === undefined) return []
      const source = weightSource(view, model.name)
      const score = loadMs(model, source) + evictions.models.length * UNLOAD_MS + evictions.cost * EVICTION_WEIGHT_MS + draft.runningTotal(view) * RUNNING_WEIGHT_MS
      return [{ view, source, evictions, score }]
    })
    .sort((a, b) => a.score - b.score)
}

function _isReserved (draft: PlacementDraft, view: EngineView, model: Model): boolean {
  const { reserved, closure } = view
  const { nowMs } = draft.scene
  if (reserved !== undefined && reserved.model !== model.name && nowMs < reserved.untilMs) return true
  return closure !== undefined && closure.makesWayFor !== model.name && closure.models.some((name) => isClosed(view, name, nowMs) && view.residents.has(name))
}

function _planAwaited (draft: PlacementDraft, model: Model): void {
  const { waiting } = draft.demandFor(model.name)
  // An engine with a copy that is busy now is ready before a load from the weight store ends, which blocks its engine for
  // seconds and takes the place of another copy on its disk.
  const mayAskStore = draft.storeLoadsLeft() > 0 && !draft.hasSpareCopy(model.name)
  const best = _options(draft, model).find(({ source, evictions }) => {
    return evictions.cost <= AWAITED_COST + waiting && (source !== 'store' || mayAskStore)
  })
  if (best !== undefined) _carryOut(draft, model, { ...best, reason: 'requests wait' })
  else _planClosure(draft, model)
}

// Where every victim has running requests, the cheapest ones get no more, so that they become idle soon. The engine
// takes other orders meanwhile, which an unload that waits for running requests would not let it.
function _planClosure (draft: PlacementDraft, model: Model): void {
  const { views, nowMs } = draft.scene
  const isClosing = (view: EngineView): boolean => view.closure !== undefined && nowMs < view.closure.untilMs
  if (views.some((view) => isClosing(view) && view.closure?.makesWayFor === model.name)) return
  const options = views
    .filter((view) => view.confirmed && !isClosing(view) && !view.residents.has(model.name) && hasCopy(view, model.name))
    .flatMap((view) => {
      const evictions = planEvictions(draft, view, { needMb: model.memoryMb, maxRunning: MAX_CLOSED_RUNNING })
      return evictions === undefined || evictions.models.length === 0 || evictions.cost > AWAITED_COST ? [] : [{ view, evictions }]
    })
    .sort((a, b) => a.evictions.cost - b.evictions.cost)
  const [best] = options
  if (best !== undefined) draft.close({ upstream: best.view.upstream.id, models: best.evictions.models, makesWayFor: model.name })
}

function _planReplica (draft: PlacementDraft, model: Model): void {
  const { ratePerS } = draft.demandFor(model.name)
  const mayAskStore = draft.storeLoadsLeft() > 0 && !draft.hasSpareCopy(model.name)
  const best = _options(draft, model).find(({ source, evictions }) => {
    return evictions.cost <= ratePerS * REPLICA_COST_SHARE && (source !== 'store' || mayAskStore)
  })
  if (best !== undefined) _carryOut(draft, model, { ...best, reason: `${ratePerS.toFixed(1)} requests/s` })
}

// Models that no engine holds, the most used first.
function _absent (draft: PlacementDraft): readonly Model[] {
  return [...draft.scene.engine.models.values()]
    .filter(({ name }) => draft.replicas(name).length === 0 && !draft.isPrepared(name))
    .sort((a, b) => draft.demandFor(b.name).ratePerS - draft.demandFor(a.name).ratePerS)
}

// Memory that nothing else needs holds one model more, so that its next request does not wait.
function _planSpare (draft: PlacementDraft, model: Model): void {
  const best = _options(draft, model).find(({ source, evictions }) => source !== 'store' && evictions.models.length === 0)
  if (best !== undefined) _carryOut(draft, model, { ...best, reason: 'spare memory' })
}

// Brings a model of which there is no copy onto some engine's disk.
function _planCopy (draft: PlacementDraft, model: Model): void {
  const { views, storeLoadsUnderWay, demand } = draft.scene
  const planned = draft.orders().filter((order) => order.fromStore).length
  const atOnce = demand.models.size === 0 ? COPY_LOADS_AT_ONCE : COPY_LOADS_IN_TRAFFIC
  if (storeLoadsUnderWay + planned >= atOnce || draft.storeLoadsLeft() <= 0) return
  if (draft.isPrepared(model.name) || draft.replicas(model.name).length > 0 || views.some((view) => hasCopy(view, model.name))) return
  if ((demand.models.get(model.name)?.waiting ?? 0) > 0) return
  const best = [..._options(draft, model)]
    .filter(({ evictions }) => evictions.cost <= COPY_COST)
    .sort((a, b) => a.evictions.cost - b.evictions.cost || a.view.copies.onDisk.length - b.view.copies.onDisk.length)[0]
  if (best !== undefined) _carryOut(draft, model, { ...best, reason: 'no copy on any disk' })
}

interface _Choice extends _Option {
  readonly reason: string
}

// Room is made first; the load follows in a later round, once the room is there.
function _carryOut (draft: PlacementDraft, model: Model, choice: _Choice): void {
  const [victim] = choice.evictions.models
  if (victim !== undefined) {
    draft.add(choice.view, { operation: 'unload', model: victim, reason: `makes way for ${model.name}: ${choice.reason}`, makesWayFor: model.name })
    return
  }
  draft.add(choice.view, { operation: 'load', model: model.name, reason: choice.reason, fromStore: choice.source === 'store', expectedMs: loadMs(model, choice.source) })
}

/** Places models by the requests that wait and the demand of the last seconds; what runs in production. */
export class DemandPolicy extends PlacementPolicy {
  override readonly name = 'demand'

  override plan (scene: Scene): Plan {
    return planOrders(scene)
  }
}
