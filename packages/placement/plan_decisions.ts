import type { LoadSlots } from './load_slots.ts'
import type { Replica } from './placement_shard.ts'
import type { Decision } from './decision.ts'
import type { ReceivedDemand } from './demand.ts'
import type { Policy, PlanningInput } from './policy.ts'
import { shardIndex } from './_shard_index.ts'
import { mayRepeat } from './_may_repeat.ts'
import { replicaKey } from './_replica_key.ts'

/**
 * Plans loads and unloads.
 *
 * Loads are ordered by priority, then by the deadlines of the waiting requests. For a load that fits on no upstream,
 * evictions are planned instead.
 *
 * @param input The placement, the configuration, demand and usage.
 * @param policy The policy that defines keep-alive times and the order of evictions.
 * @param slots The number of loads that may start now.
 * @returns The decisions, most urgent first.
 *
 * @example
 * ```ts
 * const decisions = planDecisions(input, new FixedKeepAlivePolicy(60_000), { models: 4, adapters: 30 })
 * ```
 */
export function planDecisions (input: PlanningInput, policy: Policy, slots: LoadSlots): readonly Decision[] {
  return [
    ..._repeatUnloads(input),
    ..._surplusUnloads(input),
    ..._planLoads(input, policy, slots),
    ..._planIdleUnloads(input, policy)
  ]
}

// An unload is sent again if its order was answered but the model is still reported, or if its orders are all from
// earlier leases.
function _repeatUnloads (input: PlanningInput): readonly Decision[] {
  return input.shard.replicas
    .filter((replica) => replica.phase === 'unloading' && (replica.orders.length === 0 || mayRepeat(input.shard, replica)))
    .map((replica) => _unload(replica, 'unload not finished'))
}

function _surplusUnloads (input: PlanningInput): readonly Decision[] {
  const kept = new Map<string, number>()
  const decisions: Decision[] = []
  for (const replica of input.shard.replicas) {
    if (replica.phase === 'vacated' || replica.phase === 'unloading') continue
    const count = (kept.get(replica.model) ?? 0) + 1
    kept.set(replica.model, count)
    const limit = input.catalog.models.get(replica.model)?.maxReplicas ?? 0
    if (count > limit) decisions.push(_unload(replica, 'above the replica limit'))
    else if (input.report(replica.upstream)?.status.leaving === true) decisions.push(_unload(replica, 'upstream is leaving'))
  }
  return decisions
}

interface _LoadRequest {
  readonly model: string
  readonly priority: number
  readonly deadlineMs: number
  readonly reason: string
}

function _planLoads (input: PlanningInput, policy: Policy, slots: LoadSlots): readonly Decision[] {
  const decisions: Decision[] = []
  let { models, adapters } = slots
  for (const request of _loadRequests(input, policy)) {
    const target = _loadTarget(input, request.model)
    if (target === undefined) continue
    const isAdapter = input.catalog.models.get(target)?.base !== undefined
    if (isAdapter ? adapters < 1 : models < 1) continue
    const proposed = _placeLoad(input, policy, { model: target, reason: request.reason, planned: decisions })
    decisions.push(...proposed)
    if (proposed[0]?.kind !== 'load') continue
    if (isAdapter) adapters -= 1
    else models -= 1
  }
  return decisions
}

function _loadRequests (input: PlanningInput, policy: Policy): readonly _LoadRequest[] {
  const waiting = [...input.demands.values()].map((demand) => ({
    model: demand.model,
    priority: demand.priority,
    deadlineMs: _deadlineMs(demand),
    reason: `${demand.waiting} waiting`
  }))
  const preloads = policy.preload(input).map((model) => ({
    model, priority: -1, deadlineMs: Infinity, reason: 'expected soon'
  }))
  return [...waiting, ...preloads].sort((a, b) => b.priority - a.priority || a.deadlineMs - b.deadlineMs || (a.model < b.model ? -1 : 1))
}

function _deadlineMs (demand: ReceivedDemand): number {
  return demand.receivedAtMs + demand.deadlineInMs
}

// Returns the model itself, or the missing base of an adapter, or undefined if nothing has to be loaded.
function _loadTarget (input: PlanningInput, model: string): string | undefined {
  const { byModel } = shardIndex(input.shard, input.catalog)
  const placed = (byModel.get(model) ?? []).filter((r) => r.phase !== 'vacated')
  if (placed.some((r) => r.phase !== 'loading' || !mayRepeat(input.shard, r))) return undefined
  const base = input.catalog.models.get(model)?.base
  if (base === undefined) return model
  const bases = (byModel.get(base) ?? []).filter((r) => r.phase !== 'vacated')
  if (bases.some((r) => r.phase === 'loaded')) return model
  return bases.length > 0 ? undefined : base
}

interface _Placement {
  readonly model: string
  readonly reason: string
  /** Decisions made so far in this plan. */
  readonly planned: readonly Decision[]
}

function _placeLoad (input: PlanningInput, policy: Policy, placement: _Placement): readonly Decision[] {
  const entry = input.catalog.models.get(placement.model)
  if (entry === undefined) return []
  const unfinished = shardIndex(input.shard, input.catalog).byModel.get(placement.model)?.find((r) => r.phase === 'loading')
  if (unfinished !== undefined) return [{ kind: 'load', model: entry.name, upstream: unfinished.upstream, reason: placement.reason }]
  const candidates = _candidates(input, placement.model)
  const fitting = candidates
    .filter((name) => _freeMb(input, name, placement.planned) >= entry.memoryMb)
    .sort((a, b) => _compareUpstreams(input, placement, [a, b]))
  const chosen = fitting[0]
  if (chosen !== undefined) return [{ kind: 'load', model: entry.name, upstream: chosen, reason: placement.reason }]
  return _planEviction(input, policy, { ...placement, candidates })
}

function _candidates (input: PlanningInput, model: string): readonly string[] {
  const base = input.catalog.models.get(model)?.base
  return [...input.catalog.upstreams.keys()].filter((name) => {
    const report = input.report(name)
    if (report === undefined || report.status.leaving) return false
    const { byKey } = shardIndex(input.shard, input.catalog)
    if (byKey.has(replicaKey({ model, upstream: name }))) return false
    return base === undefined || byKey.get(replicaKey({ model: base, upstream: name }))?.phase === 'loaded'
  })
}

// Prefers an upstream with a cached checkpoint, then the one with the least sufficient free memory (best fit), so that
// space for large models remains on the others.
function _compareUpstreams (input: PlanningInput, placement: _Placement, pair: readonly [string, string]): number {
  const [a, b] = pair
  const cached = Number(input.isCachedOn(placement.model, b)) - Number(input.isCachedOn(placement.model, a))
  if (cached !== 0) return cached
  return _freeMb(input, a, placement.planned) - _freeMb(input, b, placement.planned) || (a < b ? -1 : 1)
}

function _freeMb (input: PlanningInput, upstream: string, planned: readonly Decision[]): number {
  const total = input.catalog.upstreams.get(upstream)?.memoryMb ?? 0
  const committed = (shardIndex(input.shard, input.catalog).byUpstream.get(upstream) ?? [])
    .reduce((sum, replica) => sum + (replica.phase === 'vacated' ? 0 : replica.memoryMb), 0)
  const plannedMb = planned
    .filter((decision) => decision.kind === 'load' && decision.upstream === upstream)
    .reduce((sum, decision) => sum + (input.catalog.models.get(decision.model)?.memoryMb ?? 0), 0)
  return total - committed - plannedMb
}

interface _Eviction extends _Placement {
  readonly candidates: readonly string[]
}

interface _EvictionSet {
  readonly replicas: readonly Replica[]
  readonly retentionValue: number
}

function _planEviction (input: PlanningInput, policy: Policy, eviction: _Eviction): readonly Decision[] {
  const requiredMb = input.catalog.models.get(eviction.model)?.memoryMb ?? 0
  const sets = eviction.candidates
    .map((upstream) => _evictionSet(input, policy, { upstream, requiredMb, planned: eviction.planned }))
    .filter((set) => set !== undefined)
    .sort((a, b) => a.retentionValue - b.retentionValue)
  const best: _EvictionSet | undefined = sets[0]
  if (best === undefined) return []
  return best.replicas.map((replica) => _unload(replica, `evicted for ${eviction.model}`))
}

interface _EvictionTarget {
  readonly upstream: string
  readonly requiredMb: number
  readonly planned: readonly Decision[]
}

function _evictionSet (input: PlanningInput, policy: Policy, target: _EvictionTarget): _EvictionSet | undefined {
  let freeMb = _freeMb(input, target.upstream, target.planned) + _unloadingMb(input, target)
  if (freeMb >= target.requiredMb) return { replicas: [], retentionValue: -1 }
  const idle = (shardIndex(input.shard, input.catalog).byUpstream.get(target.upstream) ?? [])
    .filter((replica) => _isIdle(input, replica))
    .filter((replica) => policy.mayEvict(replica.model, input))
    .filter((replica) => !target.planned.some((d) => d.kind === 'unload' && d.model === replica.model && d.upstream === target.upstream))
    .map((replica) => ({ replica, retentionValue: policy.retentionValue(replica.model, input) }))
    .sort((a, b) => a.retentionValue - b.retentionValue)
  const replicas: Replica[] = []
  let retentionValue = 0
  for (const candidate of idle) {
    if (freeMb >= target.requiredMb) break
    freeMb += candidate.replica.memoryMb
    retentionValue += candidate.retentionValue
    replicas.push(candidate.replica)
  }
  return freeMb >= target.requiredMb ? { replicas, retentionValue } : undefined
}

function _unloadingMb (input: PlanningInput, target: _EvictionTarget): number {
  return (shardIndex(input.shard, input.catalog).byUpstream.get(target.upstream) ?? [])
    .filter((replica) => replica.phase === 'unloading')
    .reduce((sum, replica) => sum + replica.memoryMb, 0)
}

function _isIdle (input: PlanningInput, replica: Replica): boolean {
  if (replica.phase !== 'loaded') return false
  if (input.demands.has(replica.model)) return false
  if (input.usage(replica.model).running > 0) return false
  return !_hasAdapters(input, replica)
}

function _hasAdapters (input: PlanningInput, replica: Replica): boolean {
  return shardIndex(input.shard, input.catalog).requiredBases.has(replicaKey(replica))
}

function _planIdleUnloads (input: PlanningInput, policy: Policy): readonly Decision[] {
  const requestedBases = new Set([...input.demands.keys()].map((name) => input.catalog.models.get(name)?.base))
  return input.shard.replicas
    .filter((replica) => _isIdle(input, replica) && !requestedBases.has(replica.model))
    .filter((replica) => input.nowMs - input.usage(replica.model).lastUsedMs >= policy.keepAliveMs(replica.model, input))
    .map((replica) => _unload(replica, 'idle'))
}

function _unload (replica: Replica, reason: string): Decision {
  return { kind: 'unload', model: replica.model, upstream: replica.upstream, reason }
}
