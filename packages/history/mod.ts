/**
 * Fakes, fault schedules and checkers of histories.
 *
 * @module
 */
export * from './fake_engine.ts'
export * from './fake_store.ts'
export * from './fault.ts'
export * from './fault_schedule.ts'
export * from './placement_history.ts'
export * from './placement_world.ts'
export * from './planted_faults.ts'
export * from './planted_request_faults.ts'
export * from './request_history.ts'
export * from './request_world.ts'
