import test from 'ava'
import { reduceRequests } from './reduce_requests.ts'
import type { RequestEffect } from './request_effect.ts'
import type { RequestEvent } from './request_event.ts'
import type { ReceivedRequest } from './request.ts'
import { newRequestsState, upstreamLoad, type RequestsState } from './requests_state.ts'

/** Tests of open faults, see KNOWN-RED.txt. */
const knownRed = process.env.KNOWN_RED === '1' ? test : test.skip

function start (slots: Readonly<Record<string, number>>, instanceCount = 1): RequestsState {
  const names = Object.keys(slots)
  return newRequestsState({
    instanceCount,
    hash: (text) => text.length,
    rules: {
      customers: new Map([['support', { name: 'support', requests: { perSecond: 1000, burst: 1000 }, tokens: { perSecond: 1000, burst: 1000 }, concurrency: 1000, weight: 1 }]]),
      upstreams: new Map(names.map((name) => [name, { name, distanceMs: 0, slots: slots[name] ?? 1 }])),
      services: new Map([['orders', { name: 'orders', upstreams: names }]]),
      models: new Set(),
      maxWaiting: 40,
      maxAttempts: 3,
      maxCrashes: 2
    }
  })
}

function received (id: string, nowMs: number, changes: Partial<ReceivedRequest> = {}): RequestEvent {
  return { kind: 'received', nowMs, request: { id, customer: 'support', target: { kind: 'service', name: 'orders' }, idempotent: true, idempotencyKey: undefined, fingerprint: id, prefix: id, receivedAtMs: nowMs, deadlineMs: nowMs + 10_000, priority: 5, coldStartWeight: 1, ...changes } }
}
const answered = (id: string, nowMs: number, attempt = 1): RequestEvent => ({ kind: 'response_ended', id, attempt, tokens: 1, outcome: undefined, nowMs })
const silent = (id: string, nowMs: number, attempt = 1): RequestEvent => ({ kind: 'attempt_silent', id, attempt, nowMs })

interface Run { readonly state: RequestsState, readonly effects: readonly RequestEffect[] }
function run (state: RequestsState, events: readonly RequestEvent[]): Run {
  return events.reduce<Run>((before, event) => {
    const next = reduceRequests(before.state, event)
    return { state: next.state, effects: [...before.effects, ...next.effects] }
  }, { state, effects: [] })
}
const kinds = (effects: readonly RequestEffect[], id: string): readonly string[] => effects.flatMap((effect) => {
  if (effect.kind === 'send' && effect.request.id === id) return [`send to ${effect.upstream}`]
  if (effect.kind === 'refuse' && effect.id === id) return [`refuse ${effect.refusal.reason}`]
  return effect.kind === 'cancel' && effect.id === id ? ['cancel'] : []
})

// Seen: 50 of 50 short calls refused deadline_waiting, not run, beside long ones, with slots free and though each would need 40 ms.
knownRed('short calls that may run once are not refused by the length of long ones that run beside them', (t) => {
  let { state } = run(start({ one: 4 }), [received('long0', 0, { idempotent: false, deadlineMs: 20_000 }), answered('long0', 6000)])
  const outcomes: string[] = []
  for (let n = 0; n < 50; n += 1) {
    const nowMs = 6000 + n * 1000
    if (n % 5 === 0) state = run(state, [received(`long${n + 1}`, nowMs, { idempotent: false, deadlineMs: nowMs + 20_000 })]).state
    const short = run(state, [received(`short${n}`, nowMs, { idempotent: false, deadlineMs: nowMs + 2000 }), answered(`short${n}`, nowMs + 40)])
    outcomes.push(...kinds(short.effects, `short${n}`))
    state = short.state
    if (n % 5 === 4) state = run(state, [answered(`long${n - 3}`, nowMs + 500)]).state
  }
  t.is(outcomes.filter((outcome) => outcome.startsWith('refuse')).length, 0)
})

// Seen: the average of an upstream is of the attempts that answered before they were given up, 100 ms, for good; all slow attempts are given up.
knownRed('attempts at upstreams that often need longer than the progress timeout are not all given up', (t) => {
  let { state } = run(start({ one: 20, two: 20 }), [])
  let givenUp = 0
  for (let n = 0; n < 60; n += 1) {
    const nowMs = n * 2000
    // Half of all responses start after 100 ms, the others after 900 ms, at both upstreams; the progress timeout is 400 ms.
    const first = run(state, [received(`a${n}`, nowMs)])
    const isSlow = n % 2 === 1
    const judged = isSlow ? run(first.state, [silent(`a${n}`, nowMs + 400)]) : run(first.state, [answered(`a${n}`, nowMs + 100)])
    const isGivenUp = kinds(judged.effects, `a${n}`).includes('cancel')
    if (isGivenUp) givenUp += 1
    state = isSlow ? run(judged.state, [{ kind: 'upstream_cleared', upstream: 'one', nowMs: nowMs + 410 }, { kind: 'upstream_cleared', upstream: 'two', nowMs: nowMs + 410 }, answered(`a${n}`, nowMs + 900, isGivenUp ? 2 : 1)]).state : judged.state
  }
  t.log(`silenceMs ${Math.round(upstreamLoad(state, 'one').silenceMs)} and ${Math.round(upstreamLoad(state, 'two').silenceMs)}`)
  t.true(givenUp <= 5, `${givenUp} of 30 given up`)
})

// Seen: 12 new connections at once, and 12 more at each progress timeout after it.
knownRed('an upstream is asked for a new connection once for all attempts that are silent there', (t) => {
  const sent = run(start({ one: 12 }), Array.from({ length: 12 }, (_, n) => received(`a${n}`, 0)))
  const { effects } = run(sent.state, Array.from({ length: 12 }, (_, n) => silent(`a${n}`, 400 + n)))
  t.is(effects.filter(({ kind }) => kind === 'check_upstream').length, 1)
})

// Seen: the attempt is cancelled, the waiting request with the higher priority takes the place, and the one that was given up waits.
knownRed('an attempt is not given up for a place that a more urgent waiting request takes', (t) => {
  const before = run(start({ one: 1, two: 2 }, 2), [received('b', 0), received('c', 0), { kind: 'upstream_reported', upstream: 'two', running: 3, leaving: false, nowMs: 0 }, received('urgent', 10, { priority: 9 })])
  t.deepEqual([kinds(before.effects, 'b'), kinds(before.effects, 'c'), kinds(before.effects, 'urgent')], [['send to one'], ['send to two'], []])
  const { effects } = run(before.state, [silent('b', 800)])
  const isGivenUp = kinds(effects, 'b').includes('cancel')
  t.false(isGivenUp && !kinds(effects, 'b').includes('send to two'), `b: ${kinds(effects, 'b').join()}; urgent: ${kinds(effects, 'urgent').join()}`)
})
