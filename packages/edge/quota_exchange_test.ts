import type { Customer, UpstreamList } from '@berylshed/fleet'
import type { Lease } from '@berylshed/scheduler'
import type { ReceivedRequest, ServingEffect, ServingRecord } from '@berylshed/serving'
import test from 'ava'
import { Schema } from 'effect'
import { apply, at, configuration, start, startHolder, upstream } from './_test_instances.ts'
import { EarlierHeartbeatWire } from './_test_earlier_wire.ts'
import { answerHeartbeat } from './_peer_heartbeat.ts'
import { decodeHeartbeat, decodeHeartbeatAnswer, encodeHeartbeat, encodeHeartbeatAnswer, HeartbeatWire } from './_heartbeat_codec.ts'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeEvent } from './edge_event.ts'
import type { EdgeState } from './edge_state.ts'
import { reduceEdge } from './reduce_edge.ts'

const customer: Customer = { name: 'c', keyDigests: [], quota: { unit: 'tokens', perS: 1900, burst: 1900, plainTokens: 1000 } }
const lease: Lease = { fence: 1, holder: { instance: 'holder', incarnation: 'holder', address: 'holder' }, writeId: 'w' }
const list: UpstreamList = { revision: 10, upstreams: new Map([['u', { ...upstream, id: 'u', service: 'orders', slots: 1000 }]]), changedAt: new Map([['u', 10]]), completeSince: 0, removed: new Map() }

function configured (state: EdgeState, perS = 1900, version = 5): EdgeState {
  const customers = new Map([['c', { ...customer, quota: { unit: 'tokens' as const, perS, burst: perS, plainTokens: 1000 } }]])
  return apply(state, { subject: 'configured', configuration: { ...configuration, version, services: new Map([['orders', { name: 'orders', engine: undefined }]]), customers }, from: 'store', at: at(0) }, { subject: 'listed', list, at: at(0) })
}

function lookup (id: string, nowMs: number, changes: Partial<ReceivedRequest> = {}): ReceivedRequest {
  return {
    id, callerId: id, fingerprint: id, promptParts: [], resumedAttempt: undefined, route: 'lookups', service: 'orders', model: undefined, adapter: undefined, stream: false, retryable: true, maxRuns: 2, rank: 1, objectiveMs: 200, arrivedAtMs: nowMs, deadlineMs: nowMs + 2000, customer: 'c', quotaUnits: 1000, ...changes
  }
}

function servingEffects (effects: readonly EdgeEffect[]): readonly ServingEffect[] {
  return effects.flatMap((effect) => effect.subject === 'serving' ? [effect.effect] : [])
}

function recordsOf (effects: readonly EdgeEffect[]): readonly ServingRecord[] {
  return servingEffects(effects).flatMap((effect) => effect.kind === 'record' ? [effect.record] : [])
}

/** Instances whose messages pass at once, in their wire format. */
class _Fleet {
  readonly states: Map<string, EdgeState>
  readonly records: ServingRecord[] = []
  connected = true
  #leaseVersion = 2

  constructor (followers: readonly string[], perS = 1900) {
    const follow = (name: string): EdgeState => apply(configured(start(name), perS), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 1, lease, ...at(0) } })
    this.states = new Map([['holder', configured(startHolder(), perS)], ...followers.map((name) => [name, follow(name)] as const)])
  }

  dispatch (name: string, event: EdgeEvent): readonly EdgeEffect[] {
    const { state, effects } = reduceEdge(this.state(name), event)
    this.states.set(name, state)
    this.records.push(...recordsOf(effects))
    for (const effect of effects) {
      if (effect.subject === 'scheduler' && effect.effect.kind === 'write_lease' && name === 'holder') this.#renew(effect.effect.lease.writeId, 'at' in event ? event.at.nowMs : 0)
      if (effect.subject === 'heartbeat') this.#exchange(name, effect, 'at' in event ? event.at.nowMs : event.subject === 'serving' ? event.event.nowMs : 0)
    }
    return effects
  }

  #renew (writeId: string, nowMs: number): void {
    this.#leaseVersion += 1
    this.dispatch('holder', { subject: 'scheduler', event: { kind: 'lease_written', writeId, version: this.#leaseVersion, ...at(nowMs) } })
  }

  #exchange (name: string, { request: sent }: Extract<EdgeEffect, { subject: 'heartbeat' }>, nowMs: number): void {
    if (!this.connected) {
      this.dispatch(name, { subject: 'heartbeat_failed', refused: false, at: at(nowMs) })
      return
    }
    const request = decodeHeartbeat(JSON.parse(JSON.stringify(encodeHeartbeat(sent))))
    this.dispatch('holder', { subject: 'heartbeat_received', request, at: at(nowMs) })
    const answer = decodeHeartbeatAnswer(JSON.parse(JSON.stringify(encodeHeartbeatAnswer(answerHeartbeat(this.state('holder'), request, at(nowMs))))))
    this.dispatch(name, { subject: 'heartbeat_answered', answer, at: at(nowMs) })
  }

  state (name: string): EdgeState {
    return this.states.get(name) ?? start(name)
  }

  tick (nowMs: number): void {
    for (const name of this.states.keys()) this.dispatch(name, { subject: 'tick', at: at(nowMs) })
  }

  send (name: string, id: string, nowMs: number, changes: Partial<ReceivedRequest> = {}): ServingEffect | undefined {
    const effects = servingEffects(this.dispatch(name, { subject: 'serving', event: { kind: 'received', request: lookup(id, nowMs, changes), nowMs } }))
    return effects.find(({ kind }) => kind === 'send' || kind === 'refuse')
  }
}

test('three instances enforce one quota together, and refuse with 429, the time until a retry and the cause', (t) => {
  const fleet = new _Fleet(['a', 'b'])
  fleet.tick(1000)
  let sent = 0
  for (let nowMs = 1010; nowMs < 9000; nowMs += 10) {
    fleet.tick(nowMs)
    const effect = fleet.send(['holder', 'a', 'b'][nowMs / 10 % 3] ?? '', `r${nowMs}`, nowMs)
    if (effect?.kind === 'send') sent += 1000
    if (effect?.kind !== 'refuse') continue
    t.like(effect.refusal, { reason: 'quota_exceeded', status: 429, notRun: true })
    t.true((effect.refusal.retryAfterMs ?? 0) > 0)
  }
  t.true(sent >= 0.95 * 8 * 1900 && sent <= 1.1 * 9 * 1900 + 7500, `${sent}`)
  t.like(fleet.records.find(({ what }) => what === 'refused'), { reason: 'quota_exceeded', status: 429, customer: 'c', units: 1000, detail: 'quota', allowanceAgeMs: 0 })
})

test('an instance that never saw the customer admits its next request, and lets the others know at once', (t) => {
  const fleet = new _Fleet(['a', 'b'])
  for (const nowMs of [1000, 1250]) fleet.tick(nowMs)
  t.is(fleet.send('a', 'first', 1300)?.kind, 'send')
  t.is(fleet.send('b', 'second', 1500)?.kind, 'send')
  t.is(fleet.state('holder').quotaLedger?.processes.get('b')?.usage.get('c')?.spent, 1000)
})

test('a request that was charged and did not run is given back, also at the holder', (t) => {
  const fleet = new _Fleet(['a'])
  for (const nowMs of [1000, 1250]) fleet.tick(nowMs)
  t.is(fleet.send('a', 'r', 1300)?.kind, 'send')
  for (let attempt = 1; attempt <= 6; attempt += 1) fleet.dispatch('a', { subject: 'serving', event: { kind: 'attempt_failed', id: 'r', attempt, failure: 'refused', detail: '', nowMs: 1300 + attempt } })
  for (let nowMs = 1400; nowMs < 4000; nowMs += 100) fleet.tick(nowMs)
  t.true(fleet.records.some(({ what, request, status }) => what === 'refused' && request === 'r' && status === 503))
  t.like(fleet.state('holder').quotaLedger?.processes.get('a')?.usage.get('c'), { spent: 1000, refunded: 1000 })
})

test('a request that ran, or may have run, is not given back', (t) => {
  const fleet = new _Fleet(['a'])
  for (const nowMs of [1000, 1250]) fleet.tick(nowMs)
  fleet.send('a', 'r', 1300, { retryable: false, maxRuns: 1 })
  fleet.dispatch('a', { subject: 'serving', event: { kind: 'attempt_failed', id: 'r', attempt: 1, failure: 'broken', detail: '', nowMs: 1310 } })
  t.like(fleet.state('a').serving.quotas.usage.get('c'), { spent: 1000, refunded: 0 })
})

test('a request that another instance handed over is not charged twice, nor are retries', (t) => {
  const fleet = new _Fleet(['a'])
  for (const nowMs of [1000, 1250]) fleet.tick(nowMs)
  fleet.send('a', 'handed', 1300, { handover: { softwareVersion: undefined } })
  t.is(fleet.state('a').serving.quotas.usage.size, 0)
  fleet.send('a', 'retried', 1300)
  fleet.dispatch('a', { subject: 'serving', event: { kind: 'attempt_failed', id: 'retried', attempt: 1, failure: 'broken', detail: '', nowMs: 1310 } })
  t.is(fleet.state('a').serving.quotas.usage.get('c')?.spent, 1000)
})

test('allowances end without a holder and after a suspension, each with one line, and come back with an answer', (t) => {
  const fleet = new _Fleet(['a'])
  for (const nowMs of [1000, 1250]) fleet.tick(nowMs)
  const changes = (): readonly string[] => fleet.records.splice(0).map(({ what }) => what).filter((what) => what.startsWith('quota_'))
  changes()
  fleet.connected = false
  for (let nowMs = 1300; nowMs < 3700; nowMs += 50) fleet.tick(nowMs)
  t.deepEqual(changes(), ['quota_fallback'])
  fleet.connected = true
  for (const nowMs of [3700, 4000]) fleet.tick(nowMs)
  t.deepEqual(changes(), ['quota_shared'])
  // The wall clock alone went on while the machine was suspended.
  const thawed = reduceEdge(fleet.state('a'), { subject: 'tick', at: { nowMs: 4010, clockMs: 94_010 } })
  t.is(recordsOf(thawed.effects).filter(({ what }) => what === 'quota_fallback').length, 1)
})

test('a lowered limit is in force with its configuration', (t) => {
  const fleet = new _Fleet(['a'], 19_000)
  for (const nowMs of [1000, 1250]) fleet.tick(nowMs)
  for (const name of ['holder', 'a']) fleet.states.set(name, configured(fleet.state(name), 1900, 6))
  let sent = 0
  for (let nowMs = 1300; nowMs < 9300; nowMs += 10) {
    fleet.tick(nowMs)
    if (fleet.send('a', `r${nowMs}`, nowMs)?.kind === 'send') sent += 1000
  }
  t.true(sent <= 1.1 * 9 * 1900 + 7500, `${sent}`)
})

test('builds with and without quotas read each other', (t) => {
  const fleet = new _Fleet(['a'])
  for (const nowMs of [1000, 1250]) fleet.tick(nowMs)
  fleet.send('a', 'r', 1300)
  const { effects } = reduceEdge(fleet.state('a'), { subject: 'tick', at: at(1600) })
  const sent = effects.find((effect) => effect.subject === 'heartbeat')?.request
  if (sent === undefined) return t.fail('no heartbeat was due')
  const wire = JSON.parse(JSON.stringify(encodeHeartbeat(sent)))
  t.deepEqual(wire.quotas.usage[0].slice(0, 5), ['c', 1000, 0, 1000, 1000])
  t.false('quotas' in Schema.decodeUnknownSync(EarlierHeartbeatWire)(wire))
  const { quotas: _quotas, ...earlier } = wire
  t.is(decodeHeartbeat(Schema.decodeUnknownSync(HeartbeatWire)(earlier)).quotas, undefined)
  const answer = answerHeartbeat(fleet.state('holder'), decodeHeartbeat(wire), at(1600))
  t.deepEqual(decodeHeartbeatAnswer(JSON.parse(JSON.stringify(encodeHeartbeatAnswer(answer)))).quotas?.allowances.map(({ customer: name }) => name), ['c'])
  const { quotas: _answered, ...earlierAnswer } = encodeHeartbeatAnswer(answer)
  t.is(decodeHeartbeatAnswer(earlierAnswer).quotas, undefined)
})

test('a deployment without quotas sends and answers what it did before', (t) => {
  const holder = startHolder()
  const { effects } = reduceEdge(apply(start('a'), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 1, lease, ...at(0) } }), { subject: 'tick', at: at(1000) })
  const sent = effects.find((effect) => effect.subject === 'heartbeat')?.request
  if (sent === undefined) return t.fail('no heartbeat was due')
  t.false('quotas' in encodeHeartbeat(sent))
  t.false('quotas' in encodeHeartbeatAnswer(answerHeartbeat(holder, sent, at(1000))))
})
