/** Fault of a placement simulation. */
export interface Fault {
  readonly kind: FaultKind
  /** Start of the fault, in ms of virtual time. */
  readonly atMs: number
  readonly durationMs: number
  /** Selects the instance or engine, modulo their number. */
  readonly index: number
}

/** Kind of a fault. */
export type FaultKind =
  /** Pauses an instance, which then handles the queued events at once. */
  | 'pause_instance'
  /** Pauses an instance between the last check of an order and its transmission. */
  | 'pause_before_send'
  /** Kills an instance and restarts it after the duration. */
  | 'kill_instance'
  /** Starts a second instance with the name and address of a running one. */
  | 'duplicate_instance'
  /** Cuts the network between an instance and its peers. */
  | 'partition_instance'
  | 'store_down'
  | 'store_slow'
  /** The store applies the next one to three writes without answering them. */
  | 'lose_write_answer'
  /** Reads of the store return earlier versions. */
  | 'stale_reads'
  /** An instance receives no notifications of changes from the store. */
  | 'silent_watch'
  | 'crash_engine'
  | 'partition_engine'
  | 'slow_engine'
  /** An engine executes orders without answering them. */
  | 'lose_order_answer'
  /** An engine receives every order twice. */
  | 'duplicate_order'
  | 'slow_weight_store'
  /** Switches the replica limit of one model between two and one. */
  | 'change_limit'
  /** The platform takes an engine away and later returns it empty, under the same address. */
  | 'reclaim_engine'

/** Lists all kinds of faults. */
export const FAULT_KINDS: readonly FaultKind[] = [
  'pause_instance', 'pause_before_send', 'kill_instance', 'duplicate_instance', 'partition_instance', 'store_down',
  'store_slow', 'lose_write_answer', 'stale_reads', 'silent_watch', 'crash_engine', 'partition_engine', 'slow_engine',
  'lose_order_answer', 'duplicate_order', 'slow_weight_store', 'change_limit', 'reclaim_engine'
]
