import type { ClaimsEffect, Operation } from '@berylshed/claims'
import type { MembershipEffect } from '@berylshed/membership'
import type { Demand, ModelUse, PlacementEffect } from '@berylshed/placement'
import type { RequestEffect } from '@berylshed/requests'

/** Side effect that the instance reducer asks its interpreter to carry out; `to` is the address of a peer. */
export type InstanceEffect =
  | { readonly subject: 'placement', readonly effect: PlacementEffect }
  | { readonly subject: 'requests', readonly effect: RequestEffect }
  | { readonly subject: 'claims', readonly effect: ClaimsEffect }
  | { readonly subject: 'membership', readonly effect: MembershipEffect }
  | { readonly subject: 'demand', readonly to: string, readonly demand: Demand }
  | { readonly subject: 'heartbeat', readonly to: string, readonly uses: readonly ModelUse[] }
  | { readonly subject: 'warn', readonly to: string, readonly fingerprint: string }
  /** An empty `to` carries the operation out on this instance. */
  | { readonly subject: 'operate', readonly to: string, readonly operation: Operation }
