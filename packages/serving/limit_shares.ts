import type { RequestRate } from '@berylshed/scheduler'
import type { ServingState } from './serving_state.ts'
import type { LimitRecord, LimitShare } from './upstream_limit.ts'

/** Part of each limit that all instances get alike, so that one without recent requests may send its first ones. */
const EQUAL_PART = 0.25

/** Time for which the end of a limit is reported, in ms; it reaches all instances within a few heartbeats. */
const LIFTED_RETENTION_MS = 10_000

/** Request rates of one instance. */
export interface InstanceRates {
  readonly instance: string
  readonly rates: readonly RequestRate[]
}

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
 * Divides the limits of upstreams between the instances.
 *
 * Callers reach instances unevenly, so most of a limit is divided in proportion to the rates of requests for what the upstream
 * offers.
 *
 * @param state The lease holder's state of the requests.
 * @param instances The rates of all instances, the holder included.
 * @param options The instance whose shares are asked for, and the local time in ms.
 * @returns The limits with the shares of that instance.
 *
 * @example
 * ```ts
 * const shares = limitShares(state, reports, { instance: 'entry-2', nowMs: performance.now() })
 * ```
 */
export function limitShares (state: ServingState, instances: readonly InstanceRates[], options: { readonly instance: string, readonly nowMs: number }): readonly LimitShare[] {
  return limitRecords(state, options.nowMs).map((record) => {
    const rates = instances.map(({ instance, rates }) => ({ instance, perS: _rateFor(state, record[0], rates) }))
    const total = rates.reduce((sum, { perS }) => sum + perS, 0)
    const own = rates.find(({ instance }) => instance === options.instance)?.perS ?? 0
    const equal = 1 / Math.max(1, instances.length)
    const share = total === 0 ? equal : EQUAL_PART * equal + (1 - EQUAL_PART) * own / total
    return [...record, share] as const
  })
}

// Rate of an instance's requests that an upstream could serve.
function _rateFor (state: ServingState, upstream: string, rates: readonly RequestRate[]): number {
  const target = state.targets.get(upstream)
  return rates
    .filter(({ service, model }) => target?.service === service && (target.models === undefined || target.models.has(model)))
    .reduce((sum, { ratePerS }) => sum + ratePerS, 0)
}
