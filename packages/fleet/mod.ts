/**
 * What is known of a deployment: its configuration, its routes and its upstreams.
 *
 * @module
 */
export * from './configuration.ts'
export * from './match_route.ts'
export * from './upstream.ts'
export * from './upstream_list.ts'
