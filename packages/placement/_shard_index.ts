import type { Catalog } from './catalog.ts'
import type { PlacementShard, Replica } from './placement_shard.ts'
import { replicaKey } from './_replica_key.ts'

/** Replicas of a shard, indexed for the repeated lookups of planning. */
export interface ShardIndex {
  readonly byUpstream: ReadonlyMap<string, readonly Replica[]>
  readonly byModel: ReadonlyMap<string, readonly Replica[]>
  readonly byKey: ReadonlyMap<string, Replica>
  /** Keys of the base replicas required by adapters on the same upstream. */
  readonly requiredBases: ReadonlySet<string>
}

const indexes = new WeakMap<PlacementShard, ShardIndex>()

/** Returns the index of a shard, built once because shards are immutable. */
export function shardIndex (shard: PlacementShard, catalog: Catalog): ShardIndex {
  const found = indexes.get(shard)
  if (found !== undefined) return found
  const index: ShardIndex = {
    byUpstream: _group(shard.replicas, (replica) => replica.upstream),
    byModel: _group(shard.replicas, (replica) => replica.model),
    byKey: new Map(shard.replicas.map((replica) => [replicaKey(replica), replica])),
    requiredBases: _requiredBases(shard, catalog)
  }
  indexes.set(shard, index)
  return index
}

function _group (replicas: readonly Replica[], keyOf: (replica: Replica) => string): ReadonlyMap<string, readonly Replica[]> {
  const groups = new Map<string, Replica[]>()
  for (const replica of replicas) {
    const key = keyOf(replica)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [replica])
    else group.push(replica)
  }
  return groups
}

function _requiredBases (shard: PlacementShard, catalog: Catalog): ReadonlySet<string> {
  const keys = new Set<string>()
  for (const { model, upstream, phase } of shard.replicas) {
    const base = catalog.models.get(model)?.base
    if (base !== undefined && phase !== 'vacated') keys.add(replicaKey({ model: base, upstream }))
  }
  return keys
}
