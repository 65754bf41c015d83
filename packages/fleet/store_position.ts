/** Number of revisions reserved for each era. */
const REVISIONS_PER_ERA = 2 ** 40

/** A revision of the platform's store, and how often the store had been restored from a copy before. */
export interface StoreRevision {
  /** Number that increases each time the store is restored from a copy; 0 if the store does not report it. */
  readonly era: number
  /** Number that increases with each change, but falls back when the store is restored. */
  readonly revision: number
}

/**
 * Returns the position of a revision in the history of the store.
 *
 * Positions of a later era are higher than all positions of earlier eras, so that comparing two of them always tells which
 * state of the store is newer.
 *
 * @param revision The era and the revision.
 * @returns The position.
 *
 * @example
 * ```ts
 * console.log(storePosition({ era: 2, revision: 90 }) > storePosition({ era: 1, revision: 130 })) // true
 * ```
 */
export function storePosition ({ era, revision }: StoreRevision): number {
  return era * REVISIONS_PER_ERA + revision
}

/**
 * Returns the era and the revision of a position.
 *
 * @param position The position.
 * @returns The era and the revision.
 *
 * @example
 * ```ts
 * console.log(storeRevision(storePosition({ era: 2, revision: 90 }))) // { era: 2, revision: 90 }
 * ```
 */
export function storeRevision (position: number): StoreRevision {
  return { era: Math.floor(position / REVISIONS_PER_ERA), revision: position % REVISIONS_PER_ERA }
}
