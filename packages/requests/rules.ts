import type { BucketLimit } from '@berylshed/limits'

/** Limits and weight of one customer, resolved from its template. */
export interface CustomerRules {
  readonly name: string
  /** Limit on requests, over all instances. */
  readonly requests: BucketLimit
  /** Limit on response tokens, over all instances. */
  readonly tokens: BucketLimit
  /** Maximum number of requests without an outcome, over all instances. */
  readonly concurrency: number
  /** Weight of the customer in fair queueing among requests of the same priority. */
  readonly weight: number
}

/** Routing properties of an upstream. */
export interface UpstreamRules {
  readonly name: string
  /** One-way distance from this instance, in ms. */
  readonly distanceMs: number
  /** Number of requests that run at the same time at full speed. */
  readonly slots: number
}

/** A service other than a model, with the upstreams that offer it. */
export interface ServiceRules {
  readonly name: string
  readonly upstreams: readonly string[]
}

/** Configuration of the requests reducer. */
export interface Rules {
  readonly customers: ReadonlyMap<string, CustomerRules>
  readonly upstreams: ReadonlyMap<string, UpstreamRules>
  readonly services: ReadonlyMap<string, ServiceRules>
  /** Names of the models that requests may address. */
  readonly models: ReadonlySet<string>
  /** Maximum number of requests that wait for one model or service on this instance. */
  readonly maxWaiting: number
  /** Maximum number of attempts of one request. */
  readonly maxAttempts: number
  /** Number of upstreams that one request may break before it is refused. */
  readonly maxCrashes: number
}
