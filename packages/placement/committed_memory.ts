import type { PlacementShard } from './placement_shard.ts'

/**
 * Returns the accelerator memory that a shard commits on one upstream.
 *
 * Loads in progress and replicas with unresolved orders count in full.
 *
 * @param shard The shard.
 * @param upstream The upstream's name.
 * @returns The committed memory in MB.
 *
 * @example
 * ```ts
 * console.log(committedMemory(emptyPlacementShard('drafting'), 'runner-1')) // 0
 * ```
 */
export function committedMemory (shard: PlacementShard, upstream: string): number {
  return shard.replicas
    .filter((replica) => replica.upstream === upstream && replica.phase !== 'vacated')
    .reduce((sum, replica) => sum + replica.memoryMb, 0)
}
