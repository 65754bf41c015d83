import { findProblems, type ConfigurationDocument } from '@berylshed/configuration'
import { startEngineStandIn, startServiceStandIn, startStoreStandIn, startWeightStoreStandIn, type EngineStandIn, type ServiceStandIn, type StoreStandIn } from '@berylshed/standins'
import { CONFIGURATION_KEY } from './run_instance.ts'

/** Running stand-ins for the store, engines and services of a deployment. */
export interface StandIns {
  readonly store: StoreStandIn
  readonly engines: ReadonlyMap<string, EngineStandIn>
  readonly services: ReadonlyMap<string, ServiceStandIn>
  /** The configuration with the addresses and load times of the stand-ins. */
  readonly document: ConfigurationDocument
  /** Stops all stand-ins. */
  close (): Promise<void>
}

/** Options for `startStandIns`. */
export interface StandInOptions {
  /** Port of the store; any free port if omitted. */
  readonly storePort?: number
  /** Whether upstreams listen on free ports instead of the configured ones. */
  readonly anyPort?: boolean
  /** Divisor of every load time, for demonstrations and tests. */
  readonly speedUp?: number
  /** Time per generated token in ms. */
  readonly tokenMs?: number
}

/**
 * Starts stand-ins for the store and the upstreams of a deployment and writes the configuration to the store.
 *
 * @param document The configuration.
 * @param options Ports and durations.
 * @returns The running stand-ins.
 *
 * @throws {RangeError} If the configuration has findings.
 *
 * @example
 * ```ts
 * const standIns = await startStandIns(document, { anyPort: true })
 * await standIns.close()
 * ```
 */
export async function startStandIns (document: ConfigurationDocument, options: StandInOptions = {}): Promise<StandIns> {
  const problems = findProblems(document, CONFIGURATION_KEY)
  if (problems.length > 0) throw new RangeError(`Cannot start stand-ins: ${problems[0]?.path ?? ''}: ${problems[0]?.message ?? ''}`)
  const store = await startStoreStandIn(options.storePort ?? 0)
  const weights = startWeightStoreStandIn({
    loadsInFlight: document.weight_store.loads_in_flight,
    adapterLoadsInFlight: document.weight_store.adapter_loads_in_flight
  })
  const models = document.models.map((model) => ({
    name: model.name, adapter: model.base !== undefined, loadMs: model.load_ms / (options.speedUp ?? 1)
  }))
  const engines = new Map<string, EngineStandIn>()
  const services = new Map<string, ServiceStandIn>()
  for (const upstream of document.upstreams) {
    const port = options.anyPort === true ? 0 : Number(upstream.address.split(':')[1])
    if (upstream.kind === 'service') {
      services.set(upstream.name, await startServiceStandIn(port))
      continue
    }
    engines.set(upstream.name, await startEngineStandIn({
      port,
      memoryMb: (upstream.memory_mb ?? 0) - (upstream.kv_floor_mb ?? 0),
      checksFence: upstream.checks_fence ?? false,
      logsOrders: upstream.logs_orders ?? false,
      models,
      weights,
      ...options.tokenMs === undefined ? {} : { tokenMs: options.tokenMs }
    }))
  }
  const boundDocument: ConfigurationDocument = {
    ...document,
    models: document.models.map((model) => ({ ...model, load_ms: Math.max(1, Math.round(model.load_ms / (options.speedUp ?? 1))) })),
    upstreams: document.upstreams.map((upstream) => ({
      ...upstream, address: (engines.get(upstream.name) ?? services.get(upstream.name))?.address ?? upstream.address
    }))
  }
  store.put(CONFIGURATION_KEY, JSON.stringify(boundDocument))

  async function close (): Promise<void> {
    weights.close()
    await Promise.all([...engines.values(), ...services.values(), store].map((standIn) => standIn.close()))
  }

  return { store, engines, services, document: boundDocument, close }
}
