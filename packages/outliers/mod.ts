/**
 * Upstreams that fail far more often than the others of their service.
 *
 * @module
 */
export * from './ejected_upstreams.ts'
export * from './outcomes.ts'
