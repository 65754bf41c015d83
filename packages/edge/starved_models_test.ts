import test from 'ava'
import { playPlacementDay, type PlacementDayOptions } from './_test_placement_day.ts'

const ALL_SEEDS = process.env.STARVED_SEEDS === undefined ? undefined : Array.from({ length: Number(process.env.STARVED_SEEDS) }, (_, i) => i + 1)
/** Time for all seeds, in ms: a day takes a second, and more beside other work. */
const TIMEOUT_MS = 1_800_000
/** Models and adapters that may go unanswered, besides a tenth of those that are asked for. */
const MAX_STARVED = 1
const MAX_STARVED_SHARE = 0.1

// Lists the days on which too many models and adapters were never answered, or an engine was ordered to hold too much.
function badDays (seeds: readonly number[], options: PlacementDayOptions): readonly string[] {
  return (ALL_SEEDS ?? seeds).flatMap((seed) => {
    const { asked, starved, violations } = playPlacementDay(seed, options)
    const isStarved = starved.length > MAX_STARVED + MAX_STARVED_SHARE * asked
    return isStarved || violations.length > 0 ? [`seed ${seed}: ${starved.length} of ${asked} (${starved.join(', ')}) ${violations.join('; ')}`] : []
  })
}

// Requests for a model that had become popular were refused hundreds of times, and no engine was ordered to load it.
test('models that become popular while the only engines with a copy are occupied are served', (t) => {
  t.timeout(TIMEOUT_MS)
  t.deepEqual(badDays([1, 4, 12, 18], { copies: 1 }), [])
})

test('models with two copies are served as demand shifts', (t) => {
  t.timeout(TIMEOUT_MS)
  t.deepEqual(badDays([13, 50], { copies: 2 }), [])
})
