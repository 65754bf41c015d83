import test from 'ava'
import { newServingHarness, testRequest, testTarget, type ServingHarness } from './_test_serving.ts'
import { mayContinueStream } from './continuation.ts'

const BUDGET = { ratio: 0.2, minRetries: 40, windowMs: 10_000 }
const stream = (id: string, maxRuns = 2) => testRequest(id, { stream: true, maxRuns, deadlineMs: 19_000 })

// A stream `a` has begun at `u1`; upstreams have one slot each, so that up to three streams run on one.
function startStream ({ upstreams, others = 0, minRetries = 40, maxRuns = 2 }: { readonly upstreams: number, readonly others?: number, readonly minRetries?: number, readonly maxRuns?: number }): ServingHarness {
  const targets = Array.from({ length: upstreams }, (_, i) => testTarget(`u${i + 1}`, { slots: 1 }))
  const harness = newServingHarness(targets, { ...BUDGET, minRetries, ratio: minRetries === 0 ? 0 : BUDGET.ratio })
  harness.apply({ kind: 'received', request: stream('a', maxRuns), nowMs: 0 })
  harness.apply({ kind: 'response_started', id: 'a', attempt: 1, nowMs: 100 })
  for (let i = 0; i < others; i += 1) harness.apply({ kind: 'received', request: stream(`b${i}`), nowMs: 200 })
  return harness
}

// A stream was broken off for a pause of its upstream, as what would continue it was looked for only once the attempt had been given up.
test('an attempt of a stream is given up for a silence only if another one may follow at once', (t) => {
  const mayContinue = (harness: ServingHarness): boolean => mayContinueStream(harness.state(), 'a', 11_000)
  t.true(mayContinue(startStream({ upstreams: 2 })), 'another upstream is free')
  t.true(mayContinue(startStream({ upstreams: 1 })), 'the only upstream may answer on a new connection')
  t.false(mayContinue(startStream({ upstreams: 2, others: 5 })), 'the other upstream is full')
  t.false(mayContinue(startStream({ upstreams: 2, minRetries: 0 })), 'the retry budget is used up')
  t.false(mayContinue(startStream({ upstreams: 2, maxRuns: 1 })), 'no attempts are left')
})

test('a stream that goes on beside the silence of its upstream has a line', (t) => {
  const harness = startStream({ upstreams: 1 })
  harness.apply({ kind: 'silence_endured', id: 'a', nowMs: 1700 })
  t.is(harness.records().at(-1), 'waits silent')
})

const RELAYS = ['b', 'c'].map((instance) => ({ instance, address: instance }))

// A request `a` was sent to `u1`, and all upstreams are sound as far as known.
function startRequest ({ upstreams = 2, slots = 2, minRetries = 40, maxRuns = 2, retryable = true, handedOver = false }: { readonly upstreams?: number, readonly slots?: number, readonly minRetries?: number, readonly maxRuns?: number, readonly retryable?: boolean, readonly handedOver?: boolean } = {}): ServingHarness {
  const targets = Array.from({ length: upstreams }, (_, i) => testTarget(`u${i + 1}`, { slots }))
  const harness = newServingHarness(targets, { ...BUDGET, minRetries, ratio: minRetries === 0 ? 0 : BUDGET.ratio })
  harness.apply({ kind: 'relays_received', relays: RELAYS, nowMs: 0 })
  harness.apply({ kind: 'received', request: testRequest('a', { maxRuns, retryable, deadlineMs: 3000, ...handedOver ? { handover: { softwareVersion: undefined } } : {} }), nowMs: 0 })
  return harness
}

const isGivenUp = (harness: ServingHarness, nowMs = 1000): boolean => mayContinueStream(harness.state(), 'a', nowMs)

// Sound upstreams that needed 500 and 1,100 ms were given up after 400 ms, with nothing else that could serve the request.
test('an attempt whose response has not begun is given up for silence only if another one may follow at once', (t) => {
  t.true(isGivenUp(startRequest()), 'another upstream is free')
  t.false(isGivenUp(startRequest({ upstreams: 1 })), 'it is the only upstream')
  t.false(isGivenUp(startRequest({ maxRuns: 1 })), 'no attempts are left')
  t.false(isGivenUp(startRequest({ minRetries: 0 })), 'the retry budget is used up')
  t.false(isGivenUp(startRequest({ retryable: false })), 'it may run once')
  const last = startRequest()
  last.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'broken', detail: '', nowMs: 100 })
  t.false(isGivenUp(last), 'it is the last attempt')
  const full = startRequest({ slots: 1 })
  for (let i = 0; i < 6; i += 1) full.apply({ kind: 'received', request: testRequest(`b${i}`, { deadlineMs: 3000 }), nowMs: 0 })
  t.false(isGivenUp(full), 'the other upstream is full')
  const unreachable = startRequest()
  unreachable.apply({ kind: 'upstream_probed', upstream: 'u2', reached: false, nowMs: 100 })
  t.false(isGivenUp(unreachable), 'the other upstream cannot be reached')
  const paused = startRequest()
  paused.apply({ kind: 'upstream_announced', upstream: 'u2', leaving: false, retryAfterMs: 2000, maxRejectionsPerS: undefined, nowMs: 100 })
  t.false(isGivenUp(paused), 'the other upstream wants no requests')
  const stopping = startRequest()
  stopping.apply({ kind: 'received', request: testRequest('b', { deadlineMs: 3000 }), nowMs: 0 })
  stopping.apply({ kind: 'shutdown_announced', closesAtMs: 1900, nowMs: 100 })
  stopping.apply({ kind: 'shutdown_started', nowMs: 900 })
  t.false(isGivenUp(stopping), 'the instance is stopping, and several requests have run for longer than is left')
})

test('an attempt whose upstream turns out to be out of reach is given up at once for another instance', (t) => {
  const harness = startRequest({ upstreams: 1 })
  t.false(isGivenUp(harness))
  t.deepEqual(harness.apply({ kind: 'upstream_probed', upstream: 'u1', reached: false, nowMs: 1000 }), ['cancel a#1', 'send a#2 to relay b'])
  const handedOver = startRequest({ upstreams: 1, handedOver: true })
  t.deepEqual(handedOver.apply({ kind: 'upstream_probed', upstream: 'u1', reached: false, nowMs: 1000 }), [])
  t.false(isGivenUp(handedOver), 'a request is handed over once')
})

test('each reason for which a silent attempt goes on has one line', (t) => {
  const harness = startRequest({ upstreams: 1 })
  for (const nowMs of [400, 600, 800]) harness.apply({ kind: 'silence_endured', id: 'a', nowMs })
  t.deepEqual(harness.records(), ['sent', 'waits silent'])
})

// A request that was handed over was taken back after 0.6 of its time, and a third instance had too little of it left.
test('a request is not taken back from an instance that has run since', (t) => {
  const start = (): ServingHarness => {
    const harness = startRequest({ upstreams: 1 })
    harness.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'not_connected', detail: '', nowMs: 10 })
    return harness
  }
  const reported = (members: typeof RELAYS, nowMs: number) => ({ kind: 'members_received', members, nowMs, confirmedAtMs: nowMs } as const)
  const silent = start()
  silent.apply(reported(RELAYS, 1500))
  t.true(isGivenUp(silent, 1810), 'its last report may be from before the request')
  silent.apply(reported(RELAYS, 1700))
  t.false(isGivenUp(silent, 1810))
  silent.apply(reported(RELAYS.slice(1), 1900))
  t.true(isGivenUp(silent, 2000), 'it no longer reports')
  const answering = start()
  answering.apply({ kind: 'received', request: testRequest('b', { deadlineMs: 3000, arrivedAtMs: 20 }), nowMs: 20 })
  answering.apply({ kind: 'received', request: testRequest('c', { deadlineMs: 3000, arrivedAtMs: 30 }), nowMs: 30 })
  t.deepEqual(answering.apply({ kind: 'response_ended', id: 'c', attempt: 1, status: 200, nowMs: 700 }), ['finish c'])
  t.false(isGivenUp(answering, 1810), 'it has answered another request')
})

test('a request is not taken back if requests that are handed over usually take longer than the time left', (t) => {
  const harness = newServingHarness([testTarget('u1')], BUDGET)
  harness.apply({ kind: 'relays_received', relays: RELAYS, nowMs: 0 })
  harness.apply({ kind: 'upstream_probed', upstream: 'u1', reached: false, nowMs: 0 })
  harness.apply({ kind: 'received', request: testRequest('first', { deadlineMs: 3000 }), nowMs: 0 })
  harness.apply({ kind: 'response_ended', id: 'first', attempt: 1, status: 200, nowMs: 700 })
  harness.apply({ kind: 'received', request: testRequest('a', { arrivedAtMs: 1000, deadlineMs: 3000 }), nowMs: 1000 })
  t.true(isGivenUp(harness, 2200))
  t.false(isGivenUp(harness, 2400))
})

test('a silent stream goes on over a new connection to the only upstream although all of its places are taken, its own among them', (t) => {
  const harness = newServingHarness([testTarget('u1', { slots: 1 })])
  for (const id of ['a', 'b', 'c']) {
    t.deepEqual(harness.apply({ kind: 'received', request: stream(id), nowMs: 0 }), [`send ${id}#1 to u1`])
    harness.apply({ kind: 'response_started', id, attempt: 1, nowMs: 100 })
  }
  t.true(mayContinueStream(harness.state(), 'a', 1800))
})

test('an attempt at an upstream that turns out to be out of reach is given up whatever it usually takes', (t) => {
  const harness = newServingHarness([testTarget('u1'), testTarget('u2')])
  for (let n = 0; n < 4; n += 1) harness.apply({ kind: 'received', request: testRequest(`before${n}`, { arrivedAtMs: n, deadlineMs: 3000 }), nowMs: n })
  for (let n = 0; n < 4; n += 1) harness.apply({ kind: 'response_ended', id: `before${n}`, attempt: 1, status: 200, nowMs: 500 })
  const [sent = ''] = harness.apply({ kind: 'received', request: testRequest('a', { arrivedAtMs: 1000, deadlineMs: 4000 }), nowMs: 1000 })
  const [first, second] = sent.endsWith('u1') ? ['u1', 'u2'] : ['u2', 'u1']
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: 1520 }), [`probe ${first}`])
  t.deepEqual(harness.apply({ kind: 'upstream_probed', upstream: first, reached: false, nowMs: 1770 }), ['cancel a#1', `send a#2 to ${second}`])
})
