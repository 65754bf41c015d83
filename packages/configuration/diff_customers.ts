import type { ConfigurationDocument } from './configuration_document.ts'
import { resolveCustomer, type ResolvedCustomer } from './resolve_customer.ts'

/** Resolved settings of one customer before and after a configuration change. */
export interface CustomerChange {
  readonly name: string
  /** Undefined if the customer is new or could not be resolved. */
  readonly before: ResolvedCustomer | undefined
  /** Undefined if the customer is removed or cannot be resolved. */
  readonly after: ResolvedCustomer | undefined
}

/**
 * Lists the customers whose resolved settings differ between two configurations.
 *
 * @param before The current configuration.
 * @param after The changed configuration.
 * @returns The changed customers with their settings before and after, sorted by name.
 *
 * @example
 * ```ts
 * for (const change of diffCustomers(before, after)) console.log(change.name)
 * ```
 */
export function diffCustomers (before: ConfigurationDocument, after: ConfigurationDocument): readonly CustomerChange[] {
  const resolvedBefore = _resolveAll(before)
  const resolvedAfter = _resolveAll(after)
  return [...new Set([...resolvedBefore.keys(), ...resolvedAfter.keys()])]
    .map((name) => ({ name, before: resolvedBefore.get(name), after: resolvedAfter.get(name) }))
    .filter((change) => JSON.stringify(change.before) !== JSON.stringify(change.after))
    .sort((a, b) => a.name < b.name ? -1 : 1)
}

function _resolveAll (document: ConfigurationDocument): ReadonlyMap<string, ResolvedCustomer> {
  const resolved = document.customers.flatMap((customer) => {
    const template = document.templates.find((candidate) => candidate.name === customer.template)
    return template === undefined ? [] : resolveCustomer(customer, template).match((value) => [value], () => [])
  })
  return new Map(resolved.map((customer) => [customer.name, customer]))
}
