/**
 * Replay of recorded traces through the reducer that serves, in virtual time.
 *
 * @module
 */
export * from './clairvoyant_policy.ts'
export * from './day_figures.ts'
export * from './draw_day.ts'
export * from './example_days.ts'
export * from './generate_trace.ts'
export * from './policies.ts'
export * from './recorded_request.ts'
export * from './replay_day.ts'
export * from './replay_figures.ts'
export * from './replay_trace.ts'
export * from './trace.ts'
export * from './virtual_clock.ts'
