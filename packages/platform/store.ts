import type { Result } from 'neverthrow'

/** The value of an object at one version. */
export interface StoredObject {
  readonly key: string
  /** Grows with each change of the object; 0 stands for an object that does not exist. */
  readonly version: number
  readonly value: string
}

/** The store did not answer, or answered that it can't. */
export interface StoreFailure {
  readonly kind: 'unavailable'
  readonly message: string
}

/** Why an update has no version to report. */
export type UpdateFailure =
  /** The object has another version; nothing was changed by this call. */
  | { readonly kind: 'conflict', readonly current: StoredObject }
  /** No answer came; the update may have been, or may yet be, applied. */
  | { readonly kind: 'unknown', readonly message: string }

/** A conditional update. */
export interface Update {
  readonly value: string
  /** The version that the object must have; 0 where it must not exist. */
  readonly expectedVersion: number
}

/** How long a watch waits for a newer version. */
export interface WatchOptions {
  readonly afterVersion: number
  readonly waitMs: number
}

/**
 * The platform's object API.
 *
 * Reads may be stale. An update applies to the newest version or not at all. A watch answers at the latest after its
 * waiting time, so a connection that has gone silent is found out.
 */
export abstract class Store {
  /**
   * Reads an object.
   *
   * @param key The object's key.
   * @returns The object; version 0 and an empty value where it does not exist.
   */
  abstract read (key: string): Promise<Result<StoredObject, StoreFailure>>

  /**
   * Updates an object if it has the expected version.
   *
   * @param key The object's key.
   * @param update The new value and the expected version.
   * @returns The new version.
   */
  abstract update (key: string, update: Update): Promise<Result<number, UpdateFailure>>

  /**
   * Waits for a version newer than a known one.
   *
   * @param key The object's key.
   * @param options The known version and the longest wait.
   * @returns The newer object, or undefined where none came in time.
   */
  abstract watch (key: string, options: WatchOptions): Promise<Result<StoredObject | undefined, StoreFailure>>
}
