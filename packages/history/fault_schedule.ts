import type { Fault, FaultKind } from './fault.ts'
import { FAULT_KINDS } from './fault.ts'

/** Latest start of a fault, in ms. */
export const MAX_FAULT_START_MS = 30_000
/** Longest duration of a fault, in ms. */
export const MAX_FAULT_DURATION_MS = 14_000

/** Returns a random integer between `min` and `max`, both included. */
export type RandomInteger = (min: number, max: number) => number

/**
 * Generates a random schedule of faults.
 *
 * @param randomInteger The source of randomness.
 * @param options The number and the kinds of the faults.
 * @returns The faults, not ordered by time.
 *
 * @example
 * ```ts
 * const faults = generateFaults(randomInteger, { count: 2 })
 * ```
 */
export function generateFaults (randomInteger: RandomInteger, options: FaultScheduleOptions): readonly Fault[] {
  const kinds = options.kinds ?? FAULT_KINDS
  return Array.from({ length: options.count }, () => ({
    kind: kinds[randomInteger(0, kinds.length - 1)] ?? 'kill_instance',
    atMs: randomInteger(0, MAX_FAULT_START_MS),
    durationMs: randomInteger(200, MAX_FAULT_DURATION_MS),
    index: randomInteger(0, 11)
  }))
}

/** Options for {@linkcode generateFaults}. */
export interface FaultScheduleOptions {
  readonly count: number
  /** Kinds to choose from; all by default. */
  readonly kinds?: readonly FaultKind[]
}
