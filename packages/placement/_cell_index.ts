import type { Catalog } from './catalog.ts'
import type { Cell, Replica } from './cell.ts'
import { replicaKey } from './_replica_key.ts'

/** Look-ups into a cell's replicas that planning needs many times. */
export interface CellIndex {
  readonly byUpstream: ReadonlyMap<string, readonly Replica[]>
  readonly byModel: ReadonlyMap<string, readonly Replica[]>
  readonly byKey: ReadonlyMap<string, Replica>
  /** Keys of the base replicas that adapters on the same upstream need. */
  readonly neededBases: ReadonlySet<string>
}

const known = new WeakMap<Cell, CellIndex>()

/** Gives the index of a cell; a cell never changes, so that its index is built once. */
export function cellIndex (cell: Cell, catalog: Catalog): CellIndex {
  const found = known.get(cell)
  if (found !== undefined) return found
  const index: CellIndex = {
    byUpstream: _group(cell.replicas, (replica) => replica.upstream),
    byModel: _group(cell.replicas, (replica) => replica.model),
    byKey: new Map(cell.replicas.map((replica) => [replicaKey(replica), replica])),
    neededBases: _neededBases(cell, catalog)
  }
  known.set(cell, index)
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

function _neededBases (cell: Cell, catalog: Catalog): ReadonlySet<string> {
  const keys = new Set<string>()
  for (const { model, upstream, phase } of cell.replicas) {
    const base = catalog.models.get(model)?.base
    if (base !== undefined && phase !== 'vacated') keys.add(replicaKey({ model: base, upstream }))
  }
  return keys
}
