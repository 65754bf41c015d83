import type { Model } from '@berylshed/fleet'
import { loadMs, UNLOAD_MS, weightSource, type PlacementDraft, type WeightSource } from './_placement_draft.ts'
import { isDraining } from './_draining.ts'
import { planEvictions, type EvictionSet } from './_plan_evictions.ts'
import type { EngineView } from './engine_view.ts'

/** A possible load of a model on an engine, with the evictions that it requires. */
export interface PlacementOption {
  readonly view: EngineView
  readonly source: WeightSource
  readonly evictions: EvictionSet
  /** Requests per second that the engine takes; Infinity without a limit. */
  readonly limitPerS: number
  /** Expected time until the model is loaded, in ms. */
  readonly readyInMs: number
}

/** Constraints of a search for placement options. */
export interface OptionSearch {
  /** Engines to consider. */
  readonly engines: readonly EngineView[]
  /** Maximum number of running requests that an evicted model may have. */
  readonly maxRunning: number
  /** Whether to include engines that are executing another order. */
  readonly includeBusyEngines: boolean
}

/** Expected time until a single running request has finished, in ms. */
const DRAIN_MS = 1000
/** Expected increase of the drain time for each further running request, in ms. */
const DRAIN_PER_EXTRA_REQUEST_MS = 250
/** Lower bound of the expected time until a busy engine takes its next order, in ms. */
const MIN_ORDER_MS = 20

/** Lists the possible loads of a model on engines that do not hold it yet. */
export function placementOptions (draft: PlacementDraft, model: Model, search: OptionSearch): readonly PlacementOption[] {
  return search.engines.flatMap((view): readonly PlacementOption[] => {
    const startInMs = _startInMs(draft, view)
    if (startInMs === undefined || (startInMs > 0 && !search.includeBusyEngines)) return []
    if (view.residents.has(model.name) || reservedFor(draft, view, model.name) !== undefined) return []
    const evictions = planEvictions(draft, view, { requiredMb: model.memoryMb, replacement: model.name, maxRunning: search.maxRunning })
    if (evictions === undefined) return []
    const source = weightSource(view, model.name)
    const drainMs = evictions.running === 0 ? 0 : DRAIN_MS + DRAIN_PER_EXTRA_REQUEST_MS * (evictions.running - 1)
    return [{ view, source, evictions, limitPerS: draft.input.limitsPerS.get(view.upstream.id) ?? Infinity, readyInMs: startInMs + drainMs + evictions.models.length * UNLOAD_MS + loadMs(model, source) }]
  })
}

// Returns the expected time until an engine takes another order, in ms, or undefined if it cannot be predicted.
function _startInMs (draft: PlacementDraft, view: EngineView): number | undefined {
  if (draft.isFree(view)) return 0
  const { open, backoffUntilMs, confirmed } = view
  const { nowMs } = draft.input
  if (draft.isAssigned(view)) return undefined
  if (open !== undefined) return open.phase === 'unknown' ? undefined : Math.max(MIN_ORDER_MS, open.sentAtMs + open.planned.expectedMs - nowMs)
  return confirmed ? Math.max(MIN_ORDER_MS, backoffUntilMs - nowMs) : undefined
}

/** Returns the model that the memory of an engine is reserved or drained for, or undefined if another model may take it. */
export function reservedFor (draft: PlacementDraft, view: EngineView, model: string): string | undefined {
  const { reservation, drain } = view
  const { nowMs } = draft.input
  if (reservation !== undefined && reservation.model !== model && nowMs < reservation.untilMs) return reservation.model
  const isDrained = drain !== undefined && drain.replacement !== model && drain.models.some((name) => isDraining(view, name, nowMs) && view.residents.has(name))
  return isDrained ? drain.replacement : undefined
}
