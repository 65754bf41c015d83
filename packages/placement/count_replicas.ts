import type { Cell } from './cell.ts'

/**
 * Counts the replicas of a model that a cell has decided.
 *
 * @param cell The cell.
 * @param model The name of the model or adapter.
 * @returns The number of replicas that are, or may become, loaded.
 *
 * @example
 * ```ts
 * console.log(countReplicas(emptyCell('drafting'), 'toast-7b')) // 0
 * ```
 */
export function countReplicas (cell: Cell, model: string): number {
  return cell.replicas.filter((replica) => replica.model === model && replica.phase !== 'vacated').length
}
