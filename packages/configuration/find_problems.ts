import { findCustomerProblems } from '@berylshed/customers'
import type { Finding } from '@berylshed/settings'
import type { ConfigurationDocument } from './configuration_document.ts'
import { resolveCustomer } from './resolve_customer.ts'

/**
 * Checks a configuration for problems that a schema cannot express: dangling references, duplicates, customers that
 * cannot be resolved, and models that are too large for every upstream.
 *
 * @param document The configuration to check.
 * @param source The name of the configuration, used in findings.
 * @returns All findings with their paths; empty if the configuration is valid.
 *
 * @example
 * ```ts
 * for (const finding of findProblems(document, 'configuration')) console.log(finding.message)
 * ```
 */
export function findProblems (document: ConfigurationDocument, source: string): readonly Finding[] {
  const toFinding = (path: string, message: string): Finding => ({ source, line: undefined, path, message })
  return [
    ..._findDuplicates(document).map(({ path, message }) => toFinding(path, message)),
    ..._checkModels(document).map(({ path, message }) => toFinding(path, message)),
    ..._checkServices(document).map(({ path, message }) => toFinding(path, message)),
    ..._checkCustomers(document).map(({ path, message }) => toFinding(path, message))
  ]
}

interface _Problem {
  readonly path: string
  readonly message: string
}

function _findDuplicates (document: ConfigurationDocument): readonly _Problem[] {
  const lists = { upstreams: document.upstreams, models: document.models, services: document.services, templates: document.templates }
  const names = Object.entries(lists).flatMap(([list, entries]) => _repeatedValues(entries.map((entry) => entry.name))
    .map(({ index, value }) => ({ path: `${list}.${index}.name`, message: `Name ${value} is taken; choose another` })))
  const customers = findCustomerProblems(document.customers.map(({ name, key_sha256: keyDigests }) => ({ name, keyDigests })))
    .map(({ index, field, message }) => ({ path: `customers.${index}.${field === 'keyDigests' ? 'key_sha256' : field}`, message }))
  return [...names, ...customers]
}

interface _RepeatedValue {
  readonly index: number
  readonly value: string
}

function _repeatedValues (values: readonly string[]): readonly _RepeatedValue[] {
  return values.map((value, index) => ({ value, index })).filter(({ value, index }) => values.indexOf(value) !== index)
}

function _checkModels (document: ConfigurationDocument): readonly _Problem[] {
  const engines = document.upstreams.filter((upstream) => upstream.kind === 'engine')
  const largestMb = Math.max(0, ...engines.map((engine) => (engine.memory_mb ?? 0) - (engine.kv_floor_mb ?? 0)))
  return document.models.flatMap((model, index) => {
    const base = document.models.find((other) => other.name === model.base)
    const requiredMb = model.memory_mb + (base?.memory_mb ?? 0)
    const problems: _Problem[] = []
    if (requiredMb > largestMb) {
      problems.push({ path: `models.${index}.memory_mb`, message: `No upstream can hold ${requiredMb} MB; the largest has ${largestMb} MB` })
    }
    if (model.base !== undefined && base === undefined) {
      problems.push({ path: `models.${index}.base`, message: `There is no model ${model.base}; add it first` })
    }
    if (base?.base !== undefined) {
      problems.push({ path: `models.${index}.base`, message: `Model ${base.name} is an adapter; name its base ${base.base}` })
    }
    return problems
  })
}

function _checkServices (document: ConfigurationDocument): readonly _Problem[] {
  return document.services.flatMap((service, index) => service.upstreams
    .filter((name) => !document.upstreams.some((upstream) => upstream.name === name && upstream.kind === 'service'))
    .map((name) => ({ path: `services.${index}.upstreams`, message: `There is no service upstream ${name}; add it first` })))
}

function _checkCustomers (document: ConfigurationDocument): readonly _Problem[] {
  return document.customers.flatMap((customer, index) => {
    const template = document.templates.find((candidate) => candidate.name === customer.template)
    if (template === undefined) {
      return [{ path: `customers.${index}.template`, message: `There is no template ${customer.template}; add it first` }]
    }
    return resolveCustomer(customer, template).match(
      () => [],
      (problems) => problems.map(({ field, message }) => ({ path: `customers.${index}.${field}`, message })))
  })
}
