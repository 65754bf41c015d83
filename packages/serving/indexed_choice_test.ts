import test from 'ava'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { chooseEarlier } from './_test_earlier_choice.ts'
import { testEngineTarget, testRequest, testTarget } from './_test_serving.ts'
import { chooseUpstream } from './choose_upstream.ts'
import type { Request } from './request.ts'
import type { RoutingTarget } from './routing_target.ts'
import { newServingState, updateTargetLoad, type ServingState } from './serving_state.ts'

const generator = xoroshiro128plus(7)
const random = (below: number): number => uniformInt(generator, 0, below - 1)
const chance = (percent: number): boolean => random(100) < percent

function drawTarget (upstream: string): RoutingTarget {
  const changes = { slots: 1 + random(12), availabilityZone: chance(50) ? 'a' : 'b', leaving: chance(5) }
  // One service has engines and upstreams without models.
  if (chance(30)) return testTarget(upstream, { ...changes, service: chance(50) ? 'orders' : 'mixed' })
  const models = Object.fromEntries(['m', 'n', 'o'].filter(() => chance(50)).map((model) => [model, chance(50) ? ['x'] : []]))
  return { ...testEngineTarget(upstream, models, chance(90)), ...changes, service: chance(70) ? 'drafts' : 'mixed' }
}

function drawState (): ServingState {
  const targets = new Map(Array.from({ length: 1 + random(40) }, (_, i) => [`e${i}`, drawTarget(`e${i}`)]))
  const unreachable = new Map([...targets.keys()].filter(() => chance(5)).map((upstream) => [upstream, 0]))
  const state: ServingState = { ...newServingState({ availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 } }), targets, unreachable }
  return [...targets.keys()].filter(() => chance(80)).reduce((next, upstream) => updateTargetLoad(next, upstream, (load) => {
    const firstByteMs = chance(20) ? 0 : 10 + random(100)
    return { ...load, ownRequests: random(4), peerRequests: random(8), firstByteMs, recentFirstByteMs: firstByteMs, failureShare: random(10) / 20, observedAtMs: 1000 - random(5000), avoidedUntilMs: chance(10) ? 2000 : 0, pausedUntilMs: chance(10) ? 2000 : 0 }
  }), state)
}

function drawRequest (): Request {
  const service = ['orders', 'drafts', 'mixed'][random(3)] ?? ''
  const received = testRequest('r', { service, model: service === 'orders' ? undefined : ['m', 'n', 'o', 'unknown'][random(4)], adapter: chance(20) ? 'x' : undefined })
  return { ...received, phase: 'waiting', softwareVersion: undefined, attempts: [], runs: 0, refusedBy: chance(20) ? ['e0'] : [], abandoned: false, waitingSinceMs: 0, respondingSinceMs: undefined, enduredFor: undefined, hasErrorResponse: false }
}

// An index that missed an upstream, or looked loads up in another order, would change choices without any other sign.
test('the index of upstreams changes no choice of an instance whose view is exact', (t) => {
  for (let i = 0; i < 3000; i += 1) {
    const [state, request] = [drawState(), drawRequest()]
    const [earlier, current] = [chooseEarlier(state, request, 1000), chooseUpstream(state, request, 1000)]
    if (earlier.kind !== 'chosen' || current.kind !== 'chosen') t.deepEqual(current, earlier)
    else t.deepEqual([current.choice.target.upstream, current.choice.candidates], [earlier.choice.target.upstream, earlier.choice.candidates])
  }
})
