/**
 * Placement of models and adapters on upstreams: the lease, the recorded orders, the safety rules and the policies.
 *
 * @module
 */
export * from './accelerator_share.ts'
export * from './admit_decision.ts'
export * from './catalog.ts'
export * from './placement_shard.ts'
export * from './committed_memory.ts'
export * from './count_replicas.ts'
export * from './decision.ts'
export * from './demand.ts'
export * from './expected_cost_policy.ts'
export * from './fixed_keep_alive_policy.ts'
export * from './idle_histogram.ts'
export * from './is_holder.ts'
export * from './never_unload_policy.ts'
export * from './is_order_expired.ts'
export * from './estimate.ts'
export * from './placement_effect.ts'
export * from './placement_event.ts'
export * from './placement_state.ts'
export * from './policy.ts'
export * from './reconcile_replica.ts'
export * from './reduce_placement.ts'
export * from './upstream_status.ts'
export * from './usage.ts'
export * from './load_slots.ts'
