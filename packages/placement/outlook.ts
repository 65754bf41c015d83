import { HashMap, Option } from 'effect'
import type { Cell } from './cell.ts'
import type { PlacementState } from './placement_state.ts'

/** What a waiter may expect of a model. */
export interface Outlook {
  readonly model: string
  readonly state: 'loaded' | 'loading' | 'queued' | 'no_room' | 'not_holder'
  /** Expected time until a replica is loaded, in ms; a lower bound where the state is `queued`. */
  readonly readyInMs: number
}

/**
 * Estimates when a model will be loaded.
 *
 * @param state The lease holder's state.
 * @param model The name of the model or adapter.
 * @param nowMs The local time in ms.
 * @returns The outlook.
 *
 * @example
 * ```ts
 * console.log(outlookFor(state, 'toast-7b', 0).state) // 'queued'
 * ```
 */
export function outlookFor (state: PlacementState, model: string, nowMs: number): Outlook {
  const cell = state.pending?.cell ?? state.cell
  const entry = state.catalog.models.get(model)
  if (cell === undefined || entry === undefined) return { model, state: 'not_holder', readyInMs: 0 }
  const replicas = cell.replicas.filter((replica) => replica.model === model)
  if (replicas.some((replica) => replica.phase === 'loaded')) return { model, state: 'loaded', readyInMs: 0 }
  const baseMs = entry.base === undefined ? 0 : outlookFor(state, entry.base, nowMs).readyInMs
  if (replicas.some((replica) => replica.phase === 'loading')) {
    return { model, state: 'loading', readyInMs: _remainingMs(state, model, nowMs) }
  }
  const queuedMs = _queueMs(state, cell)
  if (!_couldFit(state, cell, entry.memoryMb)) return { model, state: 'no_room', readyInMs: baseMs + entry.loadMs + queuedMs }
  return { model, state: 'queued', readyInMs: baseMs + entry.loadMs + queuedMs }
}

function _remainingMs (state: PlacementState, model: string, nowMs: number): number {
  const loadMs = state.catalog.models.get(model)?.loadMs ?? 0
  const sinceMs = Option.getOrElse(HashMap.get(state.loadingSince, model), () => nowMs)
  return Math.max(0, sinceMs + loadMs - nowMs)
}

// Time until a load may start, where all of the weight store's full-speed slots are taken.
function _queueMs (state: PlacementState, cell: Cell): number {
  const loading = cell.replicas.filter((replica) => replica.phase === 'loading')
  const free = state.catalog.weightRate.loadsInFlight - loading.length
  if (free > 0) return 0
  const shortest = Math.min(...loading.map((replica) => state.catalog.models.get(replica.model)?.loadMs ?? 0))
  return Number.isFinite(shortest) ? shortest / 2 : 0
}

// Room that is not held by replicas in use; a replica that is idle can be evicted.
function _couldFit (state: PlacementState, cell: Cell, memoryMb: number): boolean {
  return [...state.catalog.upstreams.values()].some((upstream) => {
    const held = cell.replicas
      .filter((replica) => replica.upstream === upstream.name && replica.phase !== 'vacated')
      .filter((replica) => _isHeld(state, replica.model))
      .reduce((sum, replica) => sum + replica.memoryMb, 0)
    return held + memoryMb <= upstream.memoryMb
  })
}

function _isHeld (state: PlacementState, model: string): boolean {
  const usage = Option.getOrUndefined(HashMap.get(state.usages, model))
  return (usage?.running ?? 0) > 0 || HashMap.has(state.demands, model)
}
