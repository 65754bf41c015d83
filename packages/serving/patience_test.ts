import test from 'ava'
import { newServingHarness, testRequest, testTarget, type ServingHarness } from './_test_serving.ts'
import { mayContinueStream } from './continuation.ts'
import { noteFirstByte, type RecentMaximum } from './patience.ts'

const LIMIT_MS = 3000
const ROUTE = 'lookups'

const received = (id: string, nowMs: number, changes = {}) => ({ kind: 'received', request: testRequest(id, { route: ROUTE, arrivedAtMs: nowMs, deadlineMs: nowMs + LIMIT_MS, ...changes }), nowMs } as const)
const answered = (id: string, attempt: number, nowMs: number) => ({ kind: 'response_ended', id, attempt, status: 200, nowMs } as const)
const silent = (id: string, attempt: number, nowMs: number) => ({ kind: 'attempt_failed', id, attempt, failure: 'silent', detail: '', nowMs } as const)

// `u1`, which answered within 40 ms, and a busy `u2` that is chosen only while `u1` is avoided.
function startNearAndFar (): ServingHarness {
  const harness = newServingHarness([testTarget('u1', { slots: 20 }), testTarget('u2', { slots: 1, availabilityZone: 'z' })])
  harness.apply({ kind: 'peer_loads_received', loads: [{ upstream: 'u2', running: 1 }], instances: 1, nowMs: 0 })
  harness.apply(received('first', 0))
  harness.apply(answered('first', 1, 40))
  return harness
}

// Returns after how long an attempt of a request that is sent at `nowMs` is given up, in steps of 100 ms; undefined if not before its deadline.
function patienceAt (harness: ServingHarness, nowMs: number, changes = {}): number | undefined {
  harness.apply(received('probe', nowMs, changes))
  const waitedMs = Array.from({ length: LIMIT_MS / 100 }, (_, i) => i * 100).find((ms) => mayContinueStream(harness.state(), 'probe', nowMs + ms))
  harness.apply({ kind: 'caller_left', id: 'probe', nowMs })
  return waitedMs
}

// A sound upstream that needed 500 ms was given up after 400 ms again and again while there was another one.
test('an attempt is given up for silence after about twice the longest first byte lately seen', (t) => {
  const harness = startNearAndFar()
  t.is(patienceAt(harness, 0), 400)
  harness.apply(received('a', 0))
  harness.apply(answered('a', 1, 600))
  t.is(patienceAt(harness, 1000), 1200)
})

test('an attempt that was given up counts as one that took as long as it was waited for', (t) => {
  const harness = startNearAndFar()
  harness.apply(received('a', 0))
  harness.apply(silent('a', 1, 400))
  t.is(patienceAt(harness, 900), 800)
})

test('attempts beside one that was given up are not given up as soon', (t) => {
  const harness = startNearAndFar()
  for (const id of ['a', 'b']) harness.apply(received(id, 0))
  t.true(mayContinueStream(harness.state(), 'b', 400))
  harness.apply(silent('a', 1, 400))
  t.false(mayContinueStream(harness.state(), 'b', 400))
  t.true(mayContinueStream(harness.state(), 'b', 800))
})

test('an attempt is given up while half of its time is left for another one', (t) => {
  const harness = startNearAndFar()
  harness.apply(received('a', 0))
  harness.apply(silent('a', 1, 400))
  t.is(patienceAt(harness, 900, { deadlineMs: 1500 }), 400)
  t.is(patienceAt(harness, 900, { deadlineMs: 1900 }), 500)
  t.is(patienceAt(harness, 900, { leavesAtMs: 1900 }), 500)
  harness.apply(received('b', 1000))
  harness.apply(answered('b', 1, 3900))
  t.is(patienceAt(harness, 4000), 1500)
})

test('what one route takes does not count for another one, nor for long', (t) => {
  const harness = startNearAndFar()
  harness.apply(received('a', 0, { route: 'other' }))
  harness.apply(answered('a', 1, 600))
  t.is(patienceAt(harness, 1000), 400)
  t.is(patienceAt(harness, 10_000, { route: 'other' }), 1200)
  t.is(patienceAt(harness, 21_000, { route: 'other' }), 400)
})

test('an attempt is not given up for an upstream that usually takes longer than the time left', (t) => {
  const harness = startNearAndFar()
  harness.apply(received('a', 0))
  harness.apply(silent('a', 1, 400))
  harness.apply(answered('a', 2, 1500))
  t.is(patienceAt(harness, 2000, { deadlineMs: 3600 }), undefined)
  t.is(patienceAt(harness, 2000, { deadlineMs: 4600 }), 800)
})

test('the longest first bytes of routes that are gone are dropped', (t) => {
  let known: ReadonlyMap<string, RecentMaximum> = new Map()
  for (let i = 0; i < 1000; i += 1) known = noteFirstByte(known, `route-${i}`, { firstByteMs: 10, nowMs: i * 1000 })
  t.true(known.size <= 21, `${known.size} routes`)
})
