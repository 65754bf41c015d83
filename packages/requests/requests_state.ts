import { HashMap, Option } from 'effect'
import type { Request } from './request.ts'
import type { RetryBudget } from './retry_budget.ts'
import { fullRetryBudget } from './retry_budget.ts'
import type { Rules } from './rules.ts'
import type { TokenBucket } from '@berylshed/limits'
import { INITIAL_LOAD, type UpstreamLoad } from './upstream_load.ts'

/** Usage of one customer on this instance. */
export interface CustomerLoad {
  /** Bucket of the request rate limit. */
  readonly requestBucket: TokenBucket
  /** Bucket of the limit on response tokens; may be negative, because responses are charged when they end. */
  readonly tokenBucket: TokenBucket
  /** Number of admitted requests without an outcome. */
  readonly openRequests: number
  /** Number of requests with an attempt in flight. */
  readonly runningRequests: number
}

/** State of the requests reducer of one instance. */
export interface RequestsState {
  readonly rules: Rules
  /** Number of live instances among which each customer's limits are divided. */
  readonly instanceCount: number
  /** Requests without an outcome, by id. */
  readonly requests: HashMap.HashMap<string, Request>
  /** Ids of the waiting requests per target key, in the order in which they were queued. */
  readonly waiting: HashMap.HashMap<string, readonly string[]>
  readonly customers: HashMap.HashMap<string, CustomerLoad>
  readonly upstreams: HashMap.HashMap<string, UpstreamLoad>
  /** Upstreams that have the model loaded, by model name. */
  readonly residencies: HashMap.HashMap<string, readonly string[]>
  /** Upstream that runs each fingerprint; concurrent repeats are sent to the same upstream. */
  readonly upstreamByFingerprint: HashMap.HashMap<string, string>
  readonly retryBudget: RetryBudget
  /** Local time at which each fingerprint was last suspected of breaking an upstream, in ms. */
  readonly suspects: HashMap.HashMap<string, number>
  /** Local time of the last `demand` effect per model, in ms. */
  readonly demandedAtMs: HashMap.HashMap<string, number>
  /** Local time of the last use per model, in ms. */
  readonly usedAtMs: HashMap.HashMap<string, number>
  /** Whether the instance is shutting down and refuses new requests. */
  readonly draining: boolean
  /** Hash function of the rendezvous hash that spreads digests over upstreams. */
  readonly hash: (text: string) => number
}

/** Options of {@linkcode newRequestsState}. */
export interface RequestsOptions {
  readonly rules: Rules
  /** Number of live instances among which each customer's limits are divided; 1 by default. */
  readonly instanceCount?: number
  /** Hash function of the rendezvous hash that spreads digests over upstreams. */
  readonly hash: (text: string) => number
}

/**
 * Creates the initial state of the requests reducer.
 *
 * @param options The rules, the hash function and the number of live instances.
 * @returns The state, without requests.
 *
 * @example
 * ```ts
 * const state = newRequestsState({ rules, hash: (text) => text.length })
 * ```
 */
export function newRequestsState (options: RequestsOptions): RequestsState {
  return {
    rules: options.rules,
    instanceCount: options.instanceCount ?? 1,
    requests: HashMap.empty(),
    waiting: HashMap.empty(),
    customers: HashMap.empty(),
    upstreams: HashMap.empty(),
    residencies: HashMap.empty(),
    upstreamByFingerprint: HashMap.empty(),
    retryBudget: fullRetryBudget(),
    suspects: HashMap.empty(),
    demandedAtMs: HashMap.empty(),
    usedAtMs: HashMap.empty(),
    draining: false,
    hash: options.hash
  }
}

/**
 * Returns the load and health of an upstream.
 *
 * @param state The state of the requests reducer.
 * @param upstream The upstream's name.
 * @returns The load; an upstream without recorded load counts as idle and healthy.
 *
 * @example
 * ```ts
 * console.log(upstreamLoad(state, 'runner-1').ownRequests) // 0
 * ```
 */
export function upstreamLoad (state: RequestsState, upstream: string): UpstreamLoad {
  return Option.getOrElse(HashMap.get(state.upstreams, upstream), () => INITIAL_LOAD)
}
