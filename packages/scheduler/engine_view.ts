import type { LocalCopies, EngineReport, Upstream } from '@berylshed/fleet'

/** Phase of a model or adapter on an engine. */
export type ResidencePhase = 'loading' | 'loaded' | 'unloading'

/** An adapter on an engine. */
export interface AdapterView {
  readonly phase: ResidencePhase
  /** Local time at which the phase began, in ms. */
  readonly sinceMs: number
}

/** A model on an engine. */
export interface ResidentView {
  readonly phase: ResidencePhase
  /** Local time at which the phase began, in ms. */
  readonly sinceMs: number
  readonly adapters: ReadonlyMap<string, AdapterView>
}

/** A planned load or unload of a model or an adapter on an engine. */
export interface PlannedOrder {
  readonly upstream: string
  readonly operation: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
  /** Reason for the order, written to the log. */
  readonly reason: string
  /** Whether the weights are loaded from the weight store. */
  readonly fromStore: boolean
  /** Expected duration, in ms. */
  readonly expectedMs: number
  /** For an unload, the model that takes the memory. */
  readonly replacement: string | undefined
}

/** An order that was sent and is not known to have finished. */
export interface OpenOrder {
  readonly id: string
  readonly planned: PlannedOrder
  /** Number of orders that the engine must have accepted before; it refuses this one otherwise. */
  readonly expectedSequence: number
  readonly sentAtMs: number
  /** `in_flight` until the engine responds, `running` once it has accepted, `unknown` if the response was lost. */
  readonly phase: 'in_flight' | 'running' | 'unknown'
  /** Local time at which the response arrived or was found to be lost, in ms. */
  readonly answeredAtMs: number
}

/** Memory that was freed for a model and must not be taken by another one. */
export interface Reservation {
  readonly model: string
  /** Local time at which the reservation ends, in ms. */
  readonly untilMs: number
}

/** Models that receive no new requests, so that they can be unloaded once their running requests have finished. */
export interface Drain {
  readonly models: readonly string[]
  /** The model that takes the memory. */
  readonly replacement: string
  /** Local time at which the drain ends, in ms. */
  readonly untilMs: number
}

/** State of one engine as known to the lease holder. */
export interface EngineView {
  readonly upstream: Upstream
  readonly incarnation: number
  /** Number of orders that the engine has accepted. */
  readonly sequence: number
  /** Models that the engine holds, loads or unloads, by name. */
  readonly residents: ReadonlyMap<string, ResidentView>
  /** Models that the engine can load without the weight store. */
  readonly copies: LocalCopies
  /** Order that is not known to have finished. */
  readonly open: OpenOrder | undefined
  /** Whether a report has confirmed the residents; false after taking the lease and while the residents are uncertain. */
  readonly confirmed: boolean
  /** Local time since which the engine has been idle with the known number of orders, in ms; Infinity while busy. */
  readonly stableSinceMs: number
  /** Local time at which the engine last accepted an order of this process, in ms. */
  readonly acceptedAtMs: number
  /** Local time of the last poll, in ms. */
  readonly polledAtMs: number
  /** Local time of the last report or failed poll, in ms. */
  readonly reportedAtMs: number
  /** Memory reserved for a model after an eviction. */
  readonly reservation: Reservation | undefined
  /** Models that are being drained. */
  readonly drain: Drain | undefined
  /** Local time until which no order is sent after a refusal, in ms. */
  readonly backoffUntilMs: number
  /** Number of consecutive failed polls. */
  readonly missedReports: number
}

/** Number of accepted orders before the first report of an engine; differs from every reported number. */
const UNKNOWN_SEQUENCE = -1

/**
 * Creates the view of an engine from its registration.
 *
 * @param upstream The registration.
 * @param nowMs The local time in ms.
 * @returns The unconfirmed view.
 *
 * @example
 * ```ts
 * console.log(newEngineView(upstream, 0).confirmed) // false
 * ```
 */
export function newEngineView (upstream: Upstream, nowMs: number): EngineView {
  return {
    upstream,
    incarnation: upstream.incarnation,
    sequence: UNKNOWN_SEQUENCE,
    residents: loadedResidents(upstream.residents, new Map(), nowMs),
    copies: upstream.copies,
    open: undefined,
    confirmed: false,
    stableSinceMs: Infinity,
    acceptedAtMs: -Infinity,
    polledAtMs: -Infinity,
    reportedAtMs: -Infinity,
    reservation: undefined,
    drain: undefined,
    backoffUntilMs: -Infinity,
    missedReports: 0
  }
}

/**
 * Converts the models that an engine reports into residents.
 *
 * @param residents The models and adapters that the engine reports.
 * @param known The residents known before; models and adapters that were loaded already keep their times.
 * @param nowMs The local time in ms.
 * @returns The residents, all loaded.
 *
 * @example
 * ```ts
 * const residents = loadedResidents(report.residents, view.residents, nowMs)
 * ```
 */
export function loadedResidents (
  residents: EngineReport['residents'],
  known: EngineView['residents'],
  nowMs: number
): EngineView['residents'] {
  return new Map(residents.map(({ model, adapters }) => {
    const before = known.get(model)
    const sinceMs = before?.phase === 'loaded' ? before.sinceMs : nowMs
    const held = new Map(adapters.map((adapter): [string, AdapterView] => {
      const old = before?.adapters.get(adapter)
      return [adapter, { phase: 'loaded', sinceMs: old?.phase === 'loaded' ? old.sinceMs : nowMs }]
    }))
    return [model, { phase: 'loaded' as const, sinceMs, adapters: held }]
  }))
}
