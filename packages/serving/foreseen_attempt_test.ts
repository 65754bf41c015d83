import test from 'ava'
import { mayContinueStream } from './continuation.ts'
import { newServingHarness, testRequest, testTarget } from './_test_serving.ts'

const LIMIT_MS = 3000
const received = (id: string, nowMs: number, changes = {}) => ({ kind: 'received', request: testRequest(id, { arrivedAtMs: nowMs, deadlineMs: nowMs + LIMIT_MS, ...changes }), nowMs } as const)
const silent = (id: string, attempt: number, nowMs: number) => ({ kind: 'attempt_failed', id, attempt, failure: 'silent', detail: '', nowMs } as const)
const answered = (id: string, attempt: number, nowMs: number) => ({ kind: 'response_ended', id, attempt, status: 200, nowMs } as const)

/** Tests of open faults, see KNOWN-RED.txt. */
const knownRed = process.env.KNOWN_RED === '1' ? test : test.skip

// Seen: the attempt is given up, the more urgent request that waits takes the place, and the one that was given up waits and is refused.
knownRed('an attempt is not given up for a place that a more urgent waiting request takes', (t) => {
  const harness = newServingHarness([testTarget('u1', { slots: 1 }), testTarget('u2', { slots: 4, availabilityZone: 'z' })])
  harness.apply(received('a', 0))
  harness.apply({ kind: 'peer_loads_received', loads: [{ upstream: 'u1', running: 2 }], instances: 1, nowMs: 0 })
  harness.apply({ kind: 'upstream_announced', upstream: 'u2', leaving: false, retryAfterMs: 390, maxRejectionsPerS: undefined, nowMs: 20 })
  t.deepEqual(harness.apply(received('urgent', 30, { rank: 0 })), [], 'the urgent request waits')
  harness.apply({ kind: 'limit_stated', upstream: 'u2', perS: 2, nowMs: 35 })
  for (let nowMs = 40; nowMs <= 400; nowMs += 40) t.deepEqual(harness.apply({ kind: 'ticked', nowMs }), [])
  // `u2` takes one request from 410 ms on; the tick at 440 ms would send the urgent one.
  if (!mayContinueStream(harness.state(), 'a', 420)) return t.pass()
  const effects = harness.apply(silent('a', 1, 420))
  t.true(effects.some((effect) => effect.startsWith('send a#2')), `given up, and then: ${effects.join('; ')}`)
})

// Seen: given up after 400 ms, though each first event of both upstreams takes 500 ms.
knownRed('the continuation of a stream is not given up sooner than its upstream usually begins', (t) => {
  const harness = newServingHarness(['u1', 'u2', 'u3'].map((upstream) => testTarget(upstream, { slots: 4 })))
  const stream = (id: string, nowMs: number) => received(id, nowMs, { stream: true, maxRuns: 3, deadlineMs: nowMs + 12_000, leavesAtMs: nowMs + 2000 })
  for (let n = 0; n < 9; n += 1) harness.apply(stream(`before${n}`, n))
  for (let n = 0; n < 9; n += 1) {
    harness.apply({ kind: 'response_started', id: `before${n}`, attempt: 1, nowMs: 500 + n })
    harness.apply(answered(`before${n}`, 1, 1000 + n))
  }
  harness.apply(stream('a', 2000))
  harness.apply({ kind: 'response_started', id: 'a', attempt: 1, nowMs: 2500 })
  t.regex(harness.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'broken', detail: '', nowMs: 3000 }).join(), /send a#2/)
  t.false(mayContinueStream(harness.state(), 'a', 3400))
})
