import type { Operation } from '@berylshed/claims'
import type { Request, RequestEffect } from '@berylshed/requests'

/** Number of store objects among which claims and suspects are distributed. */
export const SHARD_COUNT = 8
/** Time for which an instance keeps trying to record the outcome of a request, in ms. */
const SETTLE_TIMEOUT_MS = 600_000

type _ClaimsRequestEffect = Extract<RequestEffect, { kind: 'claim' | 'settle_claim' | 'release_claim' | 'record_crash' | 'request_permit' | 'yield_permit' | 'clear_suspect' }>

/** Options for `claimOperation`. */
export interface OperationContext {
  /** Incarnation of the instance, which becomes the holder of claims. */
  readonly incarnation: string
  /** Local time in ms. */
  readonly nowMs: number
  /** Distinguishes several operations of one kind for the same request. */
  readonly operationNumber: number
  /** Hashes a text to an integer; must be the same function on every instance. */
  hash (text: string): number
}

/** Converts an effect that concerns claims or suspects to an operation on one shard. */
export function claimOperation (effect: _ClaimsRequestEffect, context: OperationContext): Operation {
  const { request } = effect
  const key = `${request.customer}/${request.target.name}/${request.idempotencyKey ?? ''}`
  const claim = claimId(request)
  const keyFields = { key, shard: context.hash(key) % SHARD_COUNT }
  // The engines of a placement shard serve all its models, so all requests for models share one group, in which one suspect
  // runs at a time.
  const group = request.target.kind === 'model' ? 'models' : request.target.name
  const suspectFields = { fingerprint: request.fingerprint, shard: context.hash(group) % SHARD_COUNT }
  const settleDeadlineMs = context.nowMs + SETTLE_TIMEOUT_MS
  switch (effect.kind) {
    case 'claim': return { kind: 'claim', id: claim, ...keyFields, fingerprint: request.fingerprint, holder: context.incarnation, deadlineMs: request.deadlineMs }
    case 'settle_claim': return { kind: 'settle', id: `${claim}/settle`, ...keyFields, claim, outcome: effect.outcome, deadlineMs: settleDeadlineMs }
    case 'release_claim': return { kind: 'release', id: `${claim}/release`, ...keyFields, claim, deadlineMs: settleDeadlineMs }
    case 'record_crash': return { kind: 'crash', id: `${claim}/crash/${context.operationNumber}`, ...suspectFields, group, attempt: _attemptId(request), deadlineMs: settleDeadlineMs }
    case 'request_permit': return { kind: 'permit', id: `${claim}/permit/${context.operationNumber}`, ...suspectFields, group, deadlineMs: request.deadlineMs }
    case 'yield_permit': return { kind: 'yield', id: `${claim}/yield/${context.operationNumber}`, ...suspectFields, deadlineMs: settleDeadlineMs }
    case 'clear_suspect': return { kind: 'clear', id: `${claim}/clear`, ...suspectFields, deadlineMs: settleDeadlineMs }
  }
}

/** Returns the id of the claim that a request makes. */
export function claimId (request: Pick<Request, 'id'>): string {
  return `${request.id}/claim`
}

/** Returns the id of the request that an operation belongs to. */
export function requestIdOf (operation: Operation): string {
  return operation.id.slice(0, operation.id.indexOf('/'))
}

function _attemptId (request: Request): string {
  return `${request.id}/${request.attempts.length}`
}
