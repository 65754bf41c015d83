import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { applyOperation, expireClaims, type AppliedOperation } from './apply_operation.ts'
import type { ClaimsEffect, ClaimsEvent } from './claims_event.ts'
import type { ClaimsState, PreparedOperation, ShardState, ShardWrite } from './claims_state.ts'
import type { Operation } from './operation.ts'
import { EMPTY_CLAIMS_SHARD, type ClaimsShard } from './claims_shard.ts'

/** Time after which an unanswered write is sent again unchanged, in ms. */
const WRITE_RETRY_MS = 500

type _Step = Step<ClaimsState, ClaimsEffect>

const UNREAD_SHARD: ShardState = {
  value: EMPTY_CLAIMS_SHARD,
  version: undefined,
  queue: [],
  reading: false,
  coveredByRead: 0,
  write: undefined,
  lastWriteAtMs: -Infinity
}

/**
 * Applies one event to the claims state.
 *
 * Operations that arrive while a write of their shard is in flight are batched into the next write. Operations are
 * answered only from a durable value; an operation that changes nothing is answered only from a value that was read
 * after the operation arrived.
 *
 * @param state The current state.
 * @param event The event to apply.
 * @returns The next state and the effects to perform.
 *
 * @example
 * ```ts
 * const { effects } = reduceClaims(state, { kind: 'operation_requested', operation, nowMs: 0, clockMs: Date.now() })
 * ```
 */
export function reduceClaims (state: ClaimsState, event: ClaimsEvent): _Step {
  switch (event.kind) {
    case 'operation_requested': return _enqueue(state, event)
    case 'shard_read': return _finishRead(state, event)
    case 'read_failed': return step(_updateShard(state, event.shard, (current) => ({ ...current, reading: false })))
    case 'write_done': return _finishWrite(state, event)
    case 'write_conflicted': return _resolveConflict(state, event)
    case 'write_lost': return step(state)
    case 'ticked': return _tick(state, event)
  }
}

interface _EventTimes {
  readonly nowMs: number
  readonly clockMs: number
}

function _shardState (state: ClaimsState, shard: number): ShardState {
  return Option.getOrElse(HashMap.get(state.shards, shard), () => UNREAD_SHARD)
}

function _updateShard (state: ClaimsState, shard: number, change: (current: ShardState) => ShardState): ClaimsState {
  return { ...state, shards: HashMap.set(state.shards, shard, change(_shardState(state, shard))) }
}

function _enqueue (state: ClaimsState, event: Extract<ClaimsEvent, { kind: 'operation_requested' }>): _Step {
  const { operation } = event
  const queued = _updateShard(state, operation.shard, (current) => ({ ...current, queue: [...current.queue, operation] }))
  return _startNext(queued, operation.shard, event)
}

// Starts the next read or write that the shard's queue needs, unless one is already in flight.
function _startNext (state: ClaimsState, shard: number, times: _EventTimes): _Step {
  const current = _shardState(state, shard)
  if (current.queue.length === 0 || current.reading || current.write !== undefined) return step(state)
  if (current.version === undefined) return _startRead(state, shard)
  if (times.nowMs - current.lastWriteAtMs < state.writeIntervalMs) return step(state)
  return _startWrite(state, shard, times)
}

function _startRead (state: ClaimsState, shard: number): _Step {
  const reading = _updateShard(state, shard, (current) => ({ ...current, reading: true, coveredByRead: current.queue.length }))
  return step(reading, [{ kind: 'read_shard', shard }])
}

interface _PreparedBatch {
  readonly value: ClaimsShard
  readonly operations: readonly PreparedOperation[]
  readonly unchangedCount: number
}

function _prepareBatch (state: ClaimsState, current: ShardState, times: _EventTimes): _PreparedBatch {
  const options = { limits: state.limits, clockMs: times.clockMs }
  let value = expireClaims(current.value, options)
  const operations: PreparedOperation[] = []
  let unchangedCount = 0
  for (const operation of current.queue) {
    const applied: AppliedOperation = applyOperation(value, operation, options)
    if (applied.shard === value) unchangedCount += 1
    value = applied.shard
    operations.push({ operation, answer: applied.answer })
  }
  return { value, operations, unchangedCount }
}

function _startWrite (state: ClaimsState, shard: number, times: _EventTimes): _Step {
  const current = _shardState(state, shard)
  const batch = _prepareBatch(state, current, times)
  // A successful conditional update proves that the cached value was current; a batch without changes needs a read.
  if (batch.unchangedCount === batch.operations.length) return _answerUnchanged(state, shard, batch)
  const write: ShardWrite = {
    value: { ...batch.value, writeId: `${state.incarnation}#${state.writeCount}` },
    expectedVersion: current.version ?? 0,
    prepared: batch.operations,
    retryAtMs: times.nowMs + WRITE_RETRY_MS
  }
  const writing = _updateShard(state, shard, (latest) => ({ ...latest, queue: [], write, lastWriteAtMs: times.nowMs }))
  return step({ ...writing, writeCount: state.writeCount + 1 }, [_writeEffect(shard, write)])
}

function _writeEffect (shard: number, write: ShardWrite): ClaimsEffect {
  return { kind: 'write_shard', shard, expectedVersion: write.expectedVersion, value: write.value }
}

function _answerUnchanged (state: ClaimsState, shard: number, batch: _PreparedBatch): _Step {
  const current = _shardState(state, shard)
  if (current.coveredByRead < current.queue.length) return _startRead(state, shard)
  const answered = _updateShard(state, shard, (latest) => ({ ...latest, queue: [], coveredByRead: 0 }))
  return step(answered, _answerEffects(batch.operations))
}

function _answerEffects (prepared: readonly PreparedOperation[]): readonly ClaimsEffect[] {
  return prepared.map(({ operation, answer }) => ({ kind: 'answer', operation, answer }))
}

function _finishRead (state: ClaimsState, event: Extract<ClaimsEvent, { kind: 'shard_read' }>): _Step {
  const updated = _updateShard(state, event.shard, (current) => {
    const newer = current.version === undefined || event.version > current.version
    // A stale read neither replaces a newer value nor covers queued operations.
    const stale = current.version !== undefined && event.version < current.version
    const covered = stale ? 0 : current.coveredByRead
    return { ...current, reading: false, coveredByRead: covered, ...newer ? { value: event.value, version: event.version } : {} }
  })
  const current = _shardState(updated, event.shard)
  if (current.queue.length === 0 || current.write !== undefined) return step(updated)
  return _startWrite(updated, event.shard, event)
}

function _finishWrite (state: ClaimsState, event: Extract<ClaimsEvent, { kind: 'write_done' }>): _Step {
  const { write } = _shardState(state, event.shard)
  if (write === undefined || write.value.writeId !== event.writeId) return step(state)
  const done = _updateShard(state, event.shard, (current) => ({
    ...current, write: undefined, value: write.value, version: event.version, coveredByRead: 0
  }))
  const next = _startNext(done, event.shard, event)
  return step(next.state, [..._answerEffects(write.prepared), ...next.effects])
}

function _resolveConflict (state: ClaimsState, event: Extract<ClaimsEvent, { kind: 'write_conflicted' }>): _Step {
  const { write } = _shardState(state, event.shard)
  if (write === undefined || write.value.writeId !== event.writeId) return step(state)
  if (event.value.writeId === event.writeId) return _finishWrite(state, { ...event, kind: 'write_done' })
  const operations: readonly Operation[] = write.prepared.map((prepared) => prepared.operation)
  const requeued = _updateShard(state, event.shard, (current) => ({
    ...current,
    write: undefined,
    value: event.value,
    version: event.version,
    queue: [...operations, ...current.queue],
    coveredByRead: operations.length
  }))
  return _startWrite(requeued, event.shard, event)
}

function _tick (state: ClaimsState, event: _EventTimes): _Step {
  let next = step<ClaimsState, ClaimsEffect>(state)
  for (const shard of HashMap.keys(state.shards)) {
    const expired = _expireOperations(next.state, shard, event)
    const retried = _retryWrite(expired.state, shard, event)
    const started = _startNext(retried.state, shard, event)
    next = step(started.state, [...next.effects, ...expired.effects, ...retried.effects, ...started.effects])
  }
  return next
}

function _retryWrite (state: ClaimsState, shard: number, times: _EventTimes): _Step {
  const { write } = _shardState(state, shard)
  if (write === undefined || times.nowMs < write.retryAtMs) return step(state)
  const retried = _updateShard(state, shard, (current) => ({ ...current, write: { ...write, retryAtMs: times.nowMs + WRITE_RETRY_MS } }))
  return step(retried, [_writeEffect(shard, write)])
}

function _expireOperations (state: ClaimsState, shard: number, times: _EventTimes): _Step {
  const current = _shardState(state, shard)
  const expiredQueued = current.queue.filter((operation) => operation.deadlineMs <= times.nowMs)
  const expiredInFlight = (current.write?.prepared ?? []).filter(({ operation }) => operation.deadlineMs <= times.nowMs)
  if (expiredQueued.length === 0 && expiredInFlight.length === 0) return step(state)
  const releases = expiredInFlight.flatMap(({ operation }) => _compensatingRelease(operation))
  const expired = _updateShard(state, shard, (latest) => ({
    ...latest,
    coveredByRead: 0,
    queue: [...latest.queue.filter((operation) => operation.deadlineMs > times.nowMs), ...releases],
    write: latest.write === undefined
      ? undefined
      : { ...latest.write, prepared: latest.write.prepared.filter(({ operation }) => operation.deadlineMs > times.nowMs) }
  }))
  const answers = [...expiredQueued, ...expiredInFlight.map(({ operation }) => operation)]
    .map((operation): ClaimsEffect => ({ kind: 'answer', operation, answer: { kind: 'unavailable' } }))
  return step(expired, answers)
}

// An unanswered write may still have stored the claim. The caller was refused and the request was not sent, so the
// claim is released.
function _compensatingRelease (operation: Operation): readonly Operation[] {
  if (operation.kind !== 'claim') return []
  return [{
    kind: 'release',
    id: `${operation.id}/release`,
    shard: operation.shard,
    deadlineMs: Infinity,
    key: operation.key,
    claim: operation.id
  }]
}
