/**
 * Identity of customers: keys, ranks and checks.
 *
 * @module
 */
export * from './authenticate.ts'
export * from './customer_fields.ts'
export * from './customer_table.ts'
export * from './find_customer_problems.ts'
export * from './key_digest.ts'
