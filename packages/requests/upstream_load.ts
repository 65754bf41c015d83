/** Load and health of an upstream, as recorded by one instance. */
export interface UpstreamLoad {
  /** Number of requests that this instance runs on the upstream. */
  readonly ownRequests: number
  /** Number of requests that other instances ran on the upstream at the last report. */
  readonly otherRequests: number
  /** Local time of the last report, in ms. */
  readonly reportedAtMs: number
  /** Whether the upstream's own status reports that it is leaving. */
  readonly leaving: boolean
  /** Whether the upstream is leaving or gone according to the platform's instance list. */
  readonly withdrawn: boolean
  /** Local time until which no request is sent to the upstream, in ms. */
  readonly suspectedUntilMs: number
  /** Local time of the last check that waiting requests asked for, in ms. */
  readonly checkedAtMs: number
  /** Moving average of the duration of a request, in ms; 0 before the first response. */
  readonly durationMs: number
  /** Moving average of the time until a response starts, in ms; 0 before the first response. */
  readonly silenceMs: number
  /** Moving average of the duration of a request that may run only once, in ms. */
  readonly singleRunMs: number
  /** Local time of the last response to a request that may run only once, in ms. */
  readonly singleRunAtMs: number
}

/** Load of an upstream before its first request and report. */
export const INITIAL_LOAD: UpstreamLoad = {
  ownRequests: 0,
  otherRequests: 0,
  reportedAtMs: 0,
  leaving: false,
  withdrawn: false,
  suspectedUntilMs: -Infinity,
  checkedAtMs: -Infinity,
  durationMs: 0,
  silenceMs: 0,
  singleRunMs: 0,
  singleRunAtMs: -Infinity
}
