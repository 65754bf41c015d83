import { step, type Step } from '@berylshed/reducer'
import type { PlacementShard } from './placement_shard.ts'
import { emptyPlacementShard } from './placement_shard.ts'
import { isHolder } from './is_holder.ts'
import type { PlacementEffect } from './placement_effect.ts'
import type { PendingWrite, PlacementState } from './placement_state.ts'

/** Longest time between retries of a write that the store does not answer, in ms. */
const MAX_RETRY_MS = 2000

type _Step = Step<PlacementState, PlacementEffect>

/** Starts a conditional update; the caller ensures that none is pending. */
export function startWrite (state: PlacementState, shard: PlacementShard, nowMs: number): _Step {
  const identified: PlacementShard = { ...shard, writeId: `${state.self.incarnation}#${state.nextId}` }
  const pending: PendingWrite = {
    shard: identified,
    expectedVersion: state.version,
    sentAtMs: nowMs,
    retryAtMs: nowMs + state.times.writeTimeoutMs,
    attempts: 1
  }
  const effect: PlacementEffect = { kind: 'write_shard', expectedVersion: state.version, shard: identified }
  return step({ ...state, pending, nextId: state.nextId + 1 }, [effect])
}

/** Retries the pending write unchanged, since a different write could be applied in addition to it. */
export function retryWrite (state: PlacementState, nowMs: number): _Step {
  const { pending } = state
  if (pending === undefined || nowMs < pending.retryAtMs) return step(state)
  const repeated: PendingWrite = { ...pending, attempts: pending.attempts + 1, retryAtMs: nowMs + MAX_RETRY_MS }
  const effect: PlacementEffect = { kind: 'write_shard', expectedVersion: pending.expectedVersion, shard: pending.shard }
  return step({ ...state, pending: repeated }, [effect])
}

/** Schedules the retry of a write with an unknown outcome: exponential backoff with full jitter. */
export function backOffWrite (state: PlacementState, nowMs: number, random: number): PlacementState {
  if (state.pending === undefined) return state
  const ceilingMs = Math.min(MAX_RETRY_MS, 100 * 2 ** state.pending.attempts)
  return { ...state, pending: { ...state.pending, retryAtMs: nowMs + random * ceilingMs } }
}

/** Takes over the lease if it has no holder or the holder has not renewed it within its time to live. */
export function takeOverLease (state: PlacementState, nowMs: number): _Step {
  if (state.stopping || !_isLeaseAvailable(state, nowMs)) return step(state)
  const shard = state.shard ?? emptyPlacementShard('')
  const started = startWrite(state, { ...shard, fence: shard.fence + 1, holder: state.self }, nowMs)
  return step(started.state, [...started.effects, { kind: 'count', metric: 'takeover' }])
}

function _isLeaseAvailable (state: PlacementState, nowMs: number): boolean {
  if (state.shard === undefined) return false
  if (state.shard.holder === null) return true
  return !isHolder(state) && nowMs - state.unchangedSinceMs >= state.times.leaseTtlMs
}

/** Reports whether the holder's lease is due for renewal. */
export function isRenewalDue (state: PlacementState, nowMs: number): boolean {
  return nowMs - state.lastWriteMs >= state.times.renewMs
}
