import type { ClaimOutcome } from './claims_shard.ts'

interface _OperationFields {
  /** Unique id. Operations are idempotent: applying one twice has the effect of applying it once. */
  readonly id: string
  /** Index of the shard that the operation changes. */
  readonly shard: number
  /** Local monotonic time after which the operation is answered `unavailable`, in ms. */
  readonly deadlineMs: number
}

/** Claims an idempotency key before the request is sent to an upstream. */
export interface ClaimOperation extends _OperationFields {
  readonly kind: 'claim'
  readonly key: string
  /** Digest of the request. */
  readonly fingerprint: string
  /** Incarnation of the instance that may send the request. */
  readonly holder: string
}

/** Records the outcome of a claimed request. */
export interface SettleOperation extends _OperationFields {
  readonly kind: 'settle'
  readonly key: string
  /** Id of the claim operation to settle. */
  readonly claim: string
  /** Outcome of the request, or undefined if it is unknown. */
  readonly outcome: ClaimOutcome | undefined
}

/** Removes the claim of a request that was not sent. */
export interface ReleaseOperation extends _OperationFields {
  readonly kind: 'release'
  readonly key: string
  /** Id of the claim operation to release. */
  readonly claim: string
}

/** Records that an upstream crashed while it ran a request. */
export interface CrashOperation extends _OperationFields {
  readonly kind: 'crash'
  readonly fingerprint: string
  readonly group: string
  /** Id of the attempt; each attempt is counted once. */
  readonly attempt: string
}

/** Requests permission to run a suspect request again while no other suspect of its group runs. */
export interface PermitOperation extends _OperationFields {
  readonly kind: 'permit'
  readonly fingerprint: string
  /** Name of the set of upstreams that the request could crash, such as those of one placement shard. */
  readonly group: string
}

/** Returns the permit of a suspect request that has run past the point at which requests crash upstreams. */
export interface YieldOperation extends _OperationFields {
  readonly kind: 'yield'
  readonly fingerprint: string
}

/** Removes the crash record of a request that ran to completion. */
export interface ClearOperation extends _OperationFields {
  readonly kind: 'clear'
  readonly fingerprint: string
}

/** An operation on one shard. */
export type Operation =
  | ClaimOperation
  | SettleOperation
  | ReleaseOperation
  | CrashOperation
  | PermitOperation
  | YieldOperation
  | ClearOperation

/** Answer to an operation. */
export type OperationAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'done' }
  | { readonly kind: 'busy', readonly holder: string }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'completed', readonly outcome: ClaimOutcome }
  | { readonly kind: 'key_reused' }
  | { readonly kind: 'full' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'unavailable' }
