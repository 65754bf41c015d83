import { Option, HashMap } from 'effect'
import test from 'ava'
import type { RequestEffect } from './request_effect.ts'
import type { RequestEvent } from './request_event.ts'
import type { ReceivedRequest } from './request.ts'
import { reduceRequests } from './reduce_requests.ts'
import { refusal, REFUSAL_REASONS } from './refusal.ts'
import { newRequestsState, type RequestsState } from './requests_state.ts'
import type { CustomerRules, Rules } from './rules.ts'

function customer (name: string, changes: Partial<CustomerRules> = {}): CustomerRules {
  return { name, requests: { perSecond: 1000, burst: 1000 }, tokens: { perSecond: 1000, burst: 1000 }, concurrency: 1000, weight: 1, ...changes }
}

function rules (changes: Partial<Rules> = {}): Rules {
  return {
    customers: new Map([['support', customer('support')], ['shop', customer('shop')], ['limited', customer('limited', { concurrency: 4, requests: { perSecond: 4, burst: 8 } })]]),
    upstreams: new Map(['one', 'two'].map((name) => [name, { name, distanceMs: 0, slots: 2 }])),
    services: new Map([['orders', { name: 'orders', upstreams: ['one', 'two'] }]]),
    models: new Set(['chat']),
    maxWaiting: 4,
    maxAttempts: 3,
    maxCrashes: 2,
    ...changes
  }
}

function start (changes: Partial<Rules> = {}, instanceCount = 1): RequestsState {
  return newRequestsState({ rules: rules(changes), instanceCount, hash: (text) => text.length })
}

function request (id: string, changes: Partial<ReceivedRequest> = {}): RequestEvent {
  const target = { kind: 'service', name: 'orders' } as const
  return {
    kind: 'received',
    nowMs: 0,
    request: { id, customer: 'support', target, idempotent: true, idempotencyKey: undefined, fingerprint: id, prefix: id, receivedAtMs: 0, deadlineMs: 10_000, priority: 5, coldStartWeight: 1, ...changes }
  }
}

interface Run {
  readonly state: RequestsState
  readonly effects: readonly RequestEffect[]
}

function run (state: RequestsState, events: readonly RequestEvent[]): Run {
  return events.reduce<Run>((previous, event) => {
    const { state: next, effects } = reduceRequests(previous.state, event)
    return { state: next, effects: [...previous.effects, ...effects] }
  }, { state, effects: [] })
}

function summarize (effects: readonly RequestEffect[]): readonly string[] {
  return effects.flatMap((effect) => {
    if (effect.kind === 'refuse') return [`${effect.id} refused ${effect.refusal.reason}, ${effect.refusal.outcome}`]
    if (effect.kind === 'send') return [`${effect.request.id} to ${effect.upstream}`]
    if (effect.kind === 'deliver') return [`${effect.id} delivered`]
    return []
  })
}

const failed = (id: string, failure: Extract<RequestEvent, { kind: 'attempt_failed' }>['failure'], attempt = 1): RequestEvent => ({ kind: 'attempt_failed', id, attempt, failure, nowMs: 10, random: 0.5 })
const ended = (id: string, attempt = 1): RequestEvent => ({ kind: 'response_ended', id, attempt, tokens: 1, outcome: undefined, nowMs: 20 })

test('a refusal says outcome unknown only if the request may have run or another repeat holds the claim', (t) => {
  t.snapshot(REFUSAL_REASONS.map((reason) => `${reason}: ${refusal(reason, { mayHaveRun: false }).outcome}, ${refusal(reason, { mayHaveRun: true }).outcome}`))
})

test('an idempotent request is retried on another upstream after a failure', (t) => {
  const { effects } = run(start(), [request('a'), failed('a', 'stale'), { kind: 'retry_due', id: 'a', nowMs: 60 }, ended('a', 2)])
  t.snapshot(summarize(effects))
})

test('a request that is not idempotent is retried only if nothing was sent', (t) => {
  const notIdempotent = { idempotent: false }
  const { effects } = run(start(), [request('a', notIdempotent), failed('a', 'not_connected'), { kind: 'retry_due', id: 'a', nowMs: 60 }, failed('a', 'broken', 2), { kind: 'retry_due', id: 'a', nowMs: 90 }])
  t.snapshot(summarize(effects))
})

test('a late response to an abandoned attempt changes nothing', (t) => {
  const { effects } = run(start(), [request('a'), failed('a', 'stale'), { kind: 'retry_due', id: 'a', nowMs: 60 }, ended('a', 1), ended('a', 2)])
  t.deepEqual(summarize(effects).filter((line) => line.endsWith('delivered')), ['a delivered'])
})

test('a full queue sheds the least urgent request for a more urgent one', (t) => {
  const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']
  const { effects } = run(start(), [...ids.map((id, i) => request(id, { priority: i === 5 ? 1 : 5 })), request('urgent', { priority: 9 }), request('low', { priority: 1 })])
  t.snapshot(summarize(effects))
})

test('at equal priority the customer with the fewest running requests is served first', (t) => {
  const { effects } = run(start(), ['a', 'b', 'c', 'd', 'e'].map((id) => request(id)).concat([request('shop', { customer: 'shop' }), ended('a')]))
  t.is(summarize(effects).filter((line) => line.includes(' to ')).at(-1)?.split(' ')[0], 'shop')
})

test('limits are divided among the live instances', (t) => {
  const calls = Array.from({ length: 6 }, (_, i) => request(`r${i}`, { customer: 'limited' }))
  const countRefused = (instanceCount: number): number => summarize(run(start({ maxWaiting: 100 }, instanceCount), calls).effects).filter((line) => line.includes('refused')).length
  t.deepEqual([countRefused(1), countRefused(2), countRefused(4)], [2, 4, 5])
})

test('retries stay within the budget even if every attempt fails', (t) => {
  let state = start({ maxWaiting: 1000, maxAttempts: 10, upstreams: new Map(['one', 'two'].map((name) => [name, { name, distanceMs: 0, slots: 10_000 }])) })
  let attempts = 0
  for (let i = 0; i < 500; i += 1) {
    const id = `r${i}`
    let step = run(state, [request(id, { deadlineMs: 1e9 })])
    for (let attempt = 1; Option.isSome(HashMap.get(step.state.requests, id)); attempt += 1) {
      attempts += step.effects.filter((effect) => effect.kind === 'send').length
      step = run(step.state, [failed(id, 'refused', attempt), { kind: 'retry_due', id, nowMs: 1000 }])
    }
    state = step.state
  }
  t.true(attempts <= 500 + 20 + 100)
})

test('waiting requests whose deadline is before the estimated end of the load are refused at once', (t) => {
  const model = { target: { kind: 'model', name: 'chat' } } as const
  const { effects } = run(start(), [
    request('soon', { ...model, deadlineMs: 1000 }), request('later', { ...model, deadlineMs: 9000 }),
    { kind: 'estimate_received', model: 'chat', state: 'queued', readyInMs: 5000, nowMs: 10 }
  ])
  t.deepEqual(summarize(effects), ['soon refused cold_start_too_long, not run'])
})

const answered = (id: string, nowMs: number): RequestEvent => ({ kind: 'response_ended', id, attempt: 1, tokens: 1, outcome: undefined, nowMs })
const at = (event: RequestEvent, nowMs: number): RequestEvent => ({ ...event, nowMs })
const refusedIds = (effects: readonly RequestEffect[]): readonly string[] => effects.flatMap((effect) => effect.kind === 'refuse' ? [effect.id] : [])
const sentIds = (effects: readonly RequestEffect[]): readonly string[] => effects.flatMap((effect) => effect.kind === 'send' ? [effect.request.id] : [])

for (const idempotent of [true, false]) {
  test(`requests with short time limits are tried again after a slow phase, ${idempotent ? 'repeatable' : 'run once'}`, (t) => {
    const slow = run(start(), ['a', 'b'].map((id) => request(id, { idempotent })).concat([answered('a', 9000), answered('b', 9000)]))
    let { state } = slow
    let refused = 0
    for (let i = 0; i < 100; i += 1) {
      const nowMs = 30_000 + i * 1000
      const tried = run(state, [at(request(`c${i}`, { idempotent, deadlineMs: nowMs + 5000 }), nowMs), answered(`c${i}`, nowMs + 40)])
      refused += refusedIds(tried.effects).length
      state = tried.state
    }
    t.is(refused, 0)
  })
}

test('a short request is not refused by the length of the long ones that run beside it', (t) => {
  const first = run(start(), [request('long1', { deadlineMs: 100_000 }), answered('long1', 30_000)])
  const { effects } = run(first.state, [
    at(request('long2', { deadlineMs: 140_000 }), 40_000), at(request('long3', { deadlineMs: 140_000 }), 40_000), at(request('short', { deadlineMs: 45_000 }), 40_000)
  ])
  t.deepEqual(refusedIds(effects), [])
  t.deepEqual(sentIds(effects), ['long2', 'long3', 'short'])
})

test('requests that usually end in time are sent before those that usually do not', (t) => {
  const first = run(start(), [request('a', { deadlineMs: 20_000 }), request('b', { deadlineMs: 20_000 }), answered('a', 9000), answered('b', 9000)])
  const full = run(first.state, ['r1', 'r2', 'r3', 'r4'].map((id) => at(request(id, { deadlineMs: 40_000 }), 10_000)))
  const waiting = run(full.state, [at(request('late', { deadlineMs: 22_000 }), 10_000), at(request('early', { deadlineMs: 60_000 }), 10_000)])
  const { effects } = run(waiting.state, [answered('r1', 19_000)])
  t.deepEqual(sentIds(effects), ['early'])
})

test('a request that may run once is not sent with less time than such requests lately took', (t) => {
  const single = { idempotent: false }
  const one = start({ upstreams: new Map([['one', { name: 'one', distanceMs: 0, slots: 1 }]]), services: new Map([['orders', { name: 'orders', upstreams: ['one'] }]]) })
  const { effects } = run(one, [
    request('a', single), answered('a', 2000), at(request('b', single), 2000), at(request('c', { ...single, deadlineMs: 5000 }), 2000), answered('b', 4000), { kind: 'deadline_passed', id: 'c', nowMs: 5000 }
  ])
  t.deepEqual(summarize(effects).slice(-2), ['b delivered', 'c refused deadline_waiting, not run'])
})

test('the duration of an upstream that has left does not refuse requests', (t) => {
  const slow = run(start(), [request('a', { prefix: 'x' }), request('b', { prefix: 'y' }), answered('a', 9000), answered('b', 9000)])
  let { state } = run(slow.state, [{ kind: 'upstream_listed', upstream: 'two', withdrawn: true, nowMs: 10_000 }])
  for (let i = 0; i < 40; i += 1) state = run(state, [at(request(`r${i}`, { deadlineMs: 100_000 }), 10_000 + 100 * i), answered(`r${i}`, 10_040 + 100 * i)]).state
  const { effects } = run(state, ['p', 'q', 'r', 's'].map((id) => at(request(id, { deadlineMs: 30_000 }), 20_000)))
  t.deepEqual(refusedIds(effects), [])
})

test('the duration of a slow upstream does not refuse requests that a fast one answers', (t) => {
  const both = run(start(), [request('a', { deadlineMs: 90_000 }), request('b', { deadlineMs: 90_000 }), answered('a', 40), answered('b', 20_000)])
  const { effects } = run(both.state, ['p', 'q', 'r', 's', 'u', 'v'].map((id) => at(request(id, { deadlineMs: 35_000 }), 30_000)))
  t.deepEqual(refusedIds(effects), [])
})

test('an upstream that all waiting requests need is checked again while it is suspected', (t) => {
  const one = start({ services: new Map([['orders', { name: 'orders', upstreams: ['one'] }]]) })
  const lost = run(one, [request('a', { deadlineMs: 3000 }), failed('a', 'not_connected'), { kind: 'upstream_suspected', upstream: 'one', forMs: 5000, nowMs: 20 }, { kind: 'retry_due', id: 'a', nowMs: 60 }])
  const ticks = Array.from({ length: 20 }, (_, i): RequestEvent => ({ kind: 'ticked', nowMs: 100 + 100 * i }))
  const waiting = run(lost.state, ticks)
  t.is(waiting.effects.filter((effect) => effect.kind === 'check_upstream').length, 4)
  const { effects } = run(waiting.state, [{ kind: 'upstream_cleared', upstream: 'one', nowMs: 2100 }])
  t.deepEqual(sentIds(effects), ['a'])
})

test('a suspected upstream is not checked again while another one serves', (t) => {
  const { state } = run(start(), [request('a'), { kind: 'upstream_suspected', upstream: 'two', forMs: 5000, nowMs: 0 }])
  const full = run(state, [request('b'), request('c'), request('d')])
  const { effects } = run(full.state, [{ kind: 'ticked', nowMs: 1000 }])
  t.is(effects.filter((effect) => effect.kind === 'check_upstream').length, 0)
})
