import { demandKey, REPORT_TTL_MS, type ServiceDemand } from './demand.ts'
import type { EngineView } from './engine_view.ts'

/** A model or an adapter that is asked for while no engine can serve it. */
export interface UnservedSubject {
  /** Local time at which it was first asked for in vain, in ms. */
  readonly sinceMs: number
  /** Local time at which it was last asked for, in ms. */
  readonly askedAtMs: number
  /** Number of requests that have asked for it in vain, as far as the reported rates tell; 0 for an adapter, whose rate is not reported. */
  readonly missed: number
}

/** What is asked for in vain, by {@linkcode demandKey}. */
export type UnservedDemand = ReadonlyMap<string, UnservedSubject>

/** Time after the last request from which nobody is expected to ask again, in ms: longer than callers stay away after a refusal. */
const FORGET_AFTER_MS = 10_000
const MS_PER_SECOND = 1000

/**
 * Updates what is asked for in vain.
 *
 * Requests are refused long before a model that is hard to place gets an engine, so the time for which one of them has waited tells little.
 * Requests that were refused still count here, as the reported rates include them.
 *
 * @param known What was asked for in vain before.
 * @param demand The current demand.
 * @param options The engines of the service and the local time in ms.
 * @returns What is asked for in vain now.
 *
 * @example
 * ```ts
 * const unserved = trackUnserved(known, demand, { views, nowMs })
 * ```
 */
export function trackUnserved (known: UnservedDemand, demand: ServiceDemand, options: { readonly views: readonly EngineView[], readonly nowMs: number }): UnservedDemand {
  const { views, nowMs } = options
  const served = new Set(views.flatMap(_servedSubjects))
  const next = new Map([...known].filter(([key, { askedAtMs }]) => !served.has(key) && nowMs - askedAtMs < FORGET_AFTER_MS))
  for (const { key, ratePerS } of _askedSubjects(demand)) {
    if (!served.has(key)) next.set(key, _count(next.get(key), ratePerS, nowMs))
  }
  return next
}

function _count (known: UnservedSubject | undefined, ratePerS: number, nowMs: number): UnservedSubject {
  if (known === undefined) return { sinceMs: nowMs, askedAtMs: nowMs, missed: 0 }
  // Rates are not known beyond the age of a report.
  const countedMs = Math.min(REPORT_TTL_MS, nowMs - known.askedAtMs)
  return { sinceMs: known.sinceMs, askedAtMs: nowMs, missed: known.missed + ratePerS * countedMs / MS_PER_SECOND }
}

function _servedSubjects (view: EngineView): readonly string[] {
  return [...view.residents].flatMap(([model, { phase, adapters }]) => {
    if (phase !== 'loaded') return []
    const held = [...adapters].flatMap(([adapter, { phase: adapterPhase }]) => adapterPhase === 'unloading' ? [] : [demandKey(model, adapter)])
    return [model, ...held]
  })
}

interface _AskedSubject {
  readonly key: string
  /** Requests per second; 0 for an adapter. */
  readonly ratePerS: number
}

function _askedSubjects (demand: ServiceDemand): readonly _AskedSubject[] {
  return [...demand.models.values()].flatMap(({ model, waiting, ratePerS, adapters }): readonly _AskedSubject[] => {
    const isAsked = waiting > 0 || ratePerS > 0
    return [...isAsked ? [{ key: model, ratePerS }] : [], ...[...adapters.keys()].map((adapter) => ({ key: demandKey(model, adapter), ratePerS: 0 }))]
  })
}

/**
 * Returns the time for which a model or an adapter has been asked for in vain.
 *
 * @param unserved What is asked for in vain.
 * @param key The key of the model or adapter.
 * @param nowMs The local time in ms.
 * @returns The time in ms; 0 if it is served or not asked for.
 *
 * @example
 * ```ts
 * const isOverdue = unservedMs(unserved, demandKey('m', 'a1'), nowMs) > 1000
 * ```
 */
export function unservedMs (unserved: UnservedDemand, key: string, nowMs: number): number {
  const subject = unserved.get(key)
  return subject === undefined ? 0 : nowMs - subject.sinceMs
}
