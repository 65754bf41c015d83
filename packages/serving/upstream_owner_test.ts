import test from 'ava'
import { newServingHarness, testRequest, testTarget, type ServingHarness } from './_test_serving.ts'
import type { Relay } from './relay.ts'

const UPSTREAMS = ['u1', 'u2', 'u3', 'u4']
const MAX_REJECTIONS_PER_S = 3
/** Time after which upstreams that became brittle may let fewer requests wait, in ms. */
const NOTICED_MS = 2000

function members (count: number): readonly Relay[] {
  return Array.from({ length: count }, (_, i) => ({ instance: `entry-${100 + i}`, address: `10.0.0.${i}:1` }))
}

function newInstances (count: number): readonly ServingHarness[] {
  return members(count).map(({ instance }, i) => newServingHarness(UPSTREAMS.map((name) => testTarget(name)), undefined, (i * 0.618) % 1, instance))
}

function becomeBrittle (harness: ServingHarness, instances: number): void {
  harness.apply({ kind: 'peer_loads_received', loads: [], instances, nowMs: 0 })
  harness.apply({ kind: 'brittle_received', services: [['orders', MAX_REJECTIONS_PER_S, 60_000]], nowMs: 0 })
}

function confirm (harness: ServingHarness, relays: readonly Relay[], nowMs: number): readonly string[] {
  return harness.apply({ kind: 'members_received', members: relays, confirmedAtMs: nowMs, nowMs })
}

// Instances of a brittle service whose upstreams may have stopped letting requests wait.
function brittleInstances (relays: readonly Relay[]): readonly ServingHarness[] {
  const instances = newInstances(relays.length)
  for (const harness of instances) {
    becomeBrittle(harness, relays.length)
    confirm(harness, relays, 0)
    confirm(harness, relays, NOTICED_MS)
  }
  return instances
}

function receive (harness: ServingHarness, id: string, nowMs: number): string {
  return harness.apply({ kind: 'received', request: testRequest(id, { arrivedAtMs: nowMs, deadlineMs: nowMs + 3000 }), nowMs })[0] ?? 'waits'
}

test('brittle upstreams receive requests from one of many instances, and no more than they run at once', (t) => {
  const relays = members(30)
  const instances = brittleInstances(relays)
  const effects = instances.map((harness, i) => receive(harness, `r${i}`, NOTICED_MS))
  const targets = new Set(effects.map((effect) => effect.split(' to ')[1]))
  t.is(targets.size, 2, 'all but the owner hand over to it')
  const owner = instances[effects.findIndex((effect) => UPSTREAMS.some((name) => effect.endsWith(` ${name}`)))]
  const sent = Array.from({ length: 20 }, (_, i) => owner === undefined ? '' : receive(owner, `more${i}`, NOTICED_MS + 1)).filter((effect) => effect.startsWith('send'))
  t.is(sent.length, 2 * UPSTREAMS.length - 1)
})

test('instances without a known owner together send brittle upstreams no more than they may reject', (t) => {
  for (const count of [4, 30, 370]) {
    const instances = newInstances(count)
    for (const harness of instances) becomeBrittle(harness, count)
    const sentAtMs: number[] = []
    for (let nowMs = 0; nowMs < 8000; nowMs += 20) {
      instances.forEach((harness, i) => {
        const effects = [...harness.apply({ kind: 'ticked', nowMs }), ...nowMs % 400 === 0 ? [receive(harness, `r${i}-${nowMs}`, nowMs)] : []]
        for (const effect of effects.filter((text) => text.endsWith(' to u1'))) {
          sentAtMs.push(nowMs)
          harness.apply({ kind: 'attempt_failed', id: effect.slice('send '.length).split('#')[0] ?? '', attempt: Number(effect.split('#')[1]?.split(' ')[0]), failure: 'refused', detail: '', nowMs: nowMs + 1 })
        }
      })
    }
    const busiest = Math.max(...sentAtMs.map((startMs) => sentAtMs.filter((atMs) => atMs >= startMs && atMs < startMs + 1000).length))
    t.true(busiest <= MAX_REJECTIONS_PER_S, `${count} instances sent ${busiest} in a second`)
  }
})

test('a new owner waits until the former one has stopped', (t) => {
  const relays = members(30)
  const instances = brittleInstances(relays)
  const first = instances.findIndex((harness, i) => !receive(harness, `r${i}`, NOTICED_MS).includes('relay'))
  const rest = relays.filter((_, i) => i !== first)
  for (const [i, harness] of instances.entries()) if (i !== first) confirm(harness, rest, NOTICED_MS)
  const second = instances.findIndex((harness, i) => i !== first && !receive(harness, `s${i}`, NOTICED_MS + 10).includes('relay'))
  const next = instances[second]
  t.true(next !== undefined)
  if (next === undefined) return
  t.is(receive(next, 'early', NOTICED_MS + 500), 'waits')
  confirm(next, rest, NOTICED_MS + 600)
  t.true(next.apply({ kind: 'ticked', nowMs: NOTICED_MS + 620 }).some((effect) => effect.startsWith('send early#1 to u')))
})

test('a brittle service stays brittle while it has no traffic for some seconds', (t) => {
  const relays = members(30)
  const instances = newInstances(30)
  const effects = instances.map((harness, i) => {
    harness.apply({ kind: 'peer_loads_received', loads: [], instances: 30, nowMs: 0 })
    harness.apply({ kind: 'upstream_announced', upstream: 'u1', leaving: false, retryAfterMs: undefined, maxRejectionsPerS: MAX_REJECTIONS_PER_S, nowMs: 0 })
    confirm(harness, relays, 0)
    confirm(harness, relays, 8000)
    return receive(harness, `r${i}`, 8000)
  })
  t.is(effects.filter((effect) => effect.includes('relay')).length, 29)
})

test('an owner that hears from no lease holder stops owning', (t) => {
  const [, harness] = newInstances(2)
  if (harness === undefined) return t.fail()
  const relays = members(2).slice(1)
  becomeBrittle(harness, 30)
  confirm(harness, relays, 0)
  t.true(receive(harness, 'a', 1100).startsWith('send'))
  t.true(receive(harness, 'b', 1190).startsWith('send'))
  t.is(receive(harness, 'c', 1300), 'waits')
})

test('a handed-over request that reaches a former owner is refused as not run', (t) => {
  const relays = members(30)
  const [harness] = newInstances(1)
  if (harness === undefined) return t.fail()
  becomeBrittle(harness, 30)
  confirm(harness, relays.slice(1), 0)
  confirm(harness, relays.slice(1), NOTICED_MS)
  harness.apply({ kind: 'received', request: testRequest('h', { arrivedAtMs: NOTICED_MS, deadlineMs: NOTICED_MS + 3000, handover: { softwareVersion: undefined } }), nowMs: NOTICED_MS })
  confirm(harness, relays.slice(1), NOTICED_MS + 400)
  t.deepEqual(harness.apply({ kind: 'ticked', nowMs: NOTICED_MS + 420 }), ['refuse h 503 no_capacity not run'])
})
