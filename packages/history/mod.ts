/**
 * Simulations of placement and request serving under injected faults, with checkers of their invariants.
 *
 * @module
 */
export * from './fake_engine.ts'
export * from './fake_store.ts'
export * from './fault.ts'
export * from './fault_schedule.ts'
export * from './placement_history.ts'
export * from './placement_simulation.ts'
export * from './placement_mutants.ts'
export * from './request_mutants.ts'
export * from './request_history.ts'
export * from './request_simulation.ts'
