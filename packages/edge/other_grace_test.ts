import test from 'ava'
import { logPlayed, pick, playScenario, type Random, type Scenario, type UpstreamPlan } from './_test_stop_scenario.ts'

const FIRST_SEED = Number(process.env.STOP_SEED ?? 1)
const SEEDS = Number(process.env.STOP_SEEDS ?? 1)
/** Grace periods, in seconds; those of many seconds take long, as do stops within them. */
const GRACES_S = (process.env.STOP_GRACES ?? '3,20').split(',').map(Number)
const TEST_TIMEOUT_MS = 180_000
const STOP_MS = 3000
const UPSTREAMS: readonly UpstreamPlan[] = [1, 2, 3].map(() => ({ slots: 60 }))
/** Share of the grace period that the longest requests take; they end well before the last sixth of it. */
const LONGEST_SHARE = 0.4
const LONGEST_MS = 6000

// Requests that are sent before a stop end within its grace period.
function drawWithin (random: Random, graceS: number): ReturnType<Scenario['draw']> {
  const longestMs = Math.min(LONGEST_MS, graceS * 1000 * LONGEST_SHARE)
  const route = pick(random, ['lookups', 'bookings', 'drafts', 'notes'])
  if (route === 'lookups' || route === 'bookings') return { route, plan: { workMs: pick(random, [20, 60, 400, longestMs]), events: 0, gapMs: 0, bytes: 60 } }
  return { route, plan: { workMs: 30, events: 8, gapMs: pick(random, [50, 100, Math.min(1200, longestMs / 8)]), bytes: 0 } }
}

for (const graceS of GRACES_S) {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    test.serial(`no request is lost in stops with a grace period of ${graceS} s (seed ${seed})`, async (t) => {
      t.timeout(TEST_TIMEOUT_MS)
      const played = await playScenario(t, {
        seed,
        instances: 3,
        graceS,
        upstreams: UPSTREAMS,
        stops: [0, 1].map((instance) => ({ atMs: STOP_MS + instance * 400, instance, again: true })),
        lengthMs: STOP_MS + 4000,
        requestsPerS: 40,
        draw: (random) => drawWithin(random, graceS),
        usesStopping: true
      })
      logPlayed(t, played)
      t.deepEqual(played.faults, [])
      t.deepEqual(played.cutByRelays, [])
    })

    test.serial(`a process ends within a grace period of ${graceS} s beside a slow store (seed ${seed})`, async (t) => {
      t.timeout(TEST_TIMEOUT_MS)
      const played = await playScenario(t, {
        seed,
        instances: 2,
        graceS,
        upstreams: UPSTREAMS,
        stops: [{ atMs: STOP_MS, instance: 'holder' }, { atMs: STOP_MS, instance: 0 }],
        storeDelayMs: 4000,
        lengthMs: STOP_MS + 1000,
        requestsPerS: 40,
        draw: (random) => drawWithin(random, graceS)
      })
      logPlayed(t, played)
      t.deepEqual(played.faults, [])
    })
  }
}
