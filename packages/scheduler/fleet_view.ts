import type { Holder } from './lease.ts'

/** A model on an engine, as the lease holder publishes it. */
export interface PlacedModel {
  readonly model: string
  /** Whether requests for the model may be routed to the engine. */
  readonly usable: boolean
  /** Adapters that requests may use on the engine. */
  readonly adapters: readonly string[]
}

/** An engine and its models, as the lease holder publishes them. */
export interface PlacedEngine {
  readonly upstream: string
  readonly incarnation: number
  readonly models: readonly PlacedModel[]
}

/** A model load in progress. */
export interface ExpectedLoad {
  readonly model: string
  /** Expected time until the model is loaded, in ms. */
  readonly readyInMs: number
}

/** View of the fleet that the lease holder sends to another instance. */
export interface FleetView {
  readonly holder: Holder
  /** Fencing token of the lease. */
  readonly fence: number
  /** Remaining validity of the lease, in ms; 0 if the answering process does not hold it. */
  readonly validMs: number
  /** Version of the published placement. */
  readonly version: number
  /** Engines that have changed since the version that the requesting instance has. */
  readonly engines: readonly PlacedEngine[]
  /** Number of running requests of other instances, by upstream. */
  readonly running: ReadonlyArray<readonly [upstream: string, count: number]>
  /** Model loads in progress. */
  readonly expected: readonly ExpectedLoad[]
}
