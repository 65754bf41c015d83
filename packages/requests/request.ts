/** Model or plain service that a request addresses. */
export type Target =
  | { readonly kind: 'model', readonly name: string }
  | { readonly kind: 'service', readonly name: string }

/** One attempt to run a request on an upstream. */
export interface Attempt {
  /** Position among the request's attempts, from 1. */
  readonly number: number
  readonly upstream: string
  /** Local time at which the attempt was sent, in ms. */
  readonly sentAtMs: number
  /** Whether the upstream sent nothing for the progress timeout, and no other attempt could follow. */
  readonly silent: boolean
}

/**
 * Phase of a request without an outcome.
 *
 * - `claiming`: waits for the answer to a claim of its idempotency key or to a request for a permit.
 * - `waiting`: is in the queue of its target.
 * - `backing_off`: waits for the retry timer.
 * - `sent`: an attempt is running and its upstream has not begun to respond.
 * - `responding`: the current attempt's upstream has begun to respond.
 */
export type RequestPhase = 'claiming' | 'waiting' | 'backing_off' | 'sent' | 'responding'

/** A caller's request that has no outcome yet. */
export interface Request {
  readonly id: string
  readonly customer: string
  readonly target: Target
  /** Whether running the request more than once is safe. */
  readonly idempotent: boolean
  /** Idempotency key sent by the caller. */
  readonly idempotencyKey: string | undefined
  /** Digest of customer, target and body; equal for repeats of a request. */
  readonly fingerprint: string
  /** Digest of the start of the prompt; routes requests with a common prefix to the same prefix cache. */
  readonly prefix: string
  /** Local time of receipt, in ms. */
  readonly receivedAtMs: number
  /** Local time of the deadline of the request, in ms. */
  readonly deadlineMs: number
  /** Urgency; a higher number is more urgent. */
  readonly priority: number
  /** Weight of the request when models compete to be loaded. */
  readonly coldStartWeight: number
  readonly phase: RequestPhase
  readonly attempts: readonly Attempt[]
  /** Whether an upstream may have run the request; false if each attempt failed before a byte was sent or was refused. */
  readonly mayHaveRun: boolean
  /** Whether the request ran on an upstream that failed; suspects require a permit, so that they don't run at the same time. */
  readonly suspect: boolean
}

/** A request as received, before admission. */
export type ReceivedRequest = Omit<Request, 'phase' | 'attempts' | 'mayHaveRun' | 'suspect'>
