import type { Result } from 'neverthrow'
import type { StoreFailure } from './store.ts'

/** An entry of the platform's instance list, which lags behind the actual state. */
export interface ListedInstance {
  readonly name: string
  readonly role: 'entry' | 'upstream'
  readonly address: string
  readonly state: 'live' | 'leaving'
}

/**
 * Reader of the platform's instance list, which lags behind the actual state.
 *
 * The platform removes a name only after the instance's processes have ended, and does not reuse the name while the list
 * may still contain it.
 */
export abstract class InstanceList {
  /**
   * Reads the list.
   *
   * @returns The listed instances, or the reason of the failure.
   */
  abstract read (): Promise<Result<readonly ListedInstance[], StoreFailure>>
}
