import type { ClaimsEvent } from '@berylshed/claims'
import type { MembershipEvent } from '@berylshed/membership'
import type { PlacementEvent } from '@berylshed/placement'
import type { RequestEvent } from '@berylshed/requests'
import type { Deployment } from './deployment.ts'

/** What a lease holder passes on of an upstream's load. */
export interface LoadReport {
  readonly upstream: string
  readonly running: number
  readonly leaving: boolean
}

/** Everything that can happen to an instance. */
export type InstanceEvent =
  | { readonly subject: 'placement', readonly event: PlacementEvent }
  | { readonly subject: 'requests', readonly event: RequestEvent }
  | { readonly subject: 'claims', readonly event: ClaimsEvent }
  | { readonly subject: 'membership', readonly event: MembershipEvent }
  | { readonly subject: 'deployment', readonly deployment: Deployment, readonly nowMs: number }
  | { readonly subject: 'reports', readonly reports: readonly LoadReport[], readonly nowMs: number }
  | { readonly subject: 'tick', readonly nowMs: number, readonly clockMs: number, readonly random: number }
  | { readonly subject: 'draining', readonly nowMs: number }
