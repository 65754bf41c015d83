import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { applyOperation, expireClaims, type Applied } from './apply_operation.ts'
import type { ClaimsEffect, ClaimsEvent } from './claims_event.ts'
import type { ClaimsState, PreparedOperation, ShardState, ShardWrite } from './claims_state.ts'
import type { Operation } from './operation.ts'
import { EMPTY_SHARD, type Shard } from './shard.ts'

/** Time after which a write without an answer is repeated, unchanged, in ms. */
const REPEAT_MS = 500

type _Step = Step<ClaimsState, ClaimsEffect>

const NEW_SHARD: ShardState = {
  value: EMPTY_SHARD,
  version: undefined,
  queue: [],
  reading: false,
  readCovers: 0,
  write: undefined,
  lastWriteMs: -Infinity
}

/**
 * Reduces one event of the claims.
 *
 * Operations that arrive while a write of their shard is under way go into the next one. An operation is answered only
 * from a value that is durable, and one that changes nothing only from a value read after it arrived.
 *
 * @param state The state so far.
 * @param event What happened.
 * @returns The next state and the effects to carry out.
 *
 * @example
 * ```ts
 * const { effects } = reduceClaims(state, { kind: 'operation_asked', operation, nowMs: 0, clockMs: Date.now() })
 * ```
 */
export function reduceClaims (state: ClaimsState, event: ClaimsEvent): _Step {
  switch (event.kind) {
    case 'operation_asked': return _ask(state, event)
    case 'shard_read': return _finishRead(state, event)
    case 'read_failed': return step(_change(state, event.shard, (known) => ({ ...known, reading: false })))
    case 'write_done': return _finishWrite(state, event)
    case 'write_conflicted': return _resolveConflict(state, event)
    case 'write_lost': return step(state)
    case 'ticked': return _tick(state, event)
  }
}

interface _Times {
  readonly nowMs: number
  readonly clockMs: number
}

function _shardOf (state: ClaimsState, shard: number): ShardState {
  return Option.getOrElse(HashMap.get(state.shards, shard), () => NEW_SHARD)
}

function _change (state: ClaimsState, shard: number, change: (known: ShardState) => ShardState): ClaimsState {
  return { ...state, shards: HashMap.set(state.shards, shard, change(_shardOf(state, shard))) }
}

function _ask (state: ClaimsState, event: Extract<ClaimsEvent, { kind: 'operation_asked' }>): _Step {
  const { operation } = event
  const queued = _change(state, operation.shard, (known) => ({ ...known, queue: [...known.queue, operation] }))
  return _work(queued, operation.shard, event)
}

// Starts what the shard's queue needs next: a read, or a write, or nothing while one of them is under way.
function _work (state: ClaimsState, shard: number, times: _Times): _Step {
  const known = _shardOf(state, shard)
  if (known.queue.length === 0 || known.reading || known.write !== undefined) return step(state)
  if (known.version === undefined) return _startRead(state, shard)
  if (times.nowMs - known.lastWriteMs < state.writeIntervalMs) return step(state)
  return _startWrite(state, shard, times)
}

function _startRead (state: ClaimsState, shard: number): _Step {
  const reading = _change(state, shard, (known) => ({ ...known, reading: true, readCovers: known.queue.length }))
  return step(reading, [{ kind: 'read_shard', shard }])
}

interface _Prepared {
  readonly value: Shard
  readonly prepared: readonly PreparedOperation[]
  readonly unchanged: number
}

function _prepare (state: ClaimsState, known: ShardState, times: _Times): _Prepared {
  const options = { limits: state.limits, clockMs: times.clockMs }
  let value = expireClaims(known.value, options)
  const prepared: PreparedOperation[] = []
  let unchanged = 0
  for (const operation of known.queue) {
    const applied: Applied = applyOperation(value, operation, options)
    if (applied.shard === value) unchanged += 1
    value = applied.shard
    prepared.push({ operation, answer: applied.answer })
  }
  return { value, prepared, unchanged }
}

function _startWrite (state: ClaimsState, shard: number, times: _Times): _Step {
  const known = _shardOf(state, shard)
  const prepared = _prepare(state, known, times)
  // A successful conditional update proves that its base was current; an operation without a change needs a read.
  if (prepared.unchanged === prepared.prepared.length) return _answerUnchanged(state, shard, prepared)
  const write: ShardWrite = {
    value: { ...prepared.value, writeId: `${state.incarnation}#${state.writes}` },
    expectedVersion: known.version ?? 0,
    prepared: prepared.prepared,
    repeatAtMs: times.nowMs + REPEAT_MS
  }
  const writing = _change(state, shard, (s) => ({ ...s, queue: [], write, lastWriteMs: times.nowMs }))
  return step({ ...writing, writes: state.writes + 1 }, [_writeEffect(shard, write)])
}

function _writeEffect (shard: number, write: ShardWrite): ClaimsEffect {
  return { kind: 'write_shard', shard, expectedVersion: write.expectedVersion, value: write.value }
}

function _answerUnchanged (state: ClaimsState, shard: number, prepared: _Prepared): _Step {
  const known = _shardOf(state, shard)
  if (known.readCovers < known.queue.length) return _startRead(state, shard)
  const answered = _change(state, shard, (s) => ({ ...s, queue: [], readCovers: 0 }))
  return step(answered, _answers(prepared.prepared))
}

function _answers (prepared: readonly PreparedOperation[]): readonly ClaimsEffect[] {
  return prepared.map(({ operation, answer }) => ({ kind: 'answer', operation, answer }))
}

function _finishRead (state: ClaimsState, event: Extract<ClaimsEvent, { kind: 'shard_read' }>): _Step {
  const learnt = _change(state, event.shard, (known) => {
    const newer = known.version === undefined || event.version > known.version
    // A stale read must not undo what is known, nor answer anything.
    const stale = known.version !== undefined && event.version < known.version
    const covers = stale ? 0 : known.readCovers
    return { ...known, reading: false, readCovers: covers, ...newer ? { value: event.value, version: event.version } : {} }
  })
  const known = _shardOf(learnt, event.shard)
  if (known.queue.length === 0 || known.write !== undefined) return step(learnt)
  return _startWrite(learnt, event.shard, event)
}

function _finishWrite (state: ClaimsState, event: Extract<ClaimsEvent, { kind: 'write_done' }>): _Step {
  const { write } = _shardOf(state, event.shard)
  if (write === undefined || write.value.writeId !== event.writeId) return step(state)
  const done = _change(state, event.shard, (known) => ({
    ...known, write: undefined, value: write.value, version: event.version, readCovers: 0
  }))
  const next = _work(done, event.shard, event)
  return step(next.state, [..._answers(write.prepared), ...next.effects])
}

function _resolveConflict (state: ClaimsState, event: Extract<ClaimsEvent, { kind: 'write_conflicted' }>): _Step {
  const { write } = _shardOf(state, event.shard)
  if (write === undefined || write.value.writeId !== event.writeId) return step(state)
  if (event.value.writeId === event.writeId) return _finishWrite(state, { ...event, kind: 'write_done' })
  const operations: readonly Operation[] = write.prepared.map((prepared) => prepared.operation)
  const requeued = _change(state, event.shard, (known) => ({
    ...known,
    write: undefined,
    value: event.value,
    version: event.version,
    queue: [...operations, ...known.queue],
    readCovers: operations.length
  }))
  return _startWrite(requeued, event.shard, event)
}

function _tick (state: ClaimsState, event: _Times): _Step {
  let next = step<ClaimsState, ClaimsEffect>(state)
  for (const shard of HashMap.keys(state.shards)) {
    const expired = _expireOperations(next.state, shard, event)
    const repeated = _repeatWrite(expired.state, shard, event)
    const worked = _work(repeated.state, shard, event)
    next = step(worked.state, [...next.effects, ...expired.effects, ...repeated.effects, ...worked.effects])
  }
  return next
}

function _repeatWrite (state: ClaimsState, shard: number, times: _Times): _Step {
  const { write } = _shardOf(state, shard)
  if (write === undefined || times.nowMs < write.repeatAtMs) return step(state)
  const repeated = _change(state, shard, (known) => ({ ...known, write: { ...write, repeatAtMs: times.nowMs + REPEAT_MS } }))
  return step(repeated, [_writeEffect(shard, write)])
}

function _expireOperations (state: ClaimsState, shard: number, times: _Times): _Step {
  const known = _shardOf(state, shard)
  const late = known.queue.filter((operation) => operation.deadlineMs <= times.nowMs)
  const lateWritten = (known.write?.prepared ?? []).filter(({ operation }) => operation.deadlineMs <= times.nowMs)
  if (late.length === 0 && lateWritten.length === 0) return step(state)
  const releases = lateWritten.flatMap(({ operation }) => _compensate(operation))
  const expired = _change(state, shard, (s) => ({
    ...s,
    readCovers: 0,
    queue: [...s.queue.filter((operation) => operation.deadlineMs > times.nowMs), ...releases],
    write: s.write === undefined
      ? undefined
      : { ...s.write, prepared: s.write.prepared.filter(({ operation }) => operation.deadlineMs > times.nowMs) }
  }))
  const answers = [...late, ...lateWritten.map(({ operation }) => operation)]
    .map((operation): ClaimsEffect => ({ kind: 'answer', operation, answer: { kind: 'unavailable' } }))
  return step(expired, answers)
}

// A claim whose write has no answer may be recorded although its caller was refused; its request was not sent.
function _compensate (operation: Operation): readonly Operation[] {
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
