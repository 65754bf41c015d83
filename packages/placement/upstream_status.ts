/** A model or adapter that an engine holds or is loading. */
export interface Holding {
  readonly model: string
  readonly phase: 'loading' | 'loaded'
  readonly memoryMb: number
  /** Requests for it that are running. */
  readonly running: number
}

/** What an engine answers to a probe. */
export interface UpstreamStatus {
  readonly incarnation: string
  /** The highest fencing number that the engine has seen; always 0 where the engine ignores them. */
  readonly fence: number
  readonly holdings: readonly Holding[]
  /** Requests that are running. */
  readonly running: number
  /** Ids of the orders that this incarnation ran; empty where the engine keeps no log. */
  readonly ran: readonly string[]
  /** Whether the upstream has announced that it is leaving. */
  readonly leaving: boolean
}

/** A status with what is needed to judge its age. */
export interface UpstreamReport {
  readonly status: UpstreamStatus
  /** Number of the probe that brought the status; a probe's number is taken when it is sent. */
  readonly probe: number
  readonly receivedAtMs: number
}
