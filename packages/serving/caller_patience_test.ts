import test from 'ava'
import { newServingHarness, testEngineTarget, testRequest } from './_test_serving.ts'
import type { ServingEffect } from './serving_effect.ts'
import { reduceServing } from './reduce_serving.ts'

const TICK_MS = 40
const TARGET = testEngineTarget('e1', { other: [] })

/** A driver's note: the objective is 0.5 s, the deadline 12 s, and the caller leaves after 2.4 s without an event. */
function note (id: string) {
  return testRequest(id, { service: 'drafts', route: 'notes', model: 'm', stream: true, objectiveMs: 500, deadlineMs: 12_000, leavesAtMs: 2400 })
}

/** Applies ticks until the request ends, and returns when and how it does; a load of its model ends at `readyAtMs`. */
function endOf (readyAtMs: number | undefined, untilMs = 12_000): { readonly atMs: number, readonly what: string, readonly retryAfterMs: number | undefined } {
  const harness = newServingHarness([TARGET])
  let state = harness.state()
  const apply = (event: Parameters<typeof reduceServing>[1]): readonly ServingEffect[] => {
    const reduced = reduceServing(state, event)
    state = reduced.state
    return reduced.effects
  }
  const estimate = (nowMs: number): ReadonlyMap<string, number> => readyAtMs === undefined || nowMs >= readyAtMs ? new Map() : new Map([['m', readyAtMs - nowMs]])
  apply({ kind: 'targets_changed', targets: new Map([['e1', TARGET]]), loadEstimatesMs: estimate(0), version: 2, nowMs: 0 })
  for (let nowMs = 0; nowMs < untilMs; nowMs += TICK_MS) {
    const isLoaded = readyAtMs !== undefined && nowMs >= readyAtMs
    const target = isLoaded ? testEngineTarget('e1', { other: [], m: [] }) : TARGET
    const events: ReadonlyArray<Parameters<typeof reduceServing>[1]> = [
      { kind: 'targets_changed', targets: new Map([['e1', target]]), loadEstimatesMs: estimate(nowMs), version: 3, nowMs },
      ...nowMs === 0 ? [{ kind: 'received' as const, request: note('a'), nowMs }] : [],
      { kind: 'ticked', nowMs }
    ]
    for (const effect of events.flatMap(apply)) {
      if (effect.kind === 'refuse') return { atMs: nowMs, what: `refused ${effect.refusal.status}`, retryAfterMs: effect.refusal.retryAfterMs }
      if (effect.kind === 'send') return { atMs: nowMs, what: 'sent', retryAfterMs: undefined }
    }
  }
  return { atMs: untilMs, what: 'waiting', retryAfterMs: undefined }
}

// The wait was extended until the load had ended, also where the caller had left long before.
test('a request whose model is loaded only after its caller has left is refused at once, and told when to return', (t) => {
  for (const readyAtMs of [6000, 2280]) {
    const { retryAfterMs = 0, ...end } = endOf(readyAtMs)
    t.deepEqual(end, { atMs: 0, what: 'refused 503' })
    t.true(retryAfterMs >= readyAtMs && retryAfterMs <= 1.5 * readyAtMs, `${retryAfterMs} ms`)
  }
})

test('a request whose model is loaded in time waits for it', (t) => {
  t.deepEqual([300, 1000, 2000, 2160].map((readyAtMs) => endOf(readyAtMs).what), ['sent', 'sent', 'sent', 'sent'])
})

test('a request without an estimate is refused while its caller can still return', (t) => {
  const { atMs, what } = endOf(undefined)
  t.is(what, 'refused 503')
  t.true(atMs <= 2200, `${atMs} ms`)
})

test('a load that takes longer than expected keeps no request beyond its caller', (t) => {
  const harness = newServingHarness([TARGET])
  let state = harness.state()
  const ends: number[] = []
  for (let nowMs = 0; nowMs < 5000; nowMs += TICK_MS) {
    // The estimate never falls below 100 ms.
    const events: ReadonlyArray<Parameters<typeof reduceServing>[1]> = [
      { kind: 'targets_changed', targets: state.targets, loadEstimatesMs: new Map([['m', 100]]), version: 3, nowMs },
      ...nowMs === 0 ? [{ kind: 'received' as const, request: note('a'), nowMs }] : [],
      { kind: 'ticked', nowMs }
    ]
    for (const event of events) {
      const reduced = reduceServing(state, event)
      state = reduced.state
      if (reduced.effects.some(({ kind }) => kind === 'refuse')) ends.push(nowMs)
    }
  }
  t.is(ends.length, 1)
  t.true((ends[0] ?? Infinity) <= 2240, `${ends[0]} ms`)
})
