import type { EngineView } from './engine_view.ts'
import { hasCopy, residentMb, type PlacementDraft } from './_placement_draft.ts'
import { wantedReplicas } from './_wanted_replicas.ts'

/** Models to unload from one engine, with what their absence is expected to cost. */
export interface EvictionSet {
  readonly models: readonly string[]
  /** Requests per second that would meet a model that has to be loaded first. */
  readonly cost: number
}

/** Time for which a model stays after its load, so that the requests that waited for it reach it, in ms. */
const MIN_RESIDENCE_MS = 1200
/** Weight of the last replica's requests: each of them waits for a load. */
const LAST_REPLICA_WEIGHT = 4
/** Weight of the requests of a replica beyond the wanted number: others take them. */
const SURPLUS_WEIGHT = 0.05
/** Cost of a model of which no copy is left outside the weight store, in requests per second. */
const NO_COPY_COST = 5
/** Cost of any eviction, so that the fewest models are unloaded, in requests per second. */
const BASE_COST = 0.02

/** What victims are sought for. */
export interface EvictionOptions {
  readonly needMb: number
  /** Running requests that a victim may still have; none where it is left out. */
  readonly maxRunning?: number
}

/** Models on one engine among which victims are sought; all sets of so many are weighed. */
const MAX_CANDIDATES = 8
/** Worth of a GB that an eviction frees beyond the need, in requests per second: a small model more may stay. */
const SPARE_WORTH_PER_GB = 0.01
const MB_PER_GB = 1000

/** Chooses the cheapest models to unload so that an engine has room; undefined where it can't get any. */
export function planEvictions (draft: PlacementDraft, view: EngineView, options: EvictionOptions): EvictionSet | undefined {
  const missingMb = options.needMb - draft.freeMb(view)
  if (missingMb <= 0) return { models: [], cost: 0 }
  const candidates = [...view.residents]
    .map(([model, resident]) => ({ model, sizeMb: residentMb(draft.scene.engine.models.get(model), resident), cost: evictionCost(draft, view, { model, maxRunning: options.maxRunning ?? 0 }) }))
    .filter(({ cost }) => cost < Infinity)
    .sort((a, b) => a.cost - b.cost)
    .slice(0, MAX_CANDIDATES)
  let best: EvictionSet | undefined
  let bestWeight = Infinity
  for (let set = 1; set < 2 ** candidates.length; set += 1) {
    const chosen = candidates.filter((_, i) => (set >> i) % 2 === 1)
    const freedMb = chosen.reduce((sum, { sizeMb }) => sum + sizeMb, 0)
    if (freedMb < missingMb) continue
    const cost = chosen.reduce((sum, candidate) => sum + candidate.cost, 0)
    const weight = cost - (freedMb - missingMb) / MB_PER_GB * SPARE_WORTH_PER_GB
    if (weight >= bestWeight) continue
    best = { models: chosen.map(({ model }) => model), cost }
    bestWeight = weight
  }
  return best
}

/** Rates what the absence of a model from an engine would cost; infinite where it must stay. */
export function evictionCost (draft: PlacementDraft, view: EngineView, options: { readonly model: string, readonly maxRunning: number }): number {
  const { model } = options
  const resident = view.residents.get(model)
  if (resident === undefined || resident.phase !== 'loaded') return Infinity
  if (draft.runningOn(view, model) > options.maxRunning) return Infinity
  if (isClosed(view, model, draft.scene.nowMs)) return 0
  const demand = draft.demandFor(model)
  const others = draft.replicas(model).filter((other) => other !== view)
  if (others.length === 0 && demand.waiting > 0) return Infinity
  const isNew = draft.scene.nowMs - resident.sinceMs < MIN_RESIDENCE_MS
  if (isNew && demand.ratePerS > 0) return Infinity
  const wanted = wantedReplicas(draft, model)
  if (others.length >= wanted && others.length > 0) return BASE_COST + SURPLUS_WEIGHT * demand.ratePerS
  const weight = others.length === 0 ? LAST_REPLICA_WEIGHT : 1
  return BASE_COST + weight * demand.ratePerS + (draft.scene.views.some((any) => hasCopy(any, model)) ? 0 : NO_COPY_COST)
}

/** Tells whether a model gets no more requests because it is to make way. */
export function isClosed (view: EngineView, model: string, nowMs: number): boolean {
  return view.closure !== undefined && nowMs < view.closure.untilMs && view.closure.models.includes(model)
}
