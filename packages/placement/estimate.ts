import { HashMap, Option } from 'effect'
import type { PlacementShard } from './placement_shard.ts'
import type { PlacementState } from './placement_state.ts'

/** Expected availability of a model, for requests that wait for it. */
export interface Estimate {
  readonly model: string
  readonly state: 'loaded' | 'loading' | 'queued' | 'no_room' | 'not_holder'
  /** Expected time until a replica is loaded, in ms; a lower bound if the state is `queued`. */
  readonly readyInMs: number
}

/**
 * Estimates when a model will be loaded.
 *
 * @param state The lease holder's state.
 * @param model The name of the model or adapter.
 * @param nowMs The local time in ms.
 * @returns The estimate.
 *
 * @example
 * ```ts
 * console.log(estimateFor(state, 'chat-7b', 0).state) // 'queued'
 * ```
 */
export function estimateFor (state: PlacementState, model: string, nowMs: number): Estimate {
  const shard = state.pending?.shard ?? state.shard
  const entry = state.catalog.models.get(model)
  if (shard === undefined || entry === undefined) return { model, state: 'not_holder', readyInMs: 0 }
  const replicas = shard.replicas.filter((replica) => replica.model === model)
  if (replicas.some((replica) => replica.phase === 'loaded')) return { model, state: 'loaded', readyInMs: 0 }
  const baseMs = entry.base === undefined ? 0 : estimateFor(state, entry.base, nowMs).readyInMs
  if (replicas.some((replica) => replica.phase === 'loading')) {
    return { model, state: 'loading', readyInMs: _remainingMs(state, model, nowMs) }
  }
  const queuedMs = _queueDelayMs(state, shard)
  if (!_couldFit(state, shard, entry.memoryMb)) return { model, state: 'no_room', readyInMs: baseMs + entry.loadMs + queuedMs }
  return { model, state: 'queued', readyInMs: baseMs + entry.loadMs + queuedMs }
}

function _remainingMs (state: PlacementState, model: string, nowMs: number): number {
  const loadMs = state.catalog.models.get(model)?.loadMs ?? 0
  const sinceMs = Option.getOrElse(HashMap.get(state.loadingSinceMs, model), () => nowMs)
  return Math.max(0, sinceMs + loadMs - nowMs)
}

// Expected time until a load can start while all full-speed load slots of the weight store are in use.
function _queueDelayMs (state: PlacementState, shard: PlacementShard): number {
  const loading = shard.replicas.filter((replica) => replica.phase === 'loading')
  const free = state.catalog.weightStoreLimits.loadsInFlight - loading.length
  if (free > 0) return 0
  const shortest = Math.min(...loading.map((replica) => state.catalog.models.get(replica.model)?.loadMs ?? 0))
  return Number.isFinite(shortest) ? shortest / 2 : 0
}

// Only replicas in use count as occupied memory, since idle replicas can be evicted.
function _couldFit (state: PlacementState, shard: PlacementShard, memoryMb: number): boolean {
  return [...state.catalog.upstreams.values()].some((upstream) => {
    const usedMb = shard.replicas
      .filter((replica) => replica.upstream === upstream.name && replica.phase !== 'vacated')
      .filter((replica) => _isInUse(state, replica.model))
      .reduce((sum, replica) => sum + replica.memoryMb, 0)
    return usedMb + memoryMb <= upstream.memoryMb
  })
}

function _isInUse (state: PlacementState, model: string): boolean {
  const usage = Option.getOrUndefined(HashMap.get(state.usages, model))
  return (usage?.running ?? 0) > 0 || HashMap.has(state.demands, model)
}
