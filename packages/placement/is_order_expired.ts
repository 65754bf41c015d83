import type { UpstreamEntry } from './catalog.ts'
import type { Order } from './placement_shard.ts'
import type { UpstreamStatus } from './upstream_status.ts'

/**
 * Reports whether a status proves that an order can no longer be executed.
 *
 * A passed deadline is no proof. An order can't reach a later incarnation of the upstream, since the sender verifies
 * the incarnation on the connection to which it writes the order.
 *
 * @param order The recorded order.
 * @param status A status whose probe was sent after the order was recorded.
 * @param options The upstream's configured capabilities.
 * @returns Whether the order can no longer be executed.
 *
 * @example
 * ```ts
 * const order = { id: 'a', kind: 'load', fence: 1, sender: 's', upstreamIncarnation: 'u1' } as const
 * const status = { incarnation: 'u2', fence: 0, holdings: [], running: 0, ran: [], leaving: false }
 * console.log(isOrderExpired(order, status, { checksFence: false, logsOrders: false })) // true
 * ```
 */
export function isOrderExpired (
  order: Order,
  status: UpstreamStatus,
  options: Pick<UpstreamEntry, 'checksFence' | 'logsOrders'>
): boolean {
  if (status.incarnation !== order.upstreamIncarnation) return true
  if (options.checksFence && status.fence > order.fence) return true
  return options.logsOrders && status.ran.includes(order.id)
}
