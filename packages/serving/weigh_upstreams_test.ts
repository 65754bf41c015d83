import test from 'ava'
import { quarantinedKey, recordCrash, recordResponse, quarantineCulprits } from './_weigh_evidence.ts'
import { isQuarantineProbe, noteGone } from './_weigh_upstreams.ts'
import { newServingHarness, testEngineTarget, testRequest } from './_test_serving.ts'
import { NO_CRASH_EVIDENCE, type CrashEvidence } from './crash_evidence.ts'
import { reduceServing } from './reduce_serving.ts'
import type { ReceivedRequest } from './request.ts'
import { newServingState, type ServingState } from './serving_state.ts'
import { applyEvidenceUpdate, evidenceUpdateSince } from './evidence_update.ts'

interface Broken {
  readonly id: string
  readonly upstream: string
  readonly parts: readonly string[]
  readonly atMs: number
}

function breaks (evidence: CrashEvidence, { id, upstream, parts, atMs }: Broken): CrashEvidence {
  const attempt = { number: 1, upstream, relay: undefined, softwareVersion: '', sentAtMs: atMs - 10 }
  return recordCrash(evidence, testRequest(id, { promptParts: [...parts, `own-${id}`] }), { attempt, incarnation: 1, nowMs: atMs })
}

// Each of three upstreams breaks a request with the part, and others with other parts before and after it.
function failingUpstreams (others: number): CrashEvidence {
  return [0, 1, 2].reduce((known, u) => {
    const at = u * 1000
    const found = Array.from({ length: others }, (_, i): Broken => ({ id: `other${u}-${i}`, upstream: `u${u}`, parts: [`part${u}-${i}`], atMs: at + 50 + i * 50 }))
    return [{ id: `r${u}`, upstream: `u${u}`, parts: ['shared'], atMs: at }, ...found].reduce(breaks, known)
  }, NO_CRASH_EVIDENCE)
}

test('breaks of upstreams that break other requests as well do not count against a part', (t) => {
  t.deepEqual([...quarantineCulprits(failingUpstreams(0), 4000).quarantines.keys()].length, 1)
  t.deepEqual([...quarantineCulprits(failingUpstreams(2), 4000).quarantines.keys()], [])
})

test('the last break of a failing upstream that is gone counts, as the request may have ended it', (t) => {
  const before = [0, 1, 2].reduce((known, u) => {
    const others = [0, 1].map((i): Broken => ({ id: `other${u}-${i}`, upstream: `u${u}`, parts: [`part${u}-${i}`], atMs: u * 1000 + i * 50 }))
    return [...others, { id: `r${u}`, upstream: `u${u}`, parts: ['crashing'], atMs: u * 1000 + 200 }].reduce(breaks, known)
  }, NO_CRASH_EVIDENCE)
  t.deepEqual([...quarantineCulprits(before, 4000).quarantines.keys()], [])
  t.deepEqual([...quarantineCulprits(noteGone(before, () => true, 3000), 4000).quarantines.keys()], ['part crashing'])
})

test('a part in all requests that an upstream breaks is not cleared by them', (t) => {
  const evidence = Array.from({ length: 9 }, (_, i): Broken => ({ id: `r${i}`, upstream: `u${i % 3}`, parts: ['crashing'], atMs: i * 100 })).reduce(breaks, NO_CRASH_EVIDENCE)
  t.true(quarantineCulprits(evidence, 4000).quarantines.has('part crashing'))
})

test('a quarantine ends when its upstreams turn out to break other requests, and is not taken over again', (t) => {
  const imposed = quarantineCulprits(failingUpstreams(0), 4000)
  const [key = ''] = imposed.quarantines.keys()
  const later = [0, 1, 2].flatMap((u) => [0, 1].map((i): Broken => ({ id: `later${u}-${i}`, upstream: `u${u}`, parts: [`part${u}-${i}`], atMs: 4100 + i * 50 }))).reduce(breaks, imposed)
  const lifted = quarantineCulprits(later, 4300)
  t.deepEqual([...lifted.quarantines.keys()], [])
  const told = applyEvidenceUpdate(lifted, { suspicions: [], quarantines: [[key, 1, 119_000]] }, 4400)
  t.is(quarantinedKey(told, testRequest('r', { promptParts: ['shared', 'own-r0'] }), 4400), undefined)
})

// A response that one instance saw before it learnt of the crash did not clear the part, so that sound parts were quarantined.
test('a crash that becomes known after a later response does not count', (t) => {
  const crashed = breaks(NO_CRASH_EVIDENCE, { id: 'r', upstream: 'u1', parts: ['shared'], atMs: 100 })
  const answered = recordResponse(NO_CRASH_EVIDENCE, testRequest('a', { promptParts: ['shared', 'own-a'] }), 150)
  const informed = applyEvidenceUpdate(answered, evidenceUpdateSince(crashed, { origin: 'x', since: 0, nowMs: 200 }, { relay: false }), 200)
  t.deepEqual(informed.suspicions.get('part shared')?.crashes, [])
  t.is(informed.suspicions.get('part own-r')?.crashes.length, 1)
})

test('a response at one instance lifts the quarantine at the others', (t) => {
  const crashed = quarantineCulprits(failingUpstreams(0), 4000)
  const told = applyEvidenceUpdate(NO_CRASH_EVIDENCE, evidenceUpdateSince(crashed, { origin: 'x', since: 0, nowMs: 4000 }, { relay: true }), 4000)
  const sound = testRequest('a', { promptParts: ['shared', 'own-a'] })
  t.is(quarantinedKey(told, sound, 4050), 'part shared')
  const answered = recordResponse(crashed, sound, 4100)
  const after = applyEvidenceUpdate(told, evidenceUpdateSince(answered, { origin: 'x', since: crashed.version, nowMs: 4110 }, { relay: true }), 4110)
  t.is(quarantinedKey(after, sound, 4120), undefined)
})

test('only a quarantine that has another explanation is probed, once and after a while', (t) => {
  const doubtful = quarantineCulprits(failingUpstreams(1), 4000)
  const founded = quarantineCulprits(failingUpstreams(0), 4000)
  t.true(doubtful.quarantines.has('part shared'))
  t.deepEqual([isQuarantineProbe(doubtful, 'part shared', 6000), isQuarantineProbe(doubtful, 'part shared', 7100)], [false, true])
  t.false(isQuarantineProbe(founded, 'part shared', 7100))
})

test('the lease holder alone sends one repeatable request with a doubtfully quarantined part, and an answer ends the quarantine', (t) => {
  const evidence = quarantineCulprits(failingUpstreams(1), 4000)
  const start = { ...newServingState({ availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 } }), evidence, targets: new Map([['e9', testEngineTarget('e9', { m: [] })]]) }
  const ask = (state: ServingState, id: string, changes: Partial<ReceivedRequest> = {}) => {
    const request = testRequest(id, { service: 'drafts', model: 'm', promptParts: ['shared', `own-${id}`], arrivedAtMs: 7100, deadlineMs: 9000, ...changes })
    const reduced = reduceServing(state, { kind: 'received', request, nowMs: 7100 })
    return { state: reduced.state, sent: reduced.effects.some(({ kind }) => kind === 'send') }
  }
  t.false(ask(start, 'other').sent)
  const holder = { ...start, holdsLease: true }
  t.false(ask(holder, 'once', { retryable: false, maxRuns: 1 }).sent)
  const probe = ask(holder, 'probe')
  t.true(probe.sent)
  t.false(ask(probe.state, 'second').sent)
  const answered = reduceServing(probe.state, { kind: 'response_ended', id: 'probe', attempt: 1, status: 200, nowMs: 7150 }).state
  t.true(ask(answered, 'third').sent)
})

test('an upstream that broke a request is not preferred for being idle', (t) => {
  const harness = newServingHarness([testEngineTarget('e0', { m: [] }), testEngineTarget('e1', { m: [] })])
  const draft = (id: string, nowMs: number) => testRequest(id, { service: 'drafts', model: 'm', arrivedAtMs: nowMs, deadlineMs: nowMs + 1000 })
  t.deepEqual(harness.apply({ kind: 'received', request: { ...draft('a', 0), retryable: false, maxRuns: 1 }, nowMs: 0 }), ['send a#1 to e0'])
  harness.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'broken', detail: '', nowMs: 10 })
  const chosen = Array.from({ length: 5 }, (_, i) => harness.apply({ kind: 'received', request: draft(`b${i}`, 20 + i), nowMs: 20 + i })[0])
  t.deepEqual(chosen.map((effect) => effect?.split(' to ')[1]), ['e1', 'e1', 'e1', 'e1', 'e1'])
})

test('an ejected upstream gets one repeatable request at a time once its time is over, and the last one that offers a model stays', (t) => {
  const engines = [testEngineTarget('e0', { m: [], only: [] }), testEngineTarget('e1', { m: [] }), testEngineTarget('e2', { m: [] })]
  const harness = newServingHarness(engines, undefined, 0)
  harness.apply({ kind: 'ejections_received', ejections: [['e0', 1, 1000, 1, 5, 0]], nowMs: 0 })
  const send = (id: string, nowMs: number, changes = {}) => harness.apply({ kind: 'received', request: testRequest(id, { service: 'drafts', model: 'm', arrivedAtMs: nowMs, deadlineMs: nowMs + 1000, ...changes }), nowMs })[0]?.split(' to ')[1]
  t.is(send('last', 5, { model: 'only' }), 'e0')
  t.false(Array.from({ length: 8 }, (_, i) => send(`a${i}`, 10 + i)).includes('e0'))
  harness.apply({ kind: 'response_ended', id: 'last', attempt: 1, status: 200, nowMs: 50 })
  t.false(Array.from({ length: 8 }, (_, i) => send(`b${i}`, 1010 + i, { retryable: false, maxRuns: 1 })).includes('e0'))
  t.is(Array.from({ length: 8 }, (_, i) => send(`c${i}`, 1020 + i)).filter((upstream) => upstream === 'e0').length, 1)
  t.deepEqual(harness.records().filter((record) => record.startsWith('upstream_')), ['upstream_ejected holder'])
})

test('a new process of an ejected upstream starts afresh', (t) => {
  const engine = (incarnation: number) => ({ ...testEngineTarget('e0', { m: [] }), incarnation })
  const others = ['e1', 'e2'].map((name) => testEngineTarget(name, { m: [] }))
  const harness = newServingHarness([engine(1), ...others])
  harness.apply({ kind: 'ejections_received', ejections: [['e0', 1, 1000, 1, 5, 0]], nowMs: 0 })
  t.is(harness.state().ejections.size, 1)
  harness.apply({ kind: 'targets_changed', targets: new Map([engine(2), ...others].map((target) => [target.upstream, target])), loadEstimatesMs: new Map(), version: 2, nowMs: 100 })
  t.is(harness.state().ejections.size, 0)
  harness.apply({ kind: 'ejections_received', ejections: [['e0', 1, 900, 1, 5, 0]], nowMs: 110 })
  t.is(harness.state().ejections.size, 0)
})
