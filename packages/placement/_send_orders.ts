import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import type { Order, Replica } from './placement_shard.ts'
import { mayDecide } from './is_holder.ts'
import type { PlacementEffect } from './placement_effect.ts'
import type { PlacementState } from './placement_state.ts'

/** Sends the recorded orders of the current lease that were not sent before. */
export function sendOrders (state: PlacementState, nowMs: number): Step<PlacementState, PlacementEffect> {
  const { shard } = state
  if (shard === undefined || !mayDecide(state, nowMs)) return step(state)
  const effects = shard.replicas.flatMap((replica) => replica.orders
    .filter((order) => order.sender === state.self.incarnation && order.fence === shard.fence)
    .filter((order) => !HashMap.has(state.sentOrders, order.id))
    .filter((order) => order.kind === 'load' || _isDrained(state, replica, { order, nowMs }))
    .map((order): PlacementEffect => ({
      kind: 'send_order',
      order,
      model: replica.model,
      upstream: replica.upstream,
      memoryMb: replica.memoryMb,
      notAfterMs: state.leaseUntilMs
    })))
  const sentOrders = effects.reduce((known, effect) => {
    return effect.kind === 'send_order' ? HashMap.set(known, effect.order.id, 'in_flight' as const) : known
  }, state.sentOrders)
  return step({ ...state, sentOrders }, effects)
}

interface _Unload {
  readonly order: Order
  readonly nowMs: number
}

// Routers that have read the record send no new requests to the replica; requests in flight are allowed to finish.
function _isDrained (state: PlacementState, replica: Replica, unload: _Unload): boolean {
  const recordedAtMs = Option.getOrElse(HashMap.get(state.recordedAtMs, unload.order.id), () => unload.nowMs)
  const settledAtMs = recordedAtMs + state.times.unloadSettleMs
  const report = Option.getOrUndefined(HashMap.get(state.reports, replica.upstream))
  if (unload.nowMs < settledAtMs || report === undefined || report.receivedAtMs < settledAtMs) return false
  const holding = report.status.holdings.find((h) => h.model === replica.model)
  return holding === undefined || holding.running === 0
}

/** Reports to a new holder which orders of this process can no longer be executed. */
export function disclaimOrders (state: PlacementState): readonly PlacementEffect[] {
  const { shard } = state
  if (shard === undefined || shard.holder === null || shard.holder.incarnation === state.self.incarnation) return []
  const orderIds = shard.replicas.flatMap((replica) => replica.orders)
    .filter((order) => order.sender === state.self.incarnation && _hasFinalOutcome(state, order.id))
    .map((order) => order.id)
  return orderIds.length === 0 ? [] : [{ kind: 'disclaim_orders', to: shard.holder, orderIds }]
}

function _hasFinalOutcome (state: PlacementState, orderId: string): boolean {
  const answer = HashMap.get(state.sentOrders, orderId)
  if (answer._tag === 'None') return true
  return answer.value !== 'in_flight' && answer.value !== 'unknown'
}
