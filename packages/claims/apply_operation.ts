import type { ClaimOperation, CrashOperation, Operation, OperationAnswer, PermitOperation, ReleaseOperation, SettleOperation } from './operation.ts'
import { MAX_OUTCOME_BODY_BYTES, type Claim, type ClaimOutcome, type ClaimsShard, type SuspectRequest } from './claims_shard.ts'

/** Time after which a permit that was not returned expires, in ms. */
const PERMIT_TTL_MS = 15_000

/** Limits that apply to each shard. */
export interface ClaimsLimits {
  /** Maximum number of claims in a shard. */
  readonly maxClaims: number
  /** Time for which claims and suspects are kept after their last change, in ms. */
  readonly retentionMs: number
  /** Number of recorded crashes at which a request is refused. */
  readonly maxCrashes: number
}

/** Result of applying an operation: the updated shard and the answer. */
export interface AppliedOperation {
  readonly shard: ClaimsShard
  readonly answer: OperationAnswer
}

/** Options for applying operations to a shard. */
export interface ApplyOptions {
  readonly limits: ClaimsLimits
  /** Wall clock time in ms. */
  readonly clockMs: number
}

/**
 * Applies an operation to a shard.
 *
 * If the operation changes nothing, the returned shard is the same object as the given one.
 *
 * @param shard The shard to apply the operation to.
 * @param operation The operation to apply.
 * @param options The limits and the current time.
 * @returns The updated shard and the answer to the operation.
 *
 * @example
 * ```ts
 * const { answer } = applyOperation(EMPTY_CLAIMS_SHARD, claim, { limits, clockMs: Date.now() })
 * console.log(answer.kind) // 'granted'
 * ```
 */
export function applyOperation (shard: ClaimsShard, operation: Operation, options: ApplyOptions): AppliedOperation {
  switch (operation.kind) {
    case 'claim': return _claim(shard, operation, options)
    case 'settle': return _settle(shard, operation, options)
    case 'release': return _release(shard, operation)
    case 'crash': return _crash(shard, operation, options)
    case 'permit': return _permit(shard, operation, options)
    case 'yield': return _yield(shard, operation.fingerprint)
    case 'clear': return _clear(shard, operation.fingerprint)
  }
}

/**
 * Removes the claims and suspects whose last change is older than the retention time.
 *
 * @param shard The shard to remove entries from.
 * @param options The limits and the current time.
 * @returns The remaining shard; the same object if nothing was removed.
 *
 * @example
 * ```ts
 * const remaining = expireClaims(shard, { limits, clockMs: Date.now() })
 * ```
 */
export function expireClaims (shard: ClaimsShard, options: ApplyOptions): ClaimsShard {
  const limitMs = options.clockMs - options.limits.retentionMs
  const claims = Object.entries(shard.claims).filter(([, claim]) => claim.changedAtMs >= limitMs)
  const suspects = Object.entries(shard.suspects).filter(([, suspect]) => suspect.changedAtMs >= limitMs)
  const dropped = Object.keys(shard.claims).length - claims.length + Object.keys(shard.suspects).length - suspects.length
  if (dropped === 0) return shard
  return { ...shard, claims: Object.fromEntries(claims), suspects: Object.fromEntries(suspects) }
}

function _claim (shard: ClaimsShard, operation: ClaimOperation, options: ApplyOptions): AppliedOperation {
  const existing = shard.claims[operation.key]
  if (existing !== undefined) return { shard, answer: _answerExistingClaim(existing, operation) }
  if (Object.keys(shard.claims).length >= options.limits.maxClaims) return { shard, answer: { kind: 'full' } }
  const claim: Claim = {
    operation: operation.id,
    fingerprint: operation.fingerprint,
    holder: operation.holder,
    state: 'running',
    changedAtMs: options.clockMs
  }
  return { shard: _withClaim(shard, operation.key, claim), answer: { kind: 'granted' } }
}

function _answerExistingClaim (existing: Claim, operation: ClaimOperation): OperationAnswer {
  if (existing.operation === operation.id) return { kind: 'granted' }
  if (existing.fingerprint !== operation.fingerprint) return { kind: 'key_reused' }
  if (existing.state === 'completed' && existing.outcome !== undefined) return { kind: 'completed', outcome: existing.outcome }
  return existing.state === 'running' ? { kind: 'busy', holder: existing.holder } : { kind: 'unknown' }
}

function _withClaim (shard: ClaimsShard, key: string, claim: Claim): ClaimsShard {
  return { ...shard, claims: { ...shard.claims, [key]: claim } }
}

function _settle (shard: ClaimsShard, operation: SettleOperation, options: ApplyOptions): AppliedOperation {
  const existing = shard.claims[operation.key]
  if (existing === undefined || existing.operation !== operation.claim || existing.state !== 'running') {
    return { shard, answer: { kind: 'done' } }
  }
  const settled: Claim = operation.outcome === undefined
    ? { ...existing, state: 'unknown', changedAtMs: options.clockMs }
    : { ...existing, state: 'completed', changedAtMs: options.clockMs, outcome: _dropLargeBody(operation.outcome) }
  return { shard: _withClaim(shard, operation.key, settled), answer: { kind: 'done' } }
}

function _dropLargeBody (outcome: ClaimOutcome): ClaimOutcome {
  return Buffer.byteLength(outcome.body) > MAX_OUTCOME_BODY_BYTES ? { ...outcome, body: '' } : outcome
}

function _release (shard: ClaimsShard, operation: ReleaseOperation): AppliedOperation {
  const existing = shard.claims[operation.key]
  if (existing?.operation !== operation.claim || existing.state !== 'running') return { shard, answer: { kind: 'done' } }
  const { [operation.key]: _released, ...claims } = shard.claims
  return { shard: { ...shard, claims }, answer: { kind: 'done' } }
}

function _crash (shard: ClaimsShard, operation: CrashOperation, options: ApplyOptions): AppliedOperation {
  const existing = shard.suspects[operation.fingerprint]
  if (existing?.crashes.includes(operation.attempt) === true) return { shard, answer: { kind: 'done' } }
  const suspect: SuspectRequest = {
    crashes: [...existing?.crashes ?? [], operation.attempt],
    group: operation.group,
    changedAtMs: options.clockMs
  }
  return { shard: _withSuspect(shard, operation.fingerprint, suspect), answer: { kind: 'done' } }
}

function _withSuspect (shard: ClaimsShard, fingerprint: string, suspect: SuspectRequest): ClaimsShard {
  return { ...shard, suspects: { ...shard.suspects, [fingerprint]: suspect } }
}

function _permit (shard: ClaimsShard, operation: PermitOperation, options: ApplyOptions): AppliedOperation {
  const { fingerprint, group } = operation
  const existing: SuspectRequest = shard.suspects[fingerprint] ?? { crashes: [], group, changedAtMs: options.clockMs }
  if (existing.permit === operation.id) return { shard, answer: { kind: 'granted' } }
  if (existing.crashes.length >= options.limits.maxCrashes) return { shard, answer: { kind: 'refused' } }
  const running = Object.values(shard.suspects).find((suspect) => suspect.group === group && _holdsPermit(suspect, options))
  if (running !== undefined) return { shard, answer: { kind: 'busy', holder: running.permit ?? '' } }
  const suspect: SuspectRequest = { ...existing, permit: operation.id, changedAtMs: options.clockMs }
  return { shard: _withSuspect(shard, fingerprint, suspect), answer: { kind: 'granted' } }
}

function _holdsPermit (suspect: SuspectRequest, options: ApplyOptions): boolean {
  return suspect.permit !== undefined && options.clockMs - suspect.changedAtMs <= PERMIT_TTL_MS
}

function _yield (shard: ClaimsShard, fingerprint: string): AppliedOperation {
  const existing = shard.suspects[fingerprint]
  if (existing?.permit === undefined) return { shard, answer: { kind: 'done' } }
  const { permit: _yielded, ...suspect } = existing
  return { shard: _withSuspect(shard, fingerprint, suspect), answer: { kind: 'done' } }
}

function _clear (shard: ClaimsShard, fingerprint: string): AppliedOperation {
  if (shard.suspects[fingerprint] === undefined) return { shard, answer: { kind: 'done' } }
  const { [fingerprint]: _cleared, ...suspects } = shard.suspects
  return { shard: { ...shard, suspects }, answer: { kind: 'done' } }
}
