import type { PlacementState } from './placement_state.ts'

/**
 * Reports whether the latest shard that a process has read names it as the lease holder.
 *
 * A holder may decide only until its local lease expiry as well; see `mayDecide`.
 *
 * @param state The process's state.
 * @returns Whether the process is the holder according to its latest read.
 *
 * @example
 * ```ts
 * console.log(isHolder(newPlacementState(self, options))) // false
 * ```
 */
export function isHolder (state: PlacementState): boolean {
  return state.shard?.holder?.incarnation === state.self.incarnation
}

/**
 * Reports whether a process may decide and send orders.
 *
 * @param state The process's state.
 * @param nowMs The local time in ms.
 * @returns Whether the process is the holder and its local lease has not expired.
 *
 * @example
 * ```ts
 * console.log(mayDecide(newPlacementState(self, options), 0)) // false
 * ```
 */
export function mayDecide (state: PlacementState, nowMs: number): boolean {
  return isHolder(state) && nowMs < state.leaseUntilMs
}
