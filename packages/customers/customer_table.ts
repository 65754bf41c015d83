import type { Customer } from '@berylshed/fleet'

/** Customers by the digest of their keys; undefined for a key that several customers hold, which identifies none of them. */
export type CustomerTable = ReadonlyMap<string, Customer | undefined>

/**
 * Builds the table that finds customers by their keys.
 *
 * @param customers The customers of a configuration.
 * @returns The table.
 *
 * @example
 * ```ts
 * const table = buildCustomerTable(configuration.customers ?? new Map())
 * ```
 */
export function buildCustomerTable (customers: ReadonlyMap<string, Customer>): CustomerTable {
  const table = new Map<string, Customer | undefined>()
  for (const customer of customers.values()) {
    for (const digest of new Set(customer.keyDigests)) table.set(digest, table.has(digest) ? undefined : customer)
  }
  return table
}
