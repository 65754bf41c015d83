/** Configuration of a model or an adapter. */
export interface ModelEntry {
  readonly name: string
  /** Accelerator memory of one replica, in MB. */
  readonly memoryMb: number
  /** Maximum number of replicas that may be recorded at a time. */
  readonly maxReplicas: number
  /** Name of the base model; set only for an adapter. */
  readonly base?: string
  /** Expected duration of a load from the weight store at full speed, in ms. */
  readonly loadMs: number
  /** Cost of one second of waiting for a cold start, relative to one second of an idle accelerator. */
  readonly coldStartWeight: number
}

/** Configuration of an upstream. */
export interface UpstreamEntry {
  readonly name: string
  readonly address: string
  readonly availabilityZone: string
  readonly accelerators: number
  /** Accelerator memory available to models and adapters, without the minimum reserved for the KV cache, in MB. */
  readonly memoryMb: number
  /** Whether the engine rejects orders with an outdated fencing token. */
  readonly checksFence: boolean
  /** Whether the engine reports the IDs of executed orders and executes each ID at most once. */
  readonly logsOrders: boolean
}

/** Load limits of the weight store. */
export interface WeightStoreLimits {
  readonly startsPerSecond: number
  /** Maximum number of concurrent model loads at full speed. */
  readonly loadsInFlight: number
  /** Maximum number of concurrent adapter loads at full speed. */
  readonly adapterLoadsInFlight: number
}

/** The part of the configuration that placement uses. */
export interface Catalog {
  readonly version: number
  readonly models: ReadonlyMap<string, ModelEntry>
  readonly upstreams: ReadonlyMap<string, UpstreamEntry>
  readonly weightStoreLimits: WeightStoreLimits
}
