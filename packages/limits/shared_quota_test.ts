import type { Quota } from '@berylshed/fleet'
import test from 'ava'
import fc from 'fast-check'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { boundOf, drawArrivals, largestWindow, missedUnits, play, type Fault } from './_test_shared_quota.ts'

/** Part of a quota that is usable on demand. */
const USABLE = 0.95
/** Usual load as a part of the quota, which is 1.8 times as large. */
const USUAL = 1 / 1.8
const SMALLEST: Quota = { unit: 'tokens', perS: 1900, burst: 1900, plainTokens: 1000 }
const MIDDLE: Quota = { unit: 'tokens', perS: 8000, burst: 8000, plainTokens: 1000 }
const LARGE: Quota = { unit: 'tokens', perS: 30_000, burst: 30_000, plainTokens: 1000 }

function generator (seed: number): () => number {
  const random = xoroshiro128plus(seed)
  return () => uniformFloat64(random)
}

interface _Day {
  readonly quota: Quota
  readonly instances?: number
  /** Load as a part of the quota, each from a time on. */
  readonly loads: ReadonlyArray<readonly [fromMs: number, part: number]>
  readonly untilMs: number
  readonly seed: number
  readonly maxUnits?: number
  readonly faults?: readonly Fault[]
  readonly instanceAt?: (atMs: number) => number
}

function playDay (day: _Day): ReturnType<typeof play> {
  const { quota, instances = 32, loads, maxUnits = 1800, faults = [] } = day
  const random = generator(day.seed)
  const instanceAt = day.instanceAt ?? (() => Math.floor(random() * instances))
  const arrivals = loads.flatMap(([fromMs, part], i) => drawArrivals({ perS: quota.perS * part, fromMs, untilMs: loads[i + 1]?.[0] ?? day.untilMs, minUnits: 200, maxUnits, instanceAt, random }))
  return play({ instances, quota, arrivals, faults, random })
}

for (const [name, quota, maxUnits] of [['smallest', SMALLEST, 1800], ['smallest with long requests', SMALLEST, 4000], ['middle', MIDDLE, 4000], ['large', LARGE, 1800]] as const) {
  test(`a customer (${name}) that suddenly sends 20 times its usual is stopped before instances that do not know of each other outrun its quota`, (t) => {
    for (const seed of quota === LARGE ? [1] : [1, 2]) {
      const outcomes = playDay({ quota, loads: [[0, USUAL], [3000, 20 * USUAL]], untilMs: 12_000, seed, maxUnits })
      t.true(largestWindow(outcomes) <= boundOf(quota), `seed ${seed}: ${largestWindow(outcomes)} of ${boundOf(quota)}`)
    }
  })
}

test('a flood while all instances are cut off from the lease holder stays within the bound', (t) => {
  for (const quota of [SMALLEST, MIDDLE]) {
    const outcomes = playDay({ quota, loads: [[0, USUAL], [4000, 20 * USUAL]], untilMs: 14_000, seed: 3, faults: [{ kind: 'cut', instance: 0, fromMs: 3000, untilMs: Infinity }] })
    t.true(largestWindow(outcomes) <= boundOf(quota), `${largestWindow(outcomes)} of ${boundOf(quota)}`)
  }
})

test('a flood after the death of the lease holder stays within the bound, and the next holder does not start from full buckets', (t) => {
  for (const quota of [SMALLEST, MIDDLE]) {
    const outcomes = playDay({ quota, loads: [[0, USUAL], [3000, 20 * USUAL]], untilMs: 14_000, seed: 4, faults: [{ kind: 'frozen', instance: 0, fromMs: 3000, untilMs: Infinity }, { kind: 'elected', instance: 1, fromMs: 6000, untilMs: Infinity }] })
    t.true(largestWindow(outcomes) <= boundOf(quota), `${largestWindow(outcomes)} of ${boundOf(quota)}`)
  }
})

test('instances that are cut off do not spend their fallback shares beside the whole quota of the others', (t) => {
  const faults = Array.from({ length: 10 }, (_, i): Fault => ({ kind: 'cut', instance: i + 1, fromMs: 2000, untilMs: 9000 }))
  const outcomes = playDay({ quota: MIDDLE, loads: [[0, 4]], untilMs: 14_000, seed: 5, faults })
  t.true(largestWindow(outcomes) <= boundOf(MIDDLE), `${largestWindow(outcomes)} of ${boundOf(MIDDLE)}`)
})

const callers: ReadonlyArray<readonly [string, ((atMs: number) => number) | undefined]> = [
  ['come at random to 32 instances', undefined],
  ['all reach one instance', () => 5],
  ['move to another instance every 1.7 s', (atMs) => Math.floor(atMs / 1700) * 7 % 32]
]
for (const [name, instanceAt] of callers) {
  test(`a small customer whose callers ${name} is not starved by shares smaller than a request`, (t) => {
    const totals = { admitted: 0, within: 0 }
    for (const seed of [1, 2, 3, 4]) {
      const outcomes = playDay({ quota: SMALLEST, loads: [[0, USUAL], [5000, 0.01], [10_000, 1.2]], untilMs: 20_000, seed, ...instanceAt === undefined ? {} : { instanceAt } })
      const { within, admitted } = missedUnits(outcomes, SMALLEST, USABLE)
      totals.within += within
      totals.admitted += admitted
    }
    t.true(totals.admitted >= USABLE * totals.within, `${totals.admitted} of ${totals.within}`)
  })
}

test('a customer within 0.95 of its quota is refused next to nothing, though instances know the bucket of a heartbeat ago', (t) => {
  const outcomes = playDay({ quota: LARGE, loads: [[0, 0.9]], untilMs: 12_000, seed: 6 }).filter(({ atMs }) => atMs > 1000)
  const refused = outcomes.filter(({ admitted }) => !admitted).length
  t.true(refused <= 0.02 * outcomes.length, `${refused} of ${outcomes.length}`)
})

test('a lowered limit binds within one window, as buckets hold no more than the new burst', (t) => {
  const random = generator(7)
  const lowered = { ...MIDDLE, perS: 2000, burst: 2000 }
  const arrivals = drawArrivals({ perS: 12_000, fromMs: 0, untilMs: 16_000, minUnits: 200, maxUnits: 1800, instanceAt: () => Math.floor(random() * 16), random })
  const outcomes = play({ instances: 16, quota: MIDDLE, changed: { atMs: 4000, quota: lowered }, arrivals, random }).filter(({ atMs }) => atMs > 4500)
  t.true(largestWindow(outcomes) <= boundOf(lowered), `${largestWindow(outcomes)} of ${boundOf(lowered)}`)
})

const faultOf = fc.record({ kind: fc.constantFrom('cut' as const, 'frozen' as const, 'restarted' as const), instance: fc.nat(11), fromMs: fc.integer({ min: 500, max: 8000 }), forMs: fc.integer({ min: 50, max: 5000 }) })
const elections = fc.array(fc.record({ instance: fc.nat(11), fromMs: fc.integer({ min: 1000, max: 9000 }) }), { maxLength: 2 })

test('no loss, repetition or delay of messages, no change of holder and no frozen or restarted instance lets the sum outrun the bound', (t) => {
  fc.assert(fc.property(fc.record({
    quota: fc.constantFrom(SMALLEST, MIDDLE),
    load: fc.constantFrom(0.9, 3, 20 * USUAL),
    maxUnits: fc.constantFrom(1800, 4000),
    lost: fc.constantFrom(0, 0.1, 0.3),
    doubled: fc.constantFrom(0, 0.2),
    maxDelayMs: fc.constantFrom(10, 150),
    faults: fc.array(faultOf, { maxLength: 4 }),
    elections,
    seed: fc.integer()
  }), ({ quota, load, maxUnits, lost, doubled, maxDelayMs, faults, elections: elected, seed }) => {
    const random = generator(seed)
    const arrivals = drawArrivals({ perS: quota.perS * load, fromMs: 0, untilMs: 11_000, minUnits: 200, maxUnits, instanceAt: () => Math.floor(random() * 12), random })
    const outcomes = play({
      instances: 12,
      quota,
      arrivals,
      lost,
      doubled,
      maxDelayMs,
      random,
      faults: [...faults.map(({ forMs, ...fault }): Fault => ({ ...fault, untilMs: fault.fromMs + forMs })), ...elected.map((election): Fault => ({ kind: 'elected', untilMs: Infinity, ...election }))]
    })
    const largest = largestWindow(outcomes)
    if (largest > boundOf(quota)) throw new Error(`${largest} of ${boundOf(quota)}`)
  }), { numRuns: Number(process.env['QUOTA_RUNS'] ?? 40), ...process.env['QUOTA_SEED'] === undefined ? {} : { seed: Number(process.env['QUOTA_SEED']) } })
  t.pass()
})

test('at least 0.95 of a quota is used on demand while messages arrive, repeated ones and a restart among them', (t) => {
  fc.assert(fc.property(fc.constantFrom(MIDDLE, LARGE), fc.integer(), fc.nat(11), fc.constantFrom(0, 0.1), (quota, seed, instance, doubled) => {
    const random = generator(seed)
    const arrivals = drawArrivals({ perS: quota.perS * 1.5, fromMs: 1000, untilMs: 12_000, minUnits: 200, maxUnits: 1800, instanceAt: () => Math.floor(random() * 12), random })
    const outcomes = play({ instances: 12, quota, arrivals, doubled, random, faults: [{ kind: 'restarted', instance, fromMs: 5000, untilMs: 5000 }] })
    const { within, admitted } = missedUnits(outcomes, quota, USABLE)
    if (admitted < USABLE * within) throw new Error(`${admitted} of ${within}`)
  }), { numRuns: Number(process.env['QUOTA_RUNS'] ?? 8) })
  t.pass()
})

test('the check of the bound catches instances that each enforce the whole quota alone', (t) => {
  const parts = Array.from({ length: 4 }, (_, i) => {
    const random = generator(i)
    const arrivals = drawArrivals({ perS: MIDDLE.perS * 3, fromMs: 0, untilMs: 9000, minUnits: 200, maxUnits: 1800, instanceAt: () => 0, random })
    return play({ instances: 1, quota: MIDDLE, arrivals, random })
  })
  const together = parts.flat().sort((a, b) => a.atMs - b.atMs)
  t.true(largestWindow(together) > boundOf(MIDDLE))
})
