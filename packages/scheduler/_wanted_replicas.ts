import type { PlacementDraft } from './_placement_draft.ts'

/** Requests of one model that one engine runs before the model gets another replica; more make all its streams slow. */
const FULL_BATCH = 14
/** The same as a share of the engine's slots, for small engines. */
const FULL_SHARE = 0.6
/** Requests per second that deserve a replica of their own at most, so that one slow engine does not take all the others. */
const REPLICA_RATE_PER_S = 7
/** Requests per second from which the loss of one engine must not take a model away. */
const BUSY_RATE_PER_S = 3
const BUSY_REPLICAS = 2

/**
 * Gives the number of replicas that a model should have.
 *
 * Answers demand that moves from model to model within seconds: the number follows the requests that run and wait, and
 * replicas beyond it are unloaded only where their memory is needed.
 */
export function wantedReplicas (draft: PlacementDraft, model: string): number {
  const { ratePerS, running, waiting, adapters } = draft.demandFor(model)
  if (ratePerS === 0 && running === 0 && waiting === 0) return 0
  const { slots, adapterPlaces } = draft.scene.engine
  const forRate = Math.ceil(ratePerS / REPLICA_RATE_PER_S)
  const forLoad = Math.min(forRate, Math.ceil((running + waiting) / Math.min(FULL_BATCH, slots * FULL_SHARE)))
  const held = draft.replicas(model)
  const heldAdapters = held.reduce((sum, view) => sum + (view.residents.get(model)?.adapters.size ?? 0), 0)
  // More adapters are asked for than the places of the replicas hold.
  const forAdapters = adapterPlaces > 0 && adapters.size > 0 ? Math.ceil((heldAdapters + adapters.size) / adapterPlaces) : 0
  const forLoss = ratePerS >= BUSY_RATE_PER_S ? BUSY_REPLICAS : 1
  return Math.min(draft.scene.views.length, Math.max(forLoad, Math.min(forAdapters, MAX_ADAPTER_REPLICAS), forLoss))
}

/** Most replicas that a model gets for its adapters alone. */
const MAX_ADAPTER_REPLICAS = 4
