import { HashMap } from 'effect'
import type { ModelUse } from '@berylshed/placement'
import type { RequestsState } from '@berylshed/requests'

/** Idle time after which a model is no longer reported to the lease holder, in ms. */
const MAX_IDLE_MS = 60_000

/** Lists the models that an instance uses or used recently, for the report to the lease holder. */
export function modelUses (requests: RequestsState, nowMs: number): readonly ModelUse[] {
  const running = new Map<string, number>()
  for (const request of HashMap.values(requests.requests)) {
    if (request.target.kind !== 'model') continue
    running.set(request.target.name, (running.get(request.target.name) ?? 0) + 1)
  }
  return HashMap.toEntries(requests.usedAtMs)
    .filter(([model, usedAtMs]) => running.has(model) || nowMs - usedAtMs < MAX_IDLE_MS)
    .map(([model, usedAtMs]) => ({
      model,
      running: running.get(model) ?? 0,
      idleForMs: running.has(model) ? 0 : nowMs - usedAtMs
    }))
}
