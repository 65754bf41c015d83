import test from 'ava'
import { createRandom, logPlayed, pick, playScenario, type Random, type Scenario, type StopPlan, type UpstreamPlan } from './_test_stop_scenario.ts'

const FIRST_SEED = Number(process.env.STOP_SEED ?? 1)
const SEEDS = Number(process.env.STOP_SEEDS ?? 1)
const TEST_TIMEOUT_MS = 90_000
const INSTANCES = Number(process.env.STOP_INSTANCES ?? 4)
/** Upstreams that run few requests at once, and reject others. */
const FEW_SLOTS: readonly UpstreamPlan[] = [1, 2, 3].map(() => ({ slots: 5 }))
const TWO_VERSIONS: readonly UpstreamPlan[] = ['v1', 'v1', 'v2', 'v2'].map((softwareVersion) => ({ slots: 60, softwareVersion }))
/** Upstreams that name fewer requests a second than there are instances have one sender. */
const SCARCE: readonly UpstreamPlan[] = [2, 3, 3, 3, 2, 8].map((perS) => ({ slots: 30, headers: { 'Server-Limit': String(perS) } }))
const BRITTLE: readonly UpstreamPlan[] = [1, 2, 3, 4].map(() => ({ slots: 30, headers: { 'Server-Brittle': '4' } }))

// Requests that are sent before a stop end within its grace period.
function drawRequest (random: Random): ReturnType<Scenario['draw']> {
  const route = pick(random, ['lookups', 'bookings', 'drafts', 'notes'])
  if (route === 'lookups' || route === 'bookings') return { route, plan: { workMs: pick(random, [20, 60, 400, 2500, 5800]), events: 0, gapMs: 0, bytes: 60 } }
  return { route, plan: { workMs: 30, events: pick(random, [4, 12]), gapMs: pick(random, [50, 200, 450]), bytes: 0 } }
}

// Loads the few slots to about nine tenths.
function drawQuick (random: Random): ReturnType<Scenario['draw']> {
  const route = pick(random, ['lookups', 'lookups', 'bookings', 'drafts', 'notes'])
  if (route === 'lookups' || route === 'bookings') return { route, plan: { workMs: pick(random, [50, 200, 800]), events: 0, gapMs: 0, bytes: 60 } }
  return { route, plan: { workMs: 30, events: 6, gapMs: pick(random, [50, 150]), bytes: 0 } }
}

function drawStreams (random: Random): ReturnType<Scenario['draw']> {
  return { route: pick(random, ['drafts', 'drafts', 'drafts', 'notes', 'lookups']), plan: { workMs: 30, events: pick(random, [4, 12, 20]), gapMs: pick(random, [50, 150, 250]), bytes: 0 } }
}

// Upstreams leave one after the other, and come back with the other version, while instances stop.
function drawChanges (seed: number): readonly StopPlan[] {
  const random = createRandom(seed + 2000)
  return [0, 2].map((upstream, i) => ({ atMs: 1500 + i * 1500 + random(1500), upstream, softwareVersion: upstream === 0 ? 'v2' : 'v1' }))
}

// Two or three of the instances stop, in series or at once, the owner of upstreams first in three of four cases, and are started again.
function drawStops (seed: number): readonly StopPlan[] {
  const random = createRandom(seed + 1000)
  const gapMs = pick(random, [0, 300, 1000, 2500])
  const [first, count, hasOwner] = [random(INSTANCES), 2 + random(2), random(4) > 0]
  return Array.from({ length: count }, (_, i) => ({ atMs: 2500 + i * gapMs, instance: hasOwner && (i === 0 || gapMs >= 1000) ? 'owner' : (first + i) % INSTANCES, again: true }))
}

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
  for (const [kind, upstreams, requestsPerS] of [['scarcely limited', SCARCE, 14], ['brittle', BRITTLE, 40]] as const) {
    test.serial(`no request of ${kind} upstreams is lost or run twice while two or three of four instances stop (seed ${seed})`, async (t) => {
      t.timeout(TEST_TIMEOUT_MS)
      const played = await playScenario(t, { seed, instances: INSTANCES, upstreams, stops: drawStops(seed), lengthMs: 10_000, requestsPerS, draw: drawRequest, usesStopping: seed % 2 === 0 })
      logPlayed(t, played)
      t.deepEqual(played.faults, [])
      t.deepEqual(played.cutByRelays, [])
      t.true(played.handovers > 10)
    })
  }

  test.serial(`no request is lost or run twice while upstreams are nearly full and instances stop (seed ${seed})`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS)
    const played = await playScenario(t, { seed, instances: INSTANCES, upstreams: FEW_SLOTS, stops: drawStops(seed), lengthMs: 10_000, requestsPerS: 35, draw: drawQuick, usesStopping: seed % 2 === 0 })
    logPlayed(t, played)
    t.deepEqual(played.faults, [])
    t.deepEqual(played.cutByRelays, [])
    t.true(played.rejections > 10)
  })

  test.serial(`no request is lost or run twice while upstreams change their software version and instances stop (seed ${seed})`, async (t) => {
    t.timeout(TEST_TIMEOUT_MS)
    const played = await playScenario(t, { seed, instances: INSTANCES, upstreams: TWO_VERSIONS, stops: [...drawStops(seed), ...drawChanges(seed)], lengthMs: 10_000, requestsPerS: 35, draw: drawStreams, usesStopping: seed % 2 === 0 })
    logPlayed(t, played)
    t.deepEqual(played.faults, [])
    t.deepEqual(played.cutByRelays, [])
  })
}
