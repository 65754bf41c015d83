import type { Catalog, WeightStoreLimits } from './catalog.ts'
import type { PlacementShard } from './placement_shard.ts'

/** Number of loads that may start now without exceeding the limits of the weight store. */
export interface LoadSlots {
  readonly models: number
  readonly adapters: number
}

/** Start times of the recent loads, oldest first, in ms. */
export type RecentStarts = readonly number[]

const START_WINDOW_MS = 1000

/**
 * Returns how many loads may start within the limits of the weight store.
 *
 * @param shard The shard, whose loading replicas count as loads in progress.
 * @param catalog The configuration.
 * @param options The recent starts and the time.
 * @returns The free slots.
 *
 * @example
 * ```ts
 * console.log(freeLoadSlots(emptyPlacementShard('drafting'), catalog, { recentStarts: [], nowMs: 0 }).models) // 4
 * ```
 */
export function freeLoadSlots (shard: PlacementShard, catalog: Catalog, options: LoadSlotsOptions): LoadSlots {
  const rate: WeightStoreLimits = catalog.weightStoreLimits
  const loading = shard.replicas.filter((replica) => replica.phase === 'loading')
  const adapters = loading.filter((replica) => catalog.models.get(replica.model)?.base !== undefined).length
  const started = options.recentStarts.filter((atMs) => atMs > options.nowMs - START_WINDOW_MS).length
  const startable = Math.max(0, rate.startsPerSecond - started)
  return {
    models: Math.min(startable, Math.max(0, rate.loadsInFlight - (loading.length - adapters))),
    adapters: Math.max(0, rate.adapterLoadsInFlight - adapters)
  }
}

/** Options of `freeLoadSlots`. */
export interface LoadSlotsOptions {
  readonly recentStarts: RecentStarts
  readonly nowMs: number
}
