/**
 * Order of waiting requests, fair shares between customers, and estimates of how long they wait.
 *
 * @module
 */
export * from './estimate_wait.ts'
export * from './fair_shares.ts'
export * from './order_requests.ts'
export * from './queueing_state.ts'
export * from './retry_after.ts'
