import test from 'ava'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeEvent } from './edge_event.ts'
import { newEdgeState, type EdgeState } from './edge_state.ts'
import { answerHeartbeat, isRegistryRelayed } from './_peer_heartbeat.ts'
import { reduceEdge } from './reduce_edge.ts'
import { apply, at, EMPTY_HEARTBEAT, start, startHolder } from './_test_instances.ts'

const SECOND_MS = 1000
const TICK_MS = 40

// Returns an instance that follows a holder of a fleet.
function follower (instances: number): EdgeState {
  const answer = answerHeartbeat(startHolder(), EMPTY_HEARTBEAT, at(1200))
  const lease = { fence: 1, holder: { instance: 'holder', incarnation: 'holder', address: 'holder:1' }, writeId: 'w' }
  return apply(start('other'),
    { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 2, lease, ...at(1200) } },
    { subject: 'heartbeat_answered', answer: { ...answer, instances }, at: at(1200) })
}

test('an instance relies on the holder for a part of the time in which changes must take effect', (t) => {
  const { received } = follower(4)
  const readAtMs = received?.registryReadAtMs ?? 0
  const withDelay = (registryDelayMs: number): EdgeState => ({ ...newEdgeState({ instance: 'other', incarnation: 'o', address: 'o' }, { availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 }, leaseBounds: { enginesCheckFence: true, holderChangeMs: 3000 }, registryDelayMs }), received })
  t.deepEqual([2000, 4000].map((delayMs) => [899, 901, 1799, 1801].map((ageMs) => isRegistryRelayed(withDelay(delayMs), readAtMs + ageMs))), [[true, false, false, false], [true, true, true, false]])
})

/** Reads and writes of the lease by a fleet in which nobody has held it yet, in the given time. */
function leaseCalls (instances: number, options: { readonly firstStart: boolean, readonly forMs: number }): number {
  const states = Array.from({ length: instances }, (_, i) => newEdgeState({ instance: `i${i}`, incarnation: `i${i}`, address: `i${i}` }, {
    availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 }, leaseBounds: { enginesCheckFence: false, holderChangeMs: 3000 }, ...options.firstStart ? { firstTakeoverMs: 2000 * (i + 0.5) / instances } : {}
  }))
  let calls = 0
  let stored: { readonly version: number, readonly lease: Extract<EdgeEffect, { subject: 'scheduler' }>['effect'] extends infer E ? E extends { kind: 'write_lease', lease: infer L } ? L | undefined : never : never } = { version: 0, lease: undefined }
  for (let nowMs = 0; nowMs < options.forMs; nowMs += TICK_MS) {
    for (const [i, before] of states.entries()) {
      const pending: EdgeEvent[] = [{ subject: 'tick', at: at(nowMs) }]
      let state = before
      for (let event = pending.shift(); event !== undefined; event = pending.shift()) {
        const reduced = reduceEdge(state, event)
        state = reduced.state
        for (const effect of reduced.effects) {
          if (effect.subject !== 'scheduler') continue
          if (effect.effect.kind === 'read_lease') pending.push({ subject: 'scheduler', event: { kind: 'lease_read', era: 0, ...stored, ...at(nowMs) } })
          if (effect.effect.kind === 'write_lease') {
            const { lease, expectedVersion } = effect.effect
            const isCurrent = expectedVersion === stored.version
            if (isCurrent) stored = { version: stored.version + 1, lease }
            pending.push({ subject: 'scheduler', event: isCurrent ? { kind: 'lease_written', writeId: lease.writeId, version: stored.version, ...at(nowMs) } : { kind: 'lease_conflicted', writeId: lease.writeId, ...stored, ...at(nowMs) } })
          }
          if (effect.effect.kind === 'read_lease' || effect.effect.kind === 'write_lease') calls += 1
        }
      }
      // An instance that knows the holder has it answer.
      const { held, lease } = state.scheduler
      states[i] = held === undefined && lease?.holder != null ? apply(state, { subject: 'scheduler', event: { kind: 'holder_reached', fence: lease.fence, validMs: 2000, ...at(nowMs) } }) : state
    }
  }
  return calls
}

// In the first five seconds 33 instances made 2,000 calls, as the lease that nobody had ever held was waited for.
test('a fleet that starts for the first time agrees on a holder with few calls of the store', (t) => {
  const calls = [4, 33, 79].map((instances) => ({ instances, calls: leaseCalls(instances, { firstStart: true, forMs: 5 * SECOND_MS }) }))
  t.true(calls.every((fleet) => fleet.calls <= 3 * fleet.instances + 10), JSON.stringify(calls))
  t.true(leaseCalls(33, { firstStart: false, forMs: 5 * SECOND_MS }) > 10 * 33)
})

// A restored store has lost the lease, whose holder goes on for a while.
test('a lease that is missing later is not taken for that of a first start', (t) => {
  const begin = (): EdgeState => newEdgeState({ instance: 'i', incarnation: 'i', address: 'i' }, {
    availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 }, leaseBounds: { enginesCheckFence: false, holderChangeMs: 3000 }, firstTakeoverMs: 100, startedAtMs: 0
  })
  const reads = (nowMs: number, era: number): EdgeState => apply(begin(),
    { subject: 'scheduler', event: { kind: 'lease_read', era, version: 0, lease: undefined, ...at(nowMs) } },
    { subject: 'tick', at: at(nowMs + 200) })
  t.deepEqual([[1000, 0], [9000, 0], [1000, 1]].map(([nowMs = 0, era = 0]) => reads(nowMs, era).scheduler.pending !== undefined), [true, false, false])
})

// The holder encoded hundreds of models for each answer, and answered nobody for seconds after a change of the configuration.
test('instances that lack the same changes get the same update, which is encoded once', (t) => {
  const holder = startHolder()
  const [first, second] = [1200, 1210].map((nowMs) => answerHeartbeat(holder, EMPTY_HEARTBEAT, at(nowMs)).update)
  t.truthy(first?.configuration)
  t.truthy(first?.upstreams)
  t.is(first, second)
  t.not(answerHeartbeat(holder, { ...EMPTY_HEARTBEAT, configurationVersion: 4 }, at(1220)).update, first)
})
