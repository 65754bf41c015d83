import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { isHolder } from './is_holder.ts'
import type { PlacementEffect } from './placement_effect.ts'
import type { PlacementState } from './placement_state.ts'

/** Probes the upstreams that are due for a status check, if this process holds the lease. */
export function probeUpstreams (state: PlacementState, nowMs: number): Step<PlacementState, PlacementEffect> {
  if (!isHolder(state)) return step(state)
  let next = state
  const effects: PlacementEffect[] = []
  const busy = _busyUpstreams(state)
  for (const upstream of state.catalog.upstreams.keys()) {
    if (!_isDue(next, upstream, { nowMs, busy: busy.has(upstream) })) continue
    const probe = next.probes + 1
    next = { ...next, probes: probe, lastProbes: HashMap.set(next.lastProbes, upstream, { probe, sentAtMs: nowMs, answered: false }) }
    effects.push({ kind: 'probe', upstream, probe, fence: next.shard?.fence ?? 0 })
  }
  return step(next, effects)
}

// One probe per upstream at a time: of two concurrent probes, the later one may have read the engine's state first.
function _isDue (state: PlacementState, upstream: string, due: _Due): boolean {
  const last = Option.getOrUndefined(HashMap.get(state.lastProbes, upstream))
  if (last === undefined) return true
  const ageMs = due.nowMs - last.sentAtMs
  if (!last.answered && ageMs < state.times.probeTimeoutMs) return false
  return ageMs >= (due.busy ? state.times.busyProbeMs : state.times.probeMs)
}

interface _Due {
  readonly nowMs: number
  readonly busy: boolean
}

function _busyUpstreams (state: PlacementState): ReadonlySet<string> {
  const busy = (state.shard?.replicas ?? []).filter((replica) => replica.phase !== 'loaded' || replica.orders.length > 0)
  return new Set(busy.map((replica) => replica.upstream))
}

/** Reports whether an upstream has a load or an unload in progress or an unresolved order. */
export function isBusy (state: PlacementState, upstream: string): boolean {
  return (state.shard?.replicas ?? []).some((replica) => {
    return replica.upstream === upstream && (replica.phase !== 'loaded' || replica.orders.length > 0)
  })
}
