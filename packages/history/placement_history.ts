import { committedMemory, countReplicas, type Catalog, type PlacementShard, type Order } from '@berylshed/placement'

/** Event of a simulation that the placement invariants are checked against. */
export type PlacementRecord =
  | { readonly kind: 'stored', readonly atMs: number, readonly shard: PlacementShard, readonly previous: PlacementShard, readonly catalog: Catalog }
  | { readonly kind: 'held', readonly atMs: number, readonly upstream: string, readonly models: ReadonlyMap<string, number>, readonly shard: PlacementShard }
  | { readonly kind: 'executed', readonly atMs: number, readonly upstream: string, readonly incarnation: string, readonly order: Order, readonly model: string }

/** Violation of a placement invariant. */
export interface PlacementViolation {
  readonly invariant: 'replicas' | 'memory' | 'fencing'
  /** Time of the violating event, in ms of virtual time. */
  readonly atMs: number
  /** Description for the test report. */
  readonly detail: string
}

/**
 * Checks a history against the placement invariants.
 *
 * - Replicas: an engine holds a model only while the stored shard records the replica, and the number of recorded
 *   replicas grows only up to the model's limit.
 * - Memory: neither the recorded nor the actual use exceeds the upstream's memory.
 * - Fencing: no order takes effect after an opposite order with a higher fencing token.
 *
 * @param records The events in order of time.
 * @param capacityMb The memory of each upstream, in MB.
 * @returns All violations; empty if the invariants hold.
 *
 * @example
 * ```ts
 * console.log(checkPlacement([], new Map()).length) // 0
 * ```
 */
export function checkPlacement (records: readonly PlacementRecord[], capacityMb: ReadonlyMap<string, number>): readonly PlacementViolation[] {
  return [
    ...records.flatMap((record) => record.kind === 'stored' ? _checkStored(record, capacityMb) : []),
    ...records.flatMap((record) => record.kind === 'held' ? _checkHeld(record, capacityMb) : []),
    ..._checkFencing(records)
  ]
}

function _checkStored (record: Extract<PlacementRecord, { kind: 'stored' }>, capacityMb: ReadonlyMap<string, number>): readonly PlacementViolation[] {
  const { shard, previous, catalog, atMs } = record
  const violations: PlacementViolation[] = []
  for (const model of new Set(shard.replicas.map((replica) => replica.model))) {
    const count = countReplicas(shard, model)
    const limit = catalog.models.get(model)?.maxReplicas ?? 0
    if (count > countReplicas(previous, model) && count > limit) {
      violations.push({ invariant: 'replicas', atMs, detail: `${count} replicas of ${model} recorded, limit ${limit}` })
    }
  }
  for (const [upstream, totalMb] of capacityMb) {
    const usedMb = committedMemory(shard, upstream)
    if (usedMb > totalMb) violations.push({ invariant: 'memory', atMs, detail: `${usedMb} MB recorded on ${upstream}, which has ${totalMb} MB` })
  }
  return violations
}

function _checkHeld (record: Extract<PlacementRecord, { kind: 'held' }>, capacityMb: ReadonlyMap<string, number>): readonly PlacementViolation[] {
  const { shard, models, upstream, atMs } = record
  const violations: PlacementViolation[] = []
  for (const model of models.keys()) {
    const recorded = shard.replicas.some((r) => r.model === model && r.upstream === upstream && r.phase !== 'vacated')
    if (!recorded) violations.push({ invariant: 'replicas', atMs, detail: `${model} on ${upstream} is not recorded in the stored shard` })
  }
  const usedMb = [...models.values()].reduce((sum, memoryMb) => sum + memoryMb, 0)
  const totalMb = capacityMb.get(upstream) ?? 0
  if (usedMb > totalMb) violations.push({ invariant: 'memory', atMs, detail: `${usedMb} MB in use on ${upstream}, which has ${totalMb} MB` })
  return violations
}

function _checkFencing (records: readonly PlacementRecord[]): readonly PlacementViolation[] {
  const latest = new Map<string, Order>()
  const violations: PlacementViolation[] = []
  for (const record of records) {
    if (record.kind !== 'executed') continue
    const key = `${record.model}@${record.upstream}@${record.incarnation}`
    const known = latest.get(key)
    if (known !== undefined && known.fence > record.order.fence && known.kind !== record.order.kind) {
      violations.push({
        invariant: 'fencing',
        atMs: record.atMs,
        detail: `${record.order.kind} of ${record.model} on ${record.upstream} with fencing token ${record.order.fence} took effect after ${known.kind} with fencing token ${known.fence}`
      })
    }
    if (known === undefined || record.order.fence >= known.fence) latest.set(key, record.order)
  }
  return violations
}
