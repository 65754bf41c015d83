import test from 'ava'
import { ejectedUpstreams, maxEjected, type Ejection } from './ejected_upstreams.ts'
import { addCounts, countOutcomes, observeOutcome, type Outcome, type OutcomeCounts } from './outcomes.ts'

const MEMBERS = Array.from({ length: 9 }, (_, i) => ({ upstream: `u${i}`, incarnation: 1 }))

function failing (changes: Partial<OutcomeCounts> = {}): OutcomeCounts {
  return { answered: 0, failed: 3, firstFailedAtMs: 100, lastFailedSentAtMs: 150, ...changes }
}

function ejected (counts: Readonly<Record<string, OutcomeCounts>>, members = MEMBERS, ejections: ReadonlyMap<string, Ejection> = new Map(), nowMs = 200): readonly string[] {
  return [...ejectedUpstreams(new Map(Object.entries(counts)), { members, ejections, nowMs }).keys()].sort()
}

test('an upstream that breaks what it gets is ejected, also if no instance alone saw enough failures', (t) => {
  t.deepEqual(ejected({ u1: failing() }), ['u1'])
  const one = (atMs: number): OutcomeCounts => failing({ failed: 1, firstFailedAtMs: atMs, lastFailedSentAtMs: atMs - 10 })
  t.deepEqual(ejected({ u1: one(100) }), [])
  t.deepEqual(ejected({ u1: [one(130), one(160)].reduce(addCounts, one(100)) }), ['u1'])
})

test('an upstream that answers most requests is not ejected', (t) => {
  t.deepEqual(ejected({ u1: failing({ answered: 4 }) }), [])
})

test('attempts that one crash breaks at the same moment eject nothing', (t) => {
  t.deepEqual(ejected({ u1: failing({ failed: 40, lastFailedSentAtMs: 90 }) }), [])
})

test('at most a third of a service is ejected, and one of three', (t) => {
  t.deepEqual([1, 2, 3, 5, 6, 87].map(maxEjected), [0, 0, 1, 1, 2, 29])
  t.deepEqual(ejected({ u1: failing(), u2: failing({ failed: 9 }), u3: failing({ failed: 5 }), u4: failing({ failed: 7 }) }), ['u2', 'u3', 'u4'])
})

test('nothing is ejected while more than half of a service fails', (t) => {
  t.deepEqual(ejected(Object.fromEntries(MEMBERS.slice(0, 5).map(({ upstream }) => [upstream, failing()]))), [])
})

test('an ejection doubles with each probe that fails, up to a bound, and not with failures before it', (t) => {
  const durations: number[] = []
  let ejections = new Map(ejectedUpstreams(new Map([['u1', failing()]]), { members: MEMBERS, ejections: new Map(), nowMs: 200 }))
  for (let nowMs = 200; durations.length < 6;) {
    const untilMs = ejections.get('u1')?.untilMs ?? nowMs
    durations.push(untilMs - nowMs)
    t.deepEqual(ejected({ u1: failing({ lastFailedSentAtMs: untilMs - 1 }) }, MEMBERS, ejections, untilMs + 10), [])
    nowMs = untilMs + 20
    ejections = new Map(ejectedUpstreams(new Map([['u1', failing({ failed: 1, lastFailedSentAtMs: untilMs + 5 })]]), { members: MEMBERS, ejections, nowMs }))
  }
  t.deepEqual(durations, [1000, 2000, 4000, 8000, 8000, 8000])
})

test('an upstream that fails again soon after its readmission is ejected for longer, a new process for the first time', (t) => {
  const before: Ejection = { incarnation: 1, times: 2, untilMs: 500, readmittedAtMs: 600, failed: 3, answered: 0, source: 'own' }
  const again = (incarnation: number, nowMs: number) => ejectedUpstreams(new Map([['u1', failing({ lastFailedSentAtMs: nowMs - 10 })]]), { members: [...MEMBERS.slice(2), { upstream: 'u1', incarnation }], ejections: new Map([['u1', before]]), nowMs }).get('u1')
  t.is(again(1, 1000)?.times, 3)
  t.is(again(1, 11_000)?.times, 1)
  t.is(again(2, 1000)?.times, 1)
  t.deepEqual(ejected({ u1: failing({ lastFailedSentAtMs: 590 }) }, MEMBERS, new Map([['u1', before]]), 700), [])
})

// A lease holder that has no requests for an upstream never probes it, and ejected it again at one failure long after.
test('an upstream without a failed probe counts as readmitted after some seconds', (t) => {
  const before: Ejection = { incarnation: 1, times: 1, untilMs: 500, readmittedAtMs: undefined, failed: 3, answered: 0, source: 'holder' }
  const one = (nowMs: number): OutcomeCounts => failing({ failed: 1, firstFailedAtMs: nowMs - 5, lastFailedSentAtMs: nowMs - 20 })
  t.deepEqual(ejected({ u1: one(2000) }, MEMBERS, new Map([['u1', before]]), 2000), ['u1'])
  t.deepEqual(ejected({ u1: one(4600) }, MEMBERS, new Map([['u1', before]]), 4600), [])
})

test('outcomes are counted for some seconds and kept in a bounded number', (t) => {
  const outcomes = Array.from({ length: 100 }, (_, i): Outcome => ({ failed: i % 2 === 0, sentAtMs: i * 10, atMs: i * 10 + 5 })).reduce<readonly Outcome[]>(observeOutcome, [])
  t.is(outcomes.length, 32)
  t.like(countOutcomes(outcomes, 1000), { answered: 16, failed: 16, firstFailedAtMs: 685, lastFailedSentAtMs: 980 })
  t.is(countOutcomes(outcomes, 5000), undefined)
})
