/**
 * An entry instance on the platform: its reducer over all events, its interpreter and its servers.
 *
 * @module
 */
export * from './edge_effect.ts'
export * from './edge_event.ts'
export * from './edge_state.ts'
export * from './exchange.ts'
export * from './forward_sending.ts'
export * from './journal.ts'
export { exchangeAnswer, instancesOf, isCovered } from './_peer_exchange.ts'
export * from './reduce_edge.ts'
export * from './run_edge.ts'
