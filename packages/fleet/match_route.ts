import type { Configuration, Route } from './configuration.ts'

/** Routes by host, the longest prefix first. */
export type RouteTable = ReadonlyMap<string, readonly Route[]>

/**
 * Builds the table in which routes are looked up.
 *
 * @param configuration The configuration.
 * @returns The table.
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
 * Finds the route of a request.
 *
 * @param table The routes.
 * @param host The request's host, with or without a port.
 * @param options The request's path, with or without a query.
 * @returns The route with the longest matching prefix, or undefined where none matches.
 *
 * @example
 * ```ts
 * const route = matchRoute(table, 'desk.example', { path: '/drafts/1' })
 * ```
 */
export function matchRoute (table: RouteTable, host: string, options: { readonly path: string }): Route | undefined {
  const name = (host.split(':')[0] ?? '').toLowerCase()
  const path = options.path.split('?')[0] ?? ''
  return table.get(name)?.find((route) => path.startsWith(route.pathPrefix))
}

/**
 * Chooses the service for a request of a route by the services' weights.
 *
 * @param route The route.
 * @param random A random number from 0 up to 1.
 * @returns The service's name.
 *
 * @example
 * ```ts
 * const service = chooseService(route, Math.random())
 * ```
 */
export function chooseService (route: Route, random: number): string {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let left = random * total
  for (const { service, weight } of route.services) {
    left -= weight
    if (left < 0) return service
  }
  return route.services.at(-1)?.service ?? ''
}
