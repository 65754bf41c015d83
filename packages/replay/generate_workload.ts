import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { WorkloadRequest } from './workload_request.ts'

/** Traffic pattern of one route. */
export interface RoutePattern extends Omit<WorkloadRequest, 'id' | 'atMs' | 'model' | 'adapter' | 'promptTokens' | 'answerTokens'> {
  readonly ratePerS: number
  readonly promptTokensMean: number
  readonly answerTokensMean: number
  /** Standard deviation of the logarithm of the lengths. */
  readonly tokensLogStdDev: number
  /** Share of the requests to popular models that name an adapter. */
  readonly adapterShare: number
  /** Whether the requests go to the popular models; otherwise they are spread evenly over the rare ones. */
  readonly popular: boolean
}

/** A period in which a route receives more requests. */
export interface Burst {
  readonly route: string
  readonly atMs: number
  readonly durationMs: number
  readonly factor: number
}

/** Traffic pattern of a workload: popular models that change over time, and rare ones. */
export interface WorkloadPattern {
  readonly durationMs: number
  readonly routes: readonly RoutePattern[]
  /** Models that take turns in being popular, each with the names of its adapters. */
  readonly popularModels: ReadonlyArray<{ readonly model: string, readonly adapters: readonly string[] }>
  /** Shares of the popular models' requests, by rank of popularity; one share per model in demand at a time. */
  readonly popularShares: readonly number[]
  readonly rareModels: readonly string[]
  /** Gradual shifts of the demand by one position in the list of popular models, with start and duration in ms. */
  readonly shifts: ReadonlyArray<{ readonly atMs: number, readonly durationMs: number }>
  readonly bursts: readonly Burst[]
}

const MS_PER_SECOND = 1000
/** Largest length of a prompt or response, relative to the mean. */
const MAX_TOKENS_FACTOR = 3.4

/**
 * Generates a workload from a traffic pattern.
 *
 * @param pattern The traffic pattern.
 * @param seed The seed.
 * @returns The requests in order of arrival; equal for equal input.
 *
 * @example
 * ```ts
 * const requests = generateWorkload(pattern, 7)
 * ```
 */
export function generateWorkload (pattern: WorkloadPattern, seed: number): readonly WorkloadRequest[] {
  const generator = xoroshiro128plus(seed)
  const unit = (): number => uniformFloat64(generator)
  const normal = (): number => Math.sqrt(-2 * Math.log(1 - unit())) * Math.cos(2 * Math.PI * unit())
  const tokens = (mean: number, spread: number): number => {
    return Math.max(6, Math.round(Math.min(mean * MAX_TOKENS_FACTOR, mean * Math.exp(spread * normal() - spread * spread / 2))))
  }
  const pick = <T>(items: readonly T[]): T | undefined => items[Math.floor(unit() * items.length)]

  function pickPopularModel (atMs: number): { readonly model: string, readonly adapters: readonly string[] } | undefined {
    const shifted = pattern.shifts.filter((shift) => unit() < (atMs - shift.atMs) / Math.max(1, shift.durationMs)).length
    let left = unit()
    for (const [rank, share] of pattern.popularShares.entries()) {
      left -= share
      if (left < 0) return pattern.popularModels[(rank + shifted) % pattern.popularModels.length]
    }
    return pattern.popularModels[shifted % pattern.popularModels.length]
  }

  function request (route: RoutePattern, atMs: number): WorkloadRequest {
    const { ratePerS: _rate, promptTokensMean, answerTokensMean, tokensLogStdDev: spread, adapterShare, popular, ...facts } = route
    const popularModel = popular ? pickPopularModel(atMs) : undefined
    const adapter = popularModel !== undefined && unit() < adapterShare ? pick(popularModel.adapters) : undefined
    const model = popular ? popularModel?.model : pick(pattern.rareModels)
    return {
      ...facts, id: '', atMs, model: model ?? '', adapter, promptTokens: tokens(promptTokensMean, spread), answerTokens: tokens(answerTokensMean, spread)
    }
  }

  const requests: WorkloadRequest[] = []
  for (const route of pattern.routes) {
    const bursts = pattern.bursts.filter((burst) => burst.route === route.route)
    const peakRate = route.ratePerS * Math.max(1, ...bursts.map(({ factor }) => factor))
    // Thinning of a Poisson process: Lewis and Shedler, 1979.
    for (let atMs = 0; ;) {
      atMs -= Math.log(1 - unit()) / peakRate * MS_PER_SECOND
      if (atMs >= pattern.durationMs) break
      const burst = bursts.find((candidate) => atMs >= candidate.atMs && atMs < candidate.atMs + candidate.durationMs)
      if (unit() < route.ratePerS * (burst?.factor ?? 1) / peakRate) requests.push(request(route, Math.round(atMs)))
    }
  }
  return requests.sort((a, b) => a.atMs - b.atMs).map((drawn, i) => ({ ...drawn, id: `r${i}` }))
}
