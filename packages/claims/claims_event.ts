import type { Operation, OperationAnswer } from './operation.ts'
import type { ClaimsShard } from './claims_shard.ts'

interface _EventTimes {
  /** Local monotonic time in ms. */
  readonly nowMs: number
  /** Wall clock time in ms. */
  readonly clockMs: number
}

/** An event that the claims reducer handles. */
export type ClaimsEvent =
  | _EventTimes & { readonly kind: 'operation_requested', readonly operation: Operation }
  | _EventTimes & { readonly kind: 'shard_read', readonly shard: number, readonly version: number, readonly value: ClaimsShard }
  | _EventTimes & { readonly kind: 'read_failed', readonly shard: number }
  | _EventTimes & { readonly kind: 'write_done', readonly shard: number, readonly writeId: string, readonly version: number }
  | _EventTimes & { readonly kind: 'write_conflicted', readonly shard: number, readonly writeId: string, readonly version: number, readonly value: ClaimsShard }
  | _EventTimes & { readonly kind: 'write_lost', readonly shard: number, readonly writeId: string }
  | _EventTimes & { readonly kind: 'ticked' }

/** A side effect that the claims reducer requests. */
export type ClaimsEffect =
  | { readonly kind: 'read_shard', readonly shard: number }
  | { readonly kind: 'write_shard', readonly shard: number, readonly expectedVersion: number, readonly value: ClaimsShard }
  | { readonly kind: 'answer', readonly operation: Operation, readonly answer: OperationAnswer }
