import test from 'ava'
import { isIsolated } from './reach.ts'
import { newServingHarness, openRequests, testEngineTarget, testTarget, testRequest } from './_test_serving.ts'
import { MAX_REQUEST_CRASHES } from './_weigh_evidence.ts'
import { instanceReport } from './instance_report.ts'
import type { AttemptFailure } from './serving_event.ts'

const failed = (id: string, attempt: number, failure: AttemptFailure, nowMs = 10) => ({ kind: 'attempt_failed', id, attempt, failure, detail: '', nowMs } as const)

test('a request is sent, answered and removed', (t) => {
  const harness = newServingHarness([testTarget('u1')])
  t.deepEqual(harness.apply({ kind: 'received', request: testRequest('r'), nowMs: 0 }), ['send r#1 to u1'])
  t.deepEqual(harness.apply({ kind: 'response_ended', id: 'r', attempt: 1, status: 200, nowMs: 20 }), ['finish r'])
  t.is(openRequests(harness), 0)
  t.deepEqual(harness.records(), ['sent', 'answered'])
})

test('a request that is not retryable gets another attempt only if the upstream did not run it', (t) => {
  const outcomes = (['broken', 'silent', 'crossed', 'malformed', 'not_connected', 'refused', 'misdirected'] as const).map((failure) => {
    const harness = newServingHarness([testTarget('u1'), testTarget('u2')])
    harness.apply({ kind: 'received', request: testRequest('r', { retryable: false, maxRuns: 1 }), nowMs: 0 })
    return `${failure}: ${harness.apply(failed('r', 1, failure)).join(', ')}`
  })
  t.snapshot(outcomes)
})

test('a retryable request is sent to another upstream until its maximum number of runs', (t) => {
  const harness = newServingHarness([testTarget('u1'), testTarget('u2'), testTarget('u3')])
  harness.apply({ kind: 'received', request: testRequest('r'), nowMs: 0 })
  t.deepEqual(harness.apply(failed('r', 1, 'broken')), ['send r#2 to u2'])
  t.deepEqual(harness.apply(failed('r', 2, 'broken', 20)), ['refuse r 502 upstream_broken'])
})

test('the error response of an upstream is delivered if no later attempt succeeds', (t) => {
  const harness = newServingHarness([testTarget('u1'), testTarget('u2')])
  harness.apply({ kind: 'received', request: testRequest('r'), nowMs: 0 })
  t.deepEqual(harness.apply(failed('r', 1, 'upstream_error')), ['send r#2 to u2'])
  t.deepEqual(harness.apply(failed('r', 2, 'broken', 20)), ['finish r'])
})

test('retries stop when the shared retry budget is exhausted', (t) => {
  const harness = newServingHarness([testTarget('u1', { slots: 50 }), testTarget('u2', { slots: 50 })], { ratio: 0.2, minRetries: 0, windowMs: 10_000 })
  const sent = Array.from({ length: 20 }, (_, i) => {
    harness.apply({ kind: 'received', request: testRequest(`r${i}`), nowMs: 0 })
    return harness.apply(failed(`r${i}`, 1, 'refused'))[0]?.split(' ')[0]
  })
  t.deepEqual(sent.filter((what) => what === 'send').length, 3)
})

test('a request for a model without replicas waits, is reported as unmet demand, and is sent once the model is loaded', (t) => {
  const harness = newServingHarness([testEngineTarget('e1', { other: [] })])
  const request = testRequest('r', { service: 'drafts', model: 'rare', stream: true, retryable: false, maxRuns: 1, objectiveMs: 2000, deadlineMs: 20_000 })
  t.deepEqual(harness.apply({ kind: 'received', request, nowMs: 0 }), ['demand_changed'])
  t.deepEqual(instanceReport(harness.state(), { instance: 'i', incarnation: 'x' }, { nowMs: 100 }).unmetDemand.map(({ model, waiting, dueInMs }) => ({ model, waiting, dueInMs })), [{ model: 'rare', waiting: 1, dueInMs: [1900] }])
  const targets = new Map([['e1', testEngineTarget('e1', { rare: [] })]])
  t.deepEqual(harness.apply({ kind: 'targets_changed', targets, loadEstimatesMs: new Map(), version: 2, nowMs: 400 }), ['send r#1 to e1'])
})

test('a request for a model that stays unavailable is refused long before its deadline', (t) => {
  const harness = newServingHarness([testEngineTarget('e1', {})])
  harness.apply({ kind: 'received', request: testRequest('r', { service: 'drafts', model: 'rare', objectiveMs: 2000, deadlineMs: 20_000 }), nowMs: 0 })
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: 7000 }), [])
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: 7300 }), ['refuse r 503 no_replica not run'])
})

test('an interrupted stream resumes on another upstream if it is retryable, and is aborted otherwise', (t) => {
  const streams = [true, false].map((retryable) => {
    const harness = newServingHarness([testEngineTarget('e1', { m: [] }), testEngineTarget('e2', { m: [] })])
    harness.apply({ kind: 'received', request: testRequest('r', { service: 'drafts', model: 'm', stream: true, retryable }), nowMs: 0 })
    harness.apply({ kind: 'response_started', id: 'r', attempt: 1, nowMs: 50 })
    return harness.apply(failed('r', 1, 'broken', 60))
  })
  t.deepEqual(streams, [['send r#2 to e2'], ['abort r']])
})

test('the request of a disconnected caller is cancelled if it is retryable, and runs to completion otherwise', (t) => {
  const ends = [true, false].map((retryable) => {
    const harness = newServingHarness([testTarget('u1')])
    harness.apply({ kind: 'received', request: testRequest('r', { retryable }), nowMs: 0 })
    const effects = harness.apply({ kind: 'caller_left', id: 'r', nowMs: 5 })
    return [effects, openRequests(harness), harness.apply({ kind: 'response_ended', id: 'r', attempt: 1, status: 200, nowMs: 20 }), openRequests(harness)]
  })
  t.deepEqual(ends, [[['cancel r#1'], 0, [], 0], [[], 1, [], 0]])
})

test('an attempt that exceeds the deadline is cancelled, and the refusal does not claim that it has not run', (t) => {
  const harness = newServingHarness([testTarget('u1')])
  harness.apply({ kind: 'received', request: testRequest('r', { retryable: false }), nowMs: 0 })
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: 1001 }), ['cancel r#1', 'refuse r 504 deadline_running'])
})

test('requests with a fingerprint that crashed several upstreams are refused, and a success clears the fingerprint', (t) => {
  const harness = newServingHarness(['u1', 'u2', 'u3', 'u4', 'u5'].map((name) => testTarget(name)))
  const outcomes = [0, 1, 2].map((i) => {
    const received = harness.apply({ kind: 'received', request: testRequest(`r${i}`, { fingerprint: 'crashing' }), nowMs: i * 100 })
    return [...received, ...harness.apply(failed(`r${i}`, 1, 'broken', i * 100 + 10)), ...harness.apply(failed(`r${i}`, 2, 'broken', i * 100 + 20))].at(-1)
  })
  t.is(MAX_REQUEST_CRASHES, 3)
  t.deepEqual(outcomes, ['refuse r0 502 upstream_broken', 'refuse r1 502 suspected_crash', 'refuse r2 503 suspected_crash not run'])
  const cleared = newServingHarness([testTarget('u1'), testTarget('u2')])
  cleared.apply({ kind: 'evidence_received', update: { suspicions: [['request fingerprint-r', null, [['x#1', 'u8#1', 20, 10], ['y#1', 'u9#1', 9, 1]]]], quarantines: [] }, nowMs: 0 })
  cleared.apply({ kind: 'received', request: testRequest('r'), nowMs: 0 })
  cleared.apply({ kind: 'response_ended', id: 'r', attempt: 1, status: 200, nowMs: 5 })
  t.deepEqual(cleared.apply({ kind: 'received', request: testRequest('r'), nowMs: 10 }), ['send r#1 to u1'])
})

test('an upstream that accepts no connection receives no requests until a probe reaches it', (t) => {
  const harness = newServingHarness([testTarget('u1'), testTarget('u2')])
  harness.apply({ kind: 'received', request: testRequest('a'), nowMs: 0 })
  harness.apply(failed('a', 1, 'not_connected', 250))
  const next = (id: string, nowMs: number): string | undefined => harness.apply({ kind: 'received', request: testRequest(id, { arrivedAtMs: nowMs, deadlineMs: nowMs + 1000 }), nowMs })[0]
  t.deepEqual([next('b', 300), next('c', 310)], ['send b#1 to u2', 'send c#1 to u2'])
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: 320 }), ['probe u1'])
  harness.apply({ kind: 'upstream_probed', upstream: 'u1', reached: false, nowMs: 330 })
  t.is(next('d', 60_000), 'send d#1 to u2')
  harness.apply({ kind: 'upstream_probed', upstream: 'u1', reached: true, nowMs: 60_010 })
  t.is(next('e', 60_020), 'send e#1 to u1')
})

test('a leaving upstream and one that lacks the model receive no requests', (t) => {
  const harness = newServingHarness([testTarget('u1', { leaving: true }), testTarget('u2')])
  t.deepEqual(harness.apply({ kind: 'received', request: testRequest('r'), nowMs: 0 }), ['send r#1 to u2'])
  const engines = newServingHarness([testEngineTarget('e1', { m: [] }), testEngineTarget('e2', { m: [] }, false)])
  const receive = (id: string) => engines.apply({ kind: 'received', request: testRequest(id, { service: 'drafts', model: 'm', deadlineMs: 9000 }), nowMs: 0 })
  t.deepEqual(receive('a'), ['send a#1 to e1'])
  t.deepEqual(engines.apply(failed('a', 1, 'misdirected')), ['demand_changed'])
})

test('an instance that is shutting down refuses requests that would wait', (t) => {
  const harness = newServingHarness([testEngineTarget('e1', {}), testTarget('u1')])
  const waiting = testRequest('r', { service: 'drafts', model: 'rare', objectiveMs: 2000, deadlineMs: 20_000 })
  harness.apply({ kind: 'received', request: testRequest('running'), nowMs: 0 })
  harness.apply({ kind: 'received', request: waiting, nowMs: 0 })
  t.deepEqual(harness.apply({ kind: 'shutdown_started', nowMs: 100 }), ['refuse r 503 shutting_down not run'])
  t.deepEqual(harness.apply({ kind: 'received', request: { ...waiting, id: 'late' }, nowMs: 200 }), ['refuse late 503 shutting_down not run'])
  t.is(openRequests(harness), 1)
})

test('requests that wait for a full replica are reported as unmet demand', (t) => {
  const harness = newServingHarness([testEngineTarget('e1', { m: [] })])
  const receive = (id: string) => harness.apply({ kind: 'received', request: testRequest(id, { service: 'drafts', model: 'm', objectiveMs: 500, deadlineMs: 9000 }), nowMs: 0 })
  const sent = Array.from({ length: 18 }, (_, i) => receive(`r${i}`)).flat()
  t.is(sent.filter((effect) => effect.startsWith('send')).length, 16)
  t.deepEqual(instanceReport(harness.state(), { instance: 'i', incarnation: 'x' }, { nowMs: 0 }).unmetDemand, [{ service: 'drafts', model: 'm', adapter: undefined, waiting: 2, dueInMs: [500, 500] }])
})

test('a request whose upstreams are all out of reach is handed to another instance, once or twice', (t) => {
  const harness = newServingHarness([testTarget('u1')])
  const relays = ['b', 'c', 'd'].map((instance) => ({ instance, address: instance }))
  harness.apply({ kind: 'relays_received', relays, nowMs: 0 })
  harness.apply({ kind: 'received', request: testRequest('r', { retryable: false }), nowMs: 0 })
  const handedOver = harness.apply(failed('r', 1, 'not_connected', 5))
  const again = harness.apply(failed('r', 2, 'refused', 10))
  const refused = harness.apply(failed('r', 3, 'refused', 20))
  t.deepEqual([handedOver, again, refused], [['send r#2 to relay b'], ['send r#3 to relay c'], []])
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: 950 }), ['probe u1', 'refuse r 503 no_upstream not run'])
})

test('a request that another instance handed over is not handed over again', (t) => {
  const harness = newServingHarness([testTarget('u1')])
  harness.apply({ kind: 'relays_received', relays: [{ instance: 'b', address: 'b' }], nowMs: 0 })
  harness.apply({ kind: 'received', request: testRequest('r', { handover: { softwareVersion: undefined } }), nowMs: 0 })
  t.deepEqual(harness.apply(failed('r', 1, 'not_connected', 5)), [])
})

test('a booking whose relay breaks off has an unknown outcome and is not sent again', (t) => {
  const harness = newServingHarness([testTarget('u1')])
  harness.apply({ kind: 'relays_received', relays: [{ instance: 'b', address: 'b' }, { instance: 'c', address: 'c' }], nowMs: 0 })
  harness.apply({ kind: 'received', request: testRequest('r', { retryable: false }), nowMs: 0 })
  harness.apply(failed('r', 1, 'not_connected', 5))
  t.deepEqual(harness.apply(failed('r', 2, 'broken', 50)), ['refuse r 502 upstream_broken'])
})

test('an instance counts as isolated only if several upstreams are out of reach and none has responded lately', (t) => {
  const harness = newServingHarness([testTarget('u1'), testTarget('u2'), testTarget('u3')])
  const isolated: boolean[] = []
  for (const [i, upstream] of ['u1', 'u2'].entries()) {
    harness.apply({ kind: 'upstream_probed', upstream, reached: false, nowMs: i })
    isolated.push(isIsolated(harness.state(), 600))
  }
  harness.apply({ kind: 'received', request: testRequest('r'), nowMs: 610 })
  harness.apply({ kind: 'response_ended', id: 'r', attempt: 1, status: 200, nowMs: 620 })
  t.deepEqual([...isolated, isIsolated(harness.state(), 630)], [false, true, false])
})
