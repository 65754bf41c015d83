import type { Model } from '@berylshed/fleet'
import { explainDeferrals } from './_explain_deferral.ts'
import { hasShortage, loadGain, maxDrainedRequests, occupationCost, replicaGain, type LoadPlan } from './_model_value.ts'
import { createPlacementDraft, loadMs, type PlacementDraft } from './_placement_draft.ts'
import { placementOptions, type PlacementOption } from './_placement_options.ts'
import { planAdapters } from './_plan_adapters.ts'
import { planCopies, planPreloads } from './_plan_copies.ts'
import type { EngineView } from './engine_view.ts'
import { PlacementPolicy } from './placement_policy.ts'
import type { Plan, PlanningInput } from './planning_input.ts'

/** Instant load, used to rank models independently of where they would be loaded. */
const IMMEDIATE_LOAD: LoadPlan = { source: 'disk', readyInMs: 0, limitPerS: Infinity }
/** Concurrent loads from the weight store for models with waiting requests; more would slow each other down. */
const MAX_CONCURRENT_STORE_LOADS = 2
/** Minimum gain, net of eviction cost, that justifies a load, in responses that meet their latency objective. */
const MIN_NET_GAIN = 0.1

/**
 * Plans the next orders for the engines of one service, at most one per engine.
 *
 * The planner targets a few busy models and many rare ones that together exceed the engines' memory, with demand that
 * shifts between models within seconds. A load is rated by the number of responses it makes meet their latency objective,
 * an eviction by the number it makes late, and loads are planned in order of gain. Compare greedy-dual size frequency
 * (Cao and Irani, 1997).
 *
 * @param input The engines, their models and the current demand.
 * @returns The orders to send and the models to drain.
 *
 * @example
 * ```ts
 * const { orders } = planOrders(input)
 * ```
 */
export function planOrders (input: PlanningInput): Plan {
  const draft = createPlacementDraft(input)
  planAdapters(draft)
  for (const { model, gain } of _loadCandidates(draft)) _planLoad(draft, model, gain)
  planCopies(draft)
  planPreloads(draft)
  return { orders: draft.orders(), drains: draft.drains(), deferrals: explainDeferrals(draft) }
}

interface _LoadCandidate {
  readonly model: Model
  /** Returns the gain of a load, in responses that meet their latency objective. */
  gain (load: LoadPlan): number
}

// Models that would benefit from one more replica, by descending gain.
function _loadCandidates (draft: PlacementDraft): readonly _LoadCandidate[] {
  return [...draft.input.demand.models.values()]
    .flatMap((demand): readonly _LoadCandidate[] => {
      const model = draft.input.engine.models.get(demand.model)
      if (model === undefined || draft.hasPendingEviction(model.name)) return []
      const hasReplica = draft.replicas(model.name).length > 0
      if (hasReplica) return [{ model, gain: (load) => replicaGain(draft, model.name, load) }]
      return demand.waiting === 0 ? [] : [{ model, gain: (load) => loadGain(draft, demand, load) }]
    })
    .sort((a, b) => b.gain(IMMEDIATE_LOAD) - a.gain(IMMEDIATE_LOAD))
}

interface _RatedOption {
  readonly option: PlacementOption
  readonly net: number
}

function _planLoad (draft: PlacementDraft, model: Model, gain: _LoadCandidate['gain']): void {
  const best = _bestOption(draft, model, { engines: draft.enginesWithCopy(model.name), gain }) ?? _bestStoreOption(draft, model, gain)
  if (best !== undefined) _applyOption(draft, model, best)
}

interface _Search {
  readonly engines: readonly EngineView[]
  readonly gain: _LoadCandidate['gain']
}

function _bestOption (draft: PlacementDraft, model: Model, { engines, gain }: _Search): PlacementOption | undefined {
  // Draining a model makes its own requests wait, so only models that no engine holds have others drained.
  const maxRunning = draft.replicas(model.name).length > 0 ? 0 : maxDrainedRequests(draft, model.name)
  const [best] = placementOptions(draft, model, { engines, maxRunning, includeBusyEngines: true })
    .filter(({ view, evictions }) => evictions.running === 0 || _mayDrain(draft, model, view))
    .map((option): _RatedOption => ({ option, net: gain(option) - option.evictions.cost - _occupationCost(draft, model, option) }))
    .sort((a, b) => b.net - a.net || a.option.readyInMs - b.option.readyInMs)
  return best !== undefined && best.net >= MIN_NET_GAIN ? best.option : undefined
}

function _occupationCost (draft: PlacementDraft, model: Model, { view, source }: PlacementOption): number {
  return source === 'store' ? occupationCost(draft, view, { model: model.name, durationMs: model.storeLoadMs }) : 0
}

// One engine at a time is drained for a model.
function _mayDrain (draft: PlacementDraft, model: Model, view: EngineView): boolean {
  const { nowMs, views } = draft.input
  return views.every((other) => other === view || other.drain?.replacement !== model.name || nowMs >= other.drain.untilMs)
}

// A load from the weight store occupies an engine for seconds, displaces a copy on its disk and uses store bandwidth.
function _bestStoreOption (draft: PlacementDraft, model: Model, gain: _LoadCandidate['gain']): PlacementOption | undefined {
  if (draft.enginesWithCopy(model.name).length > 0 && !hasShortage(draft, model.name)) return undefined
  if (draft.remainingStoreLoads() <= 0 || draft.storeLoadsInProgress() >= MAX_CONCURRENT_STORE_LOADS) return undefined
  return _bestOption(draft, model, { engines: draft.input.views, gain })
}

// Plans evictions first; a later round plans the load once the memory is free.
function _applyOption (draft: PlacementDraft, model: Model, option: PlacementOption): void {
  const { view, evictions, source } = option
  if (evictions.running > 0) return draft.drain({ upstream: view.upstream.id, models: evictions.models, replacement: model.name })
  // The busy engine is the best option, so no other engine is used and the load is planned once it is free.
  if (!draft.isFree(view)) return draft.assign(view)
  const reason = _reason(draft, model)
  const [victim] = evictions.models
  if (victim === undefined) draft.add(view, { operation: 'load', model: model.name, reason, fromStore: source === 'store', expectedMs: loadMs(model, source) })
  else draft.add(view, { operation: 'unload', model: victim, reason: `makes way for ${model.name}: ${reason}`, replacement: model.name })
}

function _reason (draft: PlacementDraft, model: Model): string {
  const { waiting, ratePerS } = draft.demandFor(model.name)
  return `${waiting} wait, ${ratePerS.toFixed(1)} requests/s`
}

/** Production policy: places models by waiting requests and by the request rates of the last seconds. */
export class DemandPolicy extends PlacementPolicy {
  override readonly name = 'demand'

  override plan (input: PlanningInput): Plan {
    return planOrders(input)
  }
}
