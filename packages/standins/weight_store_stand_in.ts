/** Options for {@linkcode startWeightStoreStandIn}. */
export interface WeightStoreStandInOptions {
  /** Number of concurrent loads that run at full speed. */
  readonly loadsInFlight: number
  /** Number of concurrent adapter loads that run at full speed. */
  readonly adapterLoadsInFlight: number
}

/** Load that the weight store times. */
export interface WeightLoad {
  /** Whether the load is one of an adapter, which counts against the limit for adapters. */
  readonly adapter: boolean
  /** Duration at full speed, in ms. */
  readonly loadMs: number
  /** Called when the load has completed. */
  finish (): void
}

interface _RunningLoad {
  readonly load: WeightLoad
  remainingMs: number
}

const ADVANCE_INTERVAL_MS = 20

/** Weight store whose loads slow down in proportion to their number above the limit. */
export interface WeightStoreStandIn {
  /** Factor that slows down every load; 1 is full speed. */
  slowdown: number
  /**
   * Starts a load.
   *
   * @returns A function that cancels the load.
   */
  start (load: WeightLoad): () => void
  /** Stops the timer, so that no further load completes. */
  close (): void
}

/**
 * Starts a stand-in for the weight store.
 *
 * @param options The limits for loads at full speed.
 * @returns The stand-in.
 *
 * @example
 * ```ts
 * const weights = startWeightStoreStandIn({ loadsInFlight: 4, adapterLoadsInFlight: 30 })
 * weights.start({ adapter: false, loadMs: 500, finish: () => console.log('loaded') })
 * ```
 */
export function startWeightStoreStandIn (options: WeightStoreStandInOptions): WeightStoreStandIn {
  const running = new Set<_RunningLoad>()
  let lastMs = performance.now()

  function advance (): void {
    const nowMs = performance.now()
    const elapsedMs = nowMs - lastMs
    lastMs = nowMs
    const adapters = [...running].filter(({ load }) => load.adapter).length
    const models = running.size - adapters
    for (const item of running) {
      const count = item.load.adapter ? adapters : models
      const limit = item.load.adapter ? options.adapterLoadsInFlight : options.loadsInFlight
      item.remainingMs -= elapsedMs * Math.min(1, limit / count) / standIn.slowdown
      if (item.remainingMs > 0) continue
      running.delete(item)
      item.load.finish()
    }
  }

  function start (load: WeightLoad): () => void {
    const item: _RunningLoad = { load, remainingMs: load.loadMs }
    running.add(item)
    return () => running.delete(item)
  }

  const timer = setInterval(advance, ADVANCE_INTERVAL_MS)
  const standIn: WeightStoreStandIn = { slowdown: 1, start, close: () => clearInterval(timer) }
  return standIn
}
