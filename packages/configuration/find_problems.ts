import type { Finding } from '@berylshed/settings'
import type { Document } from './document.ts'
import { resolveCustomer } from './resolve_customer.ts'

/**
 * Checks what a schema can't: references, sums and uniqueness.
 *
 * @param document The configuration.
 * @param source Its name, for findings.
 * @returns Every finding with its place; empty where the configuration is sound.
 *
 * @example
 * ```ts
 * for (const finding of findProblems(document, 'configuration')) console.log(finding.message)
 * ```
 */
export function findProblems (document: Document, source: string): readonly Finding[] {
  const at = (path: string, message: string): Finding => ({ source, line: undefined, path, message })
  return [
    ..._duplicates(document).map(({ path, message }) => at(path, message)),
    ..._models(document).map(({ path, message }) => at(path, message)),
    ..._services(document).map(({ path, message }) => at(path, message)),
    ..._customers(document).map(({ path, message }) => at(path, message))
  ]
}

interface _Problem {
  readonly path: string
  readonly message: string
}

function _duplicates (document: Document): readonly _Problem[] {
  const lists = { upstreams: document.upstreams, models: document.models, services: document.services, templates: document.templates, customers: document.customers }
  const names = Object.entries(lists).flatMap(([list, entries]) => _repeated(entries.map((entry) => entry.name))
    .map(({ index, value }) => ({ path: `${list}.${index}.name`, message: `Name ${value} is taken; choose another` })))
  const keys = document.customers.flatMap((customer, index) => customer.key_sha256.map((key) => ({ key, index })))
  const shared = _repeated(keys.map(({ key }) => key)).map(({ index }) => ({
    path: `customers.${keys[index]?.index ?? 0}.key_sha256`,
    message: 'Another customer has the same key; give each its own'
  }))
  return [...names, ...shared]
}

interface _Repeated {
  readonly index: number
  readonly value: string
}

function _repeated (values: readonly string[]): readonly _Repeated[] {
  return values.map((value, index) => ({ value, index })).filter(({ value, index }) => values.indexOf(value) !== index)
}

function _models (document: Document): readonly _Problem[] {
  const engines = document.upstreams.filter((upstream) => upstream.kind === 'engine')
  const largestMb = Math.max(0, ...engines.map((engine) => (engine.memory_mb ?? 0) - (engine.kv_floor_mb ?? 0)))
  return document.models.flatMap((model, index) => {
    const base = document.models.find((other) => other.name === model.base)
    const needMb = model.memory_mb + (base?.memory_mb ?? 0)
    const problems: _Problem[] = []
    if (needMb > largestMb) {
      problems.push({ path: `models.${index}.memory_mb`, message: `No upstream can hold ${needMb} MB; the largest has ${largestMb} MB` })
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

function _services (document: Document): readonly _Problem[] {
  return document.services.flatMap((service, index) => service.upstreams
    .filter((name) => !document.upstreams.some((upstream) => upstream.name === name && upstream.kind === 'service'))
    .map((name) => ({ path: `services.${index}.upstreams`, message: `There is no service upstream ${name}; add it first` })))
}

function _customers (document: Document): readonly _Problem[] {
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
