import test from 'ava'
import { newServingHarness, testRequest, testTarget } from './_test_serving.ts'
import { targetLoad } from './serving_state.ts'
import { runChoices } from './_test_choice_model.ts'

const request = () => ({ promptTokens: 543, outputTokens: 90 })
const LOAD = { instances: 64, engines: 20, slots: 12, durationMs: 4000, arrivalsPerS: 250, request }

// 64 instances with views 0.2 to 0.4 s old chose alike: engines rejected 1,188 of 8,843 arrivals.
test('many instances with stale views do not all send to the same engines', (t) => {
  const [earlier, current] = [runChoices({ ...LOAD, choice: 'earlier' }), runChoices({ ...LOAD, choice: 'current' })]
  t.log(earlier, current)
  t.true(current.rejections * 10 < earlier.rejections)
  t.true(current.onTime > earlier.onTime + 0.05)
  t.true(current.maxOverMean < 1.15 * earlier.maxOverMean)
})

// The average first byte of an engine followed a slow phase only when it had ended.
test('engines in a slow phase of seconds get fewer requests while it lasts', (t) => {
  const load = { ...LOAD, slowness: (engine: number, nowMs: number) => engine < 4 && nowMs % 3000 > 1000 ? 4 : 1 }
  const [earlier, current] = [runChoices({ ...load, choice: 'earlier' }), runChoices({ ...load, choice: 'current' })]
  t.log(earlier, current)
  t.true(current.onTime > earlier.onTime + 0.05)
  t.true(current.meanFirstMs < earlier.meanFirstMs)
})

// The choice after a rejection took the upstream again, as the reports did not yet tell that it was full.
test('an upstream that rejected a request counts as full for the age of a report', (t) => {
  const harness = newServingHarness([testTarget('u1', { slots: 2 }), testTarget('u2', { slots: 2, availabilityZone: 'z' })])
  const received = (id: string, nowMs: number) => harness.apply({ kind: 'received', request: testRequest(id, { arrivedAtMs: nowMs, deadlineMs: nowMs + 1000 }), nowMs })
  t.deepEqual(received('a', 0), ['send a#1 to u1'])
  t.deepEqual(harness.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'refused', detail: '', nowMs: 5 }), ['send a#2 to u2'])
  harness.apply({ kind: 'response_ended', id: 'a', attempt: 2, status: 200, nowMs: 10 })
  t.deepEqual(received('b', 290), ['send b#1 to u2'])
  t.deepEqual([...harness.apply({ kind: 'caller_left', id: 'b', nowMs: 300 }), targetLoad(harness.state(), 'u1').fullUntilMs], ['cancel b#1', 305])
})
