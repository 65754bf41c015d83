import { nameSeed, rendezvousHash } from '@berylshed/prompt_cache'
import { HashMap, Option } from 'effect'
import { reportAgeMs } from './_report_age.ts'
import { targetSeed } from './_target_seed.ts'
import type { DelayEstimate } from './expected_delay.ts'
import type { Request } from './request.ts'
import type { ServingState } from './serving_state.ts'

/** Difference of the delay that counts as none, as that of a number of running requests; reports of other instances are inexact by as much. */
const NEAR_REQUESTS = 2
/** Largest difference that counts as none, as a share of an upstream's slots. */
const MAX_NEAR_SHARE = 0.5
/** Difference between times saved by kept parts that counts as none, in ms. */
const NEAR_SAVED_MS = 1
const MS_PER_SECOND = 1000

/** Options of {@linkcode pickTarget}. */
export interface PickOptions {
  readonly request: Request
  readonly nowMs: number
  /** Whether other instances send to the upstream with the lowest delay as well. */
  readonly isShared: (estimate: DelayEstimate) => boolean
}

/**
 * Picks one of the upstreams for which delays were estimated.
 *
 * The load addressed is that of tens to hundreds of instances that see each other's requests 0.2 to 0.4 s late and would all send to the
 * upstream with the lowest delay. Among upstreams that differ by no more than what the reports cannot show, each request is sent to
 * one by weighted rendezvous hashing of its id, in proportion to free slots. An instance that alone sends to an upstream has no such doubt.
 */
export function pickTarget (state: ServingState, estimates: readonly DelayEstimate[], options: PickOptions): DelayEstimate | undefined {
  const best = estimates.reduce<DelayEstimate | undefined>((lowest, estimate) => lowest === undefined || _isBefore(estimate, lowest) ? estimate : lowest, undefined)
  if (best === undefined || state.instances < 2 || estimates.length === 1 || !options.isShared(best)) return best
  const nearMs = _nearRequests(state, { best, options, count: estimates.length }) * best.perRequestMs
  const near = estimates.filter((estimate) => _netMs(estimate) <= _netMs(best) + nearMs && options.isShared(estimate))
  const savedMs = near.reduce((most, estimate) => Math.max(most, estimate.savedMs), 0)
  const seed = nameSeed(options.request.id)
  let picked = best
  let highest = -Infinity
  for (const estimate of near) {
    if (estimate.savedMs < savedMs - NEAR_SAVED_MS) continue
    // The weight of the worst of them is half of that of the best one with as many free slots.
    const weight = Math.max(1, estimate.freeSlots) * (1 - (_netMs(estimate) - _netMs(best)) / Math.max(1, 2 * nearMs))
    const rank = -weight / Math.log(rendezvousHash(seed, targetSeed(estimate.target)))
    if (rank <= highest) continue
    highest = rank
    picked = estimate
  }
  return picked
}

function _netMs (estimate: DelayEstimate): number {
  return estimate.delayMs - estimate.savedMs
}

function _isBefore (a: DelayEstimate, b: DelayEstimate): boolean {
  return _netMs(a) - _netMs(b) < 0 || (_netMs(a) === _netMs(b) && a.target.upstream < b.target.upstream)
}

interface _NearQuery {
  readonly best: DelayEstimate
  readonly options: PickOptions
  readonly count: number
}

// Returns the requests by which reports are probably wrong: what other instances have sent each upstream since, if they receive as much as this one.
function _nearRequests (state: ServingState, { best, options: { request, nowMs }, count }: _NearQuery): number {
  const rate = Option.getOrUndefined(HashMap.get(state.requestRates, `${request.service} ${request.model ?? ''}`))
  const arrivals = rate === undefined ? 0 : (state.instances - 1) * rate.perS * reportAgeMs(state, nowMs) / MS_PER_SECOND / count
  return Math.min(Math.max(NEAR_REQUESTS, MAX_NEAR_SHARE * best.target.slots), NEAR_REQUESTS + arrivals)
}
