import type { Cell } from './cell.ts'

/**
 * Sums the accelerator memory that a cell commits on one upstream.
 *
 * Loads in flight and replicas with unresolved orders count in full.
 *
 * @param cell The cell.
 * @param upstream The upstream's name.
 * @returns The committed memory in MB.
 *
 * @example
 * ```ts
 * console.log(committedMemory(emptyCell('drafting'), 'runner-1')) // 0
 * ```
 */
export function committedMemory (cell: Cell, upstream: string): number {
  return cell.replicas
    .filter((replica) => replica.upstream === upstream && replica.phase !== 'vacated')
    .reduce((sum, replica) => sum + replica.memoryMb, 0)
}
