/**
 * Replay of traces and workloads through the production reducers, in virtual time.
 *
 * @module
 */
export * from './clairvoyant_policy.ts'
export * from './workload_summary.ts'
export * from './generate_workload.ts'
export * from './example_scenarios.ts'
export * from './generate_trace.ts'
export * from './policies.ts'
export * from './workload_request.ts'
export * from './replay_workload.ts'
export * from './replay_summary.ts'
export * from './replay_trace.ts'
export * from './trace.ts'
export * from './virtual_clock.ts'
