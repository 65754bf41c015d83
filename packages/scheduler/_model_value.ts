import type { PlacementDraft, WeightSource } from './_placement_draft.ts'
import type { ModelDemand } from './demand.ts'
import type { EngineView } from './engine_view.ts'

/** Time for which a placement is expected to be useful, in s; demand then moves to other models. */
const HORIZON_S = 3
/** Useful time of a load from the weight store, in s; longer because it also leaves a copy on the engine's disk. */
const STORE_HORIZON_S = 15
/** Time from the end of a load to the first event of a response, in ms. */
const FIRST_EVENT_MS = 120
/** Value of a late response, as a fraction of one that meets its latency objective. */
const LATE_RESPONSE_VALUE = 0.25
/** Gain of serving a model for each request that has asked for it in vain, in responses that meet their latency objective. */
const MISSED_REQUEST_GAIN = 0.25
/** Running requests whose end may be waited for, for each request that has asked for a model in vain. */
const DRAINED_PER_MISSED_REQUEST = 0.5
/** Request rate from which a model counts as busy, per second. */
const BUSY_RATE_PER_S = 4
/** Utilization from which the replicas of a busy model are too few. */
const SHORTAGE_UTILIZATION = 1.5
/** Number of requests that have asked for a model in vain from which seconds of loading it from the weight store pay off though engines have copies. */
const SHORTAGE_MISSED_REQUESTS = 20
/** Fraction of late responses from engines with all slots in use. */
const LATE_SHARE_AT_CAPACITY = 0.3
/** Cost of every eviction, which prevents unloads without a benefit; in late responses. */
const BASE_EVICTION_COST = 0.05
/** Additional cost of evicting the last replica of a model with no copy outside the weight store; in late responses. */
const NO_COPY_COST = 5

/** Source and expected end of a possible load. */
export interface LoadPlan {
  readonly source: WeightSource
  /** Expected time until the model is loaded, in ms. */
  readonly readyInMs: number
  /** Requests per second that the engine takes; Infinity without a limit. */
  readonly limitPerS: number
}

/** Returns the gain of loading a model that no engine holds, in responses that meet their latency objective. */
export function loadGain (draft: PlacementDraft, demand: ModelDemand, plan: LoadPlan): number {
  // The gain grows with the requests that were turned away, so that each model is loaded eventually.
  const missedGain = draft.missedRequests(demand.model) * MISSED_REQUEST_GAIN
  return _waitingGain(demand, plan.readyInMs) + demand.ratePerS * _usefulDurationS(plan) + missedGain
}

function _waitingGain (demand: ModelDemand, readyInMs: number): number {
  const firstEventMs = readyInMs + FIRST_EVENT_MS
  const fullValueCount = demand.dueInMs.filter((dueMs) => dueMs >= firstEventMs).length
  return fullValueCount + (demand.waiting - fullValueCount) * LATE_RESPONSE_VALUE
}

// Returns the useful time of a load after it has finished, in s.
function _usefulDurationS (plan: LoadPlan): number {
  const horizonS = plan.source === 'store' ? STORE_HORIZON_S : HORIZON_S
  return Math.max(0, horizonS - plan.readyInMs / MS_PER_SECOND)
}

const MS_PER_SECOND = 1000

/** Returns how many running requests of others a model that no engine holds may wait for; more while it is asked for in vain. */
export function maxDrainedRequests (draft: PlacementDraft, model: string): number {
  return Math.floor(draft.missedRequests(model) * DRAINED_PER_MISSED_REQUEST)
}

/** Reports whether a model lacks replicas so much that seconds of loading from the weight store pay off. */
export function hasShortage (draft: PlacementDraft, model: string): boolean {
  const demand = draft.demandFor(model)
  const replicas = draft.replicas(model)
  if (replicas.length === 0) return draft.missedRequests(model) >= SHORTAGE_MISSED_REQUESTS
  return demand.ratePerS >= BUSY_RATE_PER_S && _utilization(draft, demand, _capacity(draft, demand, replicas)) >= SHORTAGE_UTILIZATION
}

/** Returns the gain of another replica of a loaded model, in responses that meet their latency objective. */
export function replicaGain (draft: PlacementDraft, model: string, plan: LoadPlan): number {
  const demand = draft.demandFor(model)
  const capacity = _capacity(draft, demand, draft.replicas(model))
  const extended: _Capacity = { replicas: capacity.replicas + 1, perS: capacity.perS + plan.limitPerS }
  const waitingGain = _utilization(draft, demand, capacity) >= 1 ? _waitingGain(demand, plan.readyInMs) : 0
  const horizonS = plan.source === 'store' ? _usefulDurationS(plan) : HORIZON_S
  return waitingGain + demand.ratePerS * horizonS * (_lateShare(draft, demand, capacity) - _lateShare(draft, demand, extended))
}

/** What the replicas of a model take. */
interface _Capacity {
  readonly replicas: number
  /** Requests per second; Infinity unless all their engines name a limit. */
  readonly perS: number
}

// The models of a limited engine share what it takes by their demand.
function _capacity (draft: PlacementDraft, demand: ModelDemand, replicas: readonly EngineView[]): _Capacity {
  const perS = replicas.reduce((sum, view) => {
    const limitPerS = draft.input.limitsPerS.get(view.upstream.id) ?? Infinity
    if (limitPerS === Infinity || demand.ratePerS === 0) return sum + limitPerS
    const others = [...view.residents.keys()].filter((model) => model !== demand.model)
    const ratePerS = others.reduce((total, model) => total + draft.demandFor(model).ratePerS, demand.ratePerS)
    return sum + limitPerS * demand.ratePerS / ratePerS
  }, 0)
  return { replicas: replicas.length, perS }
}

/**
 * Estimates the fraction of a model's responses that are late with a capacity.
 *
 * A batch slows down as it fills; requests beyond the number of slots wait. Requests beyond the limits of all engines are late.
 */
function _lateShare (draft: PlacementDraft, demand: ModelDemand, capacity: _Capacity): number {
  const utilization = _slotUtilization(draft, demand, capacity)
  const lateBySlots = utilization <= 1 ? LATE_SHARE_AT_CAPACITY * utilization ** 2 : 1 - (1 - LATE_SHARE_AT_CAPACITY) / utilization
  const lateByLimit = demand.ratePerS > capacity.perS ? 1 - capacity.perS / demand.ratePerS : 0
  return Math.max(lateBySlots, lateByLimit)
}

// Above 1 requests have to wait.
function _utilization (draft: PlacementDraft, demand: ModelDemand, capacity: _Capacity): number {
  return Math.max(_slotUtilization(draft, demand, capacity), demand.ratePerS / capacity.perS)
}

// Returns running and waiting requests per slot.
function _slotUtilization (draft: PlacementDraft, demand: ModelDemand, { replicas }: _Capacity): number {
  return (demand.running + demand.waiting) / (draft.input.engine.slots * Math.max(1, replicas))
}

/** Returns the cost of not holding a model on an engine, in late responses. */
export function evictionCost (draft: PlacementDraft, view: EngineView, model: string): number {
  const demand = draft.demandFor(model)
  // A replica that is still loading or about to go serves nobody in place of this one.
  const otherReplicas = draft.servingReplicas(model).filter((replica) => replica !== view)
  const others = _capacity(draft, demand, otherReplicas)
  const all = _capacity(draft, demand, [view, ...otherReplicas])
  if (others.replicas > 0) return BASE_EVICTION_COST + demand.ratePerS * HORIZON_S * (_lateShare(draft, demand, others) - _lateShare(draft, demand, all))
  return BASE_EVICTION_COST + demand.waiting + demand.ratePerS * HORIZON_S + (draft.enginesWithCopy(model).length > 0 ? 0 : NO_COPY_COST)
}

/**
 * Returns the cost of an engine that takes no other order for some time, in late responses.
 *
 * It cannot load the models meanwhile of which it has a copy and that no engine holds; they depend on each engine with a copy in equal parts.
 */
export function occupationCost (draft: PlacementDraft, view: EngineView, { model, durationMs }: { readonly model: string, readonly durationMs: number }): number {
  const copied = new Set([...view.copies.inMemory, ...view.copies.onDisk])
  return [...draft.input.demand.models.values()]
    .filter((demand) => demand.model !== model && copied.has(demand.model) && draft.replicas(demand.model).length === 0)
    .reduce((cost, { model: other, waiting, ratePerS }) => cost + (waiting + ratePerS * durationMs / MS_PER_SECOND) / draft.enginesWithCopy(other).length, 0)
}
