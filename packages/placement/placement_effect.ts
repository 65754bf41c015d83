import type { PlacementShard, Holder, Order } from './placement_shard.ts'
import type { Estimate } from './estimate.ts'

/** An effect that the placement reducer requests from its interpreter. */
export type PlacementEffect =
  | { readonly kind: 'write_shard', readonly expectedVersion: number, readonly shard: PlacementShard }
  | {
    readonly kind: 'send_order'
    readonly order: Order
    readonly model: string
    readonly upstream: string
    readonly memoryMb: number
    /** Local time after which the order must not be sent, in ms; checked immediately before the write. */
    readonly notAfterMs: number
  }
  | { readonly kind: 'probe', readonly upstream: string, readonly probe: number, readonly fence: number }
  | { readonly kind: 'disclaim_orders', readonly to: Holder, readonly orderIds: readonly string[] }
  | { readonly kind: 'answer_demand', readonly call: string, readonly estimate: Estimate }
  | { readonly kind: 'placement_changed', readonly shard: PlacementShard }
  | { readonly kind: 'count', readonly metric: PlacementMetric, readonly model?: string }

/** Counter metrics of placement. */
export type PlacementMetric =
  | 'takeover'
  | 'lease_lapsed'
  | 'load_decided'
  | 'unload_decided'
  | 'order_unknown'
  | 'order_refused'
  | 'write_lost'
  | 'write_conflicted'
