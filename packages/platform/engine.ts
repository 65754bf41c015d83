import type { Order, OrderAnswer, UpstreamStatus } from '@berylshed/placement'
import type { Result } from 'neverthrow'

/** Reason why a probe returned no valid status. */
export interface EngineFailure {
  readonly kind: 'unreachable' | 'silent' | 'malformed'
  readonly message: string
}

/** An order to send, with the values that it refers to. */
export interface OrderDelivery {
  readonly order: Order
  readonly model: string
  /** Accelerator memory that the model uses, in MB. */
  readonly memoryMb: number
  /** Reports whether the order may still be sent; called immediately before sending, and the order is dropped on false. */
  maySend (): boolean
}

/**
 * The control interface of one model engine.
 *
 * An implementation must send an order only on a connection on which it has verified the engine's incarnation. A new
 * incarnation then never receives an order of an earlier one, so a restart resolves all outstanding orders.
 */
export abstract class Engine {
  /**
   * Reads the engine's status and raises its fencing token, if the engine checks fencing tokens.
   *
   * @param fence The caller's fencing token.
   * @returns The status after the fencing token was raised, or the reason why there is none.
   */
  abstract probe (fence: number): Promise<Result<UpstreamStatus, EngineFailure>>

  /**
   * Sends an order at most once.
   *
   * @param delivery The order and the check to make before sending it.
   * @returns The outcome; `unknown` if the engine may have received the order but sent no valid response.
   */
  abstract send (delivery: OrderDelivery): Promise<OrderAnswer>
}
