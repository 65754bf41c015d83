import type { Operation, OperationAnswer } from './operation.ts'
import type { Shard } from './shard.ts'

interface _Timed {
  /** Local monotonic time in ms. */
  readonly nowMs: number
  /** Wall clock time in ms. */
  readonly clockMs: number
}

/** Everything that can happen to the claims that a process works on. */
export type ClaimsEvent =
  | _Timed & { readonly kind: 'operation_asked', readonly operation: Operation }
  | _Timed & { readonly kind: 'shard_read', readonly shard: number, readonly version: number, readonly value: Shard }
  | _Timed & { readonly kind: 'read_failed', readonly shard: number }
  | _Timed & { readonly kind: 'write_done', readonly shard: number, readonly writeId: string, readonly version: number }
  | _Timed & { readonly kind: 'write_conflicted', readonly shard: number, readonly writeId: string, readonly version: number, readonly value: Shard }
  | _Timed & { readonly kind: 'write_lost', readonly shard: number, readonly writeId: string }
  | _Timed & { readonly kind: 'ticked' }

/** Everything that the claims ask the outside to do. */
export type ClaimsEffect =
  | { readonly kind: 'read_shard', readonly shard: number }
  | { readonly kind: 'write_shard', readonly shard: number, readonly expectedVersion: number, readonly value: Shard }
  | { readonly kind: 'answer', readonly operation: Operation, readonly answer: OperationAnswer }
