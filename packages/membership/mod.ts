/**
 * Which instances are live: heartbeats with a constant traffic per process.
 *
 * @module
 */
export * from './membership_state.ts'
export * from './peer.ts'
export * from './reduce_membership.ts'
