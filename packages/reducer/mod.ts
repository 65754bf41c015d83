/**
 * The result type of a reducer, and an event loop that runs reducers and their effects.
 *
 * @module
 */
export * from './event_loop.ts'
export * from './step.ts'
