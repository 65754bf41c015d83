/** State of a claimed request. */
export type ClaimState = 'running' | 'completed' | 'unknown'

/** Recorded response of a completed request, returned when the request is repeated. */
export interface ClaimOutcome {
  readonly status: number
  readonly contentType: string
  /** Response body; empty if it is longer than `MAX_OUTCOME_BODY_BYTES`. */
  readonly body: string
}

/** The record that an idempotency key is in use. */
export interface Claim {
  /** Id of the operation that made the claim, used to recognise a repeated operation. */
  readonly operation: string
  /** Digest of the request, to tell a repeat from another use of the same key. */
  readonly fingerprint: string
  /** Incarnation of the instance that may send the request. */
  readonly holder: string
  readonly state: ClaimState
  /** Wall clock time of the last change, in ms. */
  readonly changedAtMs: number
  readonly outcome?: ClaimOutcome
}

/** Record of a request during which upstreams crashed. */
export interface SuspectRequest {
  /** Ids of the attempts during which an upstream crashed. */
  readonly crashes: readonly string[]
  /** Suspects of one group run one at a time. */
  readonly group: string
  /** Id of the permit operation that may run the request again. */
  readonly permit?: string
  /** Wall clock time of the last change, in ms. */
  readonly changedAtMs: number
}

/** Claims and suspect requests of one partition of the key space, stored as one store object. */
export interface ClaimsShard {
  /** Id of the write that produced this value. */
  readonly writeId: string
  readonly claims: Readonly<Record<string, Claim>>
  readonly suspects: Readonly<Record<string, SuspectRequest>>
}

/** Maximum size of a recorded response body, in bytes. */
export const MAX_OUTCOME_BODY_BYTES = 2048

/** A shard without entries. */
export const EMPTY_CLAIMS_SHARD: ClaimsShard = { writeId: '', claims: {}, suspects: {} }
