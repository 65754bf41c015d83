import type { WorkloadRequest } from './workload_request.ts'

/** Outcome of one request of a workload. */
export interface RequestOutcome {
  readonly request: WorkloadRequest
  /** Whether the caller received the complete response. */
  readonly served: boolean
  /** Whether the first event and all others were in time. */
  readonly inTime: boolean
  /** Time to the first event, in ms; Infinity if there was none. */
  readonly timeToFirstEventMs: number
}

/** Totals over a whole replay. */
export interface WorkloadTotals {
  readonly orders: number
  readonly storeLoads: number
  /** Load orders that exceeded the memory of an engine. */
  readonly overcommitments: number
  /** Share of the allocated model memory whose models ran no request, averaged over time. */
  readonly idleMemoryShare: number
}

/** Summary of the requests of one route. */
export interface RouteSummary {
  readonly route: string
  readonly requests: number
  readonly inTime: number
  readonly late: number
  readonly unserved: number
  /** Share of the possible worth that was earned, from 0 to 1. */
  readonly worthShare: number
  /** Median and 99th percentile of the time to the first event, over served requests, in ms. */
  readonly timeToFirstEventP50Ms: number
  readonly timeToFirstEventP99Ms: number
}

/** Summary of a replayed workload. */
export interface WorkloadSummary extends WorkloadTotals {
  readonly worthShare: number
  readonly routes: readonly RouteSummary[]
  /** Share of the possible worth that was earned, by two-second window of arrival. */
  readonly windows: readonly number[]
}

/** Length of a window, in ms: about the time in which a shift of demand between models is detected and handled. */
const WINDOW_MS = 2000

/**
 * Summarizes a replayed workload.
 *
 * @param outcomes The outcome of each request.
 * @param totals The totals of the replay.
 * @returns The summary.
 *
 * @example
 * ```ts
 * console.log(summarizeWorkload([], { orders: 0, storeLoads: 0, overcommitments: 0, idleMemoryShare: 0 }).worthShare) // 0
 * ```
 */
export function summarizeWorkload (outcomes: readonly RequestOutcome[], totals: WorkloadTotals): WorkloadSummary {
  const names = [...new Set(outcomes.map(({ request }) => request.route))].sort()
  return {
    worthShare: _worthShare(outcomes),
    routes: names.map((route) => _routeSummary(route, outcomes.filter(({ request }) => request.route === route))),
    windows: _windows(outcomes),
    ...totals,
    idleMemoryShare: _rounded(totals.idleMemoryShare)
  }
}

function _routeSummary (route: string, outcomes: readonly RequestOutcome[]): RouteSummary {
  const served = outcomes.filter((outcome) => outcome.served)
  const inTime = served.filter((outcome) => outcome.inTime).length
  const waits = served.map(({ timeToFirstEventMs }) => timeToFirstEventMs).sort((a, b) => a - b)
  const at = (share: number): number => Math.round(waits[Math.floor((waits.length - 1) * share)] ?? 0)
  return {
    route,
    requests: outcomes.length,
    inTime,
    late: served.length - inTime,
    unserved: outcomes.length - served.length,
    worthShare: _worthShare(outcomes),
    timeToFirstEventP50Ms: at(0.5),
    timeToFirstEventP99Ms: at(0.99)
  }
}

function _windows (outcomes: readonly RequestOutcome[]): readonly number[] {
  const windows: RequestOutcome[][] = []
  for (const outcome of outcomes) {
    const index = Math.floor(outcome.request.atMs / WINDOW_MS)
    while (windows.length <= index) windows.push([])
    windows[index]?.push(outcome)
  }
  return windows.map(_worthShare)
}

function _worthShare (outcomes: readonly RequestOutcome[]): number {
  const total = outcomes.reduce((sum, { request }) => sum + request.worth, 0)
  const earned = outcomes.reduce((sum, { request, served, inTime }) => sum + (served ? inTime ? request.worth : request.lateWorth : 0), 0)
  return total === 0 ? 0 : _rounded(earned / total)
}

function _rounded (share: number): number {
  return Math.round(share * 10_000) / 10_000
}
