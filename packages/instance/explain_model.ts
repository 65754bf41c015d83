import { HashMap, Option } from 'effect'
import { isHolder, estimateFor } from '@berylshed/placement'
import type { InstanceState } from './instance_state.ts'

/** Explanation for operators why a model is loaded or not. */
export interface Explanation {
  readonly model: string
  /** State of the model, such as `loaded`. */
  readonly state: string
  readonly reason: string
  /** Name of the lease holder, the only instance that knows the reasons. */
  readonly askInstance: string
  readonly replicas: ReadonlyArray<{ readonly upstream: string, readonly phase: string, readonly unresolvedOrders: readonly string[] }>
}

/**
 * Explains the placement of a model.
 *
 * @param state The state of the instance.
 * @param model The name of the model or adapter.
 * @param nowMs Local time in ms.
 * @returns The explanation, whose reason is complete only on the lease holder.
 *
 * @example
 * ```ts
 * console.log(explainModel(state, 'toast-7b', performance.now()).reason)
 * ```
 */
export function explainModel (state: InstanceState, model: string, nowMs: number): Explanation {
  const { placement } = state
  const replicas = (placement.shard?.replicas ?? []).filter((replica) => replica.model === model)
  const decided = Option.getOrUndefined(HashMap.get(placement.reasons, model))
  return {
    model,
    state: estimateFor(placement, model, nowMs).state,
    reason: decided ?? (isHolder(placement) ? 'nobody has asked for it since this instance took the lease' : 'known to the lease holder only'),
    askInstance: placement.shard?.holder?.instance ?? 'nobody',
    replicas: replicas.map((replica) => ({
      upstream: replica.upstream,
      phase: replica.phase,
      unresolvedOrders: replica.orders.map((order) => `${order.kind} by ${order.sender} under fence ${order.fence}`)
    }))
  }
}
