/** A model or adapter that is loaded or loading on an engine. */
export interface Holding {
  readonly model: string
  readonly phase: 'loading' | 'loaded'
  readonly memoryMb: number
  /** Number of running requests for the model or adapter. */
  readonly running: number
}

/** An engine's answer to a probe. */
export interface UpstreamStatus {
  readonly incarnation: string
  /** Highest fencing token that the engine has received; always 0 if the engine ignores tokens. */
  readonly fence: number
  readonly holdings: readonly Holding[]
  /** Total number of running requests. */
  readonly running: number
  /** IDs of the orders that this incarnation executed; empty if the engine keeps no log. */
  readonly ran: readonly string[]
  /** Whether the upstream has announced its shutdown. */
  readonly leaving: boolean
}

/** A status with the probe number and time that determine its age. */
export interface UpstreamReport {
  readonly status: UpstreamStatus
  /** Number of the probe that returned the status, assigned when the probe was sent. */
  readonly probe: number
  readonly receivedAtMs: number
}
