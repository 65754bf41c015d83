import type { UpstreamEntry } from './catalog.ts'
import type { Replica } from './placement_shard.ts'
import { isOrderExpired } from './is_order_expired.ts'
import type { UpstreamStatus } from './upstream_status.ts'

/**
 * Updates a recorded replica from a status of its upstream.
 *
 * The status must come from a probe that was sent after this process's last order was answered.
 *
 * @param replica The recorded replica.
 * @param status The upstream's status.
 * @param options The upstream's configured capabilities.
 * @returns The updated replica, or undefined if it is no longer held and no order can load it again.
 *
 * @example
 * ```ts
 * const replica = reconcileReplica(loadedReplica, { ...status, holdings: [] }, capabilities)
 * console.log(replica) // undefined
 * ```
 */
export function reconcileReplica (
  replica: Replica,
  status: UpstreamStatus,
  options: Pick<UpstreamEntry, 'checksFence' | 'logsOrders'>
): Replica | undefined {
  const orders = replica.orders.filter((order) => !isOrderExpired(order, status, options))
  const holding = status.holdings.find((h) => h.model === replica.model)
  const upstreamIncarnation = status.incarnation
  if (holding === undefined) {
    if (orders.length === 0) return undefined
    if (orders.every((order) => order.kind === 'unload')) return { ...replica, upstreamIncarnation, orders, phase: 'vacated' }
    return { ...replica, upstreamIncarnation, orders, phase: 'loading' }
  }
  const phase = replica.phase === 'unloading' || replica.phase === 'vacated' ? 'unloading' : holding.phase
  const same = phase === replica.phase && orders.length === replica.orders.length && replica.mayHaveRun
  if (same && upstreamIncarnation === replica.upstreamIncarnation) return replica
  return { ...replica, upstreamIncarnation, orders, phase, mayHaveRun: true }
}
