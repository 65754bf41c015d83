import type { PlacementShard, Replica } from './placement_shard.ts'

/** Maximum number of unresolved orders per replica. */
const MAX_UNRESOLVED_ORDERS = 3

/** Reports whether one more order may be sent for a replica whose unresolved orders all belong to earlier leases. */
export function mayRepeat (shard: PlacementShard, replica: Replica): boolean {
  if (replica.orders.length === 0 || replica.orders.length >= MAX_UNRESOLVED_ORDERS) return false
  return replica.orders.every((order) => order.fence < shard.fence)
}
