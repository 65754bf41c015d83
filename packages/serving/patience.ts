import { currentAttempt, type Request } from './request.ts'
import { targetLoad, type ServingState } from './serving_state.ts'

/** Minimum time for which a retryable request waits for the first byte of its response, in ms. */
const MIN_PATIENCE_MS = 400
/** The same as a multiple of the latency objective. */
const OBJECTIVE_FACTOR = 2
/** Time for which a request waits, as a multiple of the longest first byte lately seen: load varies. */
const SLOWEST_FACTOR = 2
/** Time for which a request waits, as a multiple of the minimum, while the upstream has not responded since a request was given up there. */
const SILENT_FACTOR = 2
/** Share of the time left when an attempt is sent that is waited for its first byte beyond the minimum; the rest is for another attempt. */
const WAIT_SHARE = 0.5
/** Share of the time left that a request which was handed over is waited for; an instance gives up silent upstreams itself. */
const RELAY_WAIT_SHARE = 0.6
/** Time for which the longest first byte is kept at least, in ms; twice that at most. */
const RETENTION_MS = 10_000

/** Longest of the times that were lately seen, kept in two halves of which the older one is dropped. */
export interface RecentMaximum {
  /** Local time at which the newer half began, in ms. */
  readonly sinceMs: number
  /** Maximum of the newer half, in ms. */
  readonly newerMs: number
  /** Maximum of the older half, in ms. */
  readonly olderMs: number
}

/**
 * Adds how long the first byte of a response took to what is known of each route at an upstream.
 *
 * @param known What is known, by route; routes without recent requests are dropped.
 * @param route The route.
 * @param seen The time, which may be that of an attempt that ended without a byte, and the local time, both in ms.
 * @returns What is known then.
 *
 * @example
 * ```ts
 * const slowest = noteFirstByte(new Map(), 'lookups', { firstByteMs: 500, nowMs: 0 })
 * ```
 */
export function noteFirstByte (known: ReadonlyMap<string, RecentMaximum>, route: string, seen: { readonly firstByteMs: number, readonly nowMs: number }): ReadonlyMap<string, RecentMaximum> {
  const { firstByteMs, nowMs } = seen
  const before = known.get(route)
  if (before !== undefined && nowMs - before.sinceMs < RETENTION_MS) {
    return before.newerMs >= firstByteMs ? known : new Map(known).set(route, { ...before, newerMs: firstByteMs })
  }
  const olderMs = before === undefined ? 0 : _slowestOf({ ...before, olderMs: 0 }, nowMs)
  return new Map([...known].filter(([, maximum]) => _slowestOf(maximum, nowMs) > 0)).set(route, { sinceMs: nowMs, newerMs: firstByteMs, olderMs })
}

/** How long a request waits for the first byte of its response, and what that rests on. */
export interface Patience {
  /** Time from sending the attempt, in ms; Infinity if the request may run once. */
  readonly patienceMs: number
  /** Longest first byte of the route that was lately seen at the upstream, in ms; 0 if none was. */
  readonly slowestMs: number
}

/**
 * Returns how long the attempt in progress waits for its first byte before another one is preferred.
 *
 * A silence tells that an upstream hangs only if its responses usually begin sooner. An attempt that was given up counts as one that
 * took as long as it was waited for, so that a slow upstream is not given up again and again.
 *
 * @param state The state of the requests.
 * @param request The request.
 * @param nowMs The local time in ms.
 * @returns The time and its reason.
 *
 * @example
 * ```ts
 * const { patienceMs } = patienceOf(state, request, performance.now())
 * ```
 */
export function patienceOf (state: ServingState, request: Request, nowMs: number): Patience {
  const attempt = currentAttempt(request)
  if (attempt === undefined || !request.retryable) return { patienceMs: Infinity, slowestMs: 0 }
  if (attempt.relay !== undefined) return { patienceMs: RELAY_WAIT_SHARE * (request.deadlineMs - attempt.sentAtMs), slowestMs: 0 }
  const minMs = Math.max(MIN_PATIENCE_MS, request.objectiveMs * OBJECTIVE_FACTOR)
  // How soon a stream goes on at another upstream is not known.
  if (request.phase === 'responding') return { patienceMs: minMs, slowestMs: 0 }
  const { consecutiveFailures } = targetLoad(state, attempt.upstream)
  const slowestMs = slowestFirstByteMs(state, request, nowMs)
  const shareMs = WAIT_SHARE * (firstByteDueMs(request) - attempt.sentAtMs)
  // An upstream that hangs is waited for as well, but not longer each time.
  const silentMs = consecutiveFailures > 0 ? SILENT_FACTOR * minMs : Infinity
  return { patienceMs: Math.max(minMs, Math.min(SLOWEST_FACTOR * slowestMs, shareMs, silentMs)), slowestMs }
}

/**
 * Returns the longest first byte that was lately seen of the route of a request at the upstream of its attempt.
 *
 * @param state The state of the requests.
 * @param request The request.
 * @param nowMs The local time in ms.
 * @returns The time in ms; 0 if none was seen.
 *
 * @example
 * ```ts
 * const isUsual = nowMs - attempt.sentAtMs <= slowestFirstByteMs(state, request, nowMs)
 * ```
 */
export function slowestFirstByteMs (state: ServingState, request: Request, nowMs: number): number {
  const known = targetLoad(state, currentAttempt(request)?.upstream ?? '').slowest.get(request.route)
  return known === undefined ? 0 : _slowestOf(known, nowMs)
}

/**
 * Returns the local time after which a response that has not begun no longer reaches the caller.
 *
 * @param request The request.
 * @returns The time, in ms.
 *
 * @example
 * ```ts
 * const leftMs = firstByteDueMs(request) - performance.now()
 * ```
 */
export function firstByteDueMs ({ deadlineMs, leavesAtMs }: Pick<Request, 'deadlineMs' | 'leavesAtMs'>): number {
  return Math.min(deadlineMs, leavesAtMs ?? Infinity)
}

function _slowestOf ({ sinceMs, newerMs, olderMs }: RecentMaximum, nowMs: number): number {
  const halves = Math.floor((nowMs - sinceMs) / RETENTION_MS)
  return halves >= 2 ? 0 : halves === 1 ? newerMs : Math.max(newerMs, olderMs)
}
