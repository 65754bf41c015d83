/** Time constant with which the observed rate of slots decays, in ms: that of the observations that choose an upstream, so that both follow a slow phase alike. */
const RATE_TIME_CONSTANT_MS = 4000
/** Time with a backlog that must have been observed before the rate is used, in ms: three loads of an upstream's report arrive in it. */
const MIN_OBSERVED_MS = 1000
/** Slots that must have been granted before the rate is used; the time between two says little of the next. */
const MIN_GRANTS = 3
/** Time without a backlog after which a rate no longer counts, in ms: placement has changed by then. */
const RETENTION_MS = 10_000

/**
 * Rate at which the upstreams of a model grant slots to an instance while requests wait for them.
 *
 * Requests that are sent while none waits tell how many arrive, not how many could be sent, so they do not count.
 */
export interface GrantRate {
  /** Slots granted, decayed. */
  readonly grants: number
  /** Time with a backlog in which they were granted, decayed in the same way, in ms. */
  readonly backlogMs: number
  /** Slots granted since the rate began. */
  readonly totalGrants: number
  /** Time with a backlog since the rate began, in ms. */
  readonly totalMs: number
  /** Local time up to which the other fields count, in ms. */
  readonly atMs: number
  /** Whether requests have waited since then. */
  readonly hasBacklog: boolean
}

/**
 * Notes whether requests wait for slots.
 *
 * @param rate The rate; undefined if there is none or it has lapsed.
 * @param hasBacklog Whether requests wait from now on.
 * @param nowMs The local time in ms.
 * @returns The rate.
 *
 * @example
 * ```ts
 * const rate = noteBacklog(undefined, true, nowMs)
 * ```
 */
export function noteBacklog (rate: GrantRate | undefined, hasBacklog: boolean, nowMs: number): GrantRate {
  if (rate === undefined || isLapsed(rate, nowMs)) return { grants: 0, backlogMs: 0, totalGrants: 0, totalMs: 0, atMs: nowMs, hasBacklog }
  return rate.hasBacklog === hasBacklog ? rate : { ..._advance(rate, nowMs), hasBacklog }
}

/**
 * Adds a slot that was granted to a request.
 *
 * @param rate The rate.
 * @param nowMs The local time in ms.
 * @returns The rate; unchanged if no requests waited.
 *
 * @example
 * ```ts
 * const next = observeGrant(rate, nowMs)
 * ```
 */
export function observeGrant (rate: GrantRate, nowMs: number): GrantRate {
  if (!rate.hasBacklog) return rate
  const advanced = _advance(rate, nowMs)
  return { ...advanced, grants: advanced.grants + 1, totalGrants: advanced.totalGrants + 1 }
}

/**
 * Reports whether a rate is too old to be used.
 *
 * @param rate The rate.
 * @param nowMs The local time in ms.
 * @returns Whether it may be forgotten.
 *
 * @example
 * ```ts
 * const kept = [...rates].filter(([, rate]) => !isLapsed(rate, nowMs))
 * ```
 */
export function isLapsed (rate: GrantRate, nowMs: number): boolean {
  return !rate.hasBacklog && nowMs - rate.atMs > RETENTION_MS
}

/** Expected wait of a request and what it rests on. */
export interface WaitEstimate {
  /** Expected time until the request is sent, in ms. */
  readonly waitMs: number
  /** Requests that go before it. */
  readonly ahead: number
  /** Slots granted per second. */
  readonly perS: number
}

/**
 * Estimates how long a request waits for a slot.
 *
 * Load: a request of 0.5 s was refused after 1.6 s of waiting behind a backlog that was known on its arrival. The next slot may be
 * granted at any moment, so one more than was observed is counted: an estimate errs towards waiting, most where few were observed.
 *
 * @param rate The rate at which slots are granted; undefined if none was observed.
 * @param ahead The number of requests that go before it.
 * @param nowMs The local time in ms.
 * @returns The estimate; undefined if too little was observed.
 *
 * @example
 * ```ts
 * const isLate = (estimateWait(rate, 40, nowMs)?.waitMs ?? 0) > leftMs
 * ```
 */
export function estimateWait (rate: GrantRate | undefined, ahead: number, nowMs: number): WaitEstimate | undefined {
  if (rate === undefined || isLapsed(rate, nowMs)) return undefined
  const current = rate.hasBacklog ? _advance(rate, nowMs) : rate
  if (current.totalMs < MIN_OBSERVED_MS || current.totalGrants < MIN_GRANTS) return undefined
  const perMs = (current.grants + 1) / current.backlogMs
  return { waitMs: ahead / perMs, ahead, perS: perMs * 1000 }
}

function _advance (rate: GrantRate, nowMs: number): GrantRate {
  const elapsedMs = rate.hasBacklog ? Math.max(0, nowMs - rate.atMs) : 0
  const kept = Math.exp(-elapsedMs / RATE_TIME_CONSTANT_MS)
  return {
    ...rate,
    grants: rate.grants * kept,
    backlogMs: rate.backlogMs * kept + RATE_TIME_CONSTANT_MS * (1 - kept),
    totalMs: rate.totalMs + elapsedMs,
    atMs: nowMs
  }
}
