import type { Prompt } from '@berylshed/prompt_cache'
import type { Relay } from './relay.ts'

/** Properties of a request that are known on arrival. */
export interface ReceivedRequest {
  /** Id of the request, unique on this instance. */
  readonly id: string
  /** Id supplied by the caller, for logs. */
  readonly callerId: string
  /** Digest of method, path and body; the same whoever repeats the request. */
  readonly fingerprint: string
  /** Ids of the parts of the prompt, in order; the last one belongs to the request or its session alone. */
  readonly promptParts: readonly string[]
  /** Tokens of each part of the prompt, in the order of `promptParts`; absent if they are not known. */
  readonly promptPartTokens?: readonly number[]
  /** Tokens of the prompt; absent if the caller does not state them. */
  readonly promptTokens?: number
  /** Maximum number of tokens of the response; absent if the caller does not state it. */
  readonly outputTokens?: number
  /** Whether upstreams that keep the beginning of the prompt are preferred; false by default. */
  readonly sticky?: boolean
  /** Name of the customer; absent if the deployment has no customers or the route is anonymous. */
  readonly customer?: string
  /** Units that the request counts against the customer's quota; absent if the customer has none. */
  readonly quotaUnits?: number
  /** Caller's id of the attempt that brought the first event of the stream that this request resumes, if it does. */
  readonly resumedAttempt: string | undefined
  readonly route: string
  readonly service: string
  readonly model: string | undefined
  readonly adapter: string | undefined
  readonly stream: boolean
  /** Whether the request may run more than once, or its stream may be resumed on another upstream. */
  readonly retryable: boolean
  /** Maximum number of attempts that may have run the request. */
  readonly maxRuns: number
  /** Priority rank; 0 is the most urgent. That of the customer goes before that of the route. */
  readonly rank: number
  /** Priority rank of the route, by which requests of one rank are ordered; absent if it is `rank`. */
  readonly routeRank?: number
  /** Latency objective of the request, in ms from its arrival. */
  readonly objectiveMs: number
  /** Local time of arrival, in ms. */
  readonly arrivedAtMs: number
  /** Local time of the deadline, in ms. */
  readonly deadlineMs: number
  /** Local time at which the caller leaves unless a first event has come, in ms; absent if it waits until the deadline. */
  readonly leavesAtMs?: number
  /** What the instance that handed the request over tells of it; absent if the request came from a caller. */
  readonly handover?: Handover
}

/** A request as another instance hands it over. */
export interface Handover {
  /** Software version that began the stream and has to continue it; undefined if the stream has not begun. */
  readonly softwareVersion: string | undefined
}

/** One attempt to run a request on an upstream. */
export interface Attempt {
  /** Position among the attempts of the request, from 1. */
  readonly number: number
  /** The upstream, or the key of the relay. */
  readonly upstream: string
  /** The instance that the request was handed to, or undefined if it was sent to an upstream. */
  readonly relay: Relay | undefined
  /** Software version of the upstream; empty while a relay has not told it. */
  readonly softwareVersion: string
  /** Local time at which the request was sent, in ms. */
  readonly sentAtMs: number
}

/** Phase of a request without an outcome. */
export type RequestPhase =
  /** Queued; no attempt is in progress. */
  | 'waiting'
  /** Sent to an upstream; no response yet. */
  | 'sent'
  /** The response to the caller has started. */
  | 'responding'
  /** The response to the caller has started, its upstream failed, and the request is queued for another one. */
  | 'interrupted'

/** State of a request from its arrival to its outcome. */
export interface Request extends ReceivedRequest {
  readonly phase: RequestPhase
  /** Software version that began the stream and has to continue it; undefined if the stream has not begun or it is not known. */
  readonly softwareVersion: string | undefined
  readonly attempts: readonly Attempt[]
  /** Attempts that may have run the request. */
  readonly runs: number
  /**
   * Upstreams that said they had not run a request which may run once. They may write that again when it is sent to them again, and
   * all attempts carry the same id.
   */
  readonly refusedBy: readonly string[]
  /** Whether the caller has disconnected; the request is kept only to count its load on the upstream. */
  readonly abandoned: boolean
  /** Local time at which the request was last queued, in ms. */
  readonly waitingSinceMs: number
  /** Local time at which the response to the caller started, in ms; undefined before. */
  readonly respondingSinceMs: number | undefined
  /** Why the attempt in progress was not given up for its silence when that was last decided; undefined if it was not. */
  readonly enduredFor: string | undefined
  /** Units charged against the customer's quota on this instance; absent if there are none. */
  readonly chargedUnits?: number
  /** Whether an upstream's error response is kept, to be delivered if no later attempt succeeds. */
  readonly hasErrorResponse: boolean
}

/**
 * Returns the attempt in progress.
 *
 * @param request The request.
 * @returns The attempt, or undefined if none is in progress.
 *
 * @example
 * ```ts
 * console.log(currentAttempt(request)?.upstream)
 * ```
 */
export function currentAttempt (request: Request): Attempt | undefined {
  return request.phase === 'sent' || request.phase === 'responding' ? request.attempts.at(-1) : undefined
}

/** Maximum number of attempts per request, regardless of their outcome. */
const MAX_ATTEMPTS = 6

/**
 * Reports whether another attempt may follow the present one if that may have run the request.
 *
 * @param request The request.
 * @returns Whether attempts are left.
 *
 * @example
 * ```ts
 * const eventTimeoutMs = hasAttemptsLeft(request) ? 1600 : Infinity
 * ```
 */
export function hasAttemptsLeft (request: Request): boolean {
  return request.runs < request.maxRuns && request.attempts.length < MAX_ATTEMPTS
}

/**
 * Returns the prompt of a request for which kept parts of prompts matter.
 *
 * @param request The request.
 * @returns The prompt; undefined if the route is not sticky or the parts or their tokens are not known.
 *
 * @example
 * ```ts
 * const prompt = promptOf(request)
 * ```
 */
export function promptOf ({ sticky, model, adapter, promptParts, promptPartTokens }: ReceivedRequest): Prompt | undefined {
  if (sticky !== true || model === undefined || promptParts.length === 0 || promptPartTokens?.length !== promptParts.length) return undefined
  return { model, adapter, parts: promptParts, tokens: promptPartTokens }
}
