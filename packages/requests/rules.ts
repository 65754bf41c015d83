import type { BucketLimit } from './token_bucket.ts'

/** Limits and weights of one customer, as its template resolves. */
export interface CustomerRules {
  readonly name: string
  readonly requests: BucketLimit
  readonly tokens: BucketLimit
  readonly concurrency: number
  /** Share of a contended upstream relative to other customers of the same priority. */
  readonly weight: number
}

/** An upstream as routing sees it. */
export interface UpstreamRules {
  readonly name: string
  /** One-way distance from this instance, in ms. */
  readonly distanceMs: number
  /** Requests that run at once at full speed. */
  readonly slots: number
}

/** A plain service and the upstreams that offer it. */
export interface ServiceRules {
  readonly name: string
  readonly upstreams: readonly string[]
}

/** What the requests reducer knows of the configuration. */
export interface Rules {
  readonly customers: ReadonlyMap<string, CustomerRules>
  readonly upstreams: ReadonlyMap<string, UpstreamRules>
  readonly services: ReadonlyMap<string, ServiceRules>
  readonly models: ReadonlySet<string>
  /** Most requests that wait for one model or service on this instance. */
  readonly maxWaiting: number
  readonly maxAttempts: number
  /** Upstreams that one request may cost before it is refused. */
  readonly maxCrashes: number
}
