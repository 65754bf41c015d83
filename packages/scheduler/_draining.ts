import type { EngineView } from './engine_view.ts'

/** Reports whether a model is draining and must receive no new requests. */
export function isDraining (view: EngineView, model: string, nowMs: number): boolean {
  return view.drain !== undefined && nowMs < view.drain.untilMs && view.drain.models.includes(model)
}
