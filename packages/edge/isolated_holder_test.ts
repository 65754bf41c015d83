import { applyRegistrationChanges, NO_UPSTREAMS } from '@berylshed/fleet'
import type { Lease } from '@berylshed/scheduler'
import test from 'ava'
import { apply, at, startHolder, upstream } from './_test_instances.ts'
import type { EdgeState } from './edge_state.ts'
import { reduceEdge } from './reduce_edge.ts'

const ENGINES = ['e1', 'e2', 'e3']

// A holder that polled its engines without success from 2,000 ms on; another instance reports to it.
function isolatedHolder (peer: { readonly isolated: boolean }): EdgeState {
  const list = applyRegistrationChanges(NO_UPSTREAMS, ENGINES.map((id) => ({ id, upstream: { ...upstream, id } })), { revision: 10 })
  const known = apply(startHolder(), { subject: 'listed', list, at: at(1000) })
  const polled = apply(known, ...ENGINES.map((id) => ({ subject: 'scheduler', event: { kind: 'engine_report_failed', upstream: id, polledAtMs: 2000, ...at(2400) } } as const)))
  const report = { instance: 'other', incarnation: 'other', unmetDemand: [], requestRates: [], loads: [], adapters: [], ...peer.isolated ? { isolated: true } : {} }
  return apply(polled, { subject: 'scheduler', event: { kind: 'instance_reported', report, ...at(2500) } })
}

function written (state: EdgeState, nowMs: number): readonly Lease[] {
  const { effects } = reduceEdge(state, { subject: 'tick', at: at(nowMs) })
  return effects.flatMap((effect) => effect.subject === 'scheduler' && effect.effect.kind === 'write_lease' ? [effect.effect.lease] : [])
}

test('a lease holder that reaches no engine releases the lease to an instance that does', (t) => {
  t.deepEqual(written(isolatedHolder({ isolated: false }), 2600).map(({ holder }) => holder), [null])
})

test('a lease holder keeps the lease if no other instance reaches an engine either', (t) => {
  t.deepEqual(written(isolatedHolder({ isolated: true }), 2600).map(({ holder }) => holder?.instance), ['holder'])
})

test('an instance that reaches no engine takes a released lease only if nobody else does', (t) => {
  const state = isolatedHolder({ isolated: false })
  const releasing = reduceEdge(state, { subject: 'tick', at: at(2600) }).state
  const released = apply(releasing, { subject: 'scheduler', event: { kind: 'lease_written', writeId: releasing.scheduler.pending?.lease.writeId ?? '', version: 3, ...at(2610) } })
  t.is(released.scheduler.held, undefined)
  const early = [2700, 4000, 8000].map((nowMs) => written(released, nowMs).length)
  t.deepEqual([...early, written(released, 8200).length], [0, 0, 0, 1])
})
