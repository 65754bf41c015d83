import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RecordedRequest } from './recorded_request.ts'

/** Requests of one route in a drawn day. */
export interface RoutePattern extends Omit<RecordedRequest, 'id' | 'atMs' | 'model' | 'adapter' | 'promptTokens' | 'answerTokens'> {
  readonly ratePerS: number
  readonly promptTokensMean: number
  readonly answerTokensMean: number
  /** Spread of the lengths: the standard deviation of their logarithm. */
  readonly spread: number
  /** Share of the requests that ask for an adapter. */
  readonly adapterShare: number
  /** Whether the requests go to the busy models; otherwise evenly to the rare ones. */
  readonly busy: boolean
}

/** A time in which a route gets more requests. */
export interface Burst {
  readonly route: string
  readonly atMs: number
  readonly forMs: number
  readonly factor: number
}

/** A day as it is drawn: busy models that change, and rare ones. */
export interface DayPattern {
  readonly durationMs: number
  readonly routes: readonly RoutePattern[]
  /** Models of which a few are busy at a time, each with the names of its adapters. */
  readonly busyModels: ReadonlyArray<{ readonly model: string, readonly adapters: readonly string[] }>
  /** Shares of the busy models' requests that the first, second and further busy model get. */
  readonly busyShares: readonly number[]
  readonly rareModels: readonly string[]
  /** Times at which the demand moves on by one of the busy models, in ms, and how long that takes, in ms. */
  readonly shifts: ReadonlyArray<{ readonly atMs: number, readonly forMs: number }>
  readonly bursts: readonly Burst[]
}

const MS_PER_SECOND = 1000
const MAX_TOKENS_FACTOR = 3.4

/**
 * Draws the requests of a day.
 *
 * @param pattern What the day is like.
 * @param seed The seed.
 * @returns The requests in the order of arrival.
 *
 * @example
 * ```ts
 * const requests = drawDay(pattern, 7)
 * ```
 */
export function drawDay (pattern: DayPattern, seed: number): readonly RecordedRequest[] {
  const generator = xoroshiro128plus(seed)
  const unit = (): number => uniformFloat64(generator)
  const normal = (): number => Math.sqrt(-2 * Math.log(1 - unit())) * Math.cos(2 * Math.PI * unit())
  const tokens = (mean: number, spread: number): number => {
    return Math.max(6, Math.round(Math.min(mean * MAX_TOKENS_FACTOR, mean * Math.exp(spread * normal() - spread * spread / 2))))
  }
  const pick = <T>(items: readonly T[]): T | undefined => items[Math.floor(unit() * items.length)]

  function busyModel (atMs: number): { readonly model: string, readonly adapters: readonly string[] } | undefined {
    const moved = pattern.shifts.filter((shift) => unit() < (atMs - shift.atMs) / Math.max(1, shift.forMs)).length
    let left = unit()
    for (const [rank, share] of pattern.busyShares.entries()) {
      left -= share
      if (left < 0) return pattern.busyModels[(rank + moved) % pattern.busyModels.length]
    }
    return pattern.busyModels[moved % pattern.busyModels.length]
  }

  function request (route: RoutePattern, atMs: number): RecordedRequest {
    const { ratePerS: _rate, promptTokensMean, answerTokensMean, spread, adapterShare, busy, ...facts } = route
    const chosen = busy ? busyModel(atMs) : undefined
    const adapter = chosen !== undefined && unit() < adapterShare ? pick(chosen.adapters) : undefined
    const model = busy ? chosen?.model : pick(pattern.rareModels)
    return {
      ...facts, id: '', atMs, model: model ?? '', adapter, promptTokens: tokens(promptTokensMean, spread), answerTokens: tokens(answerTokensMean, spread)
    }
  }

  const requests: RecordedRequest[] = []
  for (const route of pattern.routes) {
    const bursts = pattern.bursts.filter((burst) => burst.route === route.route)
    const most = route.ratePerS * Math.max(1, ...bursts.map(({ factor }) => factor))
    // Thinning of a Poisson process: Lewis and Shedler, 1979.
    for (let atMs = 0; ;) {
      atMs -= Math.log(1 - unit()) / most * MS_PER_SECOND
      if (atMs >= pattern.durationMs) break
      const burst = bursts.find((candidate) => atMs >= candidate.atMs && atMs < candidate.atMs + candidate.forMs)
      if (unit() < route.ratePerS * (burst?.factor ?? 1) / most) requests.push(request(route, Math.round(atMs)))
    }
  }
  return requests.sort((a, b) => a.atMs - b.atMs).map((drawn, i) => ({ ...drawn, id: `r${i}` }))
}
