import test from 'ava'
import { playFailingFleet, type FailingFleet } from './_test_failing_fleet.ts'

// Engines that answer health checks and break each request after 7 to 20 ms, at a part of the size of the deployment where it was seen.
const LOAD: FailingFleet = { instances: 32, engines: 44, failing: 4, failingMs: 8000, durationMs: 14_000, requestsPerS: 130, crashingEvery: 0, seed: 2 }

// Without ejections 78 requests were lost and 31 refused for the quarantine of a shared part, on this seed.
test('engines that break each request are found out by all instances together, and no sound part is quarantined for them', (t) => {
  const { sound, answered, lost, suspected, quarantined, wronglyEjected } = playFailingFleet(LOAD)
  t.true(lost <= 25, `${lost} of ${sound} lost`)
  t.true(answered >= sound * 0.98, `${answered} of ${sound} answered`)
  t.is(suspected, 0)
  t.deepEqual([...quarantined], [])
  t.is(wronglyEjected, 0)
})

// Without the weighing of upstreams 87 requests were lost and 30 refused for the quarantine of a sound part, on this seed.
test('a part that crashes engines is quarantined while other engines break all they get, and no sound part is', (t) => {
  const { sound, answered, suspected, quarantined, lateSends, crashes } = playFailingFleet({ ...LOAD, crashingEvery: 25 })
  t.deepEqual([...quarantined], ['part crashing'])
  t.is(lateSends, 0)
  t.true(crashes <= 8, `${crashes} crashes`)
  t.is(suspected, 0)
  t.true(answered >= sound * 0.97, `${answered} of ${sound} answered`)
})
