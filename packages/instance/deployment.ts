import type { Catalog, ModelEntry, UpstreamEntry } from '@berylshed/placement'
import type { Rules } from '@berylshed/requests'
import { resolveCustomer, type ConfigurationDocument, type ResolvedCustomer } from '@berylshed/configuration'
import type { Settings } from '@berylshed/settings'

/** Route of a service that serves no models. */
export interface Route {
  readonly path: string
  /** Whether a call may run more than once. */
  readonly idempotent: boolean
}

/** Configuration with the lookup tables that an instance derives from it. */
export interface Deployment {
  /** Version of the configuration in the store. */
  readonly version: number
  readonly document: ConfigurationDocument
  readonly catalog: Catalog
  /** Customers by name. */
  readonly customers: ReadonlyMap<string, ResolvedCustomer>
  /** Customer name by the SHA-256 digest of an API key. */
  readonly customerByKey: ReadonlyMap<string, string>
  /** Routes by service name. */
  readonly routes: ReadonlyMap<string, readonly Route[]>
  /** Host and port by upstream name. */
  readonly addresses: ReadonlyMap<string, string>
}

/**
 * Builds the lookup tables of a configuration.
 *
 * @param document A valid configuration.
 * @param version The version of the configuration in the store.
 * @returns The deployment.
 *
 * @example
 * ```ts
 * const deployment = buildDeployment(document, 7)
 * console.log(deployment.catalog.models.size)
 * ```
 */
export function buildDeployment (document: ConfigurationDocument, version: number): Deployment {
  const customers = _resolveCustomers(document)
  const keys = document.customers.flatMap((customer) => customer.key_sha256.map((key) => [key, customer.name] as const))
  return {
    version,
    document,
    catalog: _buildCatalog(document, version, customers),
    customers,
    customerByKey: new Map(keys),
    routes: new Map(document.services.map((service) => [service.name, service.routes])),
    addresses: new Map(document.upstreams.map((upstream) => [upstream.name, upstream.address]))
  }
}

function _resolveCustomers (document: ConfigurationDocument): ReadonlyMap<string, ResolvedCustomer> {
  const resolved = document.customers.flatMap((customer) => {
    const template = document.templates.find((candidate) => candidate.name === customer.template)
    if (template === undefined) return []
    return resolveCustomer(customer, template).match((value) => [value], () => [])
  })
  return new Map(resolved.map((customer) => [customer.name, customer]))
}

function _buildCatalog (document: ConfigurationDocument, version: number, customers: ReadonlyMap<string, ResolvedCustomer>): Catalog {
  const engines = document.upstreams.filter((upstream) => upstream.kind === 'engine').map((upstream): UpstreamEntry => ({
    name: upstream.name,
    address: upstream.address,
    availabilityZone: upstream.availability_zone,
    accelerators: upstream.accelerators ?? 1,
    memoryMb: (upstream.memory_mb ?? 0) - (upstream.kv_floor_mb ?? 0),
    checksFence: upstream.checks_fence ?? false,
    logsOrders: upstream.logs_orders ?? false
  }))
  const models = document.models.map((model): ModelEntry => ({
    name: model.name,
    memoryMb: model.memory_mb,
    maxReplicas: model.max_replicas,
    loadMs: model.load_ms,
    coldStartWeight: _coldStartWeight(model.name, customers),
    ...model.base === undefined ? {} : { base: model.base }
  }))
  return {
    version,
    models: new Map(models.map((model) => [model.name, model])),
    upstreams: new Map(engines.map((engine) => [engine.name, engine])),
    weightStoreLimits: {
      startsPerSecond: document.weight_store.starts_per_second,
      loadsInFlight: document.weight_store.loads_in_flight,
      adapterLoadsInFlight: document.weight_store.adapter_loads_in_flight
    }
  }
}

function _coldStartWeight (model: string, customers: ReadonlyMap<string, ResolvedCustomer>): number {
  const weights = [...customers.values()].filter((customer) => isNameAllowed(customer.models, model)).map((customer) => customer.coldStartWeight)
  return Math.max(1, ...weights)
}

/**
 * Reports whether a list contains a name or an asterisk, which allows every name.
 *
 * @param allowed The allowed names.
 * @param name The name to look up.
 * @returns True if the name is allowed.
 *
 * @example
 * ```ts
 * console.log(isNameAllowed(['*'], 'toast-7b')) // true
 * ```
 */
export function isNameAllowed (allowed: readonly string[], name: string): boolean {
  return allowed.includes('*') || allowed.includes(name)
}

/**
 * Builds the rules for the admission and routing of requests.
 *
 * @param deployment The configuration in force.
 * @param settings The settings of the instance; its availability zone determines the distances to upstreams.
 * @returns The rules.
 *
 * @example
 * ```ts
 * const rules = buildRules(deployment, settings)
 * ```
 */
export function buildRules (deployment: Deployment, settings: Settings): Rules {
  const { document } = deployment
  const zone = settings.instance.availability_zone
  return {
    customers: new Map([...deployment.customers.values()].map((customer) => [customer.name, {
      name: customer.name,
      requests: { perSecond: customer.requestsPerSecond, burst: customer.requestBurst },
      tokens: { perSecond: customer.tokensPerSecond, burst: customer.tokenBurst },
      concurrency: customer.concurrency,
      weight: customer.weight
    }])),
    upstreams: new Map(document.upstreams.map((upstream) => [upstream.name, {
      name: upstream.name,
      distanceMs: upstream.availability_zone === zone ? 0 : document.zones.distance_ms,
      slots: upstream.slots
    }])),
    services: new Map(document.services.map((service) => [service.name, service])),
    models: new Set(document.models.map((model) => model.name)),
    maxWaiting: settings.requests.max_waiting,
    maxAttempts: settings.requests.max_attempts,
    maxCrashes: settings.requests.max_crashes
  }
}
