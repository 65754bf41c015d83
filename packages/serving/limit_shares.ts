import type { RequestRate } from '@berylshed/scheduler'
import type { ServingState } from './serving_state.ts'
import { limitOwner } from './upstream_owner.ts'
import type { LimitRecord, LimitShare } from './upstream_limit.ts'

/** Part of each limit that all instances get alike, so that one without recent requests may send its first ones. */
const EQUAL_PART = 0.25

/** Time for which the end of a limit is reported, in ms; it reaches all instances within a few heartbeats. */
const LIFTED_RETENTION_MS = 10_000

/**
 * Returns the limits that an instance knows of.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns The limits as sent to another instance, recently lifted ones included.
 *
 * @example
 * ```ts
 * const records = limitRecords(state, performance.now())
 * ```
 */
export function limitRecords (state: ServingState, nowMs: number): readonly LimitRecord[] {
  const reported = [...state.limits].filter(([, { perS, statedAtMs }]) => perS !== Infinity || nowMs - statedAtMs < LIFTED_RETENTION_MS)
  return reported.map(([upstream, { incarnation, perS, statedAtMs }]) => {
    return [upstream, incarnation, perS === Infinity ? null : perS, Math.round(nowMs - statedAtMs)] as const
  })
}

/**
 * Sums up the rates of all instances by limited upstream.
 *
 * @param state The lease holder's state of the requests.
 * @param rates The request rates of all instances, the holder included.
 * @returns The requests per second that each upstream with a limit could serve.
 *
 * @example
 * ```ts
 * const totals = limitedRates(state, reports.flatMap(({ requestRates }) => requestRates))
 * ```
 */
export function limitedRates (state: ServingState, rates: readonly RequestRate[]): ReadonlyMap<string, number> {
  return new Map([...state.limits.keys()].map((upstream) => [upstream, _rateFor(state, upstream, rates)]))
}

/** Inputs of an instance's shares. */
export interface ShareOptions {
  /** Rates of all instances, from {@linkcode limitedRates}. */
  readonly totals: ReadonlyMap<string, number>
  /** Number of instances that share the limits. */
  readonly instances: number
  /** Name of the instance. */
  readonly instance: string
  readonly nowMs: number
}

/**
 * Returns an instance's shares of the limits of upstreams.
 *
 * A limit below the number of instances belongs to one of them. Callers reach instances unevenly, so most of a limit is divided in proportion to the rates of requests for what the upstream
 * offers.
 *
 * @param state The lease holder's state of the requests.
 * @param rates The request rates of the instance.
 * @param options The rates of all instances, their number and the local time in ms.
 * @returns The limits with the shares of that instance.
 *
 * @example
 * ```ts
 * const shares = limitShares(state, report.requestRates, { totals, instances: 4, nowMs: performance.now() })
 * ```
 */
export function limitShares (state: ServingState, rates: readonly RequestRate[], options: ShareOptions): ReadonlyArray<LimitRecord | LimitShare> {
  const equal = 1 / Math.max(1, options.instances)
  return limitRecords(state, options.nowMs).map((record) => {
    const owner = limitOwner(state, record[0])
    // Instances of earlier releases are no members and keep to equal shares.
    if (owner !== undefined) return owner.instance === options.instance ? [...record, Math.min(1, state.members.relays.length * equal)] as const : record
    const total = options.totals.get(record[0]) ?? 0
    if (total === 0) return [...record, equal] as const
    const own = Math.min(total, _rateFor(state, record[0], rates))
    return [...record, EQUAL_PART * equal + (1 - EQUAL_PART) * own / total] as const
  })
}

// Rate of the requests that an upstream could serve, per second.
function _rateFor (state: ServingState, upstream: string, rates: readonly RequestRate[]): number {
  const target = state.targets.get(upstream)
  return rates
    .filter(({ service, model }) => target?.service === service && (target.models === undefined || target.models.has(model)))
    .reduce((sum, { ratePerS }) => sum + ratePerS, 0)
}
