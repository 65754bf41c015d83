import test from 'ava'
import { newServingHarness, testEngineTarget, testRequest, testTarget } from './_test_serving.ts'
import type { ServingEvent } from './serving_event.ts'

const CLOSES_AT_MS = 7000
const stream = (id: string) => testRequest(id, { service: 'drafts', route: 'drafts', model: 'm', stream: true, deadlineMs: 9000, objectiveMs: 500 })

// A stream runs on an engine that leaves, another one on the only other engine, and the instance accepts no new callers.
function startStopping () {
  const engines = ['e1', 'e2'].map((id) => ({ ...testEngineTarget(id, { m: [] }), slots: 1 }))
  const harness = newServingHarness(engines)
  harness.apply({ kind: 'received', request: stream('a'), nowMs: 0 })
  harness.apply({ kind: 'received', request: stream('b'), nowMs: 0 })
  for (const id of ['a', 'b']) harness.apply({ kind: 'response_started', id, attempt: 1, nowMs: 100 })
  harness.apply({ kind: 'shutdown_announced', closesAtMs: CLOSES_AT_MS, nowMs: 200 })
  harness.apply({ kind: 'shutdown_started', nowMs: 2800 })
  const targets = new Map(engines.map((target) => [target.upstream, { ...target, leaving: target.upstream === 'e1' }]))
  harness.apply({ kind: 'targets_changed', targets, loadEstimatesMs: new Map(), version: 2, nowMs: 2900 })
  return harness
}

const failed = (failure: 'broken' | 'silent', nowMs: number): ServingEvent => ({ kind: 'attempt_failed', id: 'a', attempt: 1, failure, detail: '', nowMs })

// A stopping instance broke off a stream at once that it would have continued 200 ms later.
test('a stream whose upstream fails while its instance stops goes on when a slot is free', (t) => {
  for (const failure of ['broken', 'silent'] as const) {
    const harness = startStopping()
    t.deepEqual(harness.apply(failed(failure, 3000)).filter((effect) => effect.startsWith('abort')), [])
    t.true(harness.apply({ kind: 'response_ended', id: 'b', attempt: 1, status: 200, nowMs: 3200 }).includes('send a#2 to e2'))
  }
})

test('a stream that is interrupted while its instance stops waits no longer than at other times', (t) => {
  const harness = startStopping()
  harness.apply(failed('broken', 3000))
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: 4480 }), [])
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: 4520 }), ['abort a'])
})

test('an interrupted stream is broken off when its stopping instance ends all requests', (t) => {
  const harness = startStopping()
  harness.apply(failed('broken', 6000))
  t.true(harness.apply({ kind: 'ticked', nowMs: CLOSES_AT_MS }).includes('abort a'))
})

test('a request whose response has not begun is refused when its upstream fails while its instance stops', (t) => {
  const harness = newServingHarness([testTarget('u1')])
  harness.apply({ kind: 'received', request: testRequest('a', { deadlineMs: 9000 }), nowMs: 0 })
  harness.apply({ kind: 'shutdown_announced', closesAtMs: CLOSES_AT_MS, nowMs: 0 })
  harness.apply({ kind: 'shutdown_started', nowMs: 2600 })
  t.deepEqual(harness.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'not_connected', detail: '', nowMs: 2700 }), ['refuse a 503 shutting_down not run'])
})

// `a` was begun at `u1`, which crashed; the only other upstream is full for 1.6 s. Callers of the route leave after a pause of 4 s (`leavesAtMs`).
test('an interrupted stream waits for another upstream for as long as its caller waits for an event', (t) => {
  const harness = newServingHarness([testTarget('u1', { slots: 1 }), testTarget('u2', { slots: 1, availabilityZone: 'z' })])
  harness.apply({ kind: 'received', request: testRequest('a', { stream: true, leavesAtMs: 4000, deadlineMs: 20_000 }), nowMs: 0 })
  harness.apply({ kind: 'response_started', id: 'a', attempt: 1, nowMs: 100 })
  harness.apply({ kind: 'peer_loads_received', loads: [{ upstream: 'u2', running: 3 }, { upstream: 'u1', running: 3 }], instances: 1, nowMs: 200 })
  harness.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'broken', detail: '', nowMs: 1000 })
  const aborted = [2000, 2400, 2520, 2560].flatMap((nowMs) => harness.apply({ kind: 'ticked', nowMs }).filter((effect) => effect === 'abort a').map(() => nowMs))
  t.deepEqual(aborted, [])
})
