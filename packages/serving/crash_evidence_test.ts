import test from 'ava'
import fc from 'fast-check'
import { addCrashes, quarantineCulprits, quarantinedKey, recordResponse } from './_weigh_evidence.ts'
import { testRequest } from './_test_serving.ts'
import { NO_CRASH_EVIDENCE, type Crash, type CrashEvidence } from './crash_evidence.ts'
import { applyEvidenceUpdate, evidenceUpdateSince } from './evidence_update.ts'

function crash (number: number): Crash {
  return { source: `request-${number}`, process: `e${number}#1`, sentAtMs: number * 100, atMs: number * 100 + 50 }
}

function withCrashes (crashesOf: Readonly<Record<string, readonly number[]>>): CrashEvidence {
  return Object.entries(crashesOf).reduce((known, [key, numbers]) => {
    return addCrashes(known, key, { crashes: numbers.map(crash), clearedAtMs: -Infinity, own: true })
  }, NO_CRASH_EVIDENCE)
}

function quarantined (crashesOf: Readonly<Record<string, readonly number[]>>): readonly string[] {
  return [...quarantineCulprits(withCrashes(crashesOf), 1000).quarantines.keys()]
}

test('parts that were present at the same crashes are quarantined only in combination', (t) => {
  t.deepEqual(quarantined({ 'part a': [1, 2, 3], 'part b': [1, 2, 3] }), ['parts a+b'])
  t.deepEqual(quarantined({ 'part a': [1, 2, 3], 'part b': [1] }), ['part a'])
  t.deepEqual(quarantined({ 'part a': [1, 2, 3, 4, 5], 'part b': [1, 2, 3] }), ['part a'])
  t.deepEqual(quarantined({ 'part a': [1, 2, 3], 'part b': [4, 5, 6] }), ['part a', 'part b'])
})

test('a common part is not quarantined alone while the evidence against another one is under way', (t) => {
  t.deepEqual(quarantined({ 'part common': [1, 2, 3], 'part crashing': [1, 2] }), ['parts common+crashing'])
  t.deepEqual(quarantined({ 'part common': [1, 2, 3, 4], 'part crashing': [1, 2, 3] }), ['parts common+crashing'])
  const unsettled = withCrashes({ 'part common': [1, 2, 3] })
  t.deepEqual([...quarantineCulprits(unsettled, 360).quarantines.keys()], [])
})

test('parts of different requests are quarantined by themselves, as no request has all of them', (t) => {
  const at = (number: number, source: string): Crash => ({ ...crash(number), source: `${source}-${number}` })
  const seen = { 'part crashing': [1, 2, 3], 'part other': [1, 2, 3], 'part third': [2, 3, 4] }
  const evidence = Object.entries(seen).reduce((known, [key, numbers]) => addCrashes(known, key, { crashes: numbers.map((number) => at(number, key)), clearedAtMs: -Infinity, own: true }), NO_CRASH_EVIDENCE)
  const after = quarantineCulprits(evidence, 1000)
  t.deepEqual([...after.quarantines.keys()].sort(), ['part crashing', 'part other', 'part third'])
  t.true([...after.quarantines.values()].every(({ untilMs }) => untilMs <= 1000 + 10_000), 'for a short time')
})

test('the attempts that one crash breaks do not displace those of earlier crashes', (t) => {
  const attempts = (number: number) => Array.from({ length: 12 }, (_, i): Crash => ({ ...crash(number), source: `request-${number}-${i}` }))
  const evidence = addCrashes(NO_CRASH_EVIDENCE, 'part a', { crashes: [1, 2, 3].flatMap(attempts), clearedAtMs: -Infinity, own: true })
  t.deepEqual([...quarantineCulprits(evidence, 1000).quarantines.keys()], ['part a'])
})

test('a response that clears a part of a combination leaves the rest of it quarantined', (t) => {
  const combined = quarantineCulprits(withCrashes({ 'part a': [1, 2, 3], 'part b': [1, 2, 3] }), 1000)
  const sound = testRequest('sound', { promptParts: ['b', 'own'] })
  t.is(quarantinedKey(combined, sound, 1000), undefined)
  t.is(quarantinedKey(combined, testRequest('r', { promptParts: ['a', 'b', 'own'] }), 1000), 'parts a+b')
  const cleared = recordResponse(combined, sound, 1100)
  t.is(quarantinedKey(cleared, testRequest('r', { promptParts: ['a', 'own'] }), 1100), 'part a')
})

test('a part is not blamed for the crashes of one that another instance has quarantined', (t) => {
  const evidence = quarantineCulprits(withCrashes({ 'part a': [1, 2, 3], 'part b': [1, 2, 3] }), 1000)
  const informed = applyEvidenceUpdate(evidence, { suspicions: [], quarantines: [['part a', 1, 60_000]] }, 1100)
  t.deepEqual([...quarantineCulprits(informed, 1200).quarantines.keys()], ['parts a+b', 'part a'])
})

test('a quarantined request does not clear its parts', (t) => {
  const after = quarantineCulprits(withCrashes({ 'request f': [1, 2, 3], 'part a': [1, 2] }), 1000)
  t.deepEqual([...after.quarantines.keys()], ['request f'])
  t.is(after.suspicions.get('part a')?.crashes.length, 2)
})

test('the neighbours of a quarantined part are cleared of its crashes', (t) => {
  const after = quarantineCulprits(withCrashes({ 'part a': [1, 2, 3, 4], 'part b': [1, 2] }), 1000)
  t.deepEqual(after.suspicions.get('part b')?.crashes, [])
})

test('evidence is the same in whatever order its parts arrive, and however often', (t) => {
  const crashes = fc.array(fc.tuple(fc.constantFrom('part a', 'part b', 'request c'), fc.integer({ min: 0, max: 6 })), { maxLength: 12 })
  const summary = (evidence: CrashEvidence) => [...evidence.suspicions].map(([key, suspicion]) => [key, suspicion.crashes.map(({ source }) => source).sort()]).sort()
  fc.assert(fc.property(crashes, fc.integer(), (found, seed) => {
    const add = (known: CrashEvidence, [key, number]: readonly [string, number]) => addCrashes(known, key, { crashes: [crash(number)], clearedAtMs: -Infinity, own: true })
    const shuffled = [...found, ...found].map((value, i) => ({ value, order: Math.sin(seed + i) })).sort((a, b) => a.order - b.order).map(({ value }) => value)
    t.deepEqual(summary(shuffled.reduce(add, NO_CRASH_EVIDENCE)), summary(found.reduce(add, NO_CRASH_EVIDENCE)))
  }), { seed: 19, numRuns: 200 })
})

test('an update carries what changed since the version that its receiver has, oldest first', (t) => {
  const many = Object.fromEntries(Array.from({ length: 250 }, (_, i) => [`part ${i}`, [1]]))
  const evidence = withCrashes(many)
  const first = evidenceUpdateSince(evidence, { origin: 'x', since: 0, nowMs: 1000 }, { relay: true })
  const second = evidenceUpdateSince(evidence, { origin: 'x', since: first.version, nowMs: 1000 }, { relay: true })
  t.deepEqual([first.suspicions.length, second.suspicions.length, second.version], [200, 50, 250])
  const received = [first, second].reduce((known, update) => applyEvidenceUpdate(known, update, 1000), NO_CRASH_EVIDENCE)
  t.deepEqual([...received.suspicions.keys()], Object.keys(many))
  t.deepEqual(evidenceUpdateSince(received, { origin: 'y', since: 1, nowMs: 1000 }, { relay: false }).suspicions, [])
})
