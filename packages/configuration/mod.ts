/**
 * The deployment's configuration: upstreams, models, services, templates and customers.
 *
 * @module
 */
export * from './diff_customers.ts'
export * from './configuration_document.ts'
export * from './find_problems.ts'
export * from './resolve_customer.ts'
