import { acceleratorShare, Policy, type PlanningInput } from '@berylshed/placement'
import type { TraceRequest } from './trace.ts'

/**
 * Placement policy that knows all future requests; a bound for policies that load on demand.
 *
 * It keeps a model loaded exactly when the coming idle period costs less than the cold start after it, and evicts the
 * model whose next use is furthest in the future (Belady, A study of replacement algorithms, IBM Systems Journal 1966).
 * It never loads a model before a request, because that would eliminate every cold start.
 */
export class ClairvoyantPolicy extends Policy {
  readonly name = 'clairvoyant'
  readonly #arrivals = new Map<string, number[]>()

  /**
   * @param trace The trace that will be replayed.
   * @param baseOf Returns the base model of an adapter, or undefined for a base model.
   */
  constructor (trace: readonly TraceRequest[], baseOf: (model: string) => string | undefined) {
    super()
    for (const request of trace) {
      this.#add(request.model, request.at_ms)
      const base = baseOf(request.model)
      if (base !== undefined) this.#add(base, request.at_ms)
    }
  }

  override keepAliveMs (model: string, input: PlanningInput): number {
    const entry = input.catalog.models.get(model)
    const idlePeriodMs = this.#nextUseMs(model, input.nowMs) - input.usage(model).lastUsedMs
    const share = acceleratorShare(input.catalog, model)
    return idlePeriodMs * share < (entry?.coldStartWeight ?? 1) * (entry?.loadMs ?? 0) ? Infinity : 0
  }

  override retentionValue (model: string, input: PlanningInput): number {
    return -this.#nextUseMs(model, input.nowMs)
  }

  #add (model: string, atMs: number): void {
    const times = this.#arrivals.get(model) ?? []
    times.push(atMs)
    this.#arrivals.set(model, times)
  }

  #nextUseMs (model: string, nowMs: number): number {
    const arrivals = this.#arrivals.get(model) ?? []
    let low = 0
    let high = arrivals.length
    while (low < high) {
      const middle = (low + high) >> 1
      if ((arrivals[middle] ?? 0) < nowMs) low = middle + 1
      else high = middle
    }
    return arrivals[low] ?? Infinity
  }
}
