/**
 * The shape that every reducer of this workspace shares.
 *
 * @module
 */
export * from './run_loop.ts'
export * from './step.ts'
