import type { Model } from '@berylshed/fleet'
import type { EngineView } from './engine_view.ts'
import { loadMs, type PlacementDraft } from './_placement_draft.ts'
import { placementOptions, type PlacementOption } from './_placement_options.ts'

/** Maximum cost of evictions for a copy without waiting requests, in late responses. */
const MAX_COPY_COST = 1.5
/** Concurrent loads of copies from the weight store without traffic; the store sustains 2 to 4 at full speed. */
const MAX_COPY_LOADS_WHEN_IDLE = 4
/** Concurrent loads of copies during traffic; low because an engine takes no other order while it loads. */
const MAX_COPY_LOADS_WHEN_BUSY = 1

/** Plans loads of models without a copy on any engine, so that later loads from disk take a fraction of a second. */
export function planCopies (draft: PlacementDraft): void {
  const maxLoads = draft.input.demand.models.size === 0 ? MAX_COPY_LOADS_WHEN_IDLE : MAX_COPY_LOADS_WHEN_BUSY
  const reservedFor = _modelsWithReservation(draft)
  let refusedMb = Infinity
  for (const model of draft.input.engine.models.values()) {
    if (draft.storeLoadsInProgress() >= maxLoads || draft.remainingStoreLoads() <= 0) return
    if (draft.enginesWithCopy(model.name).length > 0 || draft.hasPendingEviction(model.name) || draft.replicas(model.name).length > 0) continue
    // Engines only fill up within a round, so no engine has room for a larger model either, unless memory is reserved for it.
    if (model.memoryMb >= refusedMb && !reservedFor.has(model.name)) continue
    if (!_planCopy(draft, model) && !reservedFor.has(model.name)) refusedMb = Math.min(refusedMb, model.memoryMb)
  }
}

function _modelsWithReservation (draft: PlacementDraft): ReadonlySet<string> {
  return new Set(draft.input.views.flatMap(({ reservation, drain }) => [reservation?.model ?? [], drain?.replacement ?? []].flat()))
}

// Reports whether some engine has room for the copy.
function _planCopy (draft: PlacementDraft, model: Model): boolean {
  const best = placementOptions(draft, model, { engines: draft.input.views, maxRunning: 0, includeBusyEngines: false })
    .filter(({ evictions }) => evictions.cost <= MAX_COPY_COST)
    .sort((a, b) => a.evictions.cost - b.evictions.cost || a.view.copies.onDisk.length - b.view.copies.onDisk.length)[0]
  if (best === undefined) return false
  _addOrder(draft, model, { ...best, reason: 'no copy on any disk' })
  return true
}

/** Preloads models that no engine holds into unused memory, so that their next requests do not wait. */
export function planPreloads (draft: PlacementDraft): void {
  for (const view of draft.input.views) {
    if (draft.isFree(view)) _planPreload(draft, view)
  }
}

function _planPreload (draft: PlacementDraft, view: EngineView): void {
  const names = [...new Set([...view.copies.inMemory, ...view.copies.onDisk])]
  const [best] = names
    .filter((name) => draft.replicas(name).length === 0 && !draft.hasPendingEviction(name))
    .flatMap((name) => draft.input.engine.models.get(name) ?? [])
    .filter(({ memoryMb }) => memoryMb <= draft.freeMb(view))
    .flatMap((model) => placementOptions(draft, model, { engines: [view], maxRunning: 0, includeBusyEngines: false }).map((option) => ({ model, option })))
    .sort((a, b) => draft.demandFor(b.model.name).ratePerS - draft.demandFor(a.model.name).ratePerS)
  if (best !== undefined) _addOrder(draft, best.model, { ...best.option, reason: 'spare memory' })
}

interface _ReasonedOption extends PlacementOption {
  readonly reason: string
}

function _addOrder (draft: PlacementDraft, model: Model, choice: _ReasonedOption): void {
  const { view, evictions, source, reason } = choice
  const [victim] = evictions.models
  if (victim === undefined) draft.add(view, { operation: 'load', model: model.name, reason, fromStore: source === 'store', expectedMs: loadMs(model, source) })
  else draft.add(view, { operation: 'unload', model: victim, reason: `makes way for ${model.name}: ${reason}`, replacement: model.name })
}
