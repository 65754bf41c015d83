import { HashMap, Option } from 'effect'
import type { PlacementShard } from './placement_shard.ts'
import type { ReceivedDemand } from './demand.ts'
import type { PlacementState } from './placement_state.ts'
import type { PlanningInput } from './policy.ts'
import { newUsage } from './usage.ts'

/** Time after which a demand that was not reported again expires, in ms. */
export const DEMAND_TTL_MS = 3000

/** Builds the input of a planning policy from a placement state. */
export function buildPlanningInput (state: PlacementState, shard: PlacementShard, nowMs: number): PlanningInput {
  return {
    nowMs,
    shard,
    catalog: state.catalog,
    demands: _currentDemands(state, nowMs),
    usage: (model) => Option.getOrElse(HashMap.get(state.usages, model), () => newUsage(nowMs)),
    globalIdlePeriods: state.globalIdlePeriods,
    report: (upstream) => Option.getOrUndefined(HashMap.get(state.reports, upstream)),
    isCachedOn: () => false
  }
}

// Merges all instances' demands for a model, with the earliest deadline and the highest priority.
function _currentDemands (state: PlacementState, nowMs: number): ReadonlyMap<string, ReceivedDemand> {
  const merged = new Map<string, ReceivedDemand>()
  for (const demand of HashMap.values(state.demands)) {
    if (nowMs - demand.receivedAtMs > DEMAND_TTL_MS || demand.waiting === 0) continue
    const known = merged.get(demand.model)
    merged.set(demand.model, known === undefined ? demand : _merge(known, demand))
  }
  return merged
}

function _merge (a: ReceivedDemand, b: ReceivedDemand): ReceivedDemand {
  const aDeadlineMs = a.receivedAtMs + a.deadlineInMs
  const bDeadlineMs = b.receivedAtMs + b.deadlineInMs
  return {
    ...(aDeadlineMs <= bDeadlineMs ? a : b),
    waiting: a.waiting + b.waiting,
    priority: Math.max(a.priority, b.priority),
    coldStartWeight: Math.max(a.coldStartWeight, b.coldStartWeight)
  }
}
