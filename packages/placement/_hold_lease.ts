import { step, type Step } from '@berylshed/reducer'
import type { Cell } from './cell.ts'
import { emptyCell } from './cell.ts'
import { isHolder } from './is_holder.ts'
import type { PlacementEffect } from './placement_effect.ts'
import type { PendingWrite, PlacementState } from './placement_state.ts'

/** Longest time between repeats of a write that the store does not answer, in ms. */
const MAX_REPEAT_MS = 2000

type _Step = Step<PlacementState, PlacementEffect>

/** Starts a conditional update; the caller has checked that none is under way. */
export function startWrite (state: PlacementState, cell: Cell, nowMs: number): _Step {
  const named: Cell = { ...cell, writeId: `${state.self.incarnation}#${state.ids}` }
  const pending: PendingWrite = {
    cell: named,
    expectedVersion: state.version,
    sentAtMs: nowMs,
    repeatAtMs: nowMs + state.times.writeTimeoutMs,
    attempts: 1
  }
  const effect: PlacementEffect = { kind: 'write_cell', expectedVersion: state.version, cell: named }
  return step({ ...state, pending, ids: state.ids + 1 }, [effect])
}

/** Repeats the very write that has no answer; a different write could be applied beside it. */
export function repeatWrite (state: PlacementState, nowMs: number): _Step {
  const { pending } = state
  if (pending === undefined || nowMs < pending.repeatAtMs) return step(state)
  const repeated: PendingWrite = { ...pending, attempts: pending.attempts + 1, repeatAtMs: nowMs + MAX_REPEAT_MS }
  const effect: PlacementEffect = { kind: 'write_cell', expectedVersion: pending.expectedVersion, cell: pending.cell }
  return step({ ...state, pending: repeated }, [effect])
}

/** Sets when a write that failed without an outcome is repeated, with full jitter. */
export function backOffWrite (state: PlacementState, nowMs: number, random: number): PlacementState {
  if (state.pending === undefined) return state
  const ceilingMs = Math.min(MAX_REPEAT_MS, 100 * 2 ** state.pending.attempts)
  return { ...state, pending: { ...state.pending, repeatAtMs: nowMs + random * ceilingMs } }
}

/** Takes the lease over where nobody holds it or its holder has been silent for the lease's time to live. */
export function takeOver (state: PlacementState, nowMs: number): _Step {
  if (state.stopping || !_isVacant(state, nowMs)) return step(state)
  const cell = state.cell ?? emptyCell('')
  const taken = startWrite(state, { ...cell, fence: cell.fence + 1, holder: state.self }, nowMs)
  return step(taken.state, [...taken.effects, { kind: 'count', metric: 'takeover' }])
}

function _isVacant (state: PlacementState, nowMs: number): boolean {
  if (state.cell === undefined) return false
  if (state.cell.holder === null) return true
  return !isHolder(state) && nowMs - state.quietSinceMs >= state.times.leaseTtlMs
}

/** Tells whether the holder's lease is due for renewal. */
export function renewalIsDue (state: PlacementState, nowMs: number): boolean {
  return nowMs - state.lastWriteMs >= state.times.renewMs
}
