/** What an upstream last said about the number of requests that it takes. */
export interface StatedLimit {
  /** Incarnation of the upstream. */
  readonly incarnation: number
  /** Requests per second from all instances together; Infinity if the newest response named no limit. */
  readonly perS: number
  /** Local time of the newest response, in ms. */
  readonly statedAtMs: number
}

/** Limit of an upstream, and the part of it that this instance uses. */
export interface UpstreamLimit extends StatedLimit {
  /** Share of the limit that the lease holder assigned to this instance. */
  readonly share: number
  /** Local time at which the share was assigned, in ms; -Infinity if none was. */
  readonly sharedAtMs: number
  /** Local time at which the next request would be due if all were evenly spaced, in ms. */
  readonly dueAtMs: number
}

/** A limit as sent between instances: null if it was lifted, and the time since the response that said so, in ms. */
export type LimitRecord = readonly [upstream: string, incarnation: number, perS: number | null, statedAgoMs: number]
/** A limit and the receiver's share of it. */
export type LimitShare = readonly [...limit: LimitRecord, share: number]

/** Part of a limit that instances use; the rest covers instances that have not learnt of a change of shares yet. */
const USABLE_SHARE = 0.9
/** Time after which a share that was not renewed is replaced by an equal one, in ms: ten heartbeats. */
const SHARE_TTL_MS = 2000
/** Time by which requests may precede even spacing, in ms; well below the seconds over which upstreams count. */
export const BURST_MS = 300
const MS_PER_SECOND = 1000

/** Inputs of the limit's pace besides the limit itself. */
export interface PaceOptions {
  /** Number of instances that share the limit if no share was assigned. */
  readonly instances: number
  readonly nowMs: number
}

/**
 * Returns the time between two requests of this instance to a limited upstream.
 *
 * @param limit The limit.
 * @param options The number of instances and the local time in ms.
 * @returns The time in ms; 0 without a limit.
 *
 * @example
 * ```ts
 * console.log(paceMs({ incarnation: 1, perS: 5, statedAtMs: 0, share: 0.5, sharedAtMs: 0, dueAtMs: 0 }, { instances: 4, nowMs: 100 }))
 * ```
 */
export function paceMs (limit: UpstreamLimit, options: PaceOptions): number {
  if (limit.perS === Infinity) return 0
  const isAssigned = options.nowMs - limit.sharedAtMs < SHARE_TTL_MS
  const share = isAssigned ? limit.share : 1 / Math.max(1, options.instances)
  return MS_PER_SECOND / (limit.perS * USABLE_SHARE * share)
}

/**
 * Reports whether a request to a limited upstream stays within this instance's share.
 *
 * @param limit The limit.
 * @param nowMs The local time in ms.
 * @returns Whether a request may be sent now.
 *
 * @example
 * ```ts
 * if (isWithinLimit(limit, nowMs)) send()
 * ```
 */
export function isWithinLimit (limit: UpstreamLimit, nowMs: number): boolean {
  return limit.perS === Infinity || nowMs >= limit.dueAtMs - BURST_MS
}

/**
 * Counts a request that was sent to a limited upstream.
 *
 * @param limit The limit.
 * @param options The number of instances and the local time in ms.
 * @returns The limit with the time of the next request.
 *
 * @example
 * ```ts
 * const next = countLimitedRequest(limit, { instances: 4, nowMs })
 * ```
 */
export function countLimitedRequest (limit: UpstreamLimit, options: PaceOptions): UpstreamLimit {
  return { ...limit, dueAtMs: Math.max(limit.dueAtMs, options.nowMs) + paceMs(limit, options) }
}
