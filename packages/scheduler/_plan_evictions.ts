import type { EngineView } from './engine_view.ts'
import { isDraining } from './_draining.ts'
import { evictionCost } from './_model_value.ts'
import { residentMb, type PlacementDraft } from './_placement_draft.ts'

/** Models to unload from one engine, with the expected cost. */
export interface EvictionSet {
  readonly models: readonly string[]
  /** Expected cost, in late responses, with that of waiting for running requests. */
  readonly cost: number
  /** Number of requests that run on these models. */
  readonly running: number
}

/** Requirements of an eviction. */
export interface EvictionOptions {
  /** Memory required by the replacement, in MB. */
  readonly requiredMb: number
  /** The model that takes the memory. */
  readonly replacement: string
  /** Maximum number of running requests that an evicted model may have. */
  readonly maxRunning: number
}

/** Time after its load for which a model with demand stays, in ms, so that requests that waited for it reach it. */
const MIN_RESIDENCE_MS = 600
/** Models of one engine that are considered for eviction; all their subsets are compared. */
const MAX_EVICTION_CANDIDATES = 8
/** Value of a GB freed beyond the required memory, as it can hold another small model; in late responses. */
const SPARE_VALUE_PER_GB = 0.01
const MB_PER_GB = 1000
/** Cost of waiting for one running request of an evicted model, in late responses. */
const DRAIN_COST_PER_REQUEST = 1

/** Returns the cheapest set of models to unload to free the required memory, or undefined if there is none. */
export function planEvictions (draft: PlacementDraft, view: EngineView, options: EvictionOptions): EvictionSet | undefined {
  const missingMb = options.requiredMb - draft.freeMb(view)
  if (missingMb <= 0) return { models: [], cost: 0, running: 0 }
  const candidates = [...view.residents.keys()]
    .map((model) => _candidate(draft, view, { model, ...options }))
    .filter(({ cost }) => cost < Infinity)
    .sort((a, b) => a.cost - b.cost)
    .slice(0, MAX_EVICTION_CANDIDATES)
  let best: EvictionSet | undefined
  let bestScore = Infinity
  for (let subset = 1; subset < 2 ** candidates.length; subset += 1) {
    const chosen = candidates.filter((_, i) => (subset >> i) % 2 === 1)
    const freedMb = chosen.reduce((sum, { sizeMb }) => sum + sizeMb, 0)
    if (freedMb < missingMb) continue
    const running = chosen.reduce((sum, candidate) => sum + candidate.running, 0)
    const cost = chosen.reduce((sum, candidate) => sum + candidate.cost, 0) + running * DRAIN_COST_PER_REQUEST
    const score = cost - (freedMb - missingMb) / MB_PER_GB * SPARE_VALUE_PER_GB
    if (score >= bestScore) continue
    best = { models: chosen.map(({ model }) => model), cost, running }
    bestScore = score
  }
  return best
}

interface _Candidate {
  readonly model: string
  readonly sizeMb: number
  readonly cost: number
  readonly running: number
}

function _candidate (draft: PlacementDraft, view: EngineView, options: EvictionOptions & { readonly model: string }): _Candidate {
  const { model } = options
  const resident = view.residents.get(model)
  const running = draft.runningOn(view, model)
  const sizeMb = resident === undefined ? 0 : residentMb(draft.input.engine.models.get(model), resident)
  const mustStay = resident === undefined || resident.phase !== 'loaded' || running > options.maxRunning ||
    (draft.input.nowMs - resident.sinceMs < MIN_RESIDENCE_MS && draft.demandFor(model).ratePerS > 0)
  if (mustStay) return { model, sizeMb, running, cost: Infinity }
  const drainedForReplacement = isDraining(view, model, draft.input.nowMs) && view.drain?.replacement === options.replacement
  return { model, sizeMb, running, cost: drainedForReplacement ? 0 : evictionCost(draft, view, model) }
}
