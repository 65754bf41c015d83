import type { Catalog, WeightRate } from './catalog.ts'
import type { Cell } from './cell.ts'

/** Loads that may start now without slowing the weight store down. */
export interface LoadSlots {
  readonly models: number
  readonly adapters: number
}

/** Start times of the recent loads, oldest first, in ms. */
export type RecentStarts = readonly number[]

const WINDOW_MS = 1000

/**
 * Tells how many loads may start under the weight store's rate.
 *
 * @param cell The cell, whose loading replicas are in flight.
 * @param catalog The configuration.
 * @param options The recent starts and the time.
 * @returns The free slots.
 *
 * @example
 * ```ts
 * console.log(loadSlots(emptyCell('drafting'), catalog, { recentStarts: [], nowMs: 0 }).models) // 4
 * ```
 */
export function loadSlots (cell: Cell, catalog: Catalog, options: LoadSlotsOptions): LoadSlots {
  const rate: WeightRate = catalog.weightRate
  const loading = cell.replicas.filter((replica) => replica.phase === 'loading')
  const adapters = loading.filter((replica) => catalog.models.get(replica.model)?.base !== undefined).length
  const started = options.recentStarts.filter((atMs) => atMs > options.nowMs - WINDOW_MS).length
  const startable = Math.max(0, rate.startsPerSecond - started)
  return {
    models: Math.min(startable, Math.max(0, rate.loadsInFlight - (loading.length - adapters))),
    adapters: Math.max(0, rate.adapterLoadsInFlight - adapters)
  }
}

/** What the number of free slots depends on besides the cell. */
export interface LoadSlotsOptions {
  readonly recentStarts: RecentStarts
  readonly nowMs: number
}
