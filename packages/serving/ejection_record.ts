import { countOutcomes } from '@berylshed/outliers'
import type { UpstreamOutcomes } from '@berylshed/scheduler'
import { targetLoad, type ServingState } from './serving_state.ts'

/** Maximum number of upstreams in a report: more than fail at a time other than by a fault of the instance itself. */
const MAX_REPORTED = 32

/** An ejected upstream as the lease holder names it, with the time left in ms and the counts on which the ejection rests. */
export type EjectionRecord = readonly [upstream: string, incarnation: number, remainingMs: number, times: number, failed: number, answered: number]

/**
 * Lists the upstreams that failed attempts of this instance lately, those with the most failures first.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns The outcomes as sent to the lease holder.
 *
 * @example
 * ```ts
 * const outcomes = reportedOutcomes(state, performance.now())
 * ```
 */
export function reportedOutcomes (state: ServingState, nowMs: number): readonly UpstreamOutcomes[] {
  const failing = [...state.targets.values()].flatMap(({ upstream, incarnation }): UpstreamOutcomes[] => {
    const counts = countOutcomes(targetLoad(state, upstream).outcomes, nowMs)
    if (counts === undefined) return []
    const { answered, failed, firstFailedAtMs, lastFailedSentAtMs } = counts
    return [{ upstream, incarnation, answered, failed, firstFailedAgoMs: nowMs - firstFailedAtMs, lastFailedSentAgoMs: nowMs - lastFailedSentAtMs }]
  })
  return failing.sort((a, b) => b.failed - a.failed).slice(0, MAX_REPORTED)
}

/**
 * Lists the upstreams that this instance, the lease holder, has ejected.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns The ejections as sent to other instances.
 *
 * @example
 * ```ts
 * const records = ejectionRecords(state, performance.now())
 * ```
 */
export function ejectionRecords (state: ServingState, nowMs: number): readonly EjectionRecord[] {
  return [...state.ejections].flatMap(([upstream, { incarnation, untilMs, times, failed, answered, readmittedAtMs }]): EjectionRecord[] => {
    return readmittedAtMs !== undefined || untilMs <= nowMs ? [] : [[upstream, incarnation, Math.round(untilMs - nowMs), times, failed, answered]]
  })
}
