import test from 'ava'
import { isIsolated } from './reach.ts'
import { newServingHarness, testRequest, testTarget, type ServingHarness } from './_test_serving.ts'

const DEADLINE_MS = 3000
const silent = (id: string, attempt: number, nowMs: number) => ({ kind: 'attempt_failed', id, attempt, failure: 'silent', detail: '', nowMs } as const)
const received = (id: string, nowMs: number) => ({ kind: 'received', request: testRequest(id, { arrivedAtMs: nowMs, deadlineMs: nowMs + DEADLINE_MS }), nowMs } as const)

// Two upstreams, and another instance to which requests can be handed.
function startTwo (): ServingHarness {
  const harness = newServingHarness([testTarget('u1'), testTarget('u2')])
  harness.apply({ kind: 'relays_received', relays: [{ instance: 'b', address: 'b' }], nowMs: 0 })
  return harness
}

// Sound upstreams counted as out of reach after 400 ms without a byte.
test('an upstream is out of reach only once a connection to it has failed, not by its silence', (t) => {
  const harness = startTwo()
  harness.apply(received('a', 0))
  t.deepEqual(harness.apply(silent('a', 1, 400)), ['probe u1', 'send a#2 to u2'])
  harness.apply(silent('a', 2, 800))
  t.deepEqual([...harness.state().unreachable.keys()], [])
  t.false(isIsolated(harness.state(), 2000))
  harness.apply({ kind: 'upstream_probed', upstream: 'u1', reached: false, nowMs: 900 })
  t.deepEqual([...harness.state().unreachable.keys()], ['u1'])
})

test('a silent upstream at which a request waits is probed, again after a time', (t) => {
  const harness = newServingHarness([testTarget('u1')])
  for (const id of ['a', 'b']) harness.apply(received(id, 0))
  const probes = [400, 420, 600, 800, 820].map((nowMs) => harness.apply({ kind: 'silence_endured', id: nowMs === 420 ? 'b' : 'a', nowMs }))
  t.deepEqual(probes, [['probe u1'], [], [], ['probe u1'], []])
})

// Requests were refused or handed over while all upstreams were merely avoided for their silence.
test('a request is sent to an upstream that is avoided if there is no other one', (t) => {
  const harness = startTwo()
  harness.apply(received('a', 0))
  harness.apply(silent('a', 1, 400))
  harness.apply(silent('a', 2, 700))
  t.deepEqual(harness.apply(received('b', 710)), ['send b#1 to u2'], 'it was waited for less long')
  t.deepEqual(harness.apply({ kind: 'attempt_failed', id: 'b', attempt: 1, failure: 'broken', detail: '', nowMs: 720 }), ['send b#2 to u1'])
})

test('an upstream that is avoided receives no requests while there is another one', (t) => {
  const harness = startTwo()
  harness.apply(received('a', 0))
  harness.apply(silent('a', 1, 400))
  t.deepEqual(Array.from({ length: 3 }, (_, i) => harness.apply(received(`b${i}`, 410 + i))), [['send b0#1 to u2'], ['send b1#1 to u2'], ['send b2#1 to u2']])
})

test('an upstream that says that it is another one receives no requests for a time', (t) => {
  const harness = newServingHarness([testTarget('u1')])
  harness.apply(received('a', 0))
  t.deepEqual(harness.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'misdirected', detail: '', nowMs: 10 }), [])
  t.deepEqual(harness.apply(received('b', 100)), [])
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: 420 }), ['send a#2 to u1', 'send b#1 to u1'])
})

test('a request is handed over only if no upstream can be reached', (t) => {
  const harness = startTwo()
  harness.apply(received('a', 0))
  harness.apply(silent('a', 1, 400))
  harness.apply({ kind: 'upstream_probed', upstream: 'u2', reached: false, nowMs: 410 })
  t.deepEqual(harness.apply(received('b', 420)), ['send b#1 to u1'])
  harness.apply({ kind: 'upstream_probed', upstream: 'u1', reached: false, nowMs: 430 })
  t.deepEqual(harness.apply(received('c', 440)), ['send c#1 to relay b'])
})

// An upstream that had hung was chosen again as soon as it was no longer avoided, as the time it had been waited for counted for nothing.
test('an upstream that was given up for silence is not chosen while another one answers sooner', (t) => {
  const harness = newServingHarness([testTarget('u1', { slots: 20 }), testTarget('u2', { slots: 20 })])
  harness.apply(received('a', 0))
  t.deepEqual(harness.apply(silent('a', 1, 400)), ['probe u1', 'send a#2 to u2'])
  harness.apply({ kind: 'response_ended', id: 'a', attempt: 2, status: 200, nowMs: 440 })
  const sent = Array.from({ length: 8 }, (_, i) => harness.apply(received(`b${i}`, 900 + i))[0]?.split(' ').at(-1))
  t.deepEqual(new Set(sent), new Set(['u2']))
})
