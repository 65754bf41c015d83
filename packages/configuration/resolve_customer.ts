import { err, ok, type Result } from 'neverthrow'
import type { Customer, Template } from './configuration_document.ts'

/** Customer settings after its template is applied. */
export interface ResolvedCustomer {
  readonly name: string
  readonly models: readonly string[]
  readonly services: readonly string[]
  readonly priority: number
  readonly deadlineMs: number
  readonly requestsPerSecond: number
  readonly requestBurst: number
  readonly tokensPerSecond: number
  readonly tokenBurst: number
  readonly concurrency: number
  readonly weight: number
  readonly coldStartWeight: number
}

/** Invalid parameter or template field of a customer. */
export interface ResolutionProblem {
  readonly field: string
  readonly message: string
}

type _FieldValue = number | readonly string[]

/**
 * Resolves a customer's settings from its template and parameters.
 *
 * @param customer The customer to resolve.
 * @param template The template that the customer names.
 * @returns The resolved customer, or all problems found.
 *
 * @example
 * ```ts
 * const resolved = resolveCustomer(customer, template)
 * if (resolved.isOk()) console.log(resolved.value.deadlineMs)
 * ```
 */
export function resolveCustomer (
  customer: Customer,
  template: Template
): Result<ResolvedCustomer, readonly ResolutionProblem[]> {
  const problems: ResolutionProblem[] = [..._findUnknownParameters(customer, template)]
  const numberField = (field: keyof Template['fields']): number => {
    const value = _resolveField(customer, template, template.fields[field])
    if (typeof value === 'number') return value
    problems.push({ field, message: _describeMismatch(template.fields[field], 'a number') })
    return 0
  }
  const stringsField = (field: keyof Template['fields']): readonly string[] => {
    const value = _resolveField(customer, template, template.fields[field])
    if (Array.isArray(value)) return value
    problems.push({ field, message: _describeMismatch(template.fields[field], 'a list of names') })
    return []
  }
  const resolved: ResolvedCustomer = {
    name: customer.name,
    models: stringsField('models'),
    services: stringsField('services'),
    priority: numberField('priority'),
    deadlineMs: numberField('deadline_ms'),
    requestsPerSecond: numberField('requests_per_second'),
    requestBurst: numberField('request_burst'),
    tokensPerSecond: numberField('tokens_per_second'),
    tokenBurst: numberField('token_burst'),
    concurrency: numberField('concurrency'),
    weight: numberField('weight'),
    coldStartWeight: numberField('cold_start_weight')
  }
  return problems.length === 0 ? ok(resolved) : err(problems)
}

function _resolveField (customer: Customer, template: Template, field: number | string | readonly string[]): _FieldValue | undefined {
  if (typeof field !== 'string') return field
  const name = field.slice(1)
  return customer.parameters[name] ?? template.parameters[name]?.default
}

function _describeMismatch (field: number | string | readonly string[], expected: string): string {
  if (typeof field !== 'string') return `Expected ${expected}`
  return `Parameter ${field.slice(1)} is missing or not ${expected}; set it or give it a default`
}

function _findUnknownParameters (customer: Customer, template: Template): readonly ResolutionProblem[] {
  return Object.keys(customer.parameters)
    .filter((name) => template.parameters[name] === undefined)
    .map((name) => ({ field: name, message: `Template ${template.name} has no parameter ${name}; remove it` }))
}
