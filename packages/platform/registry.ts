import type { Configuration, RegistrationChange, Upstream } from '@berylshed/fleet'
import type { Result } from 'neverthrow'

/** Why the registry did not answer a call. */
export interface RegistryFailure {
  /** `history_gone` asks for a fresh listing; `unreadable` is an answer that makes no sense. */
  readonly kind: 'unavailable' | 'history_gone' | 'unreadable'
  readonly message: string
}

/** The operator's configuration with the store revision at which it was read. */
export interface RegisteredConfiguration {
  readonly revision: number
  /** Undefined where none is stored, or where nothing changed. */
  readonly configuration: Configuration | undefined
}

/** All registered upstreams as of one store revision. */
export interface UpstreamListing {
  readonly revision: number
  readonly upstreams: ReadonlyMap<string, Upstream>
}

/** Changes of the registered upstreams. */
export interface RegistrationChanges {
  readonly revision: number
  readonly changes: readonly RegistrationChange[]
}

/** From where and for how long a watch waits. */
export interface RegistryWatch {
  readonly afterRevision: number
  readonly waitMs: number
}

/** The operator's configuration and the upstreams' registrations, as the platform keeps them. */
export abstract class Registry {
  /**
   * Reads the newest configuration.
   *
   * @returns The configuration.
   */
  abstract readConfiguration (): Promise<Result<RegisteredConfiguration, RegistryFailure>>

  /**
   * Waits for a newer configuration.
   *
   * @param watch The known revision and the longest wait.
   * @returns The newer configuration, without one where none came in time.
   */
  abstract watchConfiguration (watch: RegistryWatch): Promise<Result<RegisteredConfiguration, RegistryFailure>>

  /**
   * Lists all registered upstreams.
   *
   * @returns The list.
   */
  abstract listUpstreams (): Promise<Result<UpstreamListing, RegistryFailure>>

  /**
   * Waits for changes of registrations.
   *
   * @param watch The known revision and the longest wait.
   * @returns The changes since, empty where none came in time.
   */
  abstract watchUpstreams (watch: RegistryWatch): Promise<Result<RegistrationChanges, RegistryFailure>>
}
