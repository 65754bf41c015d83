import type { Catalog } from './catalog.ts'
import type { PlacementShard } from './placement_shard.ts'
import type { Demand } from './demand.ts'
import type { UpstreamStatus } from './upstream_status.ts'

/**
 * Outcome of sending an order.
 *
 * `accepted` and `refused` are answers of the engine. `not_sent` means that no byte left this process, `unknown` that
 * the order may have been executed or may still be.
 */
export type OrderAnswer = 'accepted' | 'refused' | 'not_sent' | 'unknown'

/** Usage of one model on one instance. */
export interface ModelUse {
  readonly model: string
  readonly running: number
  /** Time since the last use, in ms. */
  readonly idleForMs: number
}

/** An event of the placement reducer. */
export type PlacementEvent =
  | { readonly kind: 'shard_read', readonly version: number, readonly shard: PlacementShard, readonly nowMs: number }
  | { readonly kind: 'shard_read_failed', readonly nowMs: number }
  | { readonly kind: 'write_done', readonly writeId: string, readonly version: number, readonly nowMs: number }
  | { readonly kind: 'write_conflicted', readonly writeId: string, readonly version: number, readonly shard: PlacementShard, readonly nowMs: number }
  | { readonly kind: 'write_lost', readonly writeId: string, readonly nowMs: number, readonly random: number }
  | { readonly kind: 'order_answered', readonly orderId: string, readonly answer: OrderAnswer, readonly nowMs: number }
  | { readonly kind: 'status_reported', readonly upstream: string, readonly probe: number, readonly status: UpstreamStatus, readonly nowMs: number }
  | { readonly kind: 'demand_received', readonly call: string, readonly demand: Demand, readonly nowMs: number }
  | { readonly kind: 'usage_reported', readonly instance: string, readonly uses: readonly ModelUse[], readonly nowMs: number }
  | { readonly kind: 'catalog_changed', readonly catalog: Catalog, readonly nowMs: number }
  | { readonly kind: 'upstream_terminated', readonly upstream: string, readonly nowMs: number }
  | { readonly kind: 'orders_disclaimed', readonly orderIds: readonly string[], readonly nowMs: number }
  | { readonly kind: 'stopping', readonly nowMs: number }
  | { readonly kind: 'ticked', readonly nowMs: number, readonly random: number }
