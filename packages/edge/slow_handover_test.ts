import test from 'ava'
import { logPlayed, playScenario } from './_test_stop_scenario.ts'

const SEED = Number(process.env.STOP_SEED ?? 1)
const TEST_TIMEOUT_MS = 60_000
/** Longer than three fifths of the deadline, and shorter than twice the latency objective of the route. */
const WORK_MS = 7000
const DEADLINE_MS = 10_000

// Another instance works on the request; its upstream needs most of the time of the caller.
test(`a request that was handed over is not taken back from a relay that works on it (seed ${SEED})`, async (t) => {
  t.timeout(TEST_TIMEOUT_MS)
  const played = await playScenario(t, {
    seed: SEED,
    instances: 2,
    upstreams: [1, 2, 3].map(() => ({ slots: 30, headers: { 'Server-Brittle': '4' } })),
    stops: [],
    lengthMs: 12_000,
    requestsPerS: 4,
    draw: (random) => ({ route: 'lookups', plan: { workMs: random(4) === 0 ? WORK_MS : 30, events: 0, gapMs: 0, bytes: 60 }, deadlineMs: DEADLINE_MS })
  })
  logPlayed(t, played)
  t.true(played.handovers > 5)
  t.deepEqual(played.calls.filter(({ status }) => status !== 200).map(({ id, status, instance }) => `${id} at ${instance}: ${status}`), [])
})
