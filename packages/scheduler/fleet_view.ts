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
}

/** A load under way. */
export interface ExpectedLoad {
  readonly model: string
  /** Time until the model is likely to be loaded, in ms. */
  readonly readyInMs: number
}

/** What the holder of the lease tells another instance. */
export interface FleetView {
  readonly holder: Holder
  readonly fence: number
  /** Time for which the lease is still good, in ms; 0 where the answering process does not hold it. */
  readonly validMs: number
  /** Counts the changes of what the holder tells of engines. */
  readonly version: number
  /** Engines that have changed since the version that the other instance knows. */
  readonly engines: readonly PlacedEngine[]
  /** Requests that other instances have running, by upstream. */
  readonly running: ReadonlyArray<readonly [upstream: string, count: number]>
  readonly expected: readonly ExpectedLoad[]
}
