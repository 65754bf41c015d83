import { EMPTY_CLAIMS_SHARD, type ClaimsEffect, type ClaimsEvent, type Operation, type OperationAnswer, type ClaimsShard } from '@berylshed/claims'
import { liveEntries } from '@berylshed/membership'
import type { StoredObject } from '@berylshed/platform'
import type { InterpreterContext } from './_interpreter_context.ts'
import { operationEvent } from './reduce_instance.ts'

/** Interpreter of the effects of the claims reducer. */
export interface ClaimsEffects {
  /** Carries out one effect. */
  perform (effect: ClaimsEffect): Promise<void>
  /** Sends an operation to the peer at an address; processes it locally if the address is empty or the call fails. */
  operate (to: string, operation: Operation): Promise<void>
  /** Processes an operation received from a peer and resolves to its answer. */
  operateForPeer (operation: Operation): Promise<OperationAnswer>
  /** Reports whether an operation of this instance has no answer yet, also one that was sent to a peer. */
  isBusy (): boolean
}

function _shardKey (shard: number): string {
  return `claims/${shard}`
}

function _parseShard (object: StoredObject): ClaimsShard {
  return object.version === 0 ? EMPTY_CLAIMS_SHARD : JSON.parse(object.value) as ClaimsShard
}

/** Creates the interpreter of the effects of the claims reducer. */
export function createClaimsEffects (context: InterpreterContext): ClaimsEffects {
  const { store, peers, nowMs } = context
  const ownOperations = new Set<string>()
  const peerCallbacks = new Map<string, (answer: OperationAnswer) => void>()

  function dispatch (event: ClaimsEvent): void {
    context.dispatch({ subject: 'claims', event })
  }

  function times (): { readonly nowMs: number, readonly clockMs: number } {
    return { nowMs: nowMs(), clockMs: Date.now() }
  }

  async function readShard (shard: number): Promise<void> {
    const answer = await store.read(_shardKey(shard))
    dispatch(answer.match(
      (object) => ({ kind: 'shard_read', shard, version: object.version, value: _parseShard(object), ...times() }),
      () => ({ kind: 'read_failed', shard, ...times() })))
  }

  async function writeShard (effect: Extract<ClaimsEffect, { kind: 'write_shard' }>): Promise<void> {
    const { shard, expectedVersion, value } = effect
    const { writeId } = value
    const answer = await store.update(_shardKey(shard), { value: JSON.stringify(value), expectedVersion })
    dispatch(answer.match(
      (version) => ({ kind: 'write_done', shard, writeId, version, ...times() }),
      (failure) => failure.kind === 'conflict'
        ? { kind: 'write_conflicted', shard, writeId, version: failure.current.version, value: _parseShard(failure.current), ...times() }
        : { kind: 'write_lost', shard, writeId, ...times() }))
  }

  function deliverAnswer (operation: Operation, answer: OperationAnswer): void {
    const peer = peerCallbacks.get(operation.id)
    peerCallbacks.delete(operation.id)
    if (peer !== undefined) return peer(answer)
    ownOperations.delete(operation.id)
    const live = liveEntries(context.state().membership, nowMs())
    const event = operationEvent(operation, answer, {
      nowMs: nowMs(), random: context.random(), isLive: (holder) => live.some((entry) => entry.incarnation === holder)
    })
    if (event !== undefined) context.dispatch({ subject: 'requests', event })
  }

  async function operate (to: string, operation: Operation): Promise<void> {
    ownOperations.add(operation.id)
    const answer = to === '' ? undefined : await peers.operate(to, operation)
    if (answer?.isOk() === true) return deliverAnswer(operation, answer.value)
    dispatch({ kind: 'operation_requested', operation, ...times() })
  }

  function operateForPeer (operation: Operation): Promise<OperationAnswer> {
    return new Promise((resolve) => {
      peerCallbacks.set(operation.id, resolve)
      dispatch({ kind: 'operation_requested', operation, ...times() })
    })
  }

  async function perform (effect: ClaimsEffect): Promise<void> {
    switch (effect.kind) {
      case 'read_shard': return await readShard(effect.shard)
      case 'write_shard': return await writeShard(effect)
      case 'answer': return deliverAnswer(effect.operation, effect.answer)
    }
  }

  return { perform, operate, operateForPeer, isBusy: () => ownOperations.size > 0 }
}
