import test from 'ava'
import fc from 'fast-check'
import { FAULT_KINDS } from './fault.ts'
import { LAST_FAULT_MS, LONGEST_FAULT_MS } from './fault_schedule.ts'
import { checkPlacement } from './placement_history.ts'
import { runPlacementWorld } from './placement_world.ts'
import { PLANTED_FAULTS } from './planted_faults.ts'

const SCHEDULES = 200
const SCHEDULES_PER_PLANTED_FAULT = 150
const SEED = 20_261_204

const fault = fc.record({
  kind: fc.constantFrom(...FAULT_KINDS),
  atMs: fc.integer({ min: 0, max: LAST_FAULT_MS }),
  durationMs: fc.integer({ min: 200, max: LONGEST_FAULT_MS }),
  index: fc.integer({ min: 0, max: 11 })
})
const schedule = fc.record({
  seed: fc.integer({ min: 1, max: 1_000_000 }),
  faults: fc.array(fault, { maxLength: 6 })
})

test(`the placement promises hold under ${SCHEDULES} schedules of faults, and every lasting demand is served`, (t) => {
  fc.assert(fc.property(schedule, (options) => {
    const run = runPlacementWorld(options)
    t.deepEqual(checkPlacement(run.records, run.capacityMb), [])
    t.deepEqual(run.unserved, [])
  }), { numRuns: SCHEDULES, seed: SEED })
  t.pass()
})

test('the placement promises hold under every pair of faults', (t) => {
  let seed = SEED
  for (const first of FAULT_KINDS) {
    for (const second of FAULT_KINDS) {
      seed += 1
      const faults = [
        { kind: first, atMs: 3000, durationMs: 8000, index: seed % 12 },
        { kind: second, atMs: 3500 + seed % 2000, durationMs: 5000, index: (seed >> 2) % 12 }
      ]
      const run = runPlacementWorld({ seed, faults, activeMs: 14_000, quietMs: 26_000 })
      t.deepEqual(checkPlacement(run.records, run.capacityMb), [], `${first} and ${second}`)
      t.deepEqual(run.unserved, [], `${first} and ${second}`)
    }
  }
})

for (const planted of PLANTED_FAULTS) {
  test(`the checker catches: ${planted.name}`, (t) => {
    const found = fc.check(fc.property(schedule, (options) => {
      const run = runPlacementWorld({ ...options, ...planted.world })
      return checkPlacement(run.records, run.capacityMb).length === 0
    }), { numRuns: SCHEDULES_PER_PLANTED_FAULT, seed: SEED, endOnFailure: true })
    t.true(found.failed)
  })
}

test('a run is the same for the same seed and schedule', (t) => {
  const options = { seed: 7, faults: [{ kind: 'kill_node', atMs: 2000, durationMs: 3000, index: 0 }] as const }
  t.deepEqual(runPlacementWorld(options).records, runPlacementWorld(options).records)
})
