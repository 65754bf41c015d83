/** What may be repeated of a request. */
export type Repetition = 'streaming' | 'idempotent' | 'non_idempotent'

/** A service among those that a route's requests are spread over. */
export interface WeightedService {
  readonly service: string
  /** Share of the requests relative to the other services of the route. */
  readonly weight: number
}

/** Where requests of one host and path prefix go, and how they are treated. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Beginning of the path, with a slash at both ends. */
  readonly pathPrefix: string
  readonly repetition: Repetition
  /** Longest time without a final answer, in ms. */
  readonly timeoutMs: number
  /** Latency objective up to the answer or a stream's first event, in ms. */
  readonly objectiveMs: number
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number
  /** Most upstreams that may run one request. */
  readonly maxAttempts: number
  /** Whether a broken stream may go on at another upstream. */
  readonly resumable: boolean
  readonly services: readonly WeightedService[]
}

/** A model that the engines of a service can load. */
export interface Model {
  readonly name: string
  /** Accelerator memory that the weights take, in MB. */
  readonly memoryMb: number
  /** Duration of a load from the weight store at full speed, in ms. */
  readonly storeLoadMs: number
  /** Duration of a load from an upstream's own disk, in ms. */
  readonly diskLoadMs: number
  /** Duration of a load from an upstream's own memory, in ms. */
  readonly memoryLoadMs: number
  /** Accelerator memory that one adapter takes, in MB. */
  readonly adapterMb: number
}

/** What the engines of a service have in common. */
export interface Engine {
  /** Requests that run at once. */
  readonly slots: number
  /** Accelerator memory for weights and adapters, in MB. */
  readonly memoryMb: number
  /** Adapters that one engine may hold. */
  readonly adapterPlaces: number
  /** Loads that the weight store starts per second, over all engines. */
  readonly loadsPerSecond: number
  readonly models: ReadonlyMap<string, Model>
}

/** A group of upstreams that offer the same. */
export interface Service {
  readonly name: string
  /** Traits of the model engines; undefined for a plain service. */
  readonly engine: Engine | undefined
}

/** What callers may send, and for how long they may idle. */
export interface CallerLimits {
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  /** Time for which a caller may reuse an idle connection, in ms. */
  readonly idleTimeoutMs: number
}

/** One version of a deployment's configuration. */
export interface Configuration {
  /** Grows with each change. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  readonly limits: CallerLimits
}
