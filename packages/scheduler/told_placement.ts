import { isClosed } from './_plan_evictions.ts'
import type { EngineView, ResidentView } from './engine_view.ts'
import type { PlacedEngine } from './fleet_view.ts'

/** One engine as it was last told. */
export interface ToldEngine {
  /** Version at which what is told of the engine last changed. */
  readonly version: number
  readonly placed: PlacedEngine
  /** The view that it was made from. */
  readonly source: EngineView
  /** Whether only another view can change what is told, and not time alone. */
  readonly settled: boolean
}

/** What the holder tells of all engines, with versions, so that an instance gets only what is new to it. */
export interface ToldPlacement {
  readonly version: number
  readonly engines: ReadonlyMap<string, ToldEngine>
}

/** Nothing told yet. */
export const NOTHING_TOLD: ToldPlacement = { version: 0, engines: new Map() }

/** Time after which an adapter that was ordered counts as loaded, in ms: twice the longest of today's loads. */
const ADAPTER_LOAD_MS = 14

/**
 * Brings what is told in line with what is known of the engines.
 *
 * @param told What was told so far.
 * @param views What is known.
 * @param nowMs The local time in ms.
 * @returns What is told now; the same object where nothing has changed.
 *
 * @example
 * ```ts
 * const told = tellPlacement(NOTHING_TOLD, state.engines, nowMs)
 * ```
 */
export function tellPlacement (told: ToldPlacement, views: ReadonlyMap<string, EngineView>, nowMs: number): ToldPlacement {
  const changed: ToldEngine[] = []
  const version = told.version + 1
  let moved = views.size !== told.engines.size
  for (const [id, view] of views) {
    const known = told.engines.get(id)
    if (known?.source === view && known.settled) continue
    const placed = _placed(view, nowMs)
    const isNew = known === undefined || !_isAlike(known.placed, placed)
    moved ||= isNew
    changed.push({ version: isNew ? version : known.version, placed: isNew ? placed : known.placed, source: view, settled: _isSettled(view, nowMs) })
  }
  if (changed.length === 0 && !moved) return told
  const kept = [...told.engines].filter(([id]) => views.has(id))
  return { version: moved ? version : told.version, engines: new Map([...kept, ...changed.map((engine) => [engine.placed.upstream, engine] as const)]) }
}

function _placed (view: EngineView, nowMs: number): PlacedEngine {
  return {
    upstream: view.upstream.id,
    incarnation: view.incarnation,
    models: [...view.residents].map(([model, resident]) => ({
      model,
      usable: resident.phase === 'loaded' && !isClosed(view, model, nowMs),
      adapters: _usableAdapters(view, model, { resident, nowMs })
    }))
  }
}

interface _At {
  readonly resident: ResidentView
  readonly nowMs: number
}

// An adapter is there a few ms after its order was accepted; no report says so.
function _usableAdapters (view: EngineView, model: string, { resident, nowMs }: _At): readonly string[] {
  const open = view.open?.planned
  return [...resident.adapters].flatMap(([adapter, { phase, sinceMs }]) => {
    const unanswered = open?.model === model && open.adapter === adapter
    const usable = phase === 'loaded' || (phase === 'loading' && !unanswered && nowMs - sinceMs >= ADAPTER_LOAD_MS)
    return usable ? [adapter] : []
  })
}

function _isSettled (view: EngineView, nowMs: number): boolean {
  if (view.closure !== undefined && nowMs < view.closure.untilMs) return false
  return ![...view.residents.values()].some(({ adapters }) => [...adapters.values()].some(({ phase, sinceMs }) => phase === 'loading' && nowMs - sinceMs < ADAPTER_LOAD_MS))
}

function _isAlike (a: PlacedEngine, b: PlacedEngine): boolean {
  return a.incarnation === b.incarnation && a.models.length === b.models.length && a.models.every((model, i) => {
    const other = b.models[i]
    return other !== undefined && model.model === other.model && model.usable === other.usable &&
      model.adapters.length === other.adapters.length && model.adapters.every((adapter, j) => adapter === other.adapters[j])
  })
}
