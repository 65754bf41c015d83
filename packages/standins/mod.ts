/**
 * Stand-ins for the platform's store, the model engines, the weight store and plain services.
 *
 * @module
 */
export * from './engine_stand_in.ts'
export * from './service_stand_in.ts'
export * from './store_stand_in.ts'
export * from './weight_store_stand_in.ts'
