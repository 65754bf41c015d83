import type { Customer, Quota, Route } from '@berylshed/fleet'

/** Rank of a customer without a stated one, so that the ranks of routes still count in `Request-Priority` if no customer has a rank. */
const DEFAULT_RANK = 0

/** What the customer of a request determines. */
export interface CustomerFields {
  readonly customer?: string
  /** Rank of the customer, or of the route if the request has no customer. */
  readonly rank: number
  readonly routeRank: number
  readonly quotaUnits?: number
}

/** Tokens that a request states. */
export interface StatedTokens {
  readonly prompt: number
  readonly output: number
}

/**
 * Returns the properties of a request that depend on its customer, in a deployment with customers.
 *
 * @param customer The customer; undefined if the route is anonymous.
 * @param route The route of the request.
 * @param tokens The tokens that the request states, if it does.
 * @returns The properties.
 *
 * @example
 * ```ts
 * const { rank, quotaUnits } = customerFields(customer, route, { prompt: 543, output: 80 })
 * ```
 */
export function customerFields (customer: Customer | undefined, route: Pick<Route, 'rank'>, tokens: StatedTokens | undefined): CustomerFields {
  if (customer === undefined) return { rank: route.rank, routeRank: route.rank }
  const ranked = { customer: customer.name, rank: customer.rank ?? DEFAULT_RANK, routeRank: route.rank }
  return customer.quota === undefined ? ranked : { ...ranked, quotaUnits: _quotaUnits(customer.quota, tokens) }
}

function _quotaUnits (quota: Quota, tokens: StatedTokens | undefined): number {
  if (quota.unit === 'requests') return 1
  return tokens === undefined ? quota.plainTokens : tokens.prompt + tokens.output
}
