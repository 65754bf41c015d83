import test from 'ava'
import { applyOrigins, originUpdate } from './origin_exchange.ts'
import type { ReceivedRequest } from './request.ts'
import { newServingHarness, openRequests, testEngineTarget, testRequest, type ServingHarness } from './_test_serving.ts'

const MODEL = { m: [] }

function engine (upstream: string, softwareVersion: string): ReturnType<typeof testEngineTarget> {
  return { ...testEngineTarget(upstream, MODEL), softwareVersion }
}

function stream (id: string, changes: Partial<ReceivedRequest> = {}): ReceivedRequest {
  return testRequest(id, { service: 'drafts', route: 'drafts', model: 'm', stream: true, maxRuns: 3, objectiveMs: 500, deadlineMs: 12_000, ...changes })
}

function receive (harness: ServingHarness, request: ReceivedRequest): readonly string[] {
  return harness.apply({ kind: 'received', request, nowMs: request.arrivedAtMs })
}

function retarget (harness: ServingHarness, engines: ReadonlyArray<ReturnType<typeof engine>>, nowMs: number): readonly string[] {
  return harness.apply({ kind: 'targets_changed', targets: new Map(engines.map((target) => [target.upstream, target])), loadEstimatesMs: new Map(), version: 2, nowMs })
}

// Passes on what one instance knows of the origins of streams.
function tell (from: ServingHarness, to: ServingHarness, nowMs: number, wanted: readonly string[] = []): readonly string[] {
  const update = originUpdate(from.state(), 'from', { since: 0, receiver: 'to', wanted, nowMs })
  return update === undefined ? [] : to.apply({ kind: 'origins_received', update, nowMs })
}

test('an interrupted stream goes on at the software version that began it, not at the first free one', (t) => {
  const harness = newServingHarness([engine('a1', 'v1'), engine('b1', 'v1.1'), engine('c1', 'v1')])
  t.deepEqual(receive(harness, stream('r')), ['send r#1 to a1'])
  harness.apply({ kind: 'response_started', id: 'r', attempt: 1, nowMs: 50 })
  t.deepEqual(harness.apply({ kind: 'attempt_failed', id: 'r', attempt: 1, failure: 'broken', detail: '', nowMs: 60 }), ['send r#2 to c1'])
})

test('an interrupted stream is broken off at once if no upstream of its software version is left', (t) => {
  const harness = newServingHarness([engine('a1', 'v1'), engine('b1', 'v1.1')])
  receive(harness, stream('r'))
  harness.apply({ kind: 'response_started', id: 'r', attempt: 1, nowMs: 50 })
  retarget(harness, [engine('b1', 'v1.1')], 60)
  t.deepEqual(harness.apply({ kind: 'attempt_failed', id: 'r', attempt: 1, failure: 'broken', detail: '', nowMs: 70 }), ['abort r'])
})

test('a stream that broke before its first event may begin at another software version', (t) => {
  const harness = newServingHarness([engine('a1', 'v1'), engine('b1', 'v1.1')])
  t.deepEqual(receive(harness, stream('r')), ['send r#1 to a1'])
  t.deepEqual(harness.apply({ kind: 'attempt_failed', id: 'r', attempt: 1, failure: 'broken', detail: '', nowMs: 60 }), ['send r#2 to b1'])
})

test('a caller that resumes a stream at another instance gets the software version that began it', (t) => {
  const engines = [engine('a1', 'v1'), engine('b1', 'v1.1')]
  const first = newServingHarness(engines)
  const second = newServingHarness(engines)
  receive(first, stream('r'))
  first.apply({ kind: 'response_started', id: 'r', attempt: 1, nowMs: 50 })
  retarget(second, [...engines, engine('a2', 'v1')], 60)
  for (const id of ['x', 'y', 'z']) receive(second, stream(id))
  t.deepEqual(receive(second, stream('s', { resumedAttempt: 'caller-r', arrivedAtMs: 100 })), ['origin_wanted'])
  t.deepEqual(tell(first, second, 120).filter((effect) => effect.startsWith('send')).map((effect) => effect.replace(/a\d/, 'v1')), ['send s#1 to v1'])
  second.apply({ kind: 'response_started', id: 's', attempt: 1, nowMs: 150 })
  const third = newServingHarness(engines)
  tell(second, third, 160)
  t.deepEqual(receive(third, stream('u', { resumedAttempt: 'caller-r', arrivedAtMs: 200 })), ['send u#1 to a1'])
})

test('a resumption whose software version stays unknown is refused as not run and counts as no demand', (t) => {
  const harness = newServingHarness([engine('a1', 'v1'), engine('b1', 'v1.1')])
  t.deepEqual(receive(harness, stream('r', { resumedAttempt: 'elsewhere' })), ['origin_wanted'])
  t.is(harness.state().reportedDemand, '')
  const ended = [400, 1200, 1600].flatMap((nowMs) => harness.apply({ kind: 'ticked', nowMs })).filter((effect) => effect !== 'origin_wanted')
  t.deepEqual(ended, ['refuse r 503 unknown_origin not run'])
  t.is(openRequests(harness), 0)
})

test('a resumption is refused at once if its software version is gone or holds the model nowhere', (t) => {
  const engines = [engine('a1', 'v1'), engine('b1', 'v1.1')]
  const harness = newServingHarness(engines)
  receive(harness, stream('r'))
  harness.apply({ kind: 'response_started', id: 'r', attempt: 1, nowMs: 50 })
  retarget(harness, [{ ...testEngineTarget('a1', { other: [] }), softwareVersion: 'v1' }, engine('b1', 'v1.1')], 60)
  t.deepEqual(receive(harness, stream('s', { resumedAttempt: 'caller-r', arrivedAtMs: 100 })), ['refuse s 503 no_software_version not run'])
  retarget(harness, [engine('b1', 'v1.1')], 110)
  t.deepEqual(receive(harness, stream('u', { resumedAttempt: 'caller-r', arrivedAtMs: 120 })), ['refuse u 503 no_software_version not run'])
})

test('with one software version only, a resumption needs no other instance, and nothing is sent to others', (t) => {
  const harness = newServingHarness([engine('a1', 'v1'), engine('c1', 'v1')])
  t.deepEqual(receive(harness, stream('r', { resumedAttempt: 'elsewhere' })), ['send r#1 to a1'])
  harness.apply({ kind: 'response_started', id: 'r', attempt: 1, nowMs: 50 })
  t.is(originUpdate(harness.state(), 'self', { since: 0, receiver: 'other', wanted: [], nowMs: 60 }), undefined)
})

test('a software version that has left for less than a minute is still that of streams begun before', (t) => {
  const harness = newServingHarness([engine('a1', 'v1'), engine('b1', 'v1.1')])
  harness.apply({ kind: 'ticked', nowMs: 90_000 })
  retarget(harness, [engine('b1', 'v1.1')], 90_500)
  t.deepEqual(receive(harness, stream('r', { resumedAttempt: 'elsewhere', arrivedAtMs: 91_000, deadlineMs: 99_000 })), ['origin_wanted'])
  harness.apply({ kind: 'ticked', nowMs: 140_000 })
  const fresh = newServingHarness([engine('b1', 'v1.1')])
  tell(harness, fresh, 140_000)
  t.deepEqual(receive(fresh, stream('s', { resumedAttempt: 'elsewhere', arrivedAtMs: 140_000, deadlineMs: 150_000 })), ['origin_wanted'])
  t.deepEqual(receive(harness, stream('u', { resumedAttempt: 'elsewhere', arrivedAtMs: 152_000, deadlineMs: 160_000 })), ['send u#1 to b1'])
})

test('origins are forgotten when their streams can no longer be resumed', (t) => {
  const harness = newServingHarness([engine('a1', 'v1'), engine('b1', 'v1.1')])
  receive(harness, stream('r'))
  harness.apply({ kind: 'response_started', id: 'r', attempt: 1, nowMs: 50 })
  harness.apply({ kind: 'response_ended', id: 'r', attempt: 1, status: 200, nowMs: 900 })
  const known = (nowMs: number): number => originUpdate(harness.state(), 'self', { since: 0, receiver: 'other', wanted: [], nowMs })?.records.length ?? 0
  harness.apply({ kind: 'ticked', nowMs: 12_000 })
  t.is(known(12_000), 1)
  harness.apply({ kind: 'ticked', nowMs: 23_000 })
  t.is(known(23_000), 0)
  t.is(harness.state().origins.oldest, 2)
  t.is(applyOrigins(harness.state(), { origin: 'other', version: 1, records: [], softwareVersions: [] }, 23_000).origins, harness.state().origins)
})
