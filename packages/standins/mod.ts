/**
 * Stand-ins for the platform's store, model engines, the weight store and plain services, with faults that can be
 * switched on while they run.
 *
 * @module
 */
export * from './engine_stand_in.ts'
export * from './service_stand_in.ts'
export * from './store_stand_in.ts'
export * from './weight_store_stand_in.ts'
