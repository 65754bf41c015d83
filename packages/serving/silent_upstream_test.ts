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
