import type { Instant } from './scheduler_event.ts'

/** Returns the longer of the times elapsed by both clocks, in ms, as only the wall clock advances during a suspension. */
export function elapsedMs (from: Instant, to: Instant): number {
  return Math.max(to.nowMs - from.nowMs, to.clockMs - from.clockMs)
}
