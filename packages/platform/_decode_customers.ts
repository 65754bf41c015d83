import { findCustomerProblems, keyDigest, type ConfiguredCustomer, type CustomerProblem } from '@berylshed/customers'
import type { Customer, Quota } from '@berylshed/fleet'
import { checkDocument, type Finding } from '@berylshed/settings'
import { Schema } from 'effect'

// The platform may write null where it has no value.
const OptionalNumber = Schema.optionalKey(Schema.NullOr(Schema.Number))

const WireTenant = Schema.Struct({
  // Sent to upstreams in a header.
  Name: Schema.String.check(Schema.isPattern(/^[!-~]+(?: +[!-~]+)*$/)),
  // Checked one by one, as the messages of a schema quote what they reject.
  ApiKeys: Schema.optionalKey(Schema.NullOr(Schema.Array(Schema.Unknown))),
  // Rank; 0 is the highest priority.
  Priority: Schema.optionalKey(Schema.NullOr(Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)))),
  Unit: Schema.optionalKey(Schema.NullOr(Schema.String)),
  // Tokens of a request without `Token-Count`.
  PlainTokens: OptionalNumber,
  RatePerS: OptionalNumber,
  Burst: OptionalNumber
})

type _Tenant = typeof WireTenant.Type

const TOKEN_UNIT = 'token_based'
/** Units that are no finding; all but the first count requests. */
const KNOWN_UNITS = [TOKEN_UNIT, 'request_based']
/** Default tokens of a request that states none; one counts every request, 0 would leave them unlimited. */
const DEFAULT_PLAIN_TOKENS = 1
const WIRE_FIELDS: Readonly<Record<CustomerProblem['field'], string>> = { name: 'Name', keyDigests: 'ApiKeys', unit: 'Unit', perS: 'RatePerS', burst: 'Burst', requestUnits: 'PlainTokens' }

/** Customers of a configuration, and what is wrong with them. */
export interface DecodedCustomers {
  /** Undefined if the deployment has no customers. */
  readonly customers: ReadonlyMap<string, Customer> | undefined
  /** Findings, which name no key. */
  readonly findings: readonly Finding[]
}

/**
 * Decodes the customers of the operator's configuration; keys are kept as digests only.
 *
 * Fields that cannot be read are left out, and customers without a readable name entirely. If the whole list cannot be read, the deployment
 * has customers, but no key is known.
 */
export function decodeCustomers (value: unknown, source: string): DecodedCustomers {
  if (value === undefined || value === null) return { customers: undefined, findings: [] }
  const finding = (path: string, message: string): Finding => ({ source, line: undefined, path: path === '' ? 'Tenants' : `Tenants.${path}`, message })
  if (!Array.isArray(value)) return { customers: new Map(), findings: [finding('', 'Expected a list of customers; no key is known')] }
  if (value.length === 0) return { customers: undefined, findings: [] }
  const findings: Finding[] = []
  const report = (path: string, message: string): void => { findings.push(finding(path, message)) }
  const entries = value.flatMap((entry: unknown, index) => {
    const tenant = _readTenant(entry, (path, message) => report(`${index}${path === '' ? '' : `.${path}`}`, message))
    return tenant === undefined ? [] : [{ index, tenant, keyDigests: _readKeys(tenant, (message) => report(`${index}.ApiKeys`, message)) }]
  })
  const problems = findCustomerProblems(entries.map(_toConfigured), { units: KNOWN_UNITS })
  for (const { index, field, message } of problems) report(`${entries[index]?.index ?? 0}.${WIRE_FIELDS[field]}`, message)
  const customers = new Map<string, Customer>()
  for (const { tenant, keyDigests } of entries) {
    // The keys of two customers of one name would be charged to one quota.
    if (!customers.has(tenant.Name)) customers.set(tenant.Name, _toCustomer(tenant, keyDigests))
  }
  return { customers, findings }
}

function _readTenant (entry: unknown, report: (path: string, message: string) => void): _Tenant | undefined {
  if (typeof entry !== 'object' || entry === null || Array.isArray(entry)) {
    report('', 'Expected a customer; it is left out')
    return undefined
  }
  const options = { source: '', unknownKeys: 'ignored' } as const
  const read = checkDocument(entry, WireTenant, options)
  if (read.isOk()) return read.value
  const unreadable = new Set(read.error.map(({ path }) => path.split('.')[0] ?? ''))
  for (const field of unreadable) report(field, field === 'Name' ? 'Expected a name of printable characters; the customer is left out' : 'Expected another type or range; the field is left out')
  const readable = Object.fromEntries(Object.entries(entry).filter(([field]) => !unreadable.has(field)))
  return checkDocument(readable, WireTenant, options).unwrapOr(undefined)
}

function _readKeys ({ ApiKeys: keys }: _Tenant, report: (message: string) => void): readonly string[] {
  return (keys ?? []).flatMap((key, i) => {
    if (typeof key === 'string' && key !== '') return [keyDigest(key)]
    report(`Expected key ${i} to be a text that is not empty; it is left out`)
    return []
  })
}

interface _Entry {
  readonly tenant: _Tenant
  readonly keyDigests: readonly string[]
}

function _toConfigured ({ tenant, keyDigests }: _Entry): ConfiguredCustomer {
  const { Unit: unit, RatePerS: perS, Burst: burst } = tenant
  return {
    name: tenant.Name,
    keyDigests,
    ...typeof unit === 'string' && unit !== '' ? { unit } : {},
    ...typeof perS === 'number' ? { perS } : {},
    ...typeof burst === 'number' && burst !== 0 ? { burst } : {},
    requestUnits: unit === TOKEN_UNIT ? _plainTokens(tenant) : 1
  }
}

function _toCustomer (tenant: _Tenant, keyDigests: readonly string[]): Customer {
  const quota = _toQuota(tenant)
  return {
    name: tenant.Name,
    keyDigests,
    ...typeof tenant.Priority === 'number' ? { rank: tenant.Priority } : {},
    ...quota === undefined ? {} : { quota }
  }
}

function _toQuota (tenant: _Tenant): Quota | undefined {
  const perS = tenant.RatePerS ?? 0
  if (perS <= 0) return undefined
  const unit = tenant.Unit === TOKEN_UNIT ? 'tokens' : 'requests'
  const plainTokens = _plainTokens(tenant)
  const stated = tenant.Burst ?? 0
  // Without a burst, one second of the rate may be used at once, but at least one request, as otherwise none would ever be admitted.
  const burst = stated === 0 ? Math.max(perS, unit === 'tokens' ? plainTokens : 1) : Math.max(0, stated)
  return { unit, perS, burst, plainTokens }
}

function _plainTokens ({ PlainTokens: tokens }: _Tenant): number {
  return typeof tokens === 'number' && tokens > 0 ? tokens : DEFAULT_PLAIN_TOKENS
}
