import { chargeShare, EQUAL_SHARES, type FairShares } from './fair_shares.ts'
import { isLapsed, noteBacklog, observeGrant, type GrantRate } from './estimate_wait.ts'
import { isLate, orderRequests, type QueuedRequest } from './order_requests.ts'

/** State of the queue of one service. */
interface ServiceQueue {
  /** Whether requests waited for slots when the queue was last dispatched. */
  readonly isFull: boolean
  /** Slots granted since a request had one that could no longer meet its objective. */
  readonly timelyGrants: number
  /** Shares of the customers, by rank. */
  readonly shares: ReadonlyMap<number, FairShares>
  /** The last order, while the queue that it was made from is the same. */
  readonly order: QueueOrder | undefined
}

/** Order of a queue. */
export interface QueueOrder {
  readonly queue: readonly string[]
  /** Ids of the queue in the order of dispatch. */
  readonly ids: readonly string[]
  readonly validUntilMs: number
}

/** State of the queues of an instance; it is not stored, and a new process begins without it. */
export interface QueueingState {
  /** Queues that are full or have an order, by service. */
  readonly services: ReadonlyMap<string, ServiceQueue>
  /** Rates at which slots are granted, by service and model. */
  readonly rates: ReadonlyMap<string, GrantRate>
  /** The queues whose unmet demand was last reported, as long as it can change with them only. */
  readonly reported: ReadonlyMap<string, readonly string[]> | undefined
}

/** State without observations. */
export const NO_QUEUES: QueueingState = { services: new Map(), rates: new Map(), reported: undefined }

const IDLE_QUEUE: ServiceQueue = { isFull: false, timelyGrants: 0, shares: new Map(), order: undefined }

/**
 * Returns the key of the rate at which slots are granted to requests.
 *
 * @param request The service and model of the requests.
 * @returns The key.
 *
 * @example
 * ```ts
 * console.log(rateKey({ service: 'drafts', model: 'm' })) // drafts m
 * ```
 */
export function rateKey ({ service, model }: { readonly service: string, readonly model: string | undefined }): string {
  return `${service} ${model ?? ''}`
}

/**
 * Orders the queue of a service, or returns its last order if nothing has changed.
 *
 * @param state The state of the queues.
 * @param service The service.
 * @param options The ids of its queue, the request of each, and the local time in ms.
 * @returns The state and the order.
 *
 * @example
 * ```ts
 * const { order } = orderQueue(state, 'drafts', { queue, find, nowMs })
 * ```
 */
export function orderQueue<T extends QueuedRequest & { readonly id: string }> (state: QueueingState, service: string, options: {
  readonly queue: readonly string[]
  find (id: string): T | undefined
  readonly nowMs: number
}): { readonly state: QueueingState, readonly order: readonly T[] } {
  const { queue, find, nowMs } = options
  const findAll = (ids: readonly string[]): T[] => ids.flatMap((id) => find(id) ?? [])
  if (queue.length < 2) return { state, order: findAll(queue) }
  const known = state.services.get(service) ?? IDLE_QUEUE
  if (known.order?.queue === queue && nowMs < known.order.validUntilMs) return { state, order: findAll(known.order.ids) }
  const made = orderRequests(findAll(queue), { isFull: known.isFull, shares: known.shares, timelyGrants: known.timelyGrants, nowMs })
  const order: QueueOrder = { queue, ids: made.requests.map(({ id }) => id), validUntilMs: made.validUntilMs }
  return { state: _withService(state, service, { ...known, shares: made.shares, order }), order: made.requests }
}

/**
 * Notes that a request is sent.
 *
 * @param state The state of the queues.
 * @param request The request.
 * @param nowMs The local time in ms.
 * @returns The state; unchanged if no requests wait for slots.
 *
 * @example
 * ```ts
 * const next = noteSent(state, request, nowMs)
 * ```
 */
export function noteSent (state: QueueingState, request: QueuedRequest & { readonly service: string, readonly model: string | undefined }, nowMs: number): QueueingState {
  const known = state.services.get(request.service)
  if (known?.isFull !== true) return state
  const key = rateKey(request)
  const rate = state.rates.get(key)
  const rates = rate === undefined ? state.rates : new Map(state.rates).set(key, observeGrant(rate, nowMs))
  const shares = request.customer === undefined
    ? known.shares
    : new Map(known.shares).set(request.rank, chargeShare(known.shares.get(request.rank) ?? EQUAL_SHARES, request))
  const timelyGrants = isLate(request, nowMs) ? 0 : known.timelyGrants + 1
  return _withService({ ...state, rates }, request.service, { ...known, shares, timelyGrants })
}

/**
 * Notes which requests of a service still wait for slots after it was dispatched.
 *
 * @param state The state of the queues.
 * @param service The service.
 * @param options The keys of the rates at which slots are granted to those that wait, and the local time in ms.
 * @returns The state.
 *
 * @example
 * ```ts
 * const next = noteWaiting(state, 'drafts', { keys: new Set(['drafts m']), nowMs })
 * ```
 */
export function noteWaiting (state: QueueingState, service: string, options: { readonly keys: ReadonlySet<string>, readonly nowMs: number }): QueueingState {
  const { keys, nowMs } = options
  const known = state.services.get(service)
  if (keys.size === 0 && known === undefined) return state
  // Shares count while customers compete, so those who compete next begin equal.
  const noted = keys.size === 0
    ? (known?.isFull === true ? _withService(state, service, IDLE_QUEUE) : state)
    : known?.isFull === true ? state : _withService(state, service, { ...known ?? IDLE_QUEUE, isFull: true, order: undefined })
  const changed = _changedRates(noted.rates, service, options)
  if (changed.length === 0) return noted
  const rates = new Map([...noted.rates].filter(([, rate]) => !isLapsed(rate, nowMs)))
  for (const [key, rate] of changed) rates.set(key, rate)
  return { ...noted, rates }
}

function _changedRates (rates: QueueingState['rates'], service: string, { keys, nowMs }: { readonly keys: ReadonlySet<string>, readonly nowMs: number }): ReadonlyArray<readonly [string, GrantRate]> {
  const began = [...keys].filter((key) => rates.get(key)?.hasBacklog !== true).map((key) => [key, noteBacklog(rates.get(key), true, nowMs)] as const)
  const ended: Array<readonly [string, GrantRate]> = []
  for (const [key, rate] of rates) {
    if (rate.hasBacklog && !keys.has(key) && key.startsWith(`${service} `)) ended.push([key, noteBacklog(rate, false, nowMs)])
  }
  return [...began, ...ended]
}

function _withService (state: QueueingState, service: string, queue: ServiceQueue): QueueingState {
  const services = new Map(state.services)
  if (queue === IDLE_QUEUE) services.delete(service)
  else services.set(service, queue)
  return { ...state, services }
}
