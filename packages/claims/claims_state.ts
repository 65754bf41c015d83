import { HashMap } from 'effect'
import type { ClaimsLimits } from './apply_operation.ts'
import type { Operation, OperationAnswer } from './operation.ts'
import type { ClaimsShard } from './claims_shard.ts'

/** An operation and the answer to send once its write is durable. */
export interface PreparedOperation {
  readonly operation: Operation
  readonly answer: OperationAnswer
}

/** A conditional update in flight. */
export interface ShardWrite {
  readonly value: ClaimsShard
  readonly expectedVersion: number
  /** Operations that the new value includes. */
  readonly prepared: readonly PreparedOperation[]
  /** Local monotonic time at which the write is sent again, in ms. */
  readonly retryAtMs: number
}

/** Cached value, queued operations and write in flight of one shard. */
export interface ShardState {
  readonly value: ClaimsShard
  /** Version of the value, or undefined if the shard has not been read. */
  readonly version: number | undefined
  readonly queue: readonly Operation[]
  /** Whether a read is in flight. */
  readonly reading: boolean
  /** Number of operations at the head of the queue that may be answered from the latest read. */
  readonly coveredByRead: number
  readonly write: ShardWrite | undefined
  /** Local monotonic time at which the latest write was sent, in ms. */
  readonly lastWriteAtMs: number
}

/** State of the claims reducer of one process. */
export interface ClaimsState {
  /** Incarnation of the process. */
  readonly incarnation: string
  readonly limits: ClaimsLimits
  /** Minimum time between two writes of one shard, in ms; operations that arrive meanwhile are batched. */
  readonly writeIntervalMs: number
  readonly shards: HashMap.HashMap<number, ShardState>
  /** Number of writes started, from which write ids are built. */
  readonly writeCount: number
}

/** Default limits of a shard. */
export const DEFAULT_CLAIMS_LIMITS: ClaimsLimits = { maxClaims: 1500, retentionMs: 3_600_000, maxCrashes: 2 }

/**
 * Reports whether operations are queued or a write is in flight.
 *
 * @param state The claims state.
 * @returns Whether the reducer needs frequent `ticked` events.
 *
 * @example
 * ```ts
 * console.log(hasPendingClaims(newClaimsState('a'))) // false
 * ```
 */
export function hasPendingClaims (state: ClaimsState): boolean {
  return HashMap.some(state.shards, (shard) => shard.queue.length > 0 || shard.write !== undefined)
}

/** Options for a claims state. */
export interface ClaimsOptions {
  /** Limits of each shard; `DEFAULT_CLAIMS_LIMITS` by default. */
  readonly limits?: ClaimsLimits
  /** Minimum time between two writes of one shard, in ms; 20 by default. */
  readonly writeIntervalMs?: number
}

/**
 * Creates the claims state of a process that has not read any shard.
 *
 * @param incarnation The incarnation of the process, which makes its write ids unique.
 * @param options The limits and the write interval.
 * @returns The initial state.
 *
 * @example
 * ```ts
 * const state = newClaimsState('entry-1/8f3a')
 * ```
 */
export function newClaimsState (incarnation: string, options: ClaimsOptions = {}): ClaimsState {
  return {
    incarnation,
    limits: options.limits ?? DEFAULT_CLAIMS_LIMITS,
    writeIntervalMs: options.writeIntervalMs ?? 20,
    shards: HashMap.empty(),
    writeCount: 0
  }
}
