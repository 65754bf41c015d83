import { chargeShare, EQUAL_SHARES, type FairShares } from './fair_shares.ts'
import { estimateWait, noteBacklog, observeGrant, type GrantRate } from './estimate_wait.ts'
import { isLate, orderRequests, type QueuedRequest } from './order_requests.ts'

/** A request of a replayed load. */
export interface ReplayedRequest extends QueuedRequest {
  readonly id: string
  readonly kind: string
  /** Time for which it occupies a slot, in ms. */
  readonly serviceMs: number
  /** Time after its arrival at which its caller leaves, in ms. */
  readonly patienceMs: number
}

/** Counts of a kind, customer or size. */
export interface Served {
  arrived: number
  inTime: number
  late: number
  refused: number
  /** Time that refused callers waited, in ms. */
  refusedMs: number
}

interface Waiting {
  readonly request: ReplayedRequest
  readonly isFirst: boolean
}

const FIRST_EVENT_MS = 200

/** The order and the maximum wait before this package: rank, due time; 3.6 objectives, but 900 ms at least. */
function earlierOrder (queue: readonly ReplayedRequest[]): readonly ReplayedRequest[] {
  return [...queue].sort((a, b) => a.rank - b.rank || a.arrivedAtMs + a.objectiveMs - b.arrivedAtMs - b.objectiveMs)
}

/** Plays requests, in the order of arrival, against a number of slots, and counts what became of them by group. */
export function replay (requests: readonly ReplayedRequest[], options: { readonly slots: number, readonly isEarlier: boolean, groupOf (request: ReplayedRequest): string }): Readonly<Record<string, Served>> {
  const counts: Record<string, Served> = {}
  const releases: number[] = []
  let queue: ReplayedRequest[] = []
  let shares: ReadonlyMap<number, FairShares> = new Map()
  let rate: GrantRate | undefined
  let timelyGrants = 0
  const countOf = (request: ReplayedRequest): Served => {
    const group = options.groupOf(request)
    return (counts[group] ??= { arrived: 0, inTime: 0, late: 0, refused: 0, refusedMs: 0 })
  }
  const send = (request: ReplayedRequest, nowMs: number): void => {
    releases.push(nowMs + request.serviceMs)
    countOf(request)[isLate(request, nowMs) ? 'late' : 'inTime'] += 1
    if (queue.length === 0) return
    if (rate !== undefined) rate = observeGrant(rate, nowMs)
    timelyGrants = isLate(request, nowMs) ? 0 : timelyGrants + 1
    if (request.customer !== undefined) shares = new Map(shares).set(request.rank, chargeShare(shares.get(request.rank) ?? EQUAL_SHARES, request))
  }
  const refuses = ({ request, isFirst }: Waiting, ahead: number, nowMs: number): boolean => {
    const latestMs = request.arrivedAtMs + request.patienceMs - FIRST_EVENT_MS
    const untilMs = Math.min(latestMs, request.arrivedAtMs + Math.max(900, 3.6 * request.objectiveMs))
    const estimate = options.isEarlier ? undefined : estimateWait(rate, ahead, nowMs)
    if (estimate === undefined) return nowMs >= untilMs
    const isInVain = nowMs + estimate.waitMs > latestMs
    return isInVain ? isFirst || nowMs >= untilMs : nowMs >= latestMs
  }
  const dispatch = (nowMs: number, arrived?: ReplayedRequest): void => {
    if (arrived !== undefined) queue.push(arrived)
    const made = options.isEarlier ? undefined : orderRequests(queue, { isFull: queue.length > 0, shares, timelyGrants, nowMs })
    if (made !== undefined) shares = made.shares
    const kept: ReplayedRequest[] = []
    for (const request of made?.requests ?? earlierOrder(queue)) {
      if (releases.length < options.slots) {
        send(request, nowMs)
        continue
      }
      if (!refuses({ request, isFirst: request === arrived }, kept.length, nowMs)) {
        kept.push(request)
        continue
      }
      const count = countOf(request)
      count.refused += 1
      count.refusedMs += nowMs - request.arrivedAtMs
    }
    queue = kept
    if (queue.length === 0) [shares, timelyGrants] = [new Map(), 0]
    rate = queue.length > 0 || rate !== undefined ? noteBacklog(rate, queue.length > 0, nowMs) : undefined
  }
  const endMs = (requests.at(-1)?.arrivedAtMs ?? 0) + 20_000
  let next = 0
  for (let nowMs = 0; nowMs < endMs; nowMs += 1) {
    for (let i = releases.length - 1; i >= 0; i -= 1) if ((releases[i] ?? 0) <= nowMs) releases.splice(i, 1)
    for (let request = requests[next]; request !== undefined && request.arrivedAtMs <= nowMs; request = requests[next]) {
      next += 1
      countOf(request).arrived += 1
      dispatch(nowMs, request)
    }
    if (queue.length > 0 && (releases.length < options.slots || nowMs % 40 === 0)) dispatch(nowMs)
  }
  return counts
}
