import { isDraining } from './_draining.ts'
import type { EngineView, ResidentView } from './engine_view.ts'
import type { PlacedEngine } from './fleet_view.ts'

/** State of one engine as last published. */
export interface PublishedEngine {
  /** Version at which the published state of the engine last changed. */
  readonly version: number
  readonly placed: PlacedEngine
  /** View from which the published state was derived. */
  readonly source: EngineView
  /** Whether the published state can change only with the view, not by the passing of time. */
  readonly settled: boolean
}

/** Placement published by the lease holder; versions allow sending an instance only the changes. */
export interface PublishedPlacement {
  readonly version: number
  readonly engines: ReadonlyMap<string, PublishedEngine>
  /** Views from which the placement was derived. */
  readonly source: ReadonlyMap<string, EngineView>
  /** Whether the placement can change only with the views, not by the passing of time. */
  readonly settled: boolean
}

/** Initial placement without engines. */
export const EMPTY_PLACEMENT: PublishedPlacement = { version: 0, engines: new Map(), source: new Map(), settled: false }

/** Time after which an accepted adapter load counts as finished, in ms; twice the longest load of an adapter. */
const ADAPTER_LOAD_MS = 14

/**
 * Updates the published placement from the current views of the engines.
 *
 * @param previous The placement published so far.
 * @param views The current views, by upstream.
 * @param nowMs The local time in ms.
 * @returns The updated placement, or `previous` itself if nothing has changed.
 *
 * @example
 * ```ts
 * const published = publishPlacement(EMPTY_PLACEMENT, state.engines, nowMs)
 * ```
 */
export function publishPlacement (previous: PublishedPlacement, views: ReadonlyMap<string, EngineView>, nowMs: number): PublishedPlacement {
  if (views === previous.source && previous.settled) return previous
  const changed: PublishedEngine[] = []
  const version = previous.version + 1
  let versionChanged = views.size !== previous.engines.size
  for (const [id, view] of views) {
    const known = previous.engines.get(id)
    if (known?.source === view && known.settled) continue
    const placed = _placed(view, nowMs)
    const isNew = known === undefined || !_isEqual(known.placed, placed)
    versionChanged ||= isNew
    changed.push({ version: isNew ? version : known.version, placed: isNew ? placed : known.placed, source: view, settled: _isSettled(view, nowMs) })
  }
  if (changed.length === 0 && !versionChanged) return previous
  const settled = changed.every((engine) => engine.settled)
  const kept = [...previous.engines].filter(([id]) => views.has(id))
  const engines = new Map([...kept, ...changed.map((engine) => [engine.placed.upstream, engine] as const)])
  return { version: versionChanged ? version : previous.version, engines, source: views, settled }
}

function _placed (view: EngineView, nowMs: number): PlacedEngine {
  return {
    upstream: view.upstream.id,
    incarnation: view.incarnation,
    models: [...view.residents].map(([model, resident]) => ({
      model,
      usable: resident.phase === 'loaded' && !isDraining(view, model, nowMs),
      adapters: _usableAdapters(view, model, { resident, nowMs })
    }))
  }
}

interface _ResidentAt {
  readonly resident: ResidentView
  readonly nowMs: number
}

// An adapter is usable a few ms after its order was accepted, without a report that confirms it.
function _usableAdapters (view: EngineView, model: string, { resident, nowMs }: _ResidentAt): readonly string[] {
  const open = view.open?.planned
  return [...resident.adapters].flatMap(([adapter, { phase, sinceMs }]) => {
    const unanswered = open?.model === model && open.adapter === adapter
    const usable = phase === 'loaded' || (phase === 'loading' && !unanswered && nowMs - sinceMs >= ADAPTER_LOAD_MS)
    return usable ? [adapter] : []
  })
}

function _isSettled (view: EngineView, nowMs: number): boolean {
  if (view.drain !== undefined && nowMs < view.drain.untilMs) return false
  return ![...view.residents.values()].some(({ adapters }) => [...adapters.values()].some(({ phase, sinceMs }) => phase === 'loading' && nowMs - sinceMs < ADAPTER_LOAD_MS))
}

function _isEqual (a: PlacedEngine, b: PlacedEngine): boolean {
  return a.incarnation === b.incarnation && a.models.length === b.models.length && a.models.every((model, i) => {
    const other = b.models[i]
    return other !== undefined && model.model === other.model && model.usable === other.usable &&
      model.adapters.length === other.adapters.length && model.adapters.every((adapter, j) => adapter === other.adapters[j])
  })
}
