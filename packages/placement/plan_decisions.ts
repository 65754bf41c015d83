import type { LoadSlots } from './weight_queue.ts'
import type { Replica } from './cell.ts'
import type { Decision } from './decision.ts'
import type { ReceivedDemand } from './demand.ts'
import type { Policy, Scene } from './policy.ts'
import { cellIndex } from './_cell_index.ts'
import { mayRepeat } from './_may_repeat.ts'
import { replicaKey } from './_replica_key.ts'

/**
 * Plans the loads and unloads that are due.
 *
 * Loads are ordered by priority, then by the waiters' deadlines. A load without room proposes evictions instead.
 *
 * @param scene What is known.
 * @param policy The policy that sets keep-alive times and the order of eviction.
 * @param slots The loads that may start now.
 * @returns The decisions, most urgent first.
 *
 * @example
 * ```ts
 * const decisions = planDecisions(scene, new FixedKeepAlivePolicy(60_000), { models: 4, adapters: 30 })
 * ```
 */
export function planDecisions (scene: Scene, policy: Policy, slots: LoadSlots): readonly Decision[] {
  return [
    ..._repeatUnloads(scene),
    ..._surplusUnloads(scene),
    ..._planLoads(scene, policy, slots),
    ..._planIdling(scene, policy)
  ]
}

// An unload that was answered but left its model in place is sent again.
function _repeatUnloads (scene: Scene): readonly Decision[] {
  return scene.cell.replicas
    .filter((replica) => replica.phase === 'unloading' && (replica.orders.length === 0 || mayRepeat(scene.cell, replica)))
    .map((replica) => _unload(replica, 'unload not finished'))
}

function _surplusUnloads (scene: Scene): readonly Decision[] {
  const kept = new Map<string, number>()
  const decisions: Decision[] = []
  for (const replica of scene.cell.replicas) {
    if (replica.phase === 'vacated' || replica.phase === 'unloading') continue
    const count = (kept.get(replica.model) ?? 0) + 1
    kept.set(replica.model, count)
    const limit = scene.catalog.models.get(replica.model)?.maxReplicas ?? 0
    if (count > limit) decisions.push(_unload(replica, 'above the replica limit'))
    else if (scene.report(replica.upstream)?.status.leaving === true) decisions.push(_unload(replica, 'upstream is leaving'))
  }
  return decisions
}

interface _Want {
  readonly model: string
  readonly priority: number
  readonly dueMs: number
  readonly reason: string
}

function _planLoads (scene: Scene, policy: Policy, slots: LoadSlots): readonly Decision[] {
  const decisions: Decision[] = []
  let { models, adapters } = slots
  for (const want of _wants(scene, policy)) {
    const target = _loadTarget(scene, want.model)
    if (target === undefined) continue
    const isAdapter = scene.catalog.models.get(target)?.base !== undefined
    if (isAdapter ? adapters < 1 : models < 1) continue
    const proposed = _placeLoad(scene, policy, { model: target, reason: want.reason, taken: decisions })
    decisions.push(...proposed)
    if (proposed[0]?.kind !== 'load') continue
    if (isAdapter) adapters -= 1
    else models -= 1
  }
  return decisions
}

function _wants (scene: Scene, policy: Policy): readonly _Want[] {
  const waiting = [...scene.demands.values()].map((demand) => ({
    model: demand.model,
    priority: demand.priority,
    dueMs: _dueMs(demand),
    reason: `${demand.waiting} waiting`
  }))
  const preloads = policy.preload(scene).map((model) => ({
    model, priority: -1, dueMs: Infinity, reason: 'expected soon'
  }))
  return [...waiting, ...preloads].sort((a, b) => b.priority - a.priority || a.dueMs - b.dueMs || (a.model < b.model ? -1 : 1))
}

function _dueMs (demand: ReceivedDemand): number {
  return demand.receivedAtMs + demand.deadlineInMs
}

// The model itself, or the base that an adapter lacks, or undefined where nothing is to be loaded.
function _loadTarget (scene: Scene, model: string): string | undefined {
  const { byModel } = cellIndex(scene.cell, scene.catalog)
  const placed = (byModel.get(model) ?? []).filter((r) => r.phase !== 'vacated')
  if (placed.some((r) => r.phase !== 'loading' || !mayRepeat(scene.cell, r))) return undefined
  const base = scene.catalog.models.get(model)?.base
  if (base === undefined) return model
  const bases = (byModel.get(base) ?? []).filter((r) => r.phase !== 'vacated')
  if (bases.some((r) => r.phase === 'loaded')) return model
  return bases.length > 0 ? undefined : base
}

interface _Placement {
  readonly model: string
  readonly reason: string
  /** Decisions of this plan so far. */
  readonly taken: readonly Decision[]
}

function _placeLoad (scene: Scene, policy: Policy, placement: _Placement): readonly Decision[] {
  const entry = scene.catalog.models.get(placement.model)
  if (entry === undefined) return []
  const again = cellIndex(scene.cell, scene.catalog).byModel.get(placement.model)?.find((r) => r.phase === 'loading')
  if (again !== undefined) return [{ kind: 'load', model: entry.name, upstream: again.upstream, reason: placement.reason }]
  const candidates = _candidates(scene, placement.model)
  const room = candidates
    .filter((name) => _freeMb(scene, name, placement.taken) >= entry.memoryMb)
    .sort((a, b) => _compareUpstreams(scene, placement, [a, b]))
  const chosen = room[0]
  if (chosen !== undefined) return [{ kind: 'load', model: entry.name, upstream: chosen, reason: placement.reason }]
  return _planEviction(scene, policy, { ...placement, candidates })
}

function _candidates (scene: Scene, model: string): readonly string[] {
  const base = scene.catalog.models.get(model)?.base
  return [...scene.catalog.upstreams.keys()].filter((name) => {
    const report = scene.report(name)
    if (report === undefined || report.status.leaving) return false
    const { byKey } = cellIndex(scene.cell, scene.catalog)
    if (byKey.has(replicaKey({ model, upstream: name }))) return false
    return base === undefined || byKey.get(replicaKey({ model: base, upstream: name }))?.phase === 'loaded'
  })
}

// Prefers a cached checkpoint, then the upstream with the tightest sufficient room, to keep large gaps whole.
function _compareUpstreams (scene: Scene, placement: _Placement, pair: readonly [string, string]): number {
  const [a, b] = pair
  const cached = Number(scene.cachedOn(placement.model, b)) - Number(scene.cachedOn(placement.model, a))
  if (cached !== 0) return cached
  return _freeMb(scene, a, placement.taken) - _freeMb(scene, b, placement.taken) || (a < b ? -1 : 1)
}

function _freeMb (scene: Scene, upstream: string, taken: readonly Decision[]): number {
  const total = scene.catalog.upstreams.get(upstream)?.memoryMb ?? 0
  const committed = (cellIndex(scene.cell, scene.catalog).byUpstream.get(upstream) ?? [])
    .reduce((sum, replica) => sum + (replica.phase === 'vacated' ? 0 : replica.memoryMb), 0)
  const planned = taken
    .filter((decision) => decision.kind === 'load' && decision.upstream === upstream)
    .reduce((sum, decision) => sum + (scene.catalog.models.get(decision.model)?.memoryMb ?? 0), 0)
  return total - committed - planned
}

interface _Eviction extends _Placement {
  readonly candidates: readonly string[]
}

interface _EvictionSet {
  readonly replicas: readonly Replica[]
  readonly worth: number
}

function _planEviction (scene: Scene, policy: Policy, eviction: _Eviction): readonly Decision[] {
  const needMb = scene.catalog.models.get(eviction.model)?.memoryMb ?? 0
  const sets = eviction.candidates
    .map((upstream) => _evictionSet(scene, policy, { upstream, needMb, taken: eviction.taken }))
    .filter((set) => set !== undefined)
    .sort((a, b) => a.worth - b.worth)
  const best: _EvictionSet | undefined = sets[0]
  if (best === undefined) return []
  return best.replicas.map((replica) => _unload(replica, `evicted for ${eviction.model}`))
}

interface _Room {
  readonly upstream: string
  readonly needMb: number
  readonly taken: readonly Decision[]
}

function _evictionSet (scene: Scene, policy: Policy, room: _Room): _EvictionSet | undefined {
  let freeMb = _freeMb(scene, room.upstream, room.taken) + _unloadingMb(scene, room)
  if (freeMb >= room.needMb) return { replicas: [], worth: -1 }
  const idle = (cellIndex(scene.cell, scene.catalog).byUpstream.get(room.upstream) ?? [])
    .filter((replica) => _isIdle(scene, replica))
    .filter((replica) => policy.mayEvict(replica.model, scene))
    .filter((replica) => !room.taken.some((d) => d.kind === 'unload' && d.model === replica.model && d.upstream === room.upstream))
    .map((replica) => ({ replica, worth: policy.worth(replica.model, scene) }))
    .sort((a, b) => a.worth - b.worth)
  const replicas: Replica[] = []
  let worth = 0
  for (const candidate of idle) {
    if (freeMb >= room.needMb) break
    freeMb += candidate.replica.memoryMb
    worth += candidate.worth
    replicas.push(candidate.replica)
  }
  return freeMb >= room.needMb ? { replicas, worth } : undefined
}

function _unloadingMb (scene: Scene, room: _Room): number {
  return (cellIndex(scene.cell, scene.catalog).byUpstream.get(room.upstream) ?? [])
    .filter((replica) => replica.phase === 'unloading')
    .reduce((sum, replica) => sum + replica.memoryMb, 0)
}

function _isIdle (scene: Scene, replica: Replica): boolean {
  if (replica.phase !== 'loaded') return false
  if (scene.demands.has(replica.model)) return false
  if (scene.usage(replica.model).running > 0) return false
  return !_hasAdapters(scene, replica)
}

function _hasAdapters (scene: Scene, replica: Replica): boolean {
  return cellIndex(scene.cell, scene.catalog).neededBases.has(replicaKey(replica))
}

function _planIdling (scene: Scene, policy: Policy): readonly Decision[] {
  const awaited = new Set([...scene.demands.keys()].map((name) => scene.catalog.models.get(name)?.base))
  return scene.cell.replicas
    .filter((replica) => _isIdle(scene, replica) && !awaited.has(replica.model))
    .filter((replica) => scene.nowMs - scene.usage(replica.model).lastUsedMs >= policy.keepAliveMs(replica.model, scene))
    .map((replica) => _unload(replica, 'idle'))
}

function _unload (replica: Replica, reason: string): Decision {
  return { kind: 'unload', model: replica.model, upstream: replica.upstream, reason }
}
