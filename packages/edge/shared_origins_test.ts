import type { EngineSpec, Upstream } from '@berylshed/fleet'
import { applyRegistrationChanges, NO_UPSTREAMS } from '@berylshed/fleet'
import type { Lease } from '@berylshed/scheduler'
import type { ReceivedRequest } from '@berylshed/serving'
import test from 'ava'
import { decodeHeartbeat, decodeHeartbeatAnswer, encodeHeartbeat, encodeHeartbeatAnswer } from './_heartbeat_codec.ts'
import { answerHeartbeat } from './_peer_heartbeat.ts'
import { apply, at, configuration, start, startHolder, upstream } from './_test_instances.ts'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeState } from './edge_state.ts'
import type { HeartbeatRequest } from './heartbeat.ts'
import { reduceEdge } from './reduce_edge.ts'

const engine: EngineSpec = { slots: 16, memoryMb: 80, adapterPlaces: 2, loadsPerSecond: 3, models: new Map([['m', { name: 'm', memoryMb: 10, storeLoadMs: 6000, diskLoadMs: 500, memoryLoadMs: 300, adapterMb: 1 }]]) }
const OLD: Upstream = { ...upstream, id: 'old', softwareVersion: 'v1' }
const NEW: Upstream = { ...upstream, id: 'new', softwareVersion: 'v1.1' }

function know (state: EdgeState, holder: string): EdgeState {
  const lease: Lease = { fence: 1, holder: { instance: holder, incarnation: holder, address: holder }, writeId: 'w' }
  const list = applyRegistrationChanges(NO_UPSTREAMS, [OLD, NEW].map((known) => ({ id: known.id, upstream: known })), { revision: 10 })
  const services = new Map([['drafts', { name: 'drafts', engine }]])
  const known = apply(state, { subject: 'configured', configuration: { ...configuration, version: 5, services }, from: 'store', at: at(0) }, { subject: 'listed', list, at: at(0) })
  return state.scheduler.held === undefined ? apply(known, { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 1, lease, ...at(0) } }) : known
}

function stream (id: string, arrivedAtMs: number, resumedAttempt?: string): ReceivedRequest {
  return {
    id, callerId: id, fingerprint: id, promptParts: [], resumedAttempt, route: 'drafts', service: 'drafts', model: 'm', adapter: undefined, stream: true, retryable: true, maxRuns: 2, rank: 1, objectiveMs: 500, arrivedAtMs, deadlineMs: arrivedAtMs + 9000
  }
}

interface Served {
  readonly state: EdgeState
  readonly upstream: string | undefined
  readonly heartbeat: HeartbeatRequest | undefined
}

function serve (state: EdgeState, request: ReceivedRequest): Served {
  const { state: next, effects } = reduceEdge(state, { subject: 'serving', event: { kind: 'received', request, nowMs: request.arrivedAtMs } })
  return { state: next, upstream: sentTo(effects), heartbeat: heartbeatOf(effects) }
}

function sentTo (effects: readonly EdgeEffect[]): string | undefined {
  return effects.flatMap((effect) => effect.subject === 'serving' && effect.effect.kind === 'send' ? [effect.effect.upstream] : [])[0]
}

function heartbeatOf (effects: readonly EdgeEffect[]): HeartbeatRequest | undefined {
  return effects.flatMap((effect) => effect.subject === 'heartbeat' ? [effect.request] : [])[0]
}

// Begins a stream, which the caller may resume elsewhere.
function begin (state: EdgeState, id: string, nowMs: number): Served {
  const served = serve(state, stream(id, nowMs))
  return { ...served, state: apply(served.state, { subject: 'serving', event: { kind: 'response_started', id, attempt: 1, nowMs: nowMs + 50 } }) }
}

// Lets an instance send its next heartbeat, in its wire format, and delivers the answer.
function exchange (instance: EdgeState, holder: EdgeState, nowMs: number, due?: HeartbeatRequest) {
  const ticked = due === undefined ? reduceEdge(instance, { subject: 'tick', at: at(nowMs) }) : { state: instance, effects: [] }
  const sent = due ?? heartbeatOf(ticked.effects)
  if (sent === undefined) throw new Error('No heartbeat was due')
  const request = decodeHeartbeat(JSON.parse(JSON.stringify(encodeHeartbeat(sent))))
  const informed = apply(holder, { subject: 'heartbeat_received', request, at: at(nowMs + 1) })
  const answer = decodeHeartbeatAnswer(JSON.parse(JSON.stringify(encodeHeartbeatAnswer(answerHeartbeat(informed, request, at(nowMs + 1))))))
  const answered = reduceEdge(ticked.state, { subject: 'heartbeat_answered', answer, at: at(nowMs + 2) })
  return { instance: answered.state, holder: informed, upstream: sentTo(answered.effects) }
}

test('a stream begun at one instance is resumed at another one at the same software version', (t) => {
  const begun = begin(know(start('a'), 'holder'), 'r', 2000)
  const told = exchange(begun.state, know(startHolder(), 'holder'), 2300)
  const resumed = serve(know(start('b'), 'holder'), stream('s', 2400, 'r'))
  t.is(resumed.upstream, undefined)
  t.is(exchange(resumed.state, told.holder, 2401, resumed.heartbeat).upstream, begun.upstream)
})

test('an instance that missed a new software version does not resume its streams at the old one', (t) => {
  const old = applyRegistrationChanges(NO_UPSTREAMS, [{ id: OLD.id, upstream: OLD }], { revision: 5 })
  const missing = apply(start('late'),
    { subject: 'configured', configuration: { ...configuration, version: 5, services: new Map([['drafts', { name: 'drafts', engine }]]) }, from: 'store', at: at(0) },
    { subject: 'listed', list: old, at: at(0) },
    { subject: 'archive', event: { kind: 'history_read', version: 0, value: '' }, at: at(0) },
    { subject: 'registry_read', what: 'upstreams', sentAtMs: 10, at: at(20) },
    { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 1, lease: { fence: 1, holder: { instance: 'holder', incarnation: 'holder', address: 'holder' }, writeId: 'w' }, ...at(0) } })
  const told = exchange(begin(know(start('a'), 'holder'), 'r', 1000).state, know(startHolder(), 'holder'), 1300)
  const resumed = serve(missing, stream('s', 1400, 'unknown'))
  t.is(resumed.upstream, undefined, 'not sent before the versions are confirmed')
  const answered = exchange(resumed.state, told.holder, 1401, resumed.heartbeat)
  t.is(answered.upstream, undefined, 'the holder knows of another version, so the origin decides')
  const refused = reduceEdge(answered.instance, { subject: 'tick', at: at(3000) }).effects.flatMap((effect) => effect.subject === 'serving' && effect.effect.kind === 'refuse' ? [effect.effect.refusal] : [])
  t.deepEqual(refused.map(({ reason, status }) => [reason, status]), [['unknown_origin', 503]])
})

test('an instance that is in step resumes a stream of unknown origin at the only software version', (t) => {
  const only = (state: EdgeState): EdgeState => {
    const list = applyRegistrationChanges(NO_UPSTREAMS, [{ id: OLD.id, upstream: OLD }], { revision: 10 })
    const lease: Lease = { fence: 1, holder: { instance: 'holder', incarnation: 'holder', address: 'holder' }, writeId: 'w' }
    const known = apply(state,
      { subject: 'configured', configuration: { ...configuration, version: 5, services: new Map([['drafts', { name: 'drafts', engine }]]) }, from: 'store', at: at(0) },
      { subject: 'listed', list, at: at(0) },
      { subject: 'archive', event: { kind: 'history_read', version: 0, value: '' }, at: at(0) })
    return state.scheduler.held === undefined ? apply(known, { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 1, lease, ...at(0) } }) : known
  }
  const resumed = serve(only(start('b')), stream('s', 1400, 'r'))
  t.is(exchange(resumed.state, only(startHolder()), 1401, resumed.heartbeat).upstream, 'old')
})

test('origins outlast both the instance that began the stream and the holder', (t) => {
  const begun = begin(know(start('a'), 'holder'), 'r', 2000)
  const told = exchange(begun.state, know(startHolder(), 'holder'), 2300)
  const copied = exchange(know(start('b'), 'holder'), told.holder, 2500).instance
  const ended = serve(copied, stream('s', 2600, 'r'))
  t.is(ended.upstream, begun.upstream)
  const lease: Lease = { fence: 2, holder: { instance: 'next', incarnation: 'next', address: 'next' }, writeId: 'w2' }
  const follower = apply(copied, { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 2, lease, ...at(3000) } })
  const next = { ...know(startHolder(), 'next'), self: { instance: 'next', incarnation: 'next', address: 'next' } }
  const known = exchange(follower, next, 3300).holder
  t.is(serve(known, stream('u', 3400, 'r')).upstream, begun.upstream)
})

test('an instance beyond the copies gets only the origins that it asks for', (t) => {
  const holder = know(startHolder(), 'holder')
  const { holder: told } = exchange(begin(know(start('a'), 'holder'), 'r', 2000).state, holder, 2300)
  const crowd = ['b', 'c', 'd'].reduce((state, name) => exchange(know(start(name), 'holder'), state, 2400).holder, told)
  const last = exchange(know(start('z'), 'holder'), crowd, 2500).instance
  t.is(last.serving.origins.newest, 0)
  const resumed = serve(last, stream('s', 2800, 'r'))
  t.truthy(exchange(resumed.state, crowd, 2801, resumed.heartbeat).upstream)
})

test('an instance that has ended does not take the place of one that keeps copies', (t) => {
  const holder = know(startHolder(), 'holder')
  const crowd = ['b', 'c', 'd'].reduce((state, name) => exchange(know(start(name), 'holder'), state, 2000).holder, holder)
  const { holder: told } = exchange(begin(know(start('y'), 'holder'), 'r', 7000).state, crowd, 7300)
  t.is(exchange(know(start('z'), 'holder'), told, 7400).instance.serving.origins.newest, 1)
})

test('streams wait for their origins to be stored, but not for a store that has just failed', (t) => {
  const begins = (step: { readonly effects: readonly EdgeEffect[] }): number => step.effects.filter((effect) => effect.subject === 'serving' && effect.effect.kind === 'begin_response').length
  const beginAt = (state: EdgeState, id: string, nowMs: number) => reduceEdge(serve(state, stream(id, nowMs)).state, { subject: 'serving', event: { kind: 'stream_began', id, attempt: 1, nowMs: nowMs + 10 } })
  const known = apply(know(start('a'), 'holder'), { subject: 'archive', event: { kind: 'history_read', version: 0, value: '' }, at: at(1000) })
  const first = beginAt(known, 'r', 2000)
  const write = first.effects.flatMap((effect) => effect.subject === 'archive' && effect.effect.kind === 'write' ? [effect.effect] : [])[0]
  const stored = reduceEdge(first.state, { subject: 'archive', event: { kind: 'written', name: write?.name ?? '', version: 1 }, at: at(2020) })
  t.deepEqual([begins(first), begins(stored)], [0, 1])
  const second = beginAt(stored.state, 's', 3000)
  const overdue = reduceEdge(second.state, { subject: 'tick', at: at(3420) })
  t.deepEqual([begins(second), begins(overdue)], [0, 1])
  const failed = reduceEdge(second.state, { subject: 'archive', event: { kind: 'write_failed', name: write?.name ?? '' }, at: at(3300) })
  t.deepEqual([begins(failed), begins(beginAt(failed.state, 'u', 3400))], [1, 1])
})
