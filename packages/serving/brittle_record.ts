import type { ServingState } from './serving_state.ts'

/** A brittle service as sent between instances: the rejections that each upstream bears in a second, and how long that still holds, in ms. */
export type BrittleRecord = readonly [service: string, maxRejectionsPerS: number, remainingMs: number]

/**
 * Returns the services that an instance knows to be brittle.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns The services as sent to another instance.
 *
 * @example
 * ```ts
 * const records = brittleRecords(state, performance.now())
 * ```
 */
export function brittleRecords (state: ServingState, nowMs: number): readonly BrittleRecord[] {
  return [...state.brittle]
    .filter(([, { untilMs }]) => untilMs > nowMs)
    .map(([service, { maxRejectionsPerS, untilMs }]) => [service, maxRejectionsPerS, Math.round(untilMs - nowMs)])
}
