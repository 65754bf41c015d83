/** A model in an upstream's accelerator memory. */
export interface Resident {
  readonly model: string
  /** Names of the adapters of this model that the upstream holds. */
  readonly adapters: readonly string[]
}

/** Checkpoints that an upstream can load without the weight store. */
export interface Copies {
  readonly inMemory: readonly string[]
  readonly onDisk: readonly string[]
}

/** What an upstream says of itself. */
export interface Upstream {
  readonly id: string
  readonly service: string
  /** Host and port. */
  readonly address: string
  readonly availabilityZone: string
  /** Start of the process, in ms since 1970; another value is another incarnation under the same id. */
  readonly incarnation: number
  /** Requests that run at once. */
  readonly slots: number
  /** Whether the upstream takes no new work. */
  readonly leaving: boolean
  readonly residents: readonly Resident[]
  readonly copies: Copies
}

/** A fresh answer of a model engine about its state. */
export interface EngineReport {
  /** Start of the process, in ms since 1970; undefined where the engine does not tell. */
  readonly incarnation: number | undefined
  /** Number of orders that this incarnation has accepted. */
  readonly sequence: number
  /** Whether an order is being carried out. */
  readonly busy: boolean
  readonly residents: readonly Resident[]
  /** Adapters on their way to the engine, each as MODEL/ADAPTER. */
  readonly pendingAdapters: readonly string[]
  readonly copies: Copies
  /** Requests that run. */
  readonly active: number
  /** Requests that wait in the engine. */
  readonly queued: number
}
