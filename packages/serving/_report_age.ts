import type { ServingState } from './serving_state.ts'

/** Age of other instances' reports when they arrive, in ms: a heartbeat interval. */
const REPORT_AGE_MS = 200
/** Greatest age of reports that is assumed, in ms; the rate of arrivals says little beyond. */
const MAX_REPORT_AGE_MS = 500

/** Returns how long ago other instances had the requests that they last reported, in ms. */
export function reportAgeMs (state: ServingState, nowMs: number): number {
  return Math.min(MAX_REPORT_AGE_MS, REPORT_AGE_MS + nowMs - state.peerLoadsAtMs)
}
