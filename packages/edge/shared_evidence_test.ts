import type { ReceivedRequest } from '@berylshed/serving'
import test from 'ava'
import { apply, at, configuration, EMPTY_HEARTBEAT, start, startHolder, upstream } from './_test_instances.ts'
import { answerHeartbeat } from './_peer_heartbeat.ts'
import { decodeHeartbeat, decodeHeartbeatAnswer, encodeHeartbeat, encodeHeartbeatAnswer } from './_heartbeat_codec.ts'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeState } from './edge_state.ts'
import type { HeartbeatRequest } from './heartbeat.ts'
import { reduceEdge } from './reduce_edge.ts'
import type { Lease } from '@berylshed/scheduler'
import type { Model, UpstreamList } from '@berylshed/fleet'

function listOf (engine: string): UpstreamList {
  return { revision: 10, upstreams: new Map([[engine, { ...upstream, id: engine }]]), changedAt: new Map([[engine, 10]]), completeSince: 0, removed: new Map() }
}

const model: Model = { name: 'm', memoryMb: 10, storeLoadMs: 6000, diskLoadMs: 500, memoryLoadMs: 300, adapterMb: 1 }
const services = new Map([['drafts', { name: 'drafts', engine: { slots: 16, memoryMb: 80, adapterPlaces: 2, loadsPerSecond: 3, models: new Map([['m', model]]) } }]])

function draft (id: string, nowMs: number, fingerprint = id): ReceivedRequest {
  return {
    id, callerId: id, fingerprint, promptParts: ['first', 'crashing', id], resumedAttempt: undefined, route: 'drafts', service: 'drafts', model: 'm', adapter: undefined, stream: true, retryable: false, maxRuns: 1, rank: 1, objectiveMs: 500, arrivedAtMs: nowMs, deadlineMs: nowMs + 9000
  }
}

function sends (effects: readonly EdgeEffect[]): boolean {
  return effects.some((effect) => effect.subject === 'serving' && effect.effect.kind === 'send')
}

const NEW_HEARTBEAT: HeartbeatRequest = {
  ...EMPTY_HEARTBEAT,
  report: { instance: 'new', incarnation: 'new', unmetDemand: [], requestRates: [], loads: [], adapters: [] },
  configurationVersion: 5,
  listRevision: 10
}

interface CrashedInstance {
  readonly state: EdgeState
  readonly crashed: boolean
  /** The heartbeat that the crash made due. */
  readonly heartbeat: HeartbeatRequest | undefined
}

// Sends a request with the crashing part through an instance; its engine crashes 40 ms later.
function crashOnce (state: EdgeState, id: string, nowMs: number, fingerprint = id): CrashedInstance {
  const received = reduceEdge(state, { subject: 'serving', event: { kind: 'received', request: draft(id, nowMs, fingerprint), nowMs } })
  if (!sends(received.effects)) return { state: received.state, crashed: false, heartbeat: undefined }
  const failed = reduceEdge(received.state, { subject: 'serving', event: { kind: 'attempt_failed', id, attempt: 1, failure: 'broken', detail: 'aborted', nowMs: nowMs + 40 } })
  const heartbeat = failed.effects.find((effect) => effect.subject === 'heartbeat')
  return { state: failed.state, crashed: true, heartbeat: heartbeat?.request }
}

function listed (state: EdgeState, engine = 'e'): EdgeState {
  return apply(state, { subject: 'configured', configuration: { ...configuration, version: 5, services }, from: 'store', at: at(0) }, { subject: 'listed', list: listOf(engine), at: at(0) })
}

const lease: Lease = { fence: 1, holder: { instance: 'holder', incarnation: 'holder', address: 'holder' }, writeId: 'w' }

// Each follower knows another engine, as an engine that crashed comes back as another process.
function startFollower (name: string): EdgeState {
  return apply(listed(start(name), `engine-${name}`), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 1, lease, ...at(0) } })
}

interface Exchanged {
  readonly follower: EdgeState
  readonly holder: EdgeState
}

// Delivers a follower's heartbeat and its answer, both in their wire format.
function exchange (follower: CrashedInstance, holder: EdgeState, nowMs: number): Exchanged {
  if (follower.heartbeat === undefined) return { follower: follower.state, holder }
  const request = decodeHeartbeat(JSON.parse(JSON.stringify(encodeHeartbeat(follower.heartbeat))))
  const informed = apply(holder, { subject: 'heartbeat_received', request, at: at(nowMs + 1) })
  const answer = decodeHeartbeatAnswer(JSON.parse(JSON.stringify(encodeHeartbeatAnswer(answerHeartbeat(informed, request, at(nowMs + 1))))))
  return { follower: apply(follower.state, { subject: 'heartbeat_answered', answer, at: at(nowMs + 2) }), holder: informed }
}

test('instances quarantine a part together though each of them saw at most one of its crashes', (t) => {
  let holder = listed(startHolder())
  let crashes = 0
  for (let i = 0; i < 12; i += 1) {
    const nowMs = 2000 + i * 500
    const result = crashOnce(startFollower(`f${i}`), `r${i}`, nowMs)
    const asked = exchange(result, holder, nowMs + 100)
    holder = asked.holder
    const again = crashOnce(asked.follower, `again${i}`, nowMs + 200)
    if (result.crashed) crashes += 1
    if (i > 4) t.false(again.crashed, `instance ${i} sent a request with the part after its exchange with the holder`)
  }
  t.deepEqual([...holder.serving.evidence.quarantines.keys()], ['parts crashing+first'])
  t.false(crashOnce(holder, 'last', 9000).crashed)
  t.is(crashes, 12)
})

test('a request that its caller repeats at other instances crashes three engines at most', (t) => {
  let holder = listed(startHolder())
  const crashed = [0, 1, 2, 3, 4].map((i) => {
    const nowMs = 2000 + i * 1000
    const informed = exchange({ state: startFollower(`f${i}`), crashed: false, heartbeat: NEW_HEARTBEAT }, holder, nowMs)
    const result = crashOnce(informed.follower, `r${i}`, nowMs + 10, 'repeated')
    holder = exchange(result, informed.holder, nowMs + 100).holder
    return result.crashed
  })
  t.deepEqual(crashed, [true, true, true, false, false])
})

test('a quarantine outlasts all processes in the lease object', (t) => {
  const quarantines = [['part crashing', 1, 60_000]] as const
  const known = apply(startHolder(), { subject: 'serving', event: { kind: 'evidence_received', update: { suspicions: [], quarantines }, nowMs: 1000 } })
  const { effects } = reduceEdge(known, { subject: 'tick', at: at(2000) })
  const written = effects.flatMap((effect) => effect.subject === 'scheduler' && effect.effect.kind === 'write_lease' ? [effect.effect.lease] : [])
  t.deepEqual(written[0]?.quarantines, [['part crashing', 1, 59_000]])
  const next = apply(listed(start('next')), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 2, lease: written[0], ...at(100) } })
  t.false(crashOnce(next, 'r', 200).crashed)
  t.true(crashOnce(startFollower('other'), 'r', 200).crashed)
})

test('evidence is exchanged once in each direction', (t) => {
  const first = exchange(crashOnce(startFollower('f'), 'r', 2000), listed(startHolder()), 2100)
  t.is(first.holder.serving.evidence.suspicions.size, 4)
  const { effects } = reduceEdge(first.follower, { subject: 'tick', at: at(3000) })
  const heartbeat = effects.find((effect) => effect.subject === 'heartbeat')
  t.is(heartbeat?.request.evidence, undefined)
  t.deepEqual(heartbeat?.request.receivedEvidence, { origin: 'holder', version: 4 })
})

// The record's lookup: no prompt, three plain upstreams whose processes are others after each crash, and callers that repeat at once.
test('a lookup without a prompt that crashes plain upstreams reaches one more of them after the third at most, even if all instances restart', (t) => {
  const lookup = (id: string, nowMs: number): ReceivedRequest => ({ ...draft(id, nowMs, 'lookup'), promptParts: [], model: undefined, service: 'orders', stream: false, retryable: true, maxRuns: 2, objectiveMs: 120, deadlineMs: nowMs + 600 })
  const knows = (state: EdgeState, process: number): EdgeState => {
    const upstreams = new Map([1, 2, 3].map((i) => [`u${process}-${i}`, { ...upstream, id: `u${process}-${i}`, service: 'orders' }]))
    const list: UpstreamList = { revision: 10 + process, upstreams, changedAt: new Map([...upstreams.keys()].map((id) => [id, 10 + process])), completeSince: 0, removed: new Map() }
    return apply(state, { subject: 'configured', configuration: { ...configuration, version: 5, services: new Map([['orders', { name: 'orders', engine: undefined }]]) }, from: 'store', at: at(0) }, { subject: 'listed', list, at: at(0) })
  }
  const follower = (name: string, process: number): EdgeState => apply(knows(start(name), process), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 1, lease, ...at(0) } })
  // Sends the lookup; each attempt crashes its upstream 20 ms later.
  const crash = (state: EdgeState, id: string, nowMs: number): CrashedInstance & { readonly crashes: number } => {
    let result = reduceEdge(state, { subject: 'serving', event: { kind: 'received', request: lookup(id, nowMs), nowMs } })
    let crashes = 0
    let heartbeat: HeartbeatRequest | undefined
    while (sends(result.effects)) {
      crashes += 1
      result = reduceEdge(result.state, { subject: 'serving', event: { kind: 'attempt_failed', id, attempt: crashes, failure: 'broken', detail: '', nowMs: nowMs + 20 * crashes } })
      heartbeat = result.effects.flatMap((effect) => effect.subject === 'heartbeat' ? [effect.request] : [])[0] ?? heartbeat
    }
    return { state: result.state, crashed: crashes > 0, heartbeat, crashes }
  }
  let holder = knows(startHolder(), 0)
  const crashes = Array.from({ length: 8 }, (_, i) => {
    const nowMs = 2000 + i * 1000
    const informed = exchange({ state: follower(`f${i}`, i), crashed: false, heartbeat: NEW_HEARTBEAT }, holder, nowMs)
    const result = crash(informed.follower, `r${i}`, nowMs + 10)
    holder = exchange(result, informed.holder, nowMs + 200).holder
    return result.crashes
  })
  // The report of the second crash is under way with the next heartbeat, so one request more arrives before the third is known.
  t.deepEqual(crashes, [2, 1, 1, 0, 0, 0, 0, 0])
  const { effects } = reduceEdge(holder, { subject: 'tick', at: at(11_000) })
  const written = effects.flatMap((effect) => effect.subject === 'scheduler' && effect.effect.kind === 'write_lease' ? [effect.effect.lease] : [])
  const restarted = apply(knows(start('next'), 9), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 2, lease: written[0], ...at(11_100) } })
  t.is(crash(restarted, 'last', 11_200).crashes, 0)
})
