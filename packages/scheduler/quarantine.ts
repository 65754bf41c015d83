/** Ban on requests that have crashed several upstreams. */
export interface Quarantine {
  /** How often the same requests were banned, this time included; each time lasts twice as long as the one before. */
  readonly offences: number
  /** Local time at which the ban ends, in ms. */
  readonly untilMs: number
}

/** A quarantine as it is kept in the store and sent to other instances, whose clocks differ. */
export type QuarantineRecord = readonly [key: string, offences: number, remainingMs: number]

/**
 * Converts quarantines that are in force to their portable form.
 *
 * @param quarantines The quarantines, by what is banned.
 * @param nowMs The local time in ms.
 * @returns The records of those that are in force.
 *
 * @example
 * ```ts
 * console.log(quarantineRecords(new Map([['part 5c1e', { offences: 1, untilMs: 900 }]]), 400)) // [['part 5c1e', 1, 500]]
 * ```
 */
export function quarantineRecords (quarantines: ReadonlyMap<string, Quarantine>, nowMs: number): readonly QuarantineRecord[] {
  return [...quarantines]
    .filter(([, { untilMs }]) => untilMs > nowMs)
    .map(([key, { offences, untilMs }]) => [key, offences, Math.round(untilMs - nowMs)])
}
