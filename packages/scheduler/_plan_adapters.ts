import type { EngineView } from './engine_view.ts'
import type { PlacementDraft } from './_placement_draft.ts'

/** Time for which an adapter stays after its last use, so that requests on their way reach it, in ms. */
const MIN_ADAPTER_IDLE_MS = 150

/** Plans the loads of adapters that requests wait for, on engines that hold their model. */
export function planAdapters (draft: PlacementDraft): void {
  for (const { model, adapters } of draft.scene.demand.models.values()) {
    const mostWanted = [...adapters].sort((a, b) => b[1] - a[1])
    for (const [adapter] of mostWanted) _planAdapter(draft, model, adapter)
  }
}

function _planAdapter (draft: PlacementDraft, model: string, adapter: string): void {
  const replicas = draft.replicas(model).filter((view) => view.residents.get(model)?.phase === 'loaded')
  if (replicas.some((view) => view.residents.get(model)?.adapters.has(adapter) === true)) return
  const adapterMb = draft.scene.engine.models.get(model)?.adapterMb ?? 0
  const free = replicas.filter((view) => draft.isFree(view))
  const roomy = free.filter((view) => draft.freeAdapterPlaces(view) > 0 && draft.freeMb(view) >= adapterMb)
    .sort((a, b) => draft.freeAdapterPlaces(b) - draft.freeAdapterPlaces(a))
  const [target] = roomy
  if (target !== undefined) {
    draft.add(target, { operation: 'load', model, adapter, reason: 'adapter awaited' })
    return
  }
  const idlest = free.flatMap((view) => _idleAdapters(draft, view)).sort((a, b) => b.idleMs - a.idleMs)[0]
  if (idlest === undefined || idlest.idleMs < MIN_ADAPTER_IDLE_MS) return
  draft.add(idlest.view, {
    operation: 'unload', model: idlest.model, adapter: idlest.adapter, reason: `makes way for ${model}/${adapter}`
  })
}

interface _IdleAdapter {
  readonly view: EngineView
  readonly model: string
  readonly adapter: string
  readonly idleMs: number
}

function _idleAdapters (draft: PlacementDraft, view: EngineView): readonly _IdleAdapter[] {
  return [...view.residents].flatMap(([model, resident]) => [...resident.adapters].flatMap(([adapter, held]) => {
    const { running, idleMs } = draft.adapterRuns(view, model, { adapter })
    const awaited = draft.demandFor(model).adapters.has(adapter)
    if (running > 0 || awaited || held.phase !== 'loaded') return []
    return [{ view, model, adapter, idleMs: Math.min(idleMs, draft.scene.nowMs - held.sinceMs) }]
  }))
}
