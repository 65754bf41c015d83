/** A customer as configured, with the fields that are checked; absent fields are not checked. */
export interface ConfiguredCustomer {
  readonly name: string
  readonly keyDigests: readonly string[]
  /** Unit of the quota as written. */
  readonly unit?: string
  readonly perS?: number
  readonly burst?: number
  /** Units that the smallest request counts. */
  readonly requestUnits?: number
}

/** A problem of one customer. */
export interface CustomerProblem {
  /** Position of the customer in the list. */
  readonly index: number
  readonly field: keyof ConfiguredCustomer
  readonly message: string
}

/**
 * Checks customers for problems that a schema cannot express: names and keys that are taken, unknown units, negative rates and bursts
 * that admit no request.
 *
 * @param customers The customers.
 * @param options The units that a quota may name.
 * @returns All problems; those of names come first, then those of keys, then those of quotas. No message contains a key or a digest.
 *
 * @example
 * ```ts
 * for (const { index, message } of findCustomerProblems(customers, { units: ['token_based'] })) console.log(index, message)
 * ```
 */
export function findCustomerProblems (customers: readonly ConfiguredCustomer[], options: { readonly units?: readonly string[] } = {}): readonly CustomerProblem[] {
  return [..._findTakenNames(customers), ..._findTakenKeys(customers), ...customers.flatMap((customer, index) => _checkQuota(customer, options.units ?? []).map((problem) => ({ index, ...problem })))]
}

function _findTakenNames (customers: readonly ConfiguredCustomer[]): readonly CustomerProblem[] {
  const names = customers.map(({ name }) => name)
  return names.flatMap((name, index) => names.indexOf(name) === index ? [] : [{ index, field: 'name' as const, message: `Name ${name} is taken; choose another` }])
}

function _findTakenKeys (customers: readonly ConfiguredCustomer[]): readonly CustomerProblem[] {
  const holders = new Map<string, number>()
  return customers.flatMap(({ keyDigests }, index) => keyDigests.flatMap((digest) => {
    const holder = holders.get(digest)
    holders.set(digest, holder ?? index)
    if (holder === undefined) return []
    const message = holder === index ? 'A key is listed twice; remove one' : 'Another customer has the same key; give each its own'
    return [{ index, field: 'keyDigests' as const, message }]
  }))
}

function _checkQuota ({ unit, perS, burst, requestUnits = 1 }: ConfiguredCustomer, units: readonly string[]): ReadonlyArray<Omit<CustomerProblem, 'index'>> {
  const problems: Array<Omit<CustomerProblem, 'index'>> = []
  if (unit !== undefined && !units.includes(unit)) problems.push({ field: 'unit', message: `Unknown unit ${JSON.stringify(unit)}; use ${units.join(' or ')}` })
  if (perS !== undefined && perS < 0) problems.push({ field: 'perS', message: `Rate ${perS} is negative; use 0 for no limit` })
  if (burst !== undefined && perS !== undefined && perS > 0 && burst < requestUnits) problems.push({ field: 'burst', message: `Burst ${burst} is below one request, which counts ${requestUnits}; raise it` })
  return problems
}
