/**
 * Data model of a deployment: configuration, routes and registered upstreams.
 *
 * @module
 */
export * from './configuration.ts'
export * from './match_route.ts'
export * from './store_position.ts'
export * from './upstream.ts'
export * from './upstream_list.ts'
