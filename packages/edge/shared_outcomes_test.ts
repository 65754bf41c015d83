import type { Model } from '@berylshed/fleet'
import type { UpstreamOutcomes } from '@berylshed/scheduler'
import type { ReceivedRequest } from '@berylshed/serving'
import { Schema } from 'effect'
import test from 'ava'
import { decodeHeartbeat, decodeHeartbeatAnswer, encodeHeartbeat, encodeHeartbeatAnswer } from './_heartbeat_codec.ts'
import { answerHeartbeat } from './_peer_heartbeat.ts'
import { EarlierHeartbeatWire } from './_test_earlier_wire.ts'
import { apply, at, configuration, EMPTY_HEARTBEAT, start, startHolder, upstream } from './_test_instances.ts'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeState } from './edge_state.ts'
import type { HeartbeatRequest } from './heartbeat.ts'
import { reduceEdge } from './reduce_edge.ts'

const ENGINES = ['e1', 'e2', 'e3', 'e4']
const model: Model = { name: 'm', memoryMb: 10, storeLoadMs: 6000, diskLoadMs: 500, memoryLoadMs: 300, adapterMb: 1 }
const services = new Map([['drafts', { name: 'drafts', engine: { slots: 16, memoryMb: 80, adapterPlaces: 2, loadsPerSecond: 3, models: new Map([['m', model]]) } }]])

function listed (state: EdgeState): EdgeState {
  const upstreams = new Map(ENGINES.map((id) => [id, { ...upstream, id }]))
  return apply(state, { subject: 'configured', configuration: { ...configuration, version: 5, services }, from: 'store', at: at(0) },
    { subject: 'listed', list: { revision: 10, upstreams, changedAt: new Map(ENGINES.map((id) => [id, 10])), completeSince: 0, removed: new Map() }, at: at(0) })
}

function heartbeat (instance: string, outcomes?: readonly UpstreamOutcomes[]): HeartbeatRequest {
  return {
    ...EMPTY_HEARTBEAT,
    report: { instance, incarnation: instance, unmetDemand: [], requestRates: [], loads: [], adapters: [], ...outcomes === undefined ? {} : { outcomes } },
    configurationVersion: 5,
    listRevision: 10
  }
}

function onWire (request: HeartbeatRequest): HeartbeatRequest {
  return decodeHeartbeat(JSON.parse(JSON.stringify(encodeHeartbeat(request))))
}

const FAILED: UpstreamOutcomes = { upstream: 'e1', incarnation: 1, answered: 0, failed: 1, firstFailedAgoMs: 5, lastFailedSentAgoMs: 20 }

// 64 instances that find out a failing upstream each by itself lose requests at each of them.
test('an upstream that failed once at each of three instances is ejected at one that never tried it', (t) => {
  const reports = ['a', 'b', 'c'].map((name, i): HeartbeatRequest => heartbeat(name, [{ ...FAILED, lastFailedSentAgoMs: i === 2 ? 10 : 20 }]))
  const holder = reports.reduce((state, report, i) => apply(state, { subject: 'heartbeat_received', request: onWire(report), at: at(1100 + i * 30) }), listed(startHolder()))
  const asked = onWire(heartbeat('idle'))
  const answer = decodeHeartbeatAnswer(JSON.parse(JSON.stringify(encodeHeartbeatAnswer(answerHeartbeat(holder, asked, at(1200))))))
  t.deepEqual(answer.ejections, [['e1', 1, 960, 1, 3, 0]])
  const idle = apply(listed(start('idle')), { subject: 'heartbeat_answered', answer, at: at(1210) })
  t.like(idle.serving.ejections.get('e1'), { source: 'holder', untilMs: 2170 })
})

test('what an instance found out by itself stays when the holder does not name it', (t) => {
  const found = apply(listed(start('f')), { subject: 'serving', event: { kind: 'ejections_received', ejections: [['e2', 1, 4000, 3, 3, 0]], nowMs: 1000 } })
  const answer = decodeHeartbeatAnswer(encodeHeartbeatAnswer(answerHeartbeat(listed(startHolder()), heartbeat('f'), at(1200))))
  t.true(apply(found, { subject: 'heartbeat_answered', answer, at: at(1210) }).serving.ejections.has('e2'))
})

test('only the lease holder probes quarantines', (t) => {
  t.true(apply(startHolder(), { subject: 'tick', at: at(1300) }).serving.holdsLease)
  t.false(apply(listed(start('f')), { subject: 'tick', at: at(1300) }).serving.holdsLease)
})

test('builds before outcomes were exchanged read heartbeats with them, and are read', (t) => {
  const sent = { ...heartbeat('f', [FAILED]), evidence: { origin: 'f', version: 1, suspicions: [], quarantines: [], processes: [['e1#1', null, [['caller', ['request f', 'part p'], 30, 10]]]] as const } }
  t.deepEqual(onWire(sent), sent)
  const earlier = Schema.decodeUnknownSync(EarlierHeartbeatWire)(JSON.parse(JSON.stringify(encodeHeartbeat(sent))))
  t.is(decodeHeartbeat(earlier).report.outcomes, undefined)
  const { ejections: _ejections, ...answer } = encodeHeartbeatAnswer(answerHeartbeat(startHolder(), heartbeat('f'), at(1200)))
  t.deepEqual(decodeHeartbeatAnswer(answer).ejections, [])
})

function isHeartbeat (effect: EdgeEffect): boolean {
  return effect.subject === 'heartbeat'
}

test('a failure makes a heartbeat due, and further ones do not until some time has passed', (t) => {
  const follower = apply(listed(start('f')), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 1, lease: { fence: 1, holder: { instance: 'holder', incarnation: 'holder', address: 'holder' }, writeId: 'w' }, ...at(0) } })
  let state = follower
  const due = [1000, 1005, 1010, 1100].map((nowMs, i) => {
    const request: ReceivedRequest = {
      id: `r${i}`, callerId: `r${i}`, fingerprint: `r${i}`, promptParts: [], resumedAttempt: undefined, route: 'drafts', service: 'drafts', model: 'm', adapter: undefined, stream: true, retryable: false, maxRuns: 1, rank: 1, objectiveMs: 500, arrivedAtMs: nowMs, deadlineMs: nowMs + 9000
    }
    const received = reduceEdge({ ...state, heartbeatInFlight: false }, { subject: 'serving', event: { kind: 'received', request, nowMs } })
    const failed = reduceEdge(received.state, { subject: 'serving', event: { kind: 'attempt_failed', id: request.id, attempt: 1, failure: 'malformed', detail: '', nowMs: nowMs + 2 } })
    state = failed.state
    return failed.effects.some(isHeartbeat)
  })
  t.deepEqual(due, [true, false, false, true])
})
