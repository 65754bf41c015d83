import { HashMap, Option } from 'effect'
import { adapterKey, demandKey, replicaKey, type AdapterUsage, type InstanceReport, type ReplicaLoad, type UnmetDemand, type RequestRate } from '@berylshed/scheduler'
import { reportedOutcomes } from './ejection_record.ts'
import { isIsolated } from './reach.ts'
import { currentAttempt, type Request } from './request.ts'
import type { DecayingRate, ServingState } from './serving_state.ts'

/** Time constant of the decay of rates, in ms; short because demand shifts between models within seconds. */
const RATE_TIME_CONSTANT_MS = 2000
/** Rate below which a model is reported as unused, in requests per second. */
const MIN_RATE_PER_S = 0.05
/** Time for which the last use of an adapter is reported, in ms; adapter slots are reassigned sooner if they are scarce. */
export const ADAPTER_USE_RETENTION_MS = 4000
/** Maximum number of due times per unmet demand; further ones would not change any decision. */
const MAX_DUE_TIMES = 16
const MS_PER_SECOND = 1000

/** Identity of the reporting instance. */
export interface Reporter {
  readonly instance: string
  readonly incarnation: string
}

/**
 * Builds the report of an instance to the lease holder.
 *
 * @param state The state of the requests.
 * @param reporter The instance.
 * @param options The local time in ms.
 * @returns The report.
 *
 * @example
 * ```ts
 * const report = instanceReport(state, { instance: 'entry-1', incarnation: 'x' }, { nowMs })
 * ```
 */
export function instanceReport (state: ServingState, reporter: Reporter, options: { readonly nowMs: number }): InstanceReport {
  const { nowMs } = options
  const outcomes = reportedOutcomes(state, nowMs)
  return {
    ...reporter,
    isolated: isIsolated(state, nowMs),
    unmetDemand: unmetDemand(state, nowMs),
    requestRates: _uses(state, nowMs),
    loads: _loads(state),
    adapters: _adapterUses(state, nowMs),
    ...outcomes.length === 0 ? {} : { outcomes }
  }
}

/**
 * Lists the models and adapters that requests wait for, because no upstream offers them or all that do are full.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns The unmet demand, one entry per service, model and adapter.
 *
 * @example
 * ```ts
 * console.log(unmetDemand(state, 0).length) // 0
 * ```
 */
export function unmetDemand (state: ServingState, nowMs: number): readonly UnmetDemand[] {
  const demand = new Map<string, UnmetDemand>()
  for (const queue of state.waiting.values()) {
    for (const id of queue) {
      const request = Option.getOrUndefined(HashMap.get(state.requests, id))
      if (request?.model === undefined) continue
      // No load helps a request that waits to learn which software version began its stream.
      if (request.resumedAttempt !== undefined && request.softwareVersion === undefined) continue
      const key = `${request.service} ${demandKey(request.model, request.adapter)}`
      demand.set(key, _addWaitingRequest(demand.get(key), request, nowMs))
    }
  }
  return [...demand.values()]
}

function _addWaitingRequest (previous: UnmetDemand | undefined, request: Request, nowMs: number): UnmetDemand {
  const dueInMs = request.arrivedAtMs + request.objectiveMs - nowMs
  const dueTimes = previous?.dueInMs ?? []
  return {
    service: request.service,
    model: request.model ?? '',
    adapter: request.adapter,
    waiting: (previous?.waiting ?? 0) + 1,
    dueInMs: dueTimes.length < MAX_DUE_TIMES ? [...dueTimes, dueInMs] : dueTimes
  }
}

/**
 * Adds an event to a decaying rate.
 *
 * @param rate The rate before the event, or undefined for the first one.
 * @param nowMs The local time in ms.
 * @returns The rate including the event.
 *
 * @example
 * ```ts
 * const rate = incrementRate(undefined, 0)
 * ```
 */
export function incrementRate (rate: DecayingRate | undefined, nowMs: number): DecayingRate {
  return { perS: _decayedPerS(rate, nowMs) + MS_PER_SECOND / RATE_TIME_CONSTANT_MS, atMs: nowMs }
}

/**
 * Reports whether a rate is high enough to be reported.
 *
 * @param rate The rate as of its last event.
 * @param nowMs The local time in ms.
 * @returns Whether the model counts as used.
 *
 * @example
 * ```ts
 * console.log(isRateReported({ perS: 0.5, atMs: 0 }, 60_000)) // false
 * ```
 */
export function isRateReported (rate: DecayingRate, nowMs: number): boolean {
  return _decayedPerS(rate, nowMs) >= MIN_RATE_PER_S
}

function _decayedPerS (rate: DecayingRate | undefined, nowMs: number): number {
  return rate === undefined ? 0 : rate.perS * Math.exp(-(nowMs - rate.atMs) / RATE_TIME_CONSTANT_MS)
}

function _uses (state: ServingState, nowMs: number): readonly RequestRate[] {
  const uses: RequestRate[] = []
  for (const [key, rate] of state.requestRates) {
    const ratePerS = _decayedPerS(rate, nowMs)
    const [service = '', model = ''] = key.split(' ')
    if (ratePerS >= MIN_RATE_PER_S) uses.push({ service, model, ratePerS })
  }
  return uses
}

function _loads (state: ServingState): readonly ReplicaLoad[] {
  const loads = new Map<string, ReplicaLoad>()
  for (const request of HashMap.values(state.requests)) {
    const attempt = currentAttempt(request)
    if (attempt === undefined || attempt.relay !== undefined) continue
    const model = request.model ?? ''
    const key = replicaKey(attempt.upstream, model)
    loads.set(key, { upstream: attempt.upstream, model, running: (loads.get(key)?.running ?? 0) + 1 })
  }
  return [...loads.values()]
}

function _adapterUses (state: ServingState, nowMs: number): readonly AdapterUsage[] {
  const running = new Map<string, number>()
  for (const request of HashMap.values(state.requests)) {
    const attempt = currentAttempt(request)
    if (attempt === undefined || attempt.relay !== undefined || request.model === undefined || request.adapter === undefined) continue
    const key = adapterKey(attempt.upstream, request.model, { adapter: request.adapter })
    running.set(key, (running.get(key) ?? 0) + 1)
  }
  const uses: AdapterUsage[] = []
  for (const [key, atMs] of state.adapterUsedAtMs) {
    const [upstream = '', model = '', adapter = ''] = key.split(' ')
    if (nowMs - atMs < ADAPTER_USE_RETENTION_MS) uses.push({ upstream, model, adapter, running: running.get(key) ?? 0, idleMs: nowMs - atMs })
  }
  return uses
}
