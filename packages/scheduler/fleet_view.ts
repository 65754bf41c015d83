import type { Holder } from './lease.ts'

/** A model on an engine as the holder tells other instances. */
export interface PlacedModel {
  readonly model: string
  /** Whether requests for the model may be sent there. */
  readonly usable: boolean
  /** Adapters that requests may ask for there. */
  readonly adapters: readonly string[]
}

/** One engine as the holder tells other instances. */
export interface PlacedEngine {
  readonly upstream: string
  readonly incarnation: number
  readonly models: readonly PlacedModel[]
  /** Requests that run there, by instance. */
  readonly running: ReadonlyArray<readonly [instance: string, count: number]>
}

/** A load under way. */
export interface ExpectedLoad {
  readonly model: string
  /** Time until the model is likely to be loaded, in ms. */
  readonly readyInMs: number
}

/** What the holder of the lease tells other instances. */
export interface FleetView {
  readonly holder: Holder
  readonly fence: number
  /** Time for which the lease is still good, in ms; 0 where the answering process does not hold it. */
  readonly validMs: number
  readonly engines: readonly PlacedEngine[]
  readonly expected: readonly ExpectedLoad[]
}
