/** Number of revisions reserved for each era. */
const REVISIONS_PER_ERA = 2 ** 40
/** Number of eras reserved for each number of corrections: several restores a year, for decades. */
const ERAS_PER_CORRECTION = 2 ** 8

/** Maximum number of corrections, so that positions are whole numbers that a double represents exactly. */
export const MAX_CORRECTIONS = 2 ** 5 - 1

/** A revision of the platform's store, and how often the store had been restored from a copy before. */
export interface StoreRevision {
  /** Number that increases each time the store is restored from a copy; 0 if the store does not report it. */
  readonly era: number
  /** Number that increases with each change, but falls back when the store is restored. */
  readonly revision: number
  /** How often instances have given up a position that the store contradicted; 0 by default. */
  readonly corrections?: number
}

/**
 * Returns the position of a revision in the history of the store.
 *
 * Positions of a later era are higher than all positions of earlier eras, so that comparing two of them always tells which
 * state of the store is newer. Positions after a correction are higher than all before it, whatever these were.
 *
 * @param revision The era and the revision.
 * @returns The position.
 *
 * @example
 * ```ts
 * console.log(storePosition({ era: 2, revision: 90 }) > storePosition({ era: 1, revision: 130 })) // true
 * ```
 */
export function storePosition ({ era, revision, corrections = 0 }: StoreRevision): number {
  return (corrections * ERAS_PER_CORRECTION + era) * REVISIONS_PER_ERA + revision
}

/**
 * Returns the era, the revision and the number of corrections of a position.
 *
 * @param position The position.
 * @returns The parts of the position.
 *
 * @example
 * ```ts
 * console.log(storeRevision(storePosition({ era: 2, revision: 90 }))) // { era: 2, revision: 90, corrections: 0 }
 * ```
 */
export function storeRevision (position: number): Required<StoreRevision> {
  const eras = Math.floor(position / REVISIONS_PER_ERA)
  return { era: eras % ERAS_PER_CORRECTION, revision: position % REVISIONS_PER_ERA, corrections: Math.floor(eras / ERAS_PER_CORRECTION) }
}

/**
 * Reports whether the store can have named an era and a revision, so that both have a position.
 *
 * @param named The era and the revision.
 * @returns Whether both are whole numbers in the range of positions.
 *
 * @example
 * ```ts
 * console.log(isStoreRevision({ era: 1, revision: -4 })) // false
 * ```
 */
export function isStoreRevision ({ era, revision }: StoreRevision): boolean {
  return Number.isInteger(era) && era >= 0 && era < ERAS_PER_CORRECTION && Number.isInteger(revision) && revision >= 0 && revision < REVISIONS_PER_ERA
}
