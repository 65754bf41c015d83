import type { PlacementDraft } from './_placement_draft.ts'
import type { ModelDemand } from './demand.ts'
import type { EngineView } from './engine_view.ts'

/** Time over which a placement is expected to last, in s: after that, other models are wanted. */
const HORIZON_S = 3
/** Time from the end of a load to the first event of an answer, in ms. */
const FIRST_EVENT_MS = 120
/** Worth of an answer that comes late, as a share of one in time. */
const LATE_SHARE = 0.25
/** Time by which a waiting request is late from which it counts as starving, in ms: callers leave or are refused soon after. */
const STARVING_MS = 4500
/** Share of the answers that come late from engines whose slots are all taken. */
const LATE_WHEN_FULL = 0.3
/** Cost of any eviction, so that nothing is unloaded for nothing. */
const BASE_COST = 0.05
/** Cost of a model of which no copy is left outside the weight store. */
const NO_COPY_COST = 5

/**
 * Rates the load of a model that no engine holds, in answers that come in time instead of late or not at all.
 *
 * @param demand What is wanted of the model.
 * @param readyInMs Time until it would be loaded, in ms.
 */
export function loadGain (demand: ModelDemand, readyInMs: number): number {
  const firstEventMs = readyInMs + FIRST_EVENT_MS
  // A request that has waited for long counts in full, so that each model gets its turn.
  const whole = demand.dueInMs.filter((dueMs) => dueMs >= firstEventMs || dueMs < -STARVING_MS).length
  const late = demand.waiting - whole
  return whole + late * LATE_SHARE + demand.ratePerS * Math.max(0, HORIZON_S - readyInMs / MS_PER_SECOND)
}

const MS_PER_SECOND = 1000

/** Tells whether a request for a model has waited for so long that others make way at any price. */
export function isStarving (demand: ModelDemand): boolean {
  return demand.dueInMs.some((dueMs) => dueMs < -STARVING_MS)
}

/** Rates one more replica of a model that some engines hold. */
export function replicaGain (draft: PlacementDraft, model: string, readyInMs: number): number {
  const demand = draft.demandFor(model)
  const replicas = draft.replicas(model).length
  const isFull = _fill(draft, demand, replicas) >= 1
  return (isFull ? loadGain({ ...demand, ratePerS: 0 }, readyInMs) : 0) + _crowdingLoss(draft, demand, replicas) - _crowdingLoss(draft, demand, replicas + 1)
}

// Answers that a model's crowded replicas make late within the horizon; a batch slows down as it fills.
function _crowdingLoss (draft: PlacementDraft, demand: ModelDemand, replicas: number): number {
  const lateShare = Math.min(1, LATE_WHEN_FULL * _fill(draft, demand, replicas) ** 2)
  return demand.ratePerS * HORIZON_S * lateShare
}

function _fill (draft: PlacementDraft, demand: ModelDemand, replicas: number): number {
  return (demand.running + demand.waiting) / (draft.scene.engine.slots * Math.max(1, replicas))
}

/** Rates the absence of a model from an engine; infinite where it must stay. */
export function absenceCost (draft: PlacementDraft, view: EngineView, model: string): number {
  const demand = draft.demandFor(model)
  const replicas = draft.replicas(model)
  const others = replicas.includes(view) ? replicas.length - 1 : replicas.length
  if (others > 0) return BASE_COST + _crowdingLoss(draft, demand, others) - _crowdingLoss(draft, demand, others + 1)
  if (demand.waiting > 0) return Infinity
  return BASE_COST + demand.ratePerS * HORIZON_S + (draft.copyHolders(model).length > 0 ? 0 : NO_COPY_COST)
}
