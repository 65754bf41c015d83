import test from 'ava'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { orderRequests, type QueuedRequest } from './order_requests.ts'
import { EQUAL_SHARES, chargeShare, fairRounds } from './fair_shares.ts'
import { replay, type ReplayedRequest, type Served } from './_test_replay.ts'

const LOAD_MS = 20_000
const KINDS = {
  urgent: { objectiveMs: 500, patienceMs: 2000, serviceMs: 400, routeRank: 0 },
  careful: { objectiveMs: 4000, patienceMs: 16_000, serviceMs: 800, routeRank: 2 }
} as const

interface Stream {
  readonly kind: keyof typeof KINDS
  readonly perS: number
  readonly customer?: string
}

// Draws arrivals at random times, with prompts of 100 to 4,000 tokens.
function draw (seed: number, streams: readonly Stream[]): readonly ReplayedRequest[] {
  const generator = xoroshiro128plus(seed)
  const requests = streams.flatMap(({ kind, perS, customer }) => Array.from({ length: Math.round(perS * LOAD_MS / 1000) }, (_, i): ReplayedRequest => ({
    id: `${kind} ${customer} ${i}`, kind, phase: 'waiting', arrivedAtMs: Math.floor(uniformFloat64(generator) * LOAD_MS), ...KINDS[kind], ...customer === undefined ? { rank: KINDS[kind].routeRank } : { rank: 0, customer }, promptTokens: Math.round(100 * 40 ** uniformFloat64(generator)), outputTokens: 100
  })))
  return requests.sort((a, b) => a.arrivedAtMs - b.arrivedAtMs)
}

const shareInTime = ({ inTime, arrived }: Served): number => inTime / arrived
const shareServed = ({ inTime, late, arrived }: Served): number => (inTime + late) / arrived
const request = (changes: Partial<QueuedRequest> & { readonly id: string }) => ({ phase: 'waiting', rank: 0, arrivedAtMs: 0, objectiveMs: 1000, ...changes })
const order = (requests: ReadonlyArray<ReturnType<typeof request>>, context: { readonly nowMs: number, readonly timelyGrants?: number, readonly isFull?: boolean }): readonly string[] => {
  return orderRequests(requests, { isFull: true, shares: new Map(), timelyGrants: 0, ...context }).requests.map(({ id }) => id)
}

test('interrupted streams come first, then rank, the rank of the route and due time', (t) => {
  const requests = [
    request({ id: 'careful', rank: 2, objectiveMs: 300 }), request({ id: 'later', rank: 1, objectiveMs: 2000 }), request({ id: 'sooner', rank: 1 }),
    request({ id: 'other route', rank: 1, routeRank: 3, objectiveMs: 500 }), request({ id: 'interrupted', rank: 3, phase: 'interrupted' })
  ]
  for (const isFull of [true, false]) t.deepEqual(order(requests, { nowMs: 0, isFull }), ['interrupted', 'sooner', 'later', 'other route', 'careful'])
})

// It was sorted by due time alone, so that it was served late and the other one after it too.
test('a request that can no longer meet its objective goes behind those of its rank that can, but not behind other ranks', (t) => {
  const requests = [request({ id: 'late' }), request({ id: 'timely', arrivedAtMs: 900 }), request({ id: 'careful', rank: 2, objectiveMs: 4000, arrivedAtMs: 800 })]
  t.deepEqual(order(requests, { nowMs: 1000 }), ['timely', 'late', 'careful'])
  t.deepEqual(order(requests, { nowMs: 1000, isFull: false }), ['late', 'timely', 'careful'])
  t.deepEqual(order(requests, { nowMs: 1000, timelyGrants: 7 }), ['late', 'timely', 'careful'])
})

test('an order names the time at which the next request becomes late', (t) => {
  const made = orderRequests([request({ id: 'a' }), request({ id: 'b', objectiveMs: 300 })], { isFull: true, shares: new Map(), timelyGrants: 0, nowMs: 0 })
  t.is(made.validUntilMs, 150)
})

test('the shares of customers hold only those that are ahead of the round', (t) => {
  const used = chargeShare(chargeShare(EQUAL_SHARES, { customer: 'a', promptTokens: 9500, outputTokens: 0 }), { customer: 'b' })
  const { rounds, shares } = fairRounds([{ customer: 'a' }, { customer: 'c' }], used)
  t.deepEqual([rounds, shares.used.size], [[1, -8], 2])
  const next = fairRounds([{ customer: 'a' }], used)
  t.deepEqual([next.rounds, [...next.shares.used.keys()]], [[1], ['a']])
})

// With half of the upstreams gone, the most overdue request was always the next, and few were served in time.
test('more callers are served in time when half of the upstreams are gone, and no kind or size starves', (t) => {
  for (const seed of [1, 2, 3]) {
    const requests = draw(seed, [{ kind: 'urgent', perS: 40 }, { kind: 'careful', perS: 4 }])
    const played = (isEarlier: boolean) => replay(requests, { slots: 12, isEarlier, groupOf: ({ kind }) => kind })
    const [earlier, now] = [played(true), played(false)]
    t.log(JSON.stringify({ seed, earlier, now }))
    t.true(shareInTime(now.urgent!) > shareInTime(earlier.urgent!))
    t.true(shareServed(now.careful!) <= shareServed(now.urgent!) + 0.05)
    const sizes = replay(requests, { slots: 12, isEarlier: false, groupOf: ({ kind, promptTokens = 0 }) => kind === 'careful' ? 'careful' : promptTokens > 2766 ? 'largest' : promptTokens > 1322 ? 'large' : 'small' })
    for (const size of ['largest', 'large']) t.true(shareServed(sizes[size]!) >= 0.5 * shareServed(now.urgent!), size)
  }
})

// The hot customer took what the others were owed in proportion to its requests.
test('a hot customer costs the others nothing that they are owed', (t) => {
  const others = Array.from({ length: 9 }, (_, i) => ({ kind: 'urgent' as const, perS: 2, customer: `c${i}` }))
  const groupOf = ({ customer = '' }: ReplayedRequest): string => customer === 'hot' ? 'hot' : 'others'
  for (const seed of [1, 2, 3]) {
    const usual = draw(seed, [...others, { kind: 'urgent', perS: 2, customer: 'hot' }])
    const hot = draw(seed, [...others, { kind: 'urgent', perS: 40, customer: 'hot' }])
    // 20 requests per second of 0.4 s occupy 8 of the 10 slots that are left of 20.
    const calm = replay(usual, { slots: 10, isEarlier: false, groupOf })
    const [earlier, now] = [true, false].map((isEarlier) => replay(hot, { slots: 10, isEarlier, groupOf }))
    // No order serves the others sooner than one in which the hot customer always goes last: slots are not taken from running requests.
    const bound = replay(hot.map((other) => other.customer === 'hot' ? { ...other, rank: 1 } : other), { slots: 10, isEarlier: false, groupOf })
    t.log(JSON.stringify({ seed, calm, earlier, now, bound: bound.others }))
    t.true(shareServed(now!.others!) >= shareServed(calm.others!) - 0.02)
    t.true(shareInTime(now!.others!) >= shareInTime(bound.others!) - 0.03)
    t.true(shareInTime(now!.others!) > shareInTime(earlier!.others!))
    t.true(now!.hot!.inTime + now!.hot!.late > 0)
  }
})

test('no customer is served a quarter as often as the rest when all are backlogged', (t) => {
  const streams = Array.from({ length: 10 }, (_, i) => ({ kind: i % 2 === 0 ? 'urgent' as const : 'careful' as const, perS: 5, customer: `c${i}` }))
  const now = replay(draw(1, streams), { slots: 10, isEarlier: false, groupOf: ({ customer = '' }) => customer })
  const served = Object.values(now).map(shareServed)
  t.log(JSON.stringify(now))
  t.true(Math.min(...served) > 0.25 * Math.max(...served))
})
