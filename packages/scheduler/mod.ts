/**
 * Model placement: the scheduler lease, the orders sent to engines and the policy that plans them.
 *
 * @module
 */
export * from './demand.ts'
export * from './engine_view.ts'
export * from './fleet_view.ts'
export * from './lease.ts'
export { leaseGrant } from './_lease_grants.ts'
export * from './placement_policy.ts'
export * from './plan_orders.ts'
export * from './reduce_scheduler.ts'
export * from './planning_input.ts'
export * from './scheduler_effect.ts'
export * from './scheduler_event.ts'
export * from './scheduler_state.ts'
export * from './published_placement.ts'
export * from './quarantine.ts'
export * from './unserved_demand.ts'
