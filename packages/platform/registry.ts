import type { Configuration, RegistrationChange, Upstream } from '@berylshed/fleet'
import type { Result } from 'neverthrow'

/** Reason why a call to the registry failed. */
export interface RegistryFailure {
  /** `history_gone` requires a new listing, as after a restore of the store; `unreadable` is a response that cannot be decoded. */
  readonly kind: 'unavailable' | 'history_gone' | 'unreadable'
  readonly message: string
}

/** The operator's configuration and where in the history of the store it was read. */
export interface RegisteredConfiguration {
  /** Position in the history of the store. */
  readonly revision: number
  /** Undefined if no configuration is stored or nothing changed. */
  readonly configuration: Configuration | undefined
}

/** All registered upstreams at one position in the history of the store. */
export interface UpstreamListing {
  readonly revision: number
  readonly upstreams: ReadonlyMap<string, Upstream>
}

/** Changes of the registered upstreams up to a position in the history of the store. */
export interface RegistrationChanges {
  readonly revision: number
  readonly changes: readonly RegistrationChange[]
}

/** Options of a registry watch. */
export interface RegistryWatch {
  /** The last known position in the history of the store. */
  readonly afterRevision: number
  /** Maximum wait for a change, in ms. */
  readonly waitMs: number
}

/** Client of the platform's registry, which holds the operator's configuration and the upstream registrations. */
export abstract class Registry {
  /**
   * Reads the newest configuration.
   *
   * @returns The configuration and its store revision, or the reason of the failure.
   */
  abstract readConfiguration (): Promise<Result<RegisteredConfiguration, RegistryFailure>>

  /**
   * Waits for a newer configuration.
   *
   * @param watch The known revision and the maximum wait.
   * @returns The newer configuration; `configuration` is undefined if it did not change in time.
   */
  abstract watchConfiguration (watch: RegistryWatch): Promise<Result<RegisteredConfiguration, RegistryFailure>>

  /**
   * Lists all registered upstreams.
   *
   * @returns The upstreams and the store revision of the listing, or the reason of the failure.
   */
  abstract listUpstreams (): Promise<Result<UpstreamListing, RegistryFailure>>

  /**
   * Waits for changes of registrations.
   *
   * @param watch The known revision and the maximum wait.
   * @returns The changes since the known revision; empty if nothing changed in time.
   */
  abstract watchUpstreams (watch: RegistryWatch): Promise<Result<RegistrationChanges, RegistryFailure>>
}
