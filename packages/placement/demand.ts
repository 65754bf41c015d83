/** Requests of one instance that wait for a model to be loaded. */
export interface Demand {
  readonly instance: string
  readonly model: string
  readonly waiting: number
  /** Time between sending the demand and the earliest deadline of the waiting requests, in ms. */
  readonly deadlineInMs: number
  /** Highest priority of the waiting requests; a higher number is more urgent. */
  readonly priority: number
  /** Customer's cost of one second of cold start, relative to one second of an idle accelerator. */
  readonly coldStartWeight: number
}

/** A demand with the local time at which it was received. */
export interface ReceivedDemand extends Demand {
  readonly receivedAtMs: number
}
