import type { Replica } from './placement_shard.ts'

/** Returns the key of a replica, made of its model and upstream. */
export function replicaKey (replica: Pick<Replica, 'model' | 'upstream'>): string {
  return `${replica.model}@${replica.upstream}`
}
