import type { PlacementDraft } from './_placement_draft.ts'
import { reservedFor } from './_placement_options.ts'
import type { EngineView } from './engine_view.ts'
import type { Deferral } from './planning_input.ts'
import { unservedMs } from './unserved_demand.ts'

/** Maximum number of engines that a deferral names. */
const MAX_ENGINES = 6

/** Lists the models that requests wait for, that no engine holds or loads, and that this round plans nothing for. */
export function explainDeferrals (draft: PlacementDraft): readonly Deferral[] {
  return [...draft.input.demand.models.values()].flatMap(({ model, waiting, ratePerS }): readonly Deferral[] => {
    if (waiting === 0 || draft.replicas(model).length > 0 || draft.hasPendingEviction(model)) return []
    if (draft.drains().some(({ replacement }) => replacement === model)) return []
    const engines = draft.enginesWithCopy(model)
    const named = engines.slice(0, MAX_ENGINES).map((view) => `${view.upstream.id}: ${_occupation(draft, view, model)}`)
    const store = `${draft.storeLoadsInProgress()} loads from the weight store, ${Math.max(0, Math.floor(draft.remainingStoreLoads()))} more allowed`
    return [{ model, waiting, ratePerS, unservedMs: unservedMs(draft.input.unserved, model, draft.input.nowMs), missed: draft.missedRequests(model), copies: engines.length, detail: [...named, store].join('; ') }]
  })
}

// Says what keeps an engine from loading a model now.
function _occupation (draft: PlacementDraft, view: EngineView, model: string): string {
  const { nowMs } = draft.input
  const { open } = view
  if (open !== undefined) {
    const { operation, model: other, adapter, expectedMs } = open.planned
    const leftMs = Math.max(0, Math.round(open.sentAtMs + expectedMs - nowMs))
    return `${operation} of ${other}${adapter === undefined ? '' : `/${adapter}`} ${open.phase}, ${leftMs} ms left`
  }
  if (!view.confirmed) return 'residents unconfirmed'
  if (nowMs < view.backoffUntilMs) return 'refused an order'
  const reserved = reservedFor(draft, view, model)
  if (reserved !== undefined) return `reserved or drained for ${reserved}`
  if (draft.isAssigned(view)) return 'used by another model in this round'
  return [...view.residents].map(([name, { phase }]) => `${name} ${phase === 'loaded' ? `runs ${draft.runningOn(view, name)}` : phase}`).join(', ')
}
