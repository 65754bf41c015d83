import type { Lease } from '@berylshed/scheduler'
import { isRetryAllowed } from '@berylshed/serving'
import test from 'ava'
import { apply, at, start, startHolder } from './_test_instances.ts'
import type { EdgeState } from './edge_state.ts'
import { reduceEdge } from './reduce_edge.ts'

const INSTANCES = 30
const BUDGET = { ratio: 0.2, minRetries: 192, windowMs: 10_000 }

function report (state: EdgeState, count: number, nowMs: number): EdgeState {
  return Array.from({ length: count }, (_, i) => `other-${i}`).reduce((known, instance) => apply(known, {
    subject: 'scheduler', event: { kind: 'instance_reported', report: { instance, incarnation: instance, unmetDemand: [], requestRates: [], loads: [], adapters: [] }, ...at(nowMs) }
  }), state)
}

function writtenLease (state: EdgeState, nowMs: number): Lease | undefined {
  const { effects } = reduceEdge(state, { subject: 'tick', at: at(nowMs) })
  return effects.flatMap((effect) => effect.subject === 'scheduler' && effect.effect.kind === 'write_lease' ? [effect.effect.lease] : [])[0]
}

test('processes that start together know how many share the limits before a holder tells them', (t) => {
  const holder = apply(report(startHolder(), INSTANCES - 1, 600), { subject: 'tick', at: at(640) })
  const lease = writtenLease(holder, 800)
  t.is(lease?.instances, INSTANCES)
  const next = apply(start('next'), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 2, lease, ...at(100) } })
  t.is(next.serving.instances, INSTANCES)
  const allowed = Array.from({ length: INSTANCES }, () => countRetries(next, 200)).reduce((sum, count) => sum + count, 0)
  t.true(allowed <= BUDGET.minRetries, `${allowed} retries by all instances`)
})

test('a new holder counts the instances of its predecessor until all have had time to report', (t) => {
  const lease: Lease = { fence: 1, holder: null, writeId: 'w', instances: INSTANCES }
  const read = apply(start('next'), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 2, lease, ...at(100) } }, { subject: 'tick', at: at(140) })
  const writeId = read.scheduler.pending?.lease.writeId ?? ''
  t.is(read.scheduler.pending?.lease.instances, INSTANCES)
  const held = apply(read, { subject: 'scheduler', event: { kind: 'lease_written', writeId, version: 3, ...at(150) } }, { subject: 'tick', at: at(400) })
  t.is(held.serving.instances, INSTANCES)
  t.is(apply(report(held, 2, 4300), { subject: 'tick', at: at(4700) }).serving.instances, 3)
})

test('processes that were all killed retry no more than the budget of the window in which they ended', (t) => {
  const before = { instances: INSTANCES, startedAtMs: -Infinity }
  const spent = countRetries(start('old'), 5000, before) * INSTANCES
  const after = countRetries(start('new'), 6000, { instances: INSTANCES, startedAtMs: 5500 }) * INSTANCES
  t.true(spent + after <= BUDGET.minRetries, `${spent} retries before and ${after} after`)
})

// Counts the retries that an instance without first attempts makes at one moment.
function countRetries (state: EdgeState, nowMs: number, known: { readonly instances: number, readonly startedAtMs: number } = state.serving): number {
  for (let retries = 0; ; retries += 1) {
    const window = { seconds: [{ second: Math.floor(nowMs / 1000), firstAttempts: 0, retries }] }
    if (!isRetryAllowed(window, BUDGET, { ...known, nowMs })) return retries
  }
}
