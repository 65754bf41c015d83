import { authenticate, customerFields, type CustomerFields, type KeyRejection } from '@berylshed/customers'
import type { Route } from '@berylshed/fleet'
import { authorizationValues, type RequestIdentity, type RequestMetadata } from '@berylshed/platform'
import type { EdgeState } from './edge_state.ts'

/** A request whose customer is sought. */
export interface UnidentifiedRequest {
  readonly route: Route
  /** Alternating header names and values, as the caller sent them. */
  readonly headers: readonly string[]
  /** What the instance that hands the request over tells of its customer; undefined if it tells nothing. */
  readonly handedOver: RequestIdentity | undefined
}

/** Who sent a request. */
export type CallerIdentity =
  /** The deployment has no customers. */
  | { readonly kind: 'open' }
  /** The request belongs to a customer, or needs none. The digest is that of its key, if the key was checked here. */
  | { readonly kind: 'identified', readonly identity: RequestIdentity, readonly keyDigest?: string }
  | { readonly kind: 'rejected', readonly reason: KeyRejection, readonly digestPrefix: string }

/**
 * Finds the customer of a request by the configuration in force.
 *
 * What another instance tells is trusted, as only instances reach the port for it; a request that an earlier release hands over is identified
 * by its key.
 */
export function identifyCaller (state: Pick<EdgeState, 'customerTable'>, request: UnidentifiedRequest): CallerIdentity {
  if (request.handedOver !== undefined) return { kind: 'identified', identity: request.handedOver }
  if (state.customerTable === undefined) return { kind: 'open' }
  if (request.route.anonymous === true) return { kind: 'identified', identity: { customer: undefined } }
  const found = authenticate(state.customerTable, authorizationValues(request.headers))
  return found.kind === 'known' ? { kind: 'identified', identity: { customer: found.customer.name }, keyDigest: found.digest } : found
}

/**
 * Returns the properties of a request that depend on its customer.
 *
 * The instance that handed a request over charges it, so that it counts nothing here; its customer may be missing in the configuration in
 * force here, if another version is in force there.
 */
export function identifiedFields (state: Pick<EdgeState, 'configuration'>, caller: Exclude<CallerIdentity, { kind: 'rejected' }>, request: { readonly route: Route, readonly tokens: RequestMetadata['tokens'] }): Omit<CustomerFields, 'routeRank'> & Partial<CustomerFields> {
  const { route, tokens } = request
  if (caller.kind === 'open') return { rank: route.rank }
  const { customer: name } = caller.identity
  const known = name === undefined ? undefined : state.configuration?.customers?.get(name)
  const { quotaUnits, ...fields } = customerFields(known, route, tokens)
  const named = name === undefined ? fields : { ...fields, customer: name }
  return quotaUnits === undefined || caller.keyDigest === undefined ? named : { ...named, quotaUnits }
}
