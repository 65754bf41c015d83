/**
 * The entry instance: a reducer over all its events, the runtime that carries out its effects, and its servers.
 *
 * @module
 */
export * from './contain_exceptions.ts'
export * from './edge_effect.ts'
export * from './edge_event.ts'
export * from './edge_state.ts'
export * from './heartbeat.ts'
export * from './forward_attempt.ts'
export * from './logger.ts'
export * from './origin_archive.ts'
export { answerHeartbeat, instancesOf, isRegistryRelayed } from './_peer_heartbeat.ts'
export * from './reduce_edge.ts'
export * from './run_edge.ts'
