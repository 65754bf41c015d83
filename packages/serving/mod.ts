/**
 * Handling of requests on one instance: admission, queueing, routing, retries, stream resumption and the final outcome.
 *
 * @module
 */
export * from './choose_upstream.ts'
export * from './continuation.ts'
export * from './crash_evidence.ts'
export * from './evidence_update.ts'
export * from './instance_report.ts'
export * from './routing_target.ts'
export * from './limit_shares.ts'
export * from './origin_exchange.ts'
export * from './origin_segment.ts'
export * from './patience.ts'
export * from './reduce_serving.ts'
export * from './reach.ts'
export * from './refusal.ts'
export * from './relay.ts'
export * from './request.ts'
export * from './retry_window.ts'
export * from './route_duration.ts'
export * from './serving_effect.ts'
export * from './serving_event.ts'
export * from './serving_state.ts'
export * from './stream_origins.ts'
export * from './upstream_limit.ts'
export * from './upstream_owner.ts'
export * from './brittle_record.ts'
