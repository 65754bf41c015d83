import { demandKey } from './demand.ts'
import type { EngineView } from './engine_view.ts'
import type { PlacementDraft } from './_placement_draft.ts'
import { unservedMs } from './unserved_demand.ts'

/** Minimum idle time before an adapter is unloaded, in ms, so that requests in transit still find it. */
const MIN_ADAPTER_IDLE_MS = 150

/** Plans loads of adapters with waiting requests, on engines that hold their model. */
export function planAdapters (draft: PlacementDraft): void {
  const { demand, unserved, nowMs } = draft.input
  const awaited = [...demand.models.values()].flatMap(({ model, adapters }) => [...adapters].map(([adapter, waiting]) => {
    return { model, adapter, waiting, unservedMs: unservedMs(unserved, demandKey(model, adapter), nowMs) }
  }))
  // An engine loads one adapter a round, so the one that was asked for in vain for longest comes first.
  for (const { model, adapter } of awaited.sort((a, b) => b.unservedMs - a.unservedMs || b.waiting - a.waiting)) _planAdapter(draft, model, adapter)
}

function _planAdapter (draft: PlacementDraft, model: string, adapter: string): void {
  // A replica that is drained or about to go takes no requests for the adapter.
  const replicas = draft.servingReplicas(model)
  if (replicas.some((view) => _holds(view, model, { adapter }))) return
  const adapterMb = draft.input.engine.models.get(model)?.adapterMb ?? 0
  const free = replicas.filter((view) => draft.isFree(view))
  const withFreeSlot = free.filter((view) => draft.freeAdapterSlots(view) > 0 && draft.freeMb(view) >= adapterMb)
    .sort((a, b) => draft.freeAdapterSlots(b) - draft.freeAdapterSlots(a))
  const [target] = withFreeSlot
  if (target !== undefined) {
    draft.add(target, { operation: 'load', model, adapter, reason: 'adapter awaited' })
    return
  }
  const longestIdle = free.flatMap((view) => _idleAdapters(draft, view)).sort((a, b) => b.idleMs - a.idleMs)[0]
  if (longestIdle === undefined || longestIdle.idleMs < MIN_ADAPTER_IDLE_MS) return
  draft.add(longestIdle.view, {
    operation: 'unload', model: longestIdle.model, adapter: longestIdle.adapter, reason: `makes way for ${model}/${adapter}`
  })
}

function _holds (view: EngineView, model: string, { adapter }: { readonly adapter: string }): boolean {
  const held = view.residents.get(model)?.adapters.get(adapter)
  return held !== undefined && held.phase !== 'unloading'
}

interface _IdleAdapter {
  readonly view: EngineView
  readonly model: string
  readonly adapter: string
  readonly idleMs: number
}

function _idleAdapters (draft: PlacementDraft, view: EngineView): readonly _IdleAdapter[] {
  return [...view.residents].flatMap(([model, resident]) => [...resident.adapters].flatMap(([adapter, adapterView]) => {
    const { running, idleMs } = draft.adapterActivity(view, model, { adapter })
    const isRequested = draft.demandFor(model).adapters.has(adapter)
    if (running > 0 || isRequested || adapterView.phase !== 'loaded') return []
    return [{ view, model, adapter, idleMs: Math.min(idleMs, draft.input.nowMs - adapterView.sinceMs) }]
  }))
}
