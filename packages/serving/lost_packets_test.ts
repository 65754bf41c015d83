import { HashMap } from 'effect'
import test from 'ava'
import { mayContinueStream } from './continuation.ts'
import { newServingHarness, testRequest, testTarget, type ServingHarness } from './_test_serving.ts'

/** Tests of open faults, see KNOWN-RED.txt. */
const knownRed = process.env.KNOWN_RED === '1' ? test : test.skip

/** Whether the code under test asks before a first byte is waited for any longer; a47ec66 gives up at once. */
const ASKS = process.env.BASE === undefined
const CUT_AT_MS = 1000
const CONNECT_TIMEOUT_MS = 250
const RELAY_MS = 50

interface Outcome { readonly servedShare: number, readonly handedOverFromMs: number, readonly sentInVain: number }

// Plays an instance whose packets to all upstreams are lost from `CUT_AT_MS` on, with a request every 20 ms; two other instances reach the upstreams.
function playCut (limitMs: number, usualMs: number): Outcome {
  const harness: ServingHarness = newServingHarness(['u1', 'u2', 'u3'].map((upstream) => testTarget(upstream, { slots: 40 })))
  harness.apply({ kind: 'relays_received', relays: ['b', 'c'].map((instance) => ({ instance, address: instance })), nowMs: 0 })
  const timers: Array<{ readonly atMs: number, readonly run: (nowMs: number) => void }> = []
  const served = new Set<string>()
  let [sentInVain, directMs] = [0, Infinity]
  const at = (atMs: number, run: (nowMs: number) => void): void => { timers.push({ atMs, run }) }
  const isCurrent = (id: string, attempt: number): boolean => {
    const entry = [...HashMap.values(harness.state().requests)].find((request) => request.id === id)
    return entry?.phase === 'sent' && entry.attempts.length === attempt
  }
  const judge = (id: string, attempt: number, nowMs: number): void => {
    if (!isCurrent(id, attempt)) return
    if (!ASKS || mayContinueStream(harness.state(), id, nowMs)) return perform(harness.apply({ kind: 'attempt_failed', id, attempt, failure: 'silent', detail: '', nowMs }), nowMs)
    perform(harness.apply({ kind: 'silence_endured', id, nowMs }), nowMs)
    at(nowMs + 200, (later) => judge(id, attempt, later))
  }
  const perform = (effects: readonly string[], nowMs: number): void => {
    for (const effect of effects) {
      const probed = /^probe (.*)/.exec(effect)?.[1]
      if (probed !== undefined) at(nowMs + (nowMs < CUT_AT_MS ? 1 : CONNECT_TIMEOUT_MS), (later) => perform(harness.apply({ kind: 'upstream_probed', upstream: probed, reached: later < CUT_AT_MS, nowMs: later }), later))
      const [, id = '', number, to = ''] = /^send (.*)#(\d) to (.*)/.exec(effect) ?? []
      if (id === '') continue
      const attempt = Number(number)
      const isRelayed = to.startsWith('relay')
      const answersAtMs = nowMs + usualMs + (isRelayed ? RELAY_MS : 0)
      if (isRelayed && attempt === 1) directMs = Math.min(directMs, nowMs)
      if (isRelayed || answersAtMs < CUT_AT_MS) {
        at(answersAtMs, (later) => {
          if (!isCurrent(id, attempt)) return
          served.add(id)
          perform(harness.apply({ kind: 'response_ended', id, attempt, status: 200, nowMs: later }), later)
        })
      } else sentInVain += 1
      at(nowMs + 400, (later) => judge(id, attempt, later))
    }
  }
  let count = 0
  for (let nowMs = 0; nowMs < 8000; nowMs += 10) {
    if (nowMs % 20 === 0 && nowMs < 4000) {
      const id = `a${nowMs}`
      if (nowMs >= CUT_AT_MS) count += 1
      perform(harness.apply({ kind: 'received', request: testRequest(id, { arrivedAtMs: nowMs, deadlineMs: nowMs + limitMs }), nowMs }), nowMs)
    }
    for (let due = timers.findIndex(({ atMs }) => atMs <= nowMs); due >= 0; due = timers.findIndex(({ atMs }) => atMs <= nowMs)) timers.splice(due, 1)[0]?.run(nowMs)
    if (nowMs % 40 === 0) perform(harness.apply({ kind: 'ticked', nowMs }), nowMs)
  }
  const late = [...served].filter((id) => Number(id.slice(1)) >= CUT_AT_MS).length
  return { servedShare: Math.round(100 * late / count), handedOverFromMs: directMs - CUT_AT_MS, sentInVain }
}

for (const [limitMs, usualMs] of [[600, 40], [1000, 40], [3000, 40], [1000, 300], [3000, 500]] as const) {
  knownRed(`an instance that loses its packets to all upstreams hands requests over at once after 700 ms at the latest, limit ${limitMs} ms, usually ${usualMs} ms`, (t) => {
    const outcome = playCut(limitMs, usualMs)
    t.log(JSON.stringify(outcome))
    t.true(outcome.handedOverFromMs <= 700)
    t.true(outcome.servedShare >= 98)
  })
}
