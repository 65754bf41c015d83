/** Kind of a route, which determines whether its requests can be retried. */
export type RouteKind = 'streaming' | 'idempotent' | 'non_idempotent'

/** A service that receives a weighted share of a route's requests. */
export interface WeightedService {
  readonly service: string
  /** Weight relative to the other services of the route. */
  readonly weight: number
}

/** Routing and retry rules for the requests of one host and path prefix. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Path prefix that starts and ends with a slash. */
  readonly pathPrefix: string
  readonly repetition: RouteKind
  /** Maximum time until the final response, in ms. */
  readonly timeoutMs: number
  /** Latency objective for the response, or for the first event of a stream, in ms. */
  readonly objectiveMs: number
  /** Time without an event after which callers of a stream leave, in ms; absent if the route does not stream. */
  readonly patienceMs?: number
  /** Priority rank of the route; 0 is the highest priority. */
  readonly rank: number
  /** Maximum number of upstreams that may execute one request. */
  readonly maxAttempts: number
  /** Whether an interrupted stream can be resumed on another upstream. */
  readonly resumable: boolean
  /** Whether requests go to upstreams that keep the beginning of their prompts; false by default. */
  readonly sticky?: boolean
  readonly services: readonly WeightedService[]
  /** Whether callers need no key; false by default. */
  readonly anonymous?: boolean
}

/** Rate that a customer may use on all instances together. */
export interface Quota {
  /** What is counted: requests, or the tokens of their prompts and answers. */
  readonly unit: 'requests' | 'tokens'
  /** Units per second. */
  readonly perS: number
  /** Units that may be used at once after a pause. */
  readonly burst: number
  /** Units of a request that does not state its tokens, if tokens are counted. */
  readonly plainTokens: number
}

/** A customer whose callers identify themselves with a key. */
export interface Customer {
  readonly name: string
  /** SHA-256 digests of the customer's keys, in hexadecimal. */
  readonly keyDigests: readonly string[]
  /** Priority rank, which goes before that of the route; 0 is the highest priority. */
  readonly rank?: number
  /** Absent if the customer's requests are not limited. */
  readonly quota?: Quota
}

/** A model that the engines of a service can load. */
export interface Model {
  readonly name: string
  /** Accelerator memory used by the weights, in MB. */
  readonly memoryMb: number
  /** Time to load the weights from the weight store at full speed, in ms. */
  readonly storeLoadMs: number
  /** Time to load the weights from the upstream's local disk, in ms. */
  readonly diskLoadMs: number
  /** Time to load the weights from the upstream's host memory, in ms. */
  readonly memoryLoadMs: number
  /** Accelerator memory used by one adapter, in MB. */
  readonly adapterMb: number
}

/** Capacity and models that the engines of a service have in common. */
export interface EngineSpec {
  /** Maximum number of concurrent requests per engine. */
  readonly slots: number
  /** Accelerator memory available for weights and adapters, in MB. */
  readonly memoryMb: number
  /** Number of adapter slots per engine. */
  readonly adapterPlaces: number
  /** Maximum number of loads that the weight store starts per second, across all engines. */
  readonly loadsPerSecond: number
  /** Tokens that the prompt cache and the running requests of an engine have together; absent if the configuration does not tell. */
  readonly kvCapacity?: number
  readonly models: ReadonlyMap<string, Model>
}

/** A group of interchangeable upstreams. */
export interface Service {
  readonly name: string
  /** Specification of the model engines, or undefined for a service without models. */
  readonly engine: EngineSpec | undefined
}

/** Request size limit and connection timeouts for callers. */
export interface CallerLimits {
  readonly maxBodyBytes: number
  /** Maximum time to receive the headers of a request, in ms. */
  readonly headerTimeoutMs: number
  /** Time for which a caller can reuse an idle connection, in ms. */
  readonly idleTimeoutMs: number
}

/** One version of a deployment's configuration. */
export interface Configuration {
  /** Version number, which increases with each change. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: ReadonlyMap<string, Service>
  readonly limits: CallerLimits
  /** Customers by name; absent if callers need no key. */
  readonly customers?: ReadonlyMap<string, Customer>
}
