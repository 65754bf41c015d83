import type { Admission } from './_admission.ts'
import type { Line } from './logger.ts'

/** Interval between measurements, in ms; a full link brings some tens of MB meanwhile. */
const INTERVAL_MS = 200
/** Share of the process's memory from which each tick measures, and garbage of the last requests is collected. */
const HIGH_SHARE = 0.6
/** Share of the process's memory from which all garbage is collected. */
const FULL_SHARE = 0.7
/** Minimum time between two collections of all garbage, as a multiple of the time that the last one took. */
const FULL_INTERVAL_FACTOR = 15
/** Share of the process's memory that bodies may leave behind before it is measured again. */
const GARBAGE_SHARE = 0.02

/** Watches the resident memory of the process. */
export interface MemoryWatch {
  /** Measures the resident memory if it is due. */
  tick (nowMs: number): void
  /** Counts bytes of bodies that were freed and not yet collected. */
  freed (bytes: number, nowMs: number): void
}

/** Options of {@linkcode createMemoryWatch}. */
export interface MemoryWatchOptions {
  readonly admission: Admission
  /** Resident memory above which the platform ends the process, in bytes. */
  readonly memoryBytes: number
  /** Returns the resident memory, in bytes. */
  residentBytes (): number
  /** Collects garbage: that of the last requests, or all; returns the time that it took, in ms. */
  collect (what: 'minor' | 'major'): number
  /** Called when memory gets short, and when it is regained. */
  changed (line: Line): void
}

/**
 * Creates a watch of the process's memory.
 *
 * The garbage collector goes by the size of its heap. Buffers lie outside of it, and up to 64 MB of them stay until it collects by itself, more
 * than a small instance has left.
 *
 * @param options The memory of the process, and what is done about it.
 * @returns The watch.
 *
 * @example
 * ```ts
 * const watch = createMemoryWatch({ admission, memoryBytes, residentBytes: process.memoryUsage.rss, collect: () => 0, changed: console.log })
 * setInterval(() => watch.tick(performance.now()), 40)
 * ```
 */
export function createMemoryWatch ({ admission, memoryBytes, residentBytes, collect, changed }: MemoryWatchOptions): MemoryWatch {
  let [measuredAtMs, nextFullAtMs, freedBytes] = [-Infinity, -Infinity, 0]
  let isHigh = false
  let wasShort = false

  function tick (nowMs: number): void {
    if (isHigh || nowMs - measuredAtMs >= INTERVAL_MS) measure(nowMs)
  }

  function freed (bytes: number, nowMs: number): void {
    freedBytes += bytes
    if (freedBytes >= memoryBytes * GARBAGE_SHARE) measure(nowMs)
  }

  function measure (nowMs: number): void {
    measuredAtMs = nowMs
    freedBytes = 0
    const measured = residentBytes()
    isHigh = measured > memoryBytes * HIGH_SHARE
    if (isHigh) collectGarbage(measured, nowMs)
    admission.measure(isHigh ? residentBytes() : measured)
    if (admission.isShort() === wasShort) return
    wasShort = !wasShort
    changed({ what: wasShort ? 'memory_short' : 'memory_regained', ...admission.held(), memoryBytes })
  }

  function collectGarbage (measured: number, nowMs: number): void {
    const isFull = measured > memoryBytes * FULL_SHARE && nowMs >= nextFullAtMs
    const tookMs = collect(isFull ? 'major' : 'minor')
    if (isFull) nextFullAtMs = nowMs + tookMs * FULL_INTERVAL_FACTOR
  }

  return { tick, freed }
}
