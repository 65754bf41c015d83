import type { Configuration, Route } from './configuration.ts'

/** Routes by lowercase host, sorted by descending prefix length. */
export type RouteTable = ReadonlyMap<string, readonly Route[]>

/**
 * Builds the lookup table for the routes of a configuration.
 *
 * @param configuration The configuration.
 * @returns The route table.
 *
 * @example
 * ```ts
 * const table = buildRouteTable(configuration)
 * ```
 */
export function buildRouteTable (configuration: Configuration): RouteTable {
  const table = new Map<string, Route[]>()
  for (const route of configuration.routes) {
    const host = route.host.toLowerCase()
    table.set(host, [...table.get(host) ?? [], route])
  }
  for (const routes of table.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
  return table
}

/**
 * Returns the route that matches a request.
 *
 * @param table The route table.
 * @param host Host of the request, with or without a port.
 * @param options Path of the request, with or without a query.
 * @returns The route with the longest matching prefix, or undefined if none matches.
 *
 * @example
 * ```ts
 * const route = matchRoute(table, 'api.example', { path: '/drafts/1' })
 * ```
 */
export function matchRoute (table: RouteTable, host: string, options: { readonly path: string }): Route | undefined {
  const name = (host.split(':')[0] ?? '').toLowerCase()
  const path = options.path.split('?')[0] ?? ''
  return table.get(name)?.find((route) => path.startsWith(route.pathPrefix))
}

/**
 * Selects a service of a route at random, in proportion to the weights.
 *
 * @param route The route.
 * @param random A random number, at least 0 and less than 1.
 * @returns The name of the service.
 *
 * @example
 * ```ts
 * const service = chooseService(route, Math.random())
 * ```
 */
export function chooseService (route: Route, random: number): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random * total
  for (const { service, weight } of route.services) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.services.at(-1)?.service ?? ''
}
