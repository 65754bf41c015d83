import { EQUAL_SHARES, fairRounds, type FairShares, type SharingRequest } from './fair_shares.ts'

/** Time from sending a request until its first event reaches the caller, in ms, at an idle engine. */
const FIRST_EVENT_MS = 200
/** Upper bound of the same as a share of the objective; kinds with short objectives are answered sooner. */
const FIRST_EVENT_SHARE = 0.5
/** Slots granted to requests that can meet their objective for each one to a request that cannot: late ones cost an eighth of the rest at most. */
const TIMELY_PER_LATE = 7

/** A waiting request as its place in the queue depends on it. */
export interface QueuedRequest extends SharingRequest {
  readonly phase: string
  readonly rank: number
  readonly routeRank?: number
  readonly arrivedAtMs: number
  readonly objectiveMs: number
}

/** What the order of waiting requests depends on besides them. */
export interface OrderContext {
  /** Whether requests lately waited for slots; otherwise the order is by rank and due time alone. */
  readonly isFull: boolean
  /** Shares of the customers, by rank. */
  readonly shares: ReadonlyMap<number, FairShares>
  /** Slots granted since a request had one that could no longer meet its objective. */
  readonly timelyGrants: number
  readonly nowMs: number
}

/** Order of waiting requests. */
export interface RequestOrder<T> {
  readonly requests: readonly T[]
  readonly shares: ReadonlyMap<number, FairShares>
  /** Local time at which the order of the same requests changes, in ms. */
  readonly validUntilMs: number
}

/**
 * Reports whether a request that is sent now can no longer meet its objective.
 *
 * @param request The request.
 * @param nowMs The local time in ms.
 * @returns Whether it is late.
 *
 * @example
 * ```ts
 * const late = queue.filter((request) => isLate(request, nowMs))
 * ```
 */
export function isLate (request: QueuedRequest, nowMs: number): boolean {
  return _lateAtMs(request) <= nowMs
}

/**
 * Orders waiting requests.
 *
 * Interrupted streams come first, then the order is by rank, the round in which the customer has its turn, the rank of the route,
 * whether the objective can still be met, and the time at which it is missed.
 *
 * Load: with half of the upstreams gone the most overdue request was always the next, so that each was served late and none in time.
 * Those that are late still get every eighth slot, the longest waiting one first, so that none is passed over as long as its kind
 * is served at all.
 *
 * @param requests The requests, in the order of arrival.
 * @param context The state of the queue, and the time.
 * @returns The order.
 *
 * @example
 * ```ts
 * const { requests } = orderRequests(queue, { isFull: false, shares: new Map(), timelyGrants: 0, nowMs })
 * ```
 */
export function orderRequests<T extends QueuedRequest> (requests: readonly T[], context: OrderContext): RequestOrder<T> {
  const { isFull, nowMs } = context
  let validUntilMs = Infinity
  const places = requests.map((request): _Place<T> => {
    const lateAtMs = isFull ? _lateAtMs(request) : Infinity
    const late = lateAtMs <= nowMs
    if (!late) validUntilMs = Math.min(validUntilMs, lateAtMs)
    const { phase, rank, routeRank = rank } = request
    return { request, interrupted: phase === 'interrupted', rank, round: 0, routeRank, late: late ? 1 : 0, dueMs: request.arrivedAtMs + request.objectiveMs }
  })
  if (isFull && context.timelyGrants >= TIMELY_PER_LATE) _promoteOldest(places)
  places.sort(_compare)
  const isShared = isFull && requests.some(({ customer }) => customer !== undefined)
  const shares = isShared ? _assignRounds(places, context.shares) : context.shares
  if (isShared) places.sort(_compare)
  return { requests: places.map(({ request }) => request), shares, validUntilMs }
}

interface _Place<T> {
  readonly request: T
  readonly interrupted: boolean
  readonly rank: number
  /** Round of the customer. */
  round: number
  readonly routeRank: number
  /** 1 if the objective can no longer be met, -1 if the request has its turn nevertheless, otherwise 0. */
  late: number
  readonly dueMs: number
}

function _lateAtMs ({ arrivedAtMs, objectiveMs }: QueuedRequest): number {
  return arrivedAtMs + objectiveMs - Math.min(FIRST_EVENT_MS, FIRST_EVENT_SHARE * objectiveMs)
}

function _compare<T> (a: _Place<T>, b: _Place<T>): number {
  if (a.interrupted !== b.interrupted) return a.interrupted ? -1 : 1
  return a.rank - b.rank || a.round - b.round || a.routeRank - b.routeRank || a.late - b.late || a.dueMs - b.dueMs
}

// Each customer's oldest late request of a rank is considered, as the rounds decide between customers.
function _promoteOldest<T extends QueuedRequest> (places: ReadonlyArray<_Place<T>>): void {
  const oldest = new Map<string, _Place<T>>()
  for (const place of places) {
    if (place.late === 0 || place.interrupted) continue
    const { customer, arrivedAtMs } = place.request
    const key = `${place.rank} ${place.routeRank} ${customer ?? ''}`
    const other = oldest.get(key)
    if (other === undefined || arrivedAtMs < other.request.arrivedAtMs) oldest.set(key, place)
  }
  for (const place of oldest.values()) place.late = -1
}

// The places are in the order in which each customer's requests are to be served.
function _assignRounds<T extends QueuedRequest> (places: ReadonlyArray<_Place<T>>, shares: OrderContext['shares']): OrderContext['shares'] {
  const ranks = new Map<number, Array<_Place<T>>>()
  for (const place of places) {
    if (place.interrupted) continue
    const same = ranks.get(place.rank)
    if (same === undefined) ranks.set(place.rank, [place])
    else same.push(place)
  }
  const next = new Map(shares)
  for (const [rank, members] of ranks) {
    const fair = fairRounds(members.map(({ request }) => request), shares.get(rank) ?? EQUAL_SHARES)
    for (const [i, place] of members.entries()) place.round = fair.rounds[i] ?? 0
    next.set(rank, fair.shares)
  }
  return next
}
