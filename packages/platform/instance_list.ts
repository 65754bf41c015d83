import type { Result } from 'neverthrow'
import type { StoreFailure } from './store.ts'

/** One instance as the platform lists it, some time after the fact. */
export interface ListedInstance {
  readonly name: string
  readonly role: 'entry' | 'upstream'
  readonly address: string
  readonly state: 'live' | 'leaving'
}

/**
 * The platform's lagging list of instances.
 *
 * The platform drops a name only after the instance's processes have ended, and gives the name to no other instance
 * while the list may still show it.
 */
export abstract class InstanceList {
  /**
   * Reads the list.
   *
   * @returns The instances.
   */
  abstract read (): Promise<Result<readonly ListedInstance[], StoreFailure>>
}
