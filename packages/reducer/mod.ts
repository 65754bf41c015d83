/**
 * The shape that every reducer of this workspace shares.
 *
 * @module
 */
export * from './step.ts'
