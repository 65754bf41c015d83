import test from 'ava'
import { newServingHarness, testEngineTarget, testRequest, type ServingHarness } from './_test_serving.ts'
import type { ReceivedRequest } from './request.ts'

const ENGINES = Array.from({ length: 12 }, (_, i) => `e${i}`)
/** Part that crashes each engine which begins to respond to it. */
const CRASHING = 'crashing'

function draft (id: string, parts: readonly string[], nowMs: number): ReceivedRequest {
  return testRequest(id, {
    service: 'drafts', model: 'm', stream: true, promptParts: [...parts, `own-${id}`], objectiveMs: 500, arrivedAtMs: nowMs, deadlineMs: nowMs + 12_000
  })
}

function newFleet (): ServingHarness {
  return newServingHarness(ENGINES.map((name) => testEngineTarget(name, { m: [] })))
}

// Engines answer sound requests 40 ms after these arrive, and break the connection of those with the crashing part.
function play (harness: ServingHarness, options: { readonly requests: number, readonly everyMs: number, readonly crashingEvery: number }): { readonly crashes: number, readonly soundSent: number, readonly sound: number } {
  const seen = { crashes: 0, soundSent: 0, sound: 0 }
  for (let i = 0; i < options.requests; i += 1) {
    const nowMs = i * options.everyMs
    const crashing = i % options.crashingEvery === 0
    const id = `r${i}`
    const caller = `caller${i % 4}`
    const parts = crashing ? ['first', CRASHING, caller] : ['first', caller]
    let effects = harness.apply({ kind: 'received', request: draft(id, parts, nowMs), nowMs })
    if (!crashing) {
      seen.sound += 1
      if (effects.some((effect) => effect.startsWith('send'))) seen.soundSent += 1
      harness.apply({ kind: 'response_started', id, attempt: 1, nowMs: nowMs + 40 })
      harness.apply({ kind: 'response_ended', id, attempt: 1, status: 200, nowMs: nowMs + 45 })
      continue
    }
    for (let attempt = 1; effects.some((effect) => effect.startsWith(`send ${id}#${attempt} `)); attempt += 1) {
      seen.crashes += 1
      effects = harness.apply({ kind: 'attempt_failed', id, attempt, failure: 'broken', detail: 'aborted', nowMs: nowMs + attempt * 40 })
    }
  }
  return seen
}

test('a prompt part that crashes engines is refused after a few crashes, and requests with its neighbours are served', (t) => {
  const { crashes, soundSent, sound } = play(newFleet(), { requests: 400, everyMs: 50, crashingEvery: 10 })
  t.true(crashes <= 5, `${crashes} crashes`)
  t.is(soundSent, sound)
})

test('a prompt that crashes engines is refused though each caller sends it once and sound requests share its first parts', (t) => {
  const harness = newFleet()
  let crashes = 0
  for (let i = 0; i < 12; i += 1) {
    const nowMs = i * 1000
    const id = `r${i}`
    const request = { ...draft(id, [], nowMs), promptParts: ['first', 'subject', CRASHING] }
    if (!harness.apply({ kind: 'received', request, nowMs }).some((effect) => effect.startsWith('send'))) continue
    crashes += 1
    harness.apply({ kind: 'attempt_failed', id, attempt: 1, failure: 'broken', detail: 'aborted', nowMs: nowMs + 90 })
    harness.apply({ kind: 'caller_left', id, nowMs: nowMs + 100 })
    const sound = `sound${i}`
    t.true(harness.apply({ kind: 'received', request: draft(sound, ['first', 'subject'], nowMs + 500), nowMs: nowMs + 500 }).some((effect) => effect.startsWith('send')))
    harness.apply({ kind: 'response_started', id: sound, attempt: 1, nowMs: nowMs + 540 })
    harness.apply({ kind: 'response_ended', id: sound, attempt: 1, status: 200, nowMs: nowMs + 600 })
  }
  t.is(crashes, 3)
})

test('a part that crashes engines full of other requests is told from the parts that happen to be on them', (t) => {
  const engine = (round: number) => ({ ...testEngineTarget(`engine${round}`, { m: [] }), slots: 40 })
  const harness = newServingHarness([engine(0)])
  let crashes = 0
  let refused = 0
  for (let round = 0; round < 12; round += 1) {
    const nowMs = round * 3000
    // Six requests with the part and twenty others, each with one of eight parts, are on the engine that crashes.
    const requests = Array.from({ length: 26 }, (_, i) => ({ ...draft(`r${round}-${i}`, [round % 3 === 2 ? 'second' : 'first', i < 6 ? CRASHING : `other${(i * 7 + round * 3) % 8}`], nowMs), retryable: false }))
    const sent = requests.filter((request) => harness.apply({ kind: 'received', request, nowMs }).some((effect) => effect.startsWith('send')))
    const crashing = sent.filter(({ promptParts }) => promptParts.includes(CRASHING))
    refused += sent.length - crashing.length < 20 ? 1 : 0
    if (crashing.length === 0) break
    crashes += 1
    harness.apply({ kind: 'targets_changed', targets: new Map([[`engine${round + 1}`, engine(round + 1)]]), loadEstimatesMs: new Map(), version: round + 2, nowMs })
    for (const { id } of sent) harness.apply({ kind: 'attempt_failed', id, attempt: 1, failure: 'broken', detail: 'aborted', nowMs: nowMs + 90 })
    harness.apply({ kind: 'ticked', nowMs: nowMs + 400 })
    const sound = draft(`sound${round}`, [round % 3 === 2 ? 'second' : 'first', `cleared${round}`], nowMs + 500)
    harness.apply({ kind: 'received', request: sound, nowMs: nowMs + 500 })
    harness.apply({ kind: 'response_ended', id: sound.id, attempt: 1, status: 200, nowMs: nowMs + 600 })
  }
  // Three crashes are needed to tell, and one more may be needed to tell the part from one that was on all three engines.
  t.true(crashes <= 4, `${crashes} crashes`)
  t.true(refused <= 1, `sound requests were refused in ${refused} rounds`)
})

test('a request with a quarantined part is refused as not run while it waits', (t) => {
  const harness = newFleet()
  play(harness, { requests: 60, everyMs: 50, crashingEvery: 10 })
  t.deepEqual(harness.apply({ kind: 'received', request: draft('late', ['other', CRASHING], 5000), nowMs: 5000 }), ['refuse late 503 suspected_crash not run'])
  const waiting = newServingHarness([])
  waiting.apply({ kind: 'received', request: draft('w', ['other', CRASHING], 0), nowMs: 0 })
  waiting.apply({ kind: 'evidence_received', update: { suspicions: [], quarantines: [[`part ${CRASHING}`, 1, 60_000]] }, nowMs: 10 })
  t.deepEqual(waiting.apply({ kind: 'ticked', nowMs: 20 }), ['refuse w 503 suspected_crash not run'])
})

test('connections that break at the same moment quarantine nothing', (t) => {
  const harness = newFleet()
  for (let i = 0; i < 40; i += 1) harness.apply({ kind: 'received', request: draft(`r${i}`, ['first', 'caller'], 0), nowMs: 0 })
  for (let i = 0; i < 40; i += 1) harness.apply({ kind: 'attempt_failed', id: `r${i}`, attempt: 1, failure: 'broken', detail: 'reset', nowMs: 30 })
  t.true(harness.apply({ kind: 'received', request: draft('next', ['first', 'caller'], 40), nowMs: 40 })[0]?.startsWith('send next#1'))
  t.false(harness.records().some((record) => record.startsWith('quarantined')))
})

test('an engine that keeps breaking connections quarantines nothing that others serve', (t) => {
  const harness = newServingHarness([testEngineTarget('grey', { m: [] })])
  for (let i = 0; i < 10; i += 1) {
    harness.apply({ kind: 'received', request: draft(`r${i}`, ['first', 'caller'], i * 100), nowMs: i * 100 })
    harness.apply({ kind: 'attempt_failed', id: `r${i}`, attempt: 1, failure: 'broken', detail: 'reset', nowMs: i * 100 + 20 })
  }
  t.false(harness.records().some((record) => record.startsWith('quarantined')))
})

test('a part is admitted again after its quarantine, and one crash bans it for twice as long', (t) => {
  const harness = newFleet()
  harness.apply({ kind: 'evidence_received', update: { suspicions: [], quarantines: [[`part ${CRASHING}`, 1, 60_000]] }, nowMs: 0 })
  t.true(harness.apply({ kind: 'received', request: draft('a', ['first', CRASHING], 61_000), nowMs: 61_000 })[0]?.startsWith('send a#1'))
  harness.apply({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'broken', detail: 'aborted', nowMs: 61_050 })
  t.is(harness.apply({ kind: 'received', request: draft('b', ['first', CRASHING], 300_000), nowMs: 300_000 })[0], 'refuse b 503 suspected_crash not run')
  t.true(harness.apply({ kind: 'received', request: draft('c', ['first', CRASHING], 302_000), nowMs: 302_000 })[0]?.startsWith('send c#1'))
  harness.apply({ kind: 'response_started', id: 'c', attempt: 1, nowMs: 302_100 })
  t.deepEqual(harness.records().filter((record) => record.startsWith('quarantine')), [`quarantined part ${CRASHING}`, `quarantined part ${CRASHING}`, `quarantine_lifted part ${CRASHING}`])
})
