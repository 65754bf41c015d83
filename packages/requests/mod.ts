/**
 * Admission, queueing, routing and retries of callers' requests, as a pure reducer.
 *
 * Every admitted request ends exactly once.
 *
 * @module
 */
export * from './choose_upstream.ts'
export * from './reduce_requests.ts'
export * from './refusal.ts'
export * from './request.ts'
export * from './request_effect.ts'
export * from './request_event.ts'
export * from './requests_state.ts'
export * from './retry_budget.ts'
export * from './rules.ts'
export * from './upstream_load.ts'
