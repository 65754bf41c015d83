import type { ConfigurationDocument } from '@berylshed/configuration'
import type { VirtualClock } from './virtual_clock.ts'

interface _Load {
  readonly adapter: boolean
  readonly finish: () => void
  leftMs: number
}

/** A weight store in virtual time. Loads beyond the limit of concurrent loads slow down all loads in proportion. */
export interface FakeWeightStore {
  /** Starts a load that takes `loadMs` at full speed, and calls `finish` when it is complete. */
  start (adapter: boolean, loadMs: number, finish: () => void): void
}

/**
 * Creates a fake weight store in virtual time.
 *
 * @param clock The clock.
 * @param limits The numbers of concurrent loads served at full speed.
 * @returns The weight store.
 *
 * @example
 * ```ts
 * const weights = createFakeWeightStore(clock, document.weight_store)
 * ```
 */
export function createFakeWeightStore (clock: VirtualClock, limits: ConfigurationDocument['weight_store']): FakeWeightStore {
  let loads: _Load[] = []
  let lastMs = 0
  let latestWakeup = 0

  function rate (load: _Load): number {
    const count = loads.filter((other) => other.adapter === load.adapter).length
    const limit = load.adapter ? limits.adapter_loads_in_flight : limits.loads_in_flight
    return Math.min(1, limit / count)
  }

  function advance (): void {
    const elapsedMs = clock.nowMs() - lastMs
    lastMs = clock.nowMs()
    const rated = loads.map((load) => ({ load, rate: rate(load) }))
    for (const { load, rate: speed } of rated) load.leftMs -= elapsedMs * speed
    const done = loads.filter((load) => load.leftMs <= 0.001)
    loads = loads.filter((load) => load.leftMs > 0.001)
    for (const load of done) load.finish()
    scheduleNextCompletion()
  }

  function scheduleNextCompletion (): void {
    if (loads.length === 0) return
    latestWakeup += 1
    const wakeup = latestWakeup
    const nextMs = Math.min(...loads.map((load) => load.leftMs / rate(load)))
    clock.after(nextMs, () => { if (wakeup === latestWakeup) advance() })
  }

  function start (adapter: boolean, loadMs: number, finish: () => void): void {
    advance()
    loads.push({ adapter, finish, leftMs: loadMs })
    scheduleNextCompletion()
  }

  return { start }
}
