import type { EngineReport, Upstream } from '@berylshed/fleet'
import type { Result } from 'neverthrow'

/** An order to load or unload a model or an adapter. */
export interface EngineOrder {
  readonly operation: 'load' | 'unload'
  readonly model: string
  /** Name of the adapter to load or unload; by default the order applies to the model itself. */
  readonly adapter?: string
  /** Number of orders that the engine must have accepted so far; otherwise it rejects the order. */
  readonly expectedSequence: number
  /** Fencing token of the lease. */
  readonly fence: number
  /** Name of the lease holder. */
  readonly holder: string
}

/** The outcome of sending an order. */
export type EngineOrderResult =
  /** The engine executes the order. */
  | 'accepted'
  /** The engine is already in the requested state. */
  | 'held'
  /** Another order is in progress, or the number of accepted orders differs from the expected one. */
  | 'conflict'
  /** The engine has seen a higher fencing token. */
  | 'fenced'
  /** Another upstream responded at the address. */
  | 'misdirected'
  /** The model is unknown to the engine, or the order is malformed. */
  | 'invalid'
  /** No byte was sent. */
  | 'not_sent'
  /** There was no valid response; the order may have been executed or may still be executed. */
  | 'unknown'

/** Reason why an engine returned no report. */
export interface ReportFailure {
  readonly kind: 'unreachable' | 'silent' | 'unreadable' | 'misdirected'
  readonly message: string
}

/** Control interface of the model engines. */
export abstract class EngineControl {
  /**
   * Reads the state of an engine.
   *
   * @param upstream The engine.
   * @returns The report, which can be a few hundred ms old, or the reason of the failure.
   */
  abstract readReport (upstream: Upstream): Promise<Result<EngineReport, ReportFailure>>

  /**
   * Sends an order at most once.
   *
   * @param upstream The engine.
   * @param order The order.
   * @returns The outcome.
   */
  abstract sendOrder (upstream: Upstream, order: EngineOrder): Promise<EngineOrderResult>
}
