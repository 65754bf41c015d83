/**
 * Entry instance: reducer, effect interpreters, and the servers for callers, peers and operators.
 *
 * @module
 */
export * from './caller_exchanges.ts'
export * from './caller_server.ts'
export * from './deployment.ts'
export * from './explain_model.ts'
export * from './instance_effect.ts'
export * from './instance_event.ts'
export * from './instance_state.ts'
export * from './log.ts'
export * from './metrics.ts'
export * from './reduce_instance.ts'
export * from './report_gauges.ts'
export * from './run_instance.ts'
export * from './start_stand_ins.ts'
