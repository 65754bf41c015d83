import type { RecordedRequest } from './recorded_request.ts'

/** What became of one request. */
export interface DayOutcome {
  readonly request: RecordedRequest
  /** Whether the caller got the whole answer. */
  readonly served: boolean
  /** Whether its first event and all others came in time. */
  readonly inTime: boolean
  /** Time to the first event, in ms; Infinity where none came. */
  readonly waitedMs: number
}

/** Sums over a whole day. */
export interface DayTotals {
  readonly orders: number
  readonly storeLoads: number
  /** Orders that overcommitted the memory of an engine. */
  readonly overcommitments: number
  /** Share of the held memory whose models ran nothing, averaged over time. */
  readonly idleMemoryShare: number
}

/** The figures of one route. */
export interface RouteFigures {
  readonly route: string
  readonly requests: number
  readonly inTime: number
  readonly late: number
  readonly unserved: number
  /** Share of the worth that was earned. */
  readonly worthShare: number
  readonly waitP50Ms: number
  readonly waitP99Ms: number
}

/** The figures of a replayed day. */
export interface DayFigures extends DayTotals {
  readonly worthShare: number
  readonly routes: readonly RouteFigures[]
  /** Share of the worth that was earned of the requests of each two seconds. */
  readonly windows: readonly number[]
}

/** Length of a window, in ms: as long as a model shift takes to be noticed and answered. */
const WINDOW_MS = 2000

/**
 * Summarises a replayed day.
 *
 * @param outcomes What became of each request.
 * @param totals The sums.
 * @returns The figures.
 *
 * @example
 * ```ts
 * console.log(summarizeDay([], { orders: 0, storeLoads: 0, overcommitments: 0, idleMemoryShare: 0 }).worthShare) // 0
 * ```
 */
export function summarizeDay (outcomes: readonly DayOutcome[], totals: DayTotals): DayFigures {
  const names = [...new Set(outcomes.map(({ request }) => request.route))].sort()
  return {
    worthShare: _worthShare(outcomes),
    routes: names.map((route) => _routeFigures(route, outcomes.filter(({ request }) => request.route === route))),
    windows: _windows(outcomes),
    ...totals,
    idleMemoryShare: _rounded(totals.idleMemoryShare)
  }
}

function _routeFigures (route: string, outcomes: readonly DayOutcome[]): RouteFigures {
  const served = outcomes.filter((outcome) => outcome.served)
  const inTime = served.filter((outcome) => outcome.inTime).length
  const waits = served.map(({ waitedMs }) => waitedMs).sort((a, b) => a - b)
  const at = (share: number): number => Math.round(waits[Math.floor((waits.length - 1) * share)] ?? 0)
  return {
    route,
    requests: outcomes.length,
    inTime,
    late: served.length - inTime,
    unserved: outcomes.length - served.length,
    worthShare: _worthShare(outcomes),
    waitP50Ms: at(0.5),
    waitP99Ms: at(0.99)
  }
}

function _windows (outcomes: readonly DayOutcome[]): readonly number[] {
  const windows: DayOutcome[][] = []
  for (const outcome of outcomes) {
    const index = Math.floor(outcome.request.atMs / WINDOW_MS)
    while (windows.length <= index) windows.push([])
    windows[index]?.push(outcome)
  }
  return windows.map(_worthShare)
}

function _worthShare (outcomes: readonly DayOutcome[]): number {
  const owed = outcomes.reduce((sum, { request }) => sum + request.worth, 0)
  const earned = outcomes.reduce((sum, { request, served, inTime }) => sum + (served ? inTime ? request.worth : request.lateWorth : 0), 0)
  return owed === 0 ? 0 : _rounded(earned / owed)
}

function _rounded (share: number): number {
  return Math.round(share * 10_000) / 10_000
}
