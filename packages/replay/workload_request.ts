/** A request of a recorded or generated workload. */
export interface WorkloadRequest {
  readonly id: string
  /** Time of arrival, in ms since the start of the workload. */
  readonly atMs: number
  readonly route: string
  readonly service: string
  readonly model: string
  readonly adapter: string | undefined
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number
  /** Latency objective for the first event of the response, in ms. */
  readonly objectiveMs: number
  /** Time within which the caller expects the complete response, in ms. */
  readonly timeoutMs: number
  /** Time after which the caller disconnects if it has received no event of the response, in ms. */
  readonly firstEventTimeoutMs: number
  readonly maxRuns: number
  readonly resumable: boolean
  readonly promptTokens: number
  readonly answerTokens: number
  /** Value of a response within the objective, relative to other requests. */
  readonly worth: number
  /** Value of a later response, relative to other requests. */
  readonly lateWorth: number
}
