import type { PlacementShard } from './placement_shard.ts'

/**
 * Counts the recorded replicas of a model, without vacated ones.
 *
 * @param shard The shard.
 * @param model The name of the model or adapter.
 * @returns The number of replicas that are loaded or may become loaded.
 *
 * @example
 * ```ts
 * console.log(countReplicas(emptyPlacementShard('drafting'), 'chat-7b')) // 0
 * ```
 */
export function countReplicas (shard: PlacementShard, model: string): number {
  return shard.replicas.filter((replica) => replica.model === model && replica.phase !== 'vacated').length
}
