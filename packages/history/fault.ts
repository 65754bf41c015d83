/** One fault of a schedule; the indices are taken modulo the number of nodes and engines. */
export interface Fault {
  readonly kind: FaultKind
  readonly atMs: number
  readonly durationMs: number
  readonly index: number
}

/** The kinds of faults that a schedule may hold. */
export type FaultKind =
  | 'pause_node'
  | 'freeze_before_send'
  | 'kill_node'
  | 'twin_node'
  | 'cut_peer'
  | 'store_down'
  | 'store_slow'
  | 'lose_answer'
  | 'stale_reads'
  | 'silent_watch'
  | 'crash_engine'
  | 'cut_engine'
  | 'slow_engine'
  | 'late_answer'
  | 'duplicate_order'
  | 'slow_weights'
  | 'lower_limit'
  | 'reclaim_engine'

/** All kinds of faults. */
export const FAULT_KINDS: readonly FaultKind[] = [
  'pause_node', 'freeze_before_send', 'kill_node', 'twin_node', 'cut_peer', 'store_down', 'store_slow', 'lose_answer',
  'stale_reads', 'silent_watch', 'crash_engine', 'cut_engine', 'slow_engine', 'late_answer', 'duplicate_order',
  'slow_weights', 'lower_limit', 'reclaim_engine'
]
