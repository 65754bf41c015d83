/** Requests of one entry instance that wait for a model to be loaded. */
export interface Demand {
  readonly instance: string
  readonly model: string
  readonly waiting: number
  /** Time left until the earliest deadline among the waiting requests, in ms, when the demand was sent. */
  readonly deadlineInMs: number
  /** Priority of the most urgent waiting request; a higher number is more urgent. */
  readonly priority: number
  /** Price of a second of cold start against an idle accelerator second, from the customer. */
  readonly coldStartWeight: number
}

/** A demand with the local time at which it arrived. */
export interface ReceivedDemand extends Demand {
  readonly receivedAtMs: number
}
