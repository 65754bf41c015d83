import type { Lease } from '@berylshed/scheduler'
import test from 'ava'
import { apply, at, start } from './_test_instances.ts'
import type { EdgeState } from './edge_state.ts'
import { reduceEdge } from './reduce_edge.ts'

const EARLIER: Lease = { fence: 7, holder: { instance: 'earlier', incarnation: 'x', address: 'earlier' }, writeId: 'x#1' }
/** Time after which the lease of an earlier build has surely been taken over by its own instances, in ms. */
const QUIET_MS = 3500

// Reads the lease of an earlier build, as the object of this era does not exist.
function read (state: EdgeState, lease: Lease, nowMs: number): EdgeState {
  return apply(state, { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 0, lease, legacy: true, ...at(nowMs) } })
}

function taken (state: EdgeState, nowMs: number): readonly Lease[] {
  const { effects } = reduceEdge(state, { subject: 'tick', at: at(nowMs) })
  return effects.flatMap((effect) => effect.subject === 'scheduler' && effect.effect.kind === 'write_lease' ? [effect.effect.lease] : [])
}

test('an instance follows the holder of an earlier build rather than become a second one', (t) => {
  const known = read(start('new'), EARLIER, 100)
  t.deepEqual(taken(known, 3000), [])
  const { effects } = reduceEdge(known, { subject: 'tick', at: at(400) })
  t.deepEqual(effects.flatMap((effect) => effect.subject === 'heartbeat' ? [effect.to] : []), ['earlier'])
  const renewed = read(known, { ...EARLIER, writeId: 'x#2' }, 3000)
  t.deepEqual(taken(renewed, 6000), [], 'the holder renews its lease')
})

test('an instance takes over from the last holder of earlier builds with a higher fencing token', (t) => {
  const known = read(start('new'), EARLIER, 100)
  t.deepEqual(taken(known, 100 + QUIET_MS).map(({ fence, holder }) => [fence, holder?.instance]), [[EARLIER.fence + 1, 'new']])
})
