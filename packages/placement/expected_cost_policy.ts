import { acceleratorShare } from './accelerator_share.ts'
import { blendIdleHistograms, bucketBound, type IdleHistogram } from './idle_histogram.ts'
import { Policy, type PlanningInput } from './policy.ts'

/** Minimum number of observations over all models for the use of histograms. */
const MIN_OBSERVATIONS = 20
/** Number of observations for which the histogram of all models counts when blended with a model's own. */
const PRIOR_OBSERVATIONS = 10
/** Maximum keep-alive time of an idle model, in ms. */
const MAX_KEEP_MS = 12 * 3_600_000
const MS_PER_SECOND = 1000
/** Lower bound of a model's accelerator share in the cost of a cold start. */
const MIN_SHARE = 0.01

/** Options of an expected cost policy. */
export interface ExpectedCostOptions {
  /** Factor by which the cold start weights of models and customers are multiplied; 1 by default. */
  readonly coldStartFactor?: number
}

/**
 * Keeps each idle model for the time with the lowest expected cost, given its history of idle periods.
 *
 * The expected cost of a keep-alive time T is the idle accelerator time up to T plus the weighted cold start time for
 * the idle periods longer than T. With too few observations, the break-even time of the ski-rental problem is used
 * instead (Karlin et al., Competitive snoopy caching, Algorithmica 1988). The histogram of idle times follows Shahrad
 * et al., Serverless in the Wild, USENIX ATC 2020. Eviction ranks models by frequency, cost and size (Cao and Irani,
 * Cost-aware WWW proxy caching algorithms, USITS 1997).
 */
export class ExpectedCostPolicy extends Policy {
  readonly name = 'expected-cost'
  readonly #factor: number

  /**
   * @param options The policy's options.
   */
  constructor (options: ExpectedCostOptions = {}) {
    super()
    this.#factor = options.coldStartFactor ?? 1
  }

  override keepAliveMs (model: string, input: PlanningInput): number {
    const missCostMs = this.#missCostMs(model, input)
    if (input.globalIdlePeriods.total < MIN_OBSERVATIONS) return Math.min(MAX_KEEP_MS, missCostMs)
    const histogram = blendIdleHistograms(input.usage(model).idlePeriods, input.globalIdlePeriods, { observations: PRIOR_OBSERVATIONS })
    return _cheapestKeepMs(histogram, missCostMs)
  }

  override retentionValue (model: string, input: PlanningInput): number {
    const entry = input.catalog.models.get(model)
    const usage = input.usage(model)
    const idleMs = Math.max(MS_PER_SECOND, input.nowMs - usage.lastUsedMs)
    const frequency = (1 + usage.idlePeriods.total) / idleMs
    return frequency * this.#missCostMs(model, input) / Math.max(1, entry?.memoryMb ?? 1)
  }

  // Cost of a cold start, as the time for which the model's accelerator share could stay idle at the same cost.
  #missCostMs (model: string, input: PlanningInput): number {
    const entry = input.catalog.models.get(model)
    if (entry === undefined) return 0
    const weight = input.demands.get(model)?.coldStartWeight ?? entry.coldStartWeight
    const share = Math.max(MIN_SHARE, acceleratorShare(input.catalog, model))
    return this.#factor * weight * entry.loadMs / share
  }
}

function _cheapestKeepMs (histogram: IdleHistogram, missCostMs: number): number {
  let longerWeight = histogram.total
  let idleMs = 0
  let best = { keepMs: 0, cost: longerWeight * missCostMs }
  histogram.weights.forEach((weight, bucket) => {
    const upperBoundMs = bucketBound(bucket)
    const lowerBoundMs = bucket === 0 ? upperBoundMs : bucketBound(bucket - 1)
    longerWeight -= weight
    idleMs += weight * (lowerBoundMs + upperBoundMs) / 2
    const cost = idleMs + longerWeight * (upperBoundMs + missCostMs)
    if (cost < best.cost) best = { keepMs: upperBoundMs, cost }
  })
  return Math.min(MAX_KEEP_MS, best.keepMs)
}
