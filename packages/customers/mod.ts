/**
 * Identity of customers: keys, ranks and checks.
 *
 * @module
 */
export {}
