import test from 'ava'
import { mayContinueStream } from './continuation.ts'
import { newServingHarness, testRequest, testTarget, type ServingHarness } from './_test_serving.ts'

const SIGNALLED_AT_MS = 10_000
const RUNNING = 300
const WAITING = 200
const EVENTS = 40

// A request `a` was accepted and sent to `u1` 2.3 s after the signal; all requests of its route have taken 40 ms. New callers no longer come.
function startLate (): ServingHarness {
  const harness = newServingHarness([testTarget('u1', { slots: 20 }), testTarget('u2', { slots: 20 })])
  for (let n = 0; n < 40; n += 1) {
    harness.apply({ kind: 'received', request: testRequest(`before${n}`, { arrivedAtMs: n * 200, deadlineMs: n * 200 + 12_000 }), nowMs: n * 200 })
    harness.apply({ kind: 'response_ended', id: `before${n}`, attempt: 1, status: 200, nowMs: n * 200 + 40 })
  }
  harness.apply({ kind: 'shutdown_announced', newCallersUntilMs: SIGNALLED_AT_MS + 2600, closesAtMs: SIGNALLED_AT_MS + 7000, nowMs: SIGNALLED_AT_MS })
  harness.apply({ kind: 'received', request: testRequest('a', { arrivedAtMs: SIGNALLED_AT_MS + 2300, deadlineMs: SIGNALLED_AT_MS + 14_300 }), nowMs: SIGNALLED_AT_MS + 2300 })
  harness.apply({ kind: 'shutdown_started', nowMs: SIGNALLED_AT_MS + 2600 })
  return harness
}

// Its caller got 502 although another upstream was idle and 4.3 s were left.
test('a request that was accepted early in a planned stop is sent again when its attempt breaks', (t) => {
  const harness = startLate()
  t.regex(harness.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'broken', detail: '', nowMs: SIGNALLED_AT_MS + 2700 }).join(), /send a#2/)
})

// It stayed there until its instance ended it, 4.3 s later.
test('a request that was accepted early in a planned stop leaves an upstream that has hung', (t) => {
  const harness = startLate()
  t.true([2700, 3100, 4000, 6000].some((ms) => mayContinueStream(harness.state(), 'a', SIGNALLED_AT_MS + ms)))
})

test('no request is sent once the time at which the instance ends all requests has passed', (t) => {
  const harness = newServingHarness([testTarget('u1')])
  harness.apply({ kind: 'shutdown_announced', newCallersUntilMs: 2600, closesAtMs: 2000, nowMs: 0 })
  t.deepEqual(harness.apply({ kind: 'received', request: testRequest('a', { arrivedAtMs: 2200, deadlineMs: 9000 }), nowMs: 2200 }), ['refuse a 503 shutting_down not run'])
})

// Returns the time that an event takes with a full queue, in ms.
function costMs (isStopping: boolean): number {
  const harness = newServingHarness([testTarget('u1', { slots: RUNNING / 3 })])
  const received = (id: string, nowMs: number) => ({ kind: 'received', request: testRequest(id, { arrivedAtMs: nowMs, deadlineMs: nowMs + 20_000, objectiveMs: 5000 }), nowMs } as const)
  for (let n = 0; n < RUNNING + WAITING; n += 1) harness.apply(received(`a${n}`, n / 100))
  if (isStopping) harness.apply({ kind: 'shutdown_announced', newCallersUntilMs: 2600, closesAtMs: 7000, nowMs: 10 })
  const startedAtMs = performance.now()
  for (let n = 0; n < EVENTS; n += 1) harness.apply(received(`b${n}`, 20 + n))
  return (performance.now() - startedAtMs) / EVENTS
}

// Each waiting request counted all open ones again.
test('an event costs a stopping instance with a full queue at most five times as much as one that does not stop', (t) => {
  costMs(false)
  costMs(true)
  const [calm, stopping] = [costMs(false), costMs(true)]
  t.log(`${calm.toFixed(2)} and ${stopping.toFixed(2)} ms per event, ${RUNNING} running and ${WAITING} waiting requests`)
  t.true(stopping < 5 * calm)
})
