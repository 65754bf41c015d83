import test from 'ava'
import { logPlayed, playScenario, type Scenario, type UpstreamPlan } from './_test_stop_scenario.ts'

const SEED = Number(process.env.STOP_SEED ?? 1)
/** Grace periods, in seconds, within which the reserves of a stopping instance take more than the last sixth, or all of it. */
const GRACES_S = (process.env.STOP_GRACES ?? '5,2').split(',').map(Number)
const TEST_TIMEOUT_MS = 60_000
const STOP_MS = 2000
const UPSTREAMS: readonly UpstreamPlan[] = [1, 2].map(() => ({ slots: 60 }))

// The platform excuses streams that are cut in the last sixth of the grace period, and no others.
function drawOutlasting (graceS: number): ReturnType<Scenario['draw']> {
  return { route: 'notes', plan: { workMs: 30, events: 10 * graceS, gapMs: 150, bytes: 0 } }
}

for (const graceS of GRACES_S) {
  test.serial(`requests run until the last sixth of a grace period of ${graceS} s, and the process ends within it`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS)
    const played = await playScenario(t, {
      seed: SEED,
      instances: 2,
      graceS,
      upstreams: UPSTREAMS,
      stops: [{ atMs: STOP_MS, instance: 0 }],
      lengthMs: STOP_MS + 500,
      requestsPerS: 10,
      draw: () => drawOutlasting(graceS)
    })
    logPlayed(t, played)
    t.deepEqual(played.faults, [])
  })
}
