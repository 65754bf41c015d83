/** A model that is loaded in an upstream's accelerator memory. */
export interface ResidentModel {
  readonly model: string
  /** Names of the loaded adapters of this model. */
  readonly adapters: readonly string[]
}

/** Names of the models whose weights an upstream can load without the weight store. */
export interface LocalCopies {
  /** Models with a copy in host memory. */
  readonly inMemory: readonly string[]
  /** Models with a copy on the local disk. */
  readonly onDisk: readonly string[]
}

/** The registration of an upstream. */
export interface Upstream {
  readonly id: string
  readonly service: string
  /** Host and port. */
  readonly address: string
  readonly availabilityZone: string
  /** Start time of the process, in ms since the Unix epoch; a different value means a restart under the same id. */
  readonly incarnation: number
  /** Version of the software that the upstream runs; empty if its registration does not name one. */
  readonly softwareVersion: string
  /** Maximum number of concurrent requests. */
  readonly slots: number
  /** Whether the upstream is draining and accepts no new work. */
  readonly leaving: boolean
  readonly residents: readonly ResidentModel[]
  readonly copies: LocalCopies
}

/** The state of a model engine, as reported by the engine. */
export interface EngineReport {
  /** Start time of the process, in ms since the Unix epoch, or undefined if the engine does not report it. */
  readonly incarnation: number | undefined
  /** Number of orders accepted by this incarnation. */
  readonly sequence: number
  /** Whether the engine is executing an order. */
  readonly busy: boolean
  readonly residents: readonly ResidentModel[]
  /** Adapters that are being loaded, each as MODEL/ADAPTER. */
  readonly pendingAdapters: readonly string[]
  readonly copies: LocalCopies
  /** Number of running requests. */
  readonly active: number
  /** Number of requests queued in the engine. */
  readonly queued: number
}
