import type { Catalog } from './catalog.ts'
import type { PlacementShard, Replica } from './placement_shard.ts'
import { committedMemory } from './committed_memory.ts'
import { countReplicas } from './count_replicas.ts'
import { mayRepeat } from './_may_repeat.ts'
import type { Decision } from './decision.ts'
import type { UpstreamReport } from './upstream_status.ts'

/** Reason for the refusal of a decision. */
export type AdmissionRefusal =
  | 'unknown_model'
  | 'unknown_upstream'
  | 'replica_limit'
  | 'no_memory'
  | 'already_placed'
  | 'not_placed'
  | 'unresolved_order'
  | 'base_not_loaded'
  | 'adapters_loaded'
  | 'upstream_leaving'
  | 'upstream_unknown'

/** The configuration and status against which a decision is checked. */
export interface AdmissionContext {
  readonly catalog: Catalog
  /** Latest report of the decision's upstream. */
  readonly report: UpstreamReport | undefined
}

/**
 * Checks a decision against the safety rules of placement.
 *
 * Every decision is checked here, so that an error in a policy can affect performance but not safety.
 *
 * @param shard The shard that would record the decision.
 * @param decision The proposed decision.
 * @param context The configuration and the upstream's latest report.
 * @returns The reason for the refusal, or undefined if the decision is admitted.
 *
 * @example
 * ```ts
 * const refusal = admitDecision(emptyPlacementShard('drafting'), decision, { catalog, report: undefined })
 * console.log(refusal) // 'upstream_unknown'
 * ```
 */
export function admitDecision (
  shard: PlacementShard,
  decision: Decision,
  context: AdmissionContext
): AdmissionRefusal | undefined {
  const replica = shard.replicas.find((r) => r.model === decision.model && r.upstream === decision.upstream)
  if (decision.kind === 'load') return _admitLoad(shard, decision, { ...context, replica })
  return _admitUnload(shard, decision, { ...context, replica })
}

interface _ReplicaContext extends AdmissionContext {
  readonly replica: Replica | undefined
}

function _admitLoad (shard: PlacementShard, decision: Decision, context: _ReplicaContext): AdmissionRefusal | undefined {
  const { catalog, report, replica } = context
  const model = catalog.models.get(decision.model)
  if (model === undefined) return 'unknown_model'
  const upstream = catalog.upstreams.get(decision.upstream)
  if (upstream === undefined) return 'unknown_upstream'
  if (report === undefined) return 'upstream_unknown'
  if (report.status.leaving) return 'upstream_leaving'
  if (replica !== undefined) return _admitRepeatedLoad(shard, replica, report)
  if (countReplicas(shard, model.name) >= model.maxReplicas) return 'replica_limit'
  if (model.base !== undefined && !_baseIsLoaded(shard, model.base, decision.upstream)) return 'base_not_loaded'
  if (committedMemory(shard, upstream.name) + model.memoryMb > upstream.memoryMb) return 'no_memory'
  return undefined
}

// An earlier load of the replica may still arrive, so its memory stays reserved. A repeated load doesn't resolve that
// order, but puts the reserved memory to use.
function _admitRepeatedLoad (shard: PlacementShard, replica: Replica, report: UpstreamReport): AdmissionRefusal | undefined {
  if (replica.phase !== 'loading' || !mayRepeat(shard, replica)) return 'already_placed'
  if (replica.orders.some((order) => order.kind !== 'load')) return 'unresolved_order'
  if (report.status.holdings.some((holding) => holding.model === replica.model)) return 'already_placed'
  return undefined
}

function _admitUnload (shard: PlacementShard, decision: Decision, context: _ReplicaContext): AdmissionRefusal | undefined {
  const { catalog, replica, report } = context
  if (replica === undefined || replica.phase === 'vacated') return 'not_placed'
  if (report === undefined) return 'upstream_unknown'
  if (replica.orders.some((order) => order.kind !== 'unload')) return 'unresolved_order'
  if (replica.orders.length > 0 && !mayRepeat(shard, replica)) return 'unresolved_order'
  const adapters = shard.replicas.filter((r) => r.upstream === replica.upstream && r.phase !== 'vacated')
    .filter((r) => catalog.models.get(r.model)?.base === replica.model)
  if (adapters.length > 0) return 'adapters_loaded'
  return undefined
}

function _baseIsLoaded (shard: PlacementShard, base: string, upstream: string): boolean {
  return shard.replicas.some((r) => r.model === base && r.upstream === upstream && r.phase === 'loaded')
}
