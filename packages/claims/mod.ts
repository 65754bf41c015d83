/**
 * Claims on idempotency keys and crash records of requests, stored in shards by conditional updates.
 *
 * @module
 */
export * from './apply_operation.ts'
export * from './claims_event.ts'
export * from './claims_state.ts'
export * from './operation.ts'
export * from './reduce_claims.ts'
export * from './claims_shard.ts'
