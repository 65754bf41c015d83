/** Requests of one instance that wait for a model or an adapter. */
export interface UnmetDemand {
  readonly service: string
  readonly model: string
  /** The adapter that the requests use, or undefined if they use only the model. */
  readonly adapter: string | undefined
  /** Number of waiting requests. */
  readonly waiting: number
  /** Time until the first of them miss their latency objective, in ms; negative if already missed. */
  readonly dueInMs: readonly number[]
}

/** Rate at which one instance receives requests for a model. */
export interface RequestRate {
  readonly service: string
  readonly model: string
  /** Requests per second, averaged over the last seconds. */
  readonly ratePerS: number
}

/** Running requests of one instance for a model on an upstream. */
export interface ReplicaLoad {
  readonly upstream: string
  readonly model: string
  readonly running: number
}

/** Use of an adapter on an upstream by one instance. */
export interface AdapterUsage {
  readonly upstream: string
  readonly model: string
  readonly adapter: string
  readonly running: number
  /** Time since the last use, in ms. */
  readonly idleMs: number
}

/** Latest outcomes of attempts at an upstream that failed some of them. */
export interface UpstreamOutcomes {
  readonly upstream: string
  readonly incarnation: number
  readonly answered: number
  readonly failed: number
  /** Time since the first counted failure, in ms. */
  readonly firstFailedAgoMs: number
  /** Time since the last attempt that failed was sent, in ms. */
  readonly lastFailedSentAgoMs: number
}

/** Demand and load that an instance reports to the lease holder. */
export interface InstanceReport {
  /** Host and port at which the instance takes over requests of others; absent if it is draining or runs an earlier release. */
  readonly relayAddress?: string
  /** Whether the instance can be the only one that sends to an upstream; absent if an earlier release reports. */
  readonly ownsUpstreams?: boolean
  /** Whether the instance reaches none of several upstreams; absent if an earlier release reports. */
  readonly isolated?: boolean
  readonly instance: string
  readonly incarnation: string
  readonly unmetDemand: readonly UnmetDemand[]
  readonly requestRates: readonly RequestRate[]
  readonly loads: readonly ReplicaLoad[]
  readonly adapters: readonly AdapterUsage[]
  /** Upstreams that failed lately; absent if there are none or an earlier release reports. */
  readonly outcomes?: readonly UpstreamOutcomes[]
}

/** A report with the local time at which it arrived, in ms. */
export interface ReceivedReport {
  readonly report: InstanceReport
  readonly receivedAtMs: number
}

/** Demand of all instances for one model. */
export interface ModelDemand {
  readonly model: string
  /** Number of waiting requests. */
  readonly waiting: number
  /** Time until the first waiting requests miss their latency objective, in ms; negative if already missed. */
  readonly dueInMs: readonly number[]
  /** Requests per second, averaged over the last seconds. */
  readonly ratePerS: number
  /** Number of running requests. */
  readonly running: number
  /** Number of waiting requests by the adapter that they use. */
  readonly adapters: ReadonlyMap<string, number>
}

/** Demand of all instances for the models of one service. */
export interface ServiceDemand {
  readonly models: ReadonlyMap<string, ModelDemand>
  /** Number of running requests, by {@linkcode replicaKey}. */
  readonly running: ReadonlyMap<string, number>
  /** Use of adapters, by {@linkcode adapterKey}. */
  readonly adapterUsage: ReadonlyMap<string, AdapterUsage>
}

/** Age beyond which a report is ignored, in ms; several heartbeat intervals. */
export const REPORT_TTL_MS = 1500

/**
 * Returns the key of a model on an upstream.
 *
 * @param upstream The upstream's id.
 * @param model The model's name.
 * @returns The key.
 *
 * @example
 * ```ts
 * console.log(replicaKey('u1', 'm')) // 'u1 m'
 * ```
 */
export function replicaKey (upstream: string, model: string): string {
  return `${upstream} ${model}`
}

/**
 * Returns the key of an adapter on an upstream.
 *
 * @param upstream The upstream's id.
 * @param model The model's name.
 * @param options The adapter's name.
 * @returns The key.
 *
 * @example
 * ```ts
 * console.log(adapterKey('u1', 'm', { adapter: 'a1' })) // 'u1 m a1'
 * ```
 */
export function adapterKey (upstream: string, model: string, options: { readonly adapter: string }): string {
  return `${upstream} ${model} ${options.adapter}`
}

/**
 * Returns the key of a model, or of an adapter of a model.
 *
 * @param model The model.
 * @param adapter The adapter, or undefined for the model itself.
 * @returns The key.
 *
 * @example
 * ```ts
 * console.log(demandKey('m', 'a1')) // 'm/a1'
 * ```
 */
export function demandKey (model: string, adapter: string | undefined): string {
  return adapter === undefined ? model : `${model}/${adapter}`
}

/**
 * Sums up the demand of all instances for one service.
 *
 * @param reports The newest report of each instance.
 * @param service The name of the service.
 * @param options The local time in ms; reports older than {@linkcode REPORT_TTL_MS} are ignored.
 * @returns The total demand.
 *
 * @example
 * ```ts
 * const demand = sumDemand([...state.reports.values()], 'drafting', { nowMs })
 * ```
 */
export function sumDemand (
  reports: readonly ReceivedReport[],
  service: string,
  options: { readonly nowMs: number }
): ServiceDemand {
  const models = new Map<string, ModelDemand>()
  const running = new Map<string, number>()
  const adapterUsage = new Map<string, AdapterUsage>()
  const update = (model: string, next: (total: ModelDemand) => ModelDemand): void => {
    models.set(model, next(models.get(model) ?? noDemand(model)))
  }
  for (const { report, receivedAtMs } of reports) {
    const ageMs = options.nowMs - receivedAtMs
    if (ageMs > REPORT_TTL_MS) continue
    for (const unmet of report.unmetDemand) {
      if (unmet.service === service) update(unmet.model, (total) => _addUnmetDemand(total, unmet, ageMs))
    }
    for (const rate of report.requestRates) {
      if (rate.service === service) update(rate.model, (total) => ({ ...total, ratePerS: total.ratePerS + rate.ratePerS }))
    }
    for (const load of report.loads) {
      const key = replicaKey(load.upstream, load.model)
      running.set(key, (running.get(key) ?? 0) + load.running)
      update(load.model, (total) => ({ ...total, running: total.running + load.running }))
    }
    for (const usage of report.adapters) {
      const key = adapterKey(usage.upstream, usage.model, usage)
      const known = adapterUsage.get(key)
      adapterUsage.set(key, known === undefined ? usage : { ...usage, running: known.running + usage.running, idleMs: Math.min(known.idleMs, usage.idleMs) })
    }
  }
  return { models, running, adapterUsage }
}

/**
 * Returns the demand for a model without requests.
 *
 * @param model The model's name.
 * @returns The demand.
 *
 * @example
 * ```ts
 * console.log(noDemand('m').waiting) // 0
 * ```
 */
export function noDemand (model: string): ModelDemand {
  return { model, waiting: 0, dueInMs: [], ratePerS: 0, running: 0, adapters: new Map() }
}

function _addUnmetDemand (total: ModelDemand, unmet: UnmetDemand, ageMs: number): ModelDemand {
  const adapters = new Map(total.adapters)
  if (unmet.adapter !== undefined) adapters.set(unmet.adapter, (adapters.get(unmet.adapter) ?? 0) + unmet.waiting)
  return {
    ...total,
    waiting: total.waiting + unmet.waiting,
    dueInMs: [...total.dueInMs, ...unmet.dueInMs.map((dueMs) => dueMs - ageMs)],
    adapters
  }
}
