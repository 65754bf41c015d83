import { HashMap } from 'effect'
import { reducePlacement, type Catalog, type PlacementShard, type PlacementEffect } from '@berylshed/placement'
import type { PlacementReducer, PlacementSimulationOptions } from './placement_simulation.ts'

/** Deliberately faulty variant of placement that the checker must detect. */
export interface PlacementMutant {
  /** Description for the test title. */
  readonly name: string
  /** Options of the simulation that introduce the defect. */
  readonly options: Pick<PlacementSimulationOptions, 'reduce' | 'receivedCatalog'>
}

function _mapWrites (change: (shard: PlacementShard, previous: PlacementShard | undefined) => PlacementShard): PlacementReducer {
  return (state, event) => {
    const reduced = reducePlacement(state, event)
    const { pending } = reduced.state
    const effects = reduced.effects.map((effect): PlacementEffect => effect.kind === 'write_shard'
      ? { ...effect, shard: change(effect.shard, state.shard) }
      : effect)
    if (pending === undefined) return { state: reduced.state, effects }
    return { state: { ...reduced.state, pending: { ...pending, shard: change(pending.shard, state.shard) } }, effects }
  }
}

// After a takeover, the new lease holder assumes that the unresolved orders of its predecessor failed.
const _dropOrdersOnTakeover = _mapWrites((shard, previous) => {
  if (shard.fence === previous?.fence) return shard
  return { ...shard, replicas: shard.replicas.filter((replica) => replica.orders.length === 0) }
})

// The lease holder sends orders before the write that records them has completed.
const _sendBeforeRecord: PlacementReducer = (state, event) => {
  const reduced = reducePlacement(state, event)
  const early = reduced.effects.flatMap((effect) => effect.kind === 'write_shard' ? effect.shard.replicas : [])
    .flatMap((replica) => replica.orders.map((order): PlacementEffect => ({ kind: 'send_order', order, model: replica.model, upstream: replica.upstream, memoryMb: replica.memoryMb, notAfterMs: Infinity })))
    .filter((effect) => effect.kind === 'send_order' && effect.order.kind === 'load' && !HashMap.has(reduced.state.sentOrders, effect.order.id))
  return { state: reduced.state, effects: [...reduced.effects, ...early] }
}

// The lease holder accepts statuses that were probed before its own orders were answered.
const _acceptStaleStatus: PlacementReducer = (state, event) => {
  return reducePlacement({ ...state, probeFloor: -1, replicaProbeFloors: HashMap.empty() }, event)
}

// The lease holder assumes that an order failed if the call timed out without an answer.
const _failUnansweredOrders: PlacementReducer = (state, event) => {
  if (event.kind !== 'order_answered' || event.answer !== 'unknown') return reducePlacement(state, event)
  return reducePlacement(state, { ...event, answer: 'not_sent' })
}

function _withModels (catalog: Catalog, change: Partial<{ memoryMb: number, maxReplicas: number }>): Catalog {
  return { ...catalog, models: new Map([...catalog.models].map(([name, model]) => [name, { ...model, ...change }])) }
}

/** Mutants for tests of the placement checker; each has a defect that a naive design would have. */
export const PLACEMENT_MUTANTS: readonly PlacementMutant[] = [
  { name: 'a new lease holder drops unresolved orders', options: { reduce: _dropOrdersOnTakeover } },
  { name: 'an order is sent before its record is durable', options: { reduce: _sendBeforeRecord } },
  { name: 'a status from before an order is accepted', options: { reduce: _acceptStaleStatus } },
  { name: 'an order without an answer is assumed to have failed', options: { reduce: _failUnansweredOrders } },
  { name: 'the memory use of models is underestimated', options: { receivedCatalog: (catalog) => _withModels(catalog, { memoryMb: 1 }) } },
  { name: 'the replica limit is ignored', options: { receivedCatalog: (catalog) => _withModels(catalog, { maxReplicas: 3 }) } }
]
