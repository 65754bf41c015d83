import test from 'ava'
import { limitedRates, limitShares } from './limit_shares.ts'
import { newServingHarness, testEngineTarget, testRequest, type ServingHarness } from './_test_serving.ts'
import type { LimitShare } from './upstream_limit.ts'

const LIMIT_PER_S = 6
const WINDOW_MS = 4000
const STEP_MS = 20
/** Requests that an upstream with a limit accepts in a window. */
const ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_MS / 1000 + 5

function newInstance (phase: number): ServingHarness {
  return newServingHarness([testEngineTarget('limited', { m: [] })], undefined, phase)
}

interface Load {
  /** Requests per second that arrive at each instance. */
  readonly rates: readonly number[]
  readonly seconds: number
  share? (instance: number): number
}

// Returns the times at which the limited upstream receives requests. Each of its responses names the limit.
function sendTimes (instances: readonly ServingHarness[], load: Load): readonly number[] {
  const times: number[] = []
  const due = load.rates.map(() => 0)
  for (let nowMs = 0; nowMs < load.seconds * 1000; nowMs += STEP_MS) {
    for (const [i, harness] of instances.entries()) {
      const effects = [...harness.apply({ kind: 'ticked', nowMs })]
      const share = load.share?.(i)
      if (share !== undefined && nowMs % 200 === 0) harness.apply({ kind: 'limits_received', limits: [['limited', 1, LIMIT_PER_S, 0, share]], nowMs })
      due[i] = (due[i] ?? 0) + (load.rates[i] ?? 0) * STEP_MS / 1000
      while ((due[i] ?? 0) >= 1) {
        due[i] = (due[i] ?? 0) - 1
        const id = `${i}-${nowMs}-${due[i]}`
        effects.push(...harness.apply({ kind: 'received', request: testRequest(id, { service: 'drafts', model: 'm', objectiveMs: 500, arrivedAtMs: nowMs, deadlineMs: nowMs + 4000 }), nowMs }))
      }
      for (const effect of effects.filter((text) => text.startsWith('send '))) {
        times.push(nowMs)
        const id = effect.slice('send '.length).split('#')[0] ?? ''
        harness.apply({ kind: 'limit_stated', upstream: 'limited', perS: LIMIT_PER_S, nowMs: nowMs + 10 })
        harness.apply({ kind: 'response_ended', id, attempt: 1, status: 200, nowMs: nowMs + 10 })
      }
    }
  }
  return times
}

function busiestWindow (times: readonly number[], fromMs: number): number {
  const counted = times.filter((time) => time >= fromMs)
  return Math.max(0, ...counted.map((start) => counted.filter((time) => time >= start && time < start + WINDOW_MS).length))
}

test('all instances together send an upstream no more than the limit that it names', (t) => {
  const instances = [0.2, 0.4, 0.6, 0.8].map(newInstance)
  for (const harness of instances) harness.apply({ kind: 'peer_loads_received', loads: [], instances: 4, nowMs: 0 })
  const times = sendTimes(instances, { rates: [10, 5, 3, 1], seconds: 20 })
  t.true(busiestWindow(times, 3000) <= ALLOWED, `${busiestWindow(times, 3000)} requests in 4 s`)
  t.true(times.length > 20 * LIMIT_PER_S * 0.5, `${times.length} requests in 20 s`)
})

test('shares that follow the rates use the limit that equal ones leave unused', (t) => {
  const rates = [10, 0.5, 0.5, 0]
  const holder = newInstance(1)
  holder.apply({ kind: 'limits_received', limits: [['limited', 1, LIMIT_PER_S, 0]], nowMs: 0 })
  const reports = rates.map((ratePerS) => [{ service: 'drafts', model: 'm', ratePerS }])
  const totals = limitedRates(holder.state(), reports.flat())
  const shares = reports.map((report) => Number(limitShares(holder.state(), report, { totals, instance: 'entry-1', instances: 4, nowMs: 0 })[0]?.at(-1)))
  t.true(Math.abs(shares.reduce((sum, share) => sum + share, 0) - 1) < 1e-9)
  const times = sendTimes([0.2, 0.4, 0.6, 0.8].map(newInstance), { rates, seconds: 20, share: (i) => shares[i] ?? 0 })
  t.true(busiestWindow(times, 3000) <= ALLOWED)
  t.true(times.length > 20 * LIMIT_PER_S * 0.7, `${times.length} requests in 20 s`)
})

test('forty instances with small shares do not send at the same time', (t) => {
  const phases = Array.from({ length: 40 }, (_, i) => (i * 0.618) % 1)
  const instances = phases.map(newInstance)
  for (const harness of instances) harness.apply({ kind: 'limits_received', limits: [['limited', 1, LIMIT_PER_S, 0, 1 / 40]], nowMs: 0 })
  const times = sendTimes(instances, { rates: phases.map(() => 0.5), seconds: 30, share: () => 1 / 40 })
  t.true(busiestWindow(times, 0) <= ALLOWED, `${busiestWindow(times, 0)} requests in 4 s`)
})

test('an upstream that names less than a request a second for each instance receives its requests from one of them', (t) => {
  const perS = 1
  const relays = Array.from({ length: 30 }, (_, i) => ({ instance: `entry-${100 + i}`, address: `10.0.0.${i}:1` }))
  const instances = relays.map(({ instance }, i) => newServingHarness([testEngineTarget('limited', { m: [] })], undefined, (i * 0.618) % 1, instance))
  const sentAtMs: number[] = []
  const handedOver: string[] = []
  for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
    for (const [i, harness] of instances.entries()) {
      if (nowMs % 200 === 0) {
        harness.apply({ kind: 'peer_loads_received', loads: [], instances: 30, nowMs })
        harness.apply({ kind: 'members_received', members: relays, confirmedAtMs: nowMs, nowMs })
        harness.apply({ kind: 'limits_received', limits: limitShares(harness.state(), [], { totals: new Map(), instance: `entry-${100 + i}`, instances: 30, nowMs }), nowMs })
      }
      const effects = [...harness.apply({ kind: 'ticked', nowMs })]
      const arrived = nowMs % 500 === 0 ? [`${i}-${nowMs}`] : []
      for (const id of arrived) effects.push(...harness.apply({ kind: 'received', request: testRequest(id, { service: 'drafts', model: 'm', objectiveMs: 500, arrivedAtMs: nowMs, deadlineMs: nowMs + 4000 }), nowMs }))
      for (const effect of effects.filter((text) => text.startsWith('send '))) {
        const id = effect.slice('send '.length).split('#')[0] ?? ''
        if (effect.endsWith(' to limited')) {
          sentAtMs.push(nowMs)
          harness.apply({ kind: 'limit_stated', upstream: 'limited', perS, nowMs: nowMs + 10 })
        } else handedOver.push(effect.split(' to ')[1] ?? '')
        harness.apply({ kind: 'response_ended', id, attempt: 1, status: 200, nowMs: nowMs + 10 })
      }
      if (nowMs === 0) harness.apply({ kind: 'limits_received', limits: [['limited', 1, perS, 0]], nowMs: 10 })
    }
  }
  t.is(new Set(handedOver).size, 1)
  t.true(busiestWindow(sentAtMs, 1000) <= 1.5 * perS * WINDOW_MS / 1000 + 5, `${busiestWindow(sentAtMs, 1000)} requests in 4 s`)
  t.true(sentAtMs.filter((atMs) => atMs >= 1000).length >= 0.7 * perS * 19, `${sentAtMs.length} requests in 20 s`)
})

test('a lifted limit no longer holds requests back, nor does that of an earlier process', (t) => {
  const harness = newInstance(1)
  const send = (id: string, nowMs: number) => harness.apply({ kind: 'received', request: testRequest(id, { service: 'drafts', model: 'm', arrivedAtMs: nowMs, deadlineMs: nowMs + 1000 }), nowMs })[0]
  harness.apply({ kind: 'limit_stated', upstream: 'limited', perS: 0.1, nowMs: 0 })
  t.is(send('held', 100), 'demand_changed')
  harness.apply({ kind: 'limit_stated', upstream: 'limited', perS: undefined, nowMs: 200 })
  t.true(harness.apply({ kind: 'ticked', nowMs: 240 }).includes('send held#1 to limited'))
  harness.apply({ kind: 'limit_stated', upstream: 'limited', perS: 0.1, nowMs: 300 })
  const restarted = { ...testEngineTarget('limited', { m: [] }), incarnation: 2 }
  harness.apply({ kind: 'targets_changed', targets: new Map([['limited', restarted]]), loadEstimatesMs: new Map(), version: 2, nowMs: 400 })
  t.is(send('next', 500), 'send next#1 to limited')
})

test('of two statements the newer one holds, whoever sent it', (t) => {
  const harness = newInstance(1)
  const receive = (perS: number | null, statedAgoMs: number) => {
    const share: LimitShare = ['limited', 1, perS, statedAgoMs, 1]
    harness.apply({ kind: 'limits_received', limits: [share], nowMs: 1000 })
    return harness.state().limits.get('limited')?.perS
  }
  t.deepEqual([receive(5, 300), receive(null, 100), receive(5, 200), receive(3, 50)], [5, Infinity, Infinity, 3])
})
