import type { Result } from 'neverthrow'

/** The value of a stored object at one version. */
export interface StoredObject {
  readonly key: string
  /** Version, which increases with each change; 0 if the object does not exist. */
  readonly version: number
  readonly value: string
}

/** The store did not respond, or responded with an error. */
export interface StoreFailure {
  readonly kind: 'unavailable'
  readonly message: string
}

/** Reason why an update returned no version. */
export type UpdateFailure =
  /** The object has a different version; the call changed nothing. */
  | { readonly kind: 'conflict', readonly current: StoredObject }
  /** The outcome is not known; the update may have been applied or may still be applied. */
  | { readonly kind: 'unknown', readonly message: string }

/** An update that applies only to an expected version. */
export interface Update {
  readonly value: string
  /** The version that the object must have; 0 if it must not exist. */
  readonly expectedVersion: number
}

/** Options of a watch. */
export interface WatchOptions {
  /** The last known version. */
  readonly afterVersion: number
  /** Maximum wait for a newer version, in ms. */
  readonly waitMs: number
}

/**
 * Client of the platform's object store.
 *
 * Reads may be stale. An update applies to the newest version or not at all. The store responds to a watch no later than
 * its wait time, so a missing response reveals a dead connection.
 */
export abstract class Store {
  /**
   * Returns how often the store has been restored from a copy, as of its last response.
   *
   * @returns The era; 0 if the store has not responded or does not report it.
   */
  era (): number {
    return 0
  }

  /**
   * Reads an object.
   *
   * @param key Key of the object.
   * @returns The object, with version 0 and an empty value if it does not exist.
   */
  abstract read (key: string): Promise<Result<StoredObject, StoreFailure>>

  /**
   * Lists the objects of a kind.
   *
   * @param kind The part of the keys before the last slash.
   * @returns The objects.
   */
  abstract list (kind: string): Promise<Result<readonly StoredObject[], StoreFailure>>

  /**
   * Creates or replaces an object if it has the expected version.
   *
   * @param key Key of the object.
   * @param update The new value and the expected version.
   * @returns The new version.
   */
  abstract update (key: string, update: Update): Promise<Result<number, UpdateFailure>>

  /**
   * Waits for a version newer than the known version.
   *
   * @param key Key of the object.
   * @param options The known version and the maximum wait.
   * @returns The newer object, or undefined if the object did not change in time.
   */
  abstract watch (key: string, options: WatchOptions): Promise<Result<StoredObject | undefined, StoreFailure>>
}
