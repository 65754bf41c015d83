import { addIdlePeriod, emptyIdleHistogram, type IdleHistogram } from './idle_histogram.ts'

/** Usage of a model as known to the lease holder. */
export interface Usage {
  /** Number of running or waiting requests on all instances. */
  readonly running: number
  readonly lastUsedMs: number
  /** Histogram of past idle periods. */
  readonly idlePeriods: IdleHistogram
}

/**
 * Returns the usage of a model without a history.
 *
 * @param nowMs The time that is recorded as the last use, in ms.
 * @returns The usage.
 *
 * @example
 * ```ts
 * console.log(newUsage(0).running) // 0
 * ```
 */
export function newUsage (nowMs: number): Usage {
  return { running: 0, lastUsedMs: nowMs, idlePeriods: emptyIdleHistogram() }
}

/**
 * Records a use of a model.
 *
 * @param usage The current usage.
 * @param nowMs The time of the use, in ms.
 * @returns The usage with the idle period before this use added to its histogram.
 *
 * @example
 * ```ts
 * console.log(recordUse(newUsage(0), 60_000).lastUsedMs) // 60000
 * ```
 */
export function recordUse (usage: Usage, nowMs: number): Usage {
  if (nowMs <= usage.lastUsedMs) return usage
  const idleMs = nowMs - usage.lastUsedMs
  const idlePeriods = usage.running > 0 ? usage.idlePeriods : addIdlePeriod(usage.idlePeriods, idleMs)
  return { ...usage, lastUsedMs: nowMs, idlePeriods }
}
