import type { ClaimsEvent } from '@berylshed/claims'
import type { MembershipEvent } from '@berylshed/membership'
import type { PlacementEvent } from '@berylshed/placement'
import type { RequestEvent } from '@berylshed/requests'
import type { Deployment } from './deployment.ts'

/** Load of an upstream, as published by the lease holder. */
export interface LoadReport {
  /** Name of the upstream. */
  readonly upstream: string
  /** Number of requests that run on the upstream. */
  readonly running: number
  /** Whether the upstream is shutting down and takes no new requests. */
  readonly leaving: boolean
}

/** Event that the instance reducer applies; `subject` names the part of the instance that it concerns. */
export type InstanceEvent =
  | { readonly subject: 'placement', readonly event: PlacementEvent }
  | { readonly subject: 'requests', readonly event: RequestEvent }
  | { readonly subject: 'claims', readonly event: ClaimsEvent }
  | { readonly subject: 'membership', readonly event: MembershipEvent }
  | { readonly subject: 'deployment', readonly deployment: Deployment, readonly nowMs: number }
  | { readonly subject: 'reports', readonly reports: readonly LoadReport[], readonly nowMs: number }
  | { readonly subject: 'tick', readonly nowMs: number, readonly clockMs: number, readonly random: number }
  | { readonly subject: 'draining', readonly nowMs: number }
