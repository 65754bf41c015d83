import { build } from 'hdr-histogram-js'

/** Outcome of one request of a replay. */
export interface ReplayOutcome {
  /** `answered`, or the reason of the refusal. */
  readonly outcome: string
  /** Whether no replica of the model was loaded when the request arrived. */
  readonly hadColdStart: boolean
  /** Time from arrival to the first successful send, in ms; 0 without a cold start. */
  readonly coldStartMs: number
}

/** Totals over a whole replay. */
export interface ReplayTotals {
  readonly policy: string
  /** Accelerator time in which loaded models served no request, in hours. */
  readonly idleAcceleratorHours: number
  readonly loads: number
  /** Loads whose model served no request before it was unloaded. */
  readonly wastedLoads: number
  readonly storeWrites: number
  /** Duration of the replay, in hours. */
  readonly hours: number
}

/** Summary of a replay. A request without a cold start counts with a cold start of 0 ms. */
export interface ReplaySummary extends ReplayTotals {
  readonly requests: number
  readonly coldStartP50Ms: number
  readonly coldStartP99Ms: number
  readonly coldStartP999Ms: number
  /** Share of all requests that had a cold start. */
  readonly coldShare: number
  readonly meanColdStartMs: number
  /** Number of refused requests by reason. */
  readonly refusals: Readonly<Record<string, number>>
}

/**
 * Summarizes a replay.
 *
 * @param outcomes The outcome of each request.
 * @param totals The totals of the replay.
 * @returns The summary.
 *
 * @example
 * ```ts
 * const summary = summarizeReplay([{ outcome: 'answered', hadColdStart: false, coldStartMs: 0 }], totals)
 * ```
 */
export function summarizeReplay (outcomes: readonly ReplayOutcome[], totals: ReplayTotals): ReplaySummary {
  const answered = outcomes.filter(({ outcome }) => outcome === 'answered')
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 })
  for (const { coldStartMs } of answered) histogram.recordValue(Math.round(coldStartMs))
  const refusals: Record<string, number> = {}
  for (const { outcome } of outcomes) {
    if (outcome !== 'answered') refusals[outcome] = (refusals[outcome] ?? 0) + 1
  }
  return {
    ...totals,
    idleAcceleratorHours: Math.round(totals.idleAcceleratorHours * 100) / 100,
    hours: Math.round(totals.hours * 10) / 10,
    requests: outcomes.length,
    coldStartP50Ms: histogram.getValueAtPercentile(50),
    coldStartP99Ms: histogram.getValueAtPercentile(99),
    coldStartP999Ms: histogram.getValueAtPercentile(99.9),
    coldShare: Math.round(outcomes.filter(({ hadColdStart }) => hadColdStart).length / Math.max(1, outcomes.length) * 10_000) / 10_000,
    meanColdStartMs: Math.round(histogram.mean),
    refusals
  }
}
