import type { Model } from '@berylshed/fleet'
import { loadMs, UNLOAD_MS, weightSource, type PlacementDraft, type WeightSource } from './_placement_draft.ts'
import { isClosed, planEvictions, type EvictionSet } from './_plan_evictions.ts'
import type { EngineView } from './engine_view.ts'

/** A way to load a model on an engine. */
export interface PlacementOption {
  readonly view: EngineView
  readonly source: WeightSource
  readonly evictions: EvictionSet
  /** Expected time until the model is loaded, in ms. */
  readonly readyInMs: number
}

/** What options are sought for. */
export interface OptionSearch {
  readonly engines: readonly EngineView[]
  /** Running requests that a model which makes way may still have. */
  readonly maxRunning: number
  /** Whether engines that are carrying out another order count, too. */
  readonly busyEngines: boolean
}

/** Expected time until the last of a few running requests has ended, in ms, and what each further one adds. */
const DRAIN_MS = 1000
const FURTHER_DRAIN_MS = 250
/** Time that an order on its way is expected to take at least, in ms. */
const LEAST_ORDER_MS = 20

/** Lists the ways to load a model, wherever it is not held yet. */
export function placementOptions (draft: PlacementDraft, model: Model, search: OptionSearch): readonly PlacementOption[] {
  return search.engines.flatMap((view): readonly PlacementOption[] => {
    const startInMs = _startInMs(draft, view)
    if (startInMs === undefined || (startInMs > 0 && !search.busyEngines)) return []
    if (view.residents.has(model.name) || _isReserved(draft, view, model)) return []
    const evictions = planEvictions(draft, view, { needMb: model.memoryMb, makesWayFor: model.name, maxRunning: search.maxRunning })
    if (evictions === undefined) return []
    const source = weightSource(view, model.name)
    const drainMs = evictions.running === 0 ? 0 : DRAIN_MS + FURTHER_DRAIN_MS * (evictions.running - 1)
    return [{ view, source, evictions, readyInMs: startInMs + drainMs + evictions.models.length * UNLOAD_MS + loadMs(model, source) }]
  })
}

// Time until an engine takes another order; undefined where that can't be told.
function _startInMs (draft: PlacementDraft, view: EngineView): number | undefined {
  if (draft.isFree(view)) return 0
  const { open, restUntilMs, confirmed } = view
  const { nowMs } = draft.scene
  if (draft.isTaken(view)) return undefined
  if (open !== undefined) return open.phase === 'unknown' ? undefined : Math.max(LEAST_ORDER_MS, open.sentAtMs + open.planned.expectedMs - nowMs)
  return confirmed ? Math.max(LEAST_ORDER_MS, restUntilMs - nowMs) : undefined
}

function _isReserved (draft: PlacementDraft, view: EngineView, model: Model): boolean {
  const { reserved, closure } = view
  const { nowMs } = draft.scene
  if (reserved !== undefined && reserved.model !== model.name && nowMs < reserved.untilMs) return true
  return closure !== undefined && closure.makesWayFor !== model.name && closure.models.some((name) => isClosed(view, name, nowMs) && view.residents.has(name))
}
