/** A process that may hold the lease; its incarnation distinguishes it from earlier processes of the same name. */
export interface Holder {
  readonly instance: string
  readonly incarnation: string
  /** Host and port on which peers reach the process. */
  readonly address: string
}

/** The operation that an order requests from an upstream. */
export type OrderKind = 'load' | 'unload'

/** A recorded order that may still be executed. */
export interface Order {
  readonly id: string
  readonly kind: OrderKind
  /** Fencing token of the lease under which the order was recorded. */
  readonly fence: number
  /** Incarnation of the process that sends the order. */
  readonly sender: string
  /** Incarnation of the upstream for which the order is valid. */
  readonly upstreamIncarnation: string
}

/**
 * The lifecycle phase of a replica.
 *
 * A `vacated` replica uses no memory. It stays recorded to block a new load while an unload order may still arrive.
 */
export type ReplicaPhase = 'loading' | 'loaded' | 'unloading' | 'vacated'

/** A recorded replica of one model or adapter on one upstream. */
export interface Replica {
  readonly model: string
  readonly upstream: string
  readonly upstreamIncarnation: string
  readonly memoryMb: number
  readonly phase: ReplicaPhase
  /** Whether a load no longer listed in `orders` may have run, so that only a status can prove the replica absent. */
  readonly mayHaveRun: boolean
  /** Orders that may still be executed for this replica. */
  readonly orders: readonly Order[]
}

/** The complete placement of one group of upstreams, stored as one object. */
export interface PlacementShard {
  readonly name: string
  /** Fencing token, incremented by each takeover. */
  readonly fence: number
  readonly holder: Holder | null
  /** ID of the write that produced this value, by which the writer recognizes it when the store's answer was lost. */
  readonly writeId: string
  readonly replicas: readonly Replica[]
}

/**
 * Returns a shard without a holder or replicas.
 *
 * @param name The shard's name.
 * @returns The empty shard.
 *
 * @example
 * ```ts
 * console.log(emptyPlacementShard('drafting').fence) // 0
 * ```
 */
export function emptyPlacementShard (name: string): PlacementShard {
  return { name, fence: 0, holder: null, writeId: '', replicas: [] }
}
