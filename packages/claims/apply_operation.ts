import type { ClaimOperation, CrashOperation, Operation, OperationAnswer, PermitOperation, ReleaseOperation, SettleOperation } from './operation.ts'
import { MAX_BODY_BYTES, type Claim, type ClaimOutcome, type Shard, type Suspect } from './shard.ts'

/** Time after which a permit that was never used up lapses, in ms. */
const PERMIT_TTL_MS = 15_000

/** Limits of a shard. */
export interface ShardLimits {
  readonly maxClaims: number
  /** Time for which a claim is kept after its last change, in ms. */
  readonly retentionMs: number
  /** Upstreams that one request may break before it is refused. */
  readonly maxCrashes: number
}

/** A shard after an operation, with the operation's answer. */
export interface Applied {
  readonly shard: Shard
  readonly answer: OperationAnswer
}

/** What an operation is judged by besides the shard. */
export interface ApplyOptions {
  readonly limits: ShardLimits
  /** Wall clock time in ms. */
  readonly clockMs: number
}

/**
 * Applies an operation to a shard.
 *
 * The shard is the same object where the operation changes nothing.
 *
 * @param shard The shard.
 * @param operation The operation.
 * @param options Limits and time.
 * @returns The shard and the answer.
 *
 * @example
 * ```ts
 * const { answer } = applyOperation(EMPTY_SHARD, claim, { limits, clockMs: Date.now() })
 * console.log(answer.kind) // 'granted'
 * ```
 */
export function applyOperation (shard: Shard, operation: Operation, options: ApplyOptions): Applied {
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
 * Drops the entries of a shard that are older than the retention.
 *
 * @param shard The shard.
 * @param options Limits and time.
 * @returns The shard; the same object where nothing was dropped.
 *
 * @example
 * ```ts
 * const kept = expireClaims(shard, { limits, clockMs: Date.now() })
 * ```
 */
export function expireClaims (shard: Shard, options: ApplyOptions): Shard {
  const limitMs = options.clockMs - options.limits.retentionMs
  const claims = Object.entries(shard.claims).filter(([, claim]) => claim.changedAtMs >= limitMs)
  const suspects = Object.entries(shard.suspects).filter(([, suspect]) => suspect.changedAtMs >= limitMs)
  const dropped = Object.keys(shard.claims).length - claims.length + Object.keys(shard.suspects).length - suspects.length
  if (dropped === 0) return shard
  return { ...shard, claims: Object.fromEntries(claims), suspects: Object.fromEntries(suspects) }
}

function _claim (shard: Shard, operation: ClaimOperation, options: ApplyOptions): Applied {
  const known = shard.claims[operation.key]
  if (known !== undefined) return { shard, answer: _answerRepeat(known, operation) }
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

function _answerRepeat (known: Claim, operation: ClaimOperation): OperationAnswer {
  if (known.operation === operation.id) return { kind: 'granted' }
  if (known.fingerprint !== operation.fingerprint) return { kind: 'key_reused' }
  if (known.state === 'completed' && known.outcome !== undefined) return { kind: 'completed', outcome: known.outcome }
  return known.state === 'running' ? { kind: 'busy', holder: known.holder } : { kind: 'unknown' }
}

function _withClaim (shard: Shard, key: string, claim: Claim): Shard {
  return { ...shard, claims: { ...shard.claims, [key]: claim } }
}

function _settle (shard: Shard, operation: SettleOperation, options: ApplyOptions): Applied {
  const known = shard.claims[operation.key]
  if (known === undefined || known.operation !== operation.claim || known.state !== 'running') {
    return { shard, answer: { kind: 'done' } }
  }
  const settled: Claim = operation.outcome === undefined
    ? { ...known, state: 'unknown', changedAtMs: options.clockMs }
    : { ...known, state: 'completed', changedAtMs: options.clockMs, outcome: _shorten(operation.outcome) }
  return { shard: _withClaim(shard, operation.key, settled), answer: { kind: 'done' } }
}

function _shorten (outcome: ClaimOutcome): ClaimOutcome {
  return Buffer.byteLength(outcome.body) > MAX_BODY_BYTES ? { ...outcome, body: '' } : outcome
}

function _release (shard: Shard, operation: ReleaseOperation): Applied {
  const known = shard.claims[operation.key]
  if (known?.operation !== operation.claim || known.state !== 'running') return { shard, answer: { kind: 'done' } }
  const { [operation.key]: _released, ...claims } = shard.claims
  return { shard: { ...shard, claims }, answer: { kind: 'done' } }
}

function _crash (shard: Shard, operation: CrashOperation, options: ApplyOptions): Applied {
  const known = shard.suspects[operation.fingerprint]
  if (known?.crashes.includes(operation.attempt) === true) return { shard, answer: { kind: 'done' } }
  const suspect: Suspect = {
    crashes: [...known?.crashes ?? [], operation.attempt],
    group: operation.group,
    changedAtMs: options.clockMs
  }
  return { shard: _withSuspect(shard, operation.fingerprint, suspect), answer: { kind: 'done' } }
}

function _withSuspect (shard: Shard, fingerprint: string, suspect: Suspect): Shard {
  return { ...shard, suspects: { ...shard.suspects, [fingerprint]: suspect } }
}

function _permit (shard: Shard, operation: PermitOperation, options: ApplyOptions): Applied {
  const { fingerprint, group } = operation
  const known: Suspect = shard.suspects[fingerprint] ?? { crashes: [], group, changedAtMs: options.clockMs }
  if (known.permit === operation.id) return { shard, answer: { kind: 'granted' } }
  if (known.crashes.length >= options.limits.maxCrashes) return { shard, answer: { kind: 'refused' } }
  const running = Object.values(shard.suspects).find((suspect) => suspect.group === group && _isRunning(suspect, options))
  if (running !== undefined) return { shard, answer: { kind: 'busy', holder: running.permit ?? '' } }
  const suspect: Suspect = { ...known, permit: operation.id, changedAtMs: options.clockMs }
  return { shard: _withSuspect(shard, fingerprint, suspect), answer: { kind: 'granted' } }
}

function _isRunning (suspect: Suspect, options: ApplyOptions): boolean {
  return suspect.permit !== undefined && options.clockMs - suspect.changedAtMs <= PERMIT_TTL_MS
}

function _yield (shard: Shard, fingerprint: string): Applied {
  const known = shard.suspects[fingerprint]
  if (known?.permit === undefined) return { shard, answer: { kind: 'done' } }
  const { permit: _given, ...suspect } = known
  return { shard: _withSuspect(shard, fingerprint, suspect), answer: { kind: 'done' } }
}

function _clear (shard: Shard, fingerprint: string): Applied {
  if (shard.suspects[fingerprint] === undefined) return { shard, answer: { kind: 'done' } }
  const { [fingerprint]: _cleared, ...suspects } = shard.suspects
  return { shard: { ...shard, suspects }, answer: { kind: 'done' } }
}
