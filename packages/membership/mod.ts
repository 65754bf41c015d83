/**
 * Membership of instances: gossiped heartbeats with constant traffic per process, and a failure detector.
 *
 * @module
 */
export * from './membership_state.ts'
export * from './peer.ts'
export * from './reduce_membership.ts'
