import { Agent, type ClientRequestArgs } from 'node:http'
import { connect, type Socket } from 'node:net'
import type { OrderAnswer, UpstreamStatus } from '@berylshed/placement'
import { err, ok, type Result } from 'neverthrow'
import { Engine, type EngineFailure, type OrderDelivery } from './engine.ts'
import { httpCall } from './http_call.ts'

const OK = 200
const CONFLICT = 409

/** Options of {@linkcode HttpEngine}. */
export interface HttpEngineOptions {
  /** Maximum duration of a call, in ms; 1000 by default. */
  readonly timeoutMs?: number
}

/** Control interface of one engine over HTTP. */
export class HttpEngine extends Engine {
  readonly #address: string
  readonly #timeoutMs: number

  /**
   * @param address Host and port of the engine.
   * @param options The call timeout.
   */
  constructor (address: string, options: HttpEngineOptions = {}) {
    super()
    this.#address = address
    this.#timeoutMs = options.timeoutMs ?? 1000
  }

  override probe (fence: number): Promise<Result<UpstreamStatus, EngineFailure>> {
    return this.#probe(fence, undefined)
  }

  override async send (delivery: OrderDelivery): Promise<OrderAnswer> {
    const agent = new SingleConnectionAgent(this.#address)
    try {
      const status = await this.#probe(delivery.order.fence, agent)
      if (status.isErr()) return 'not_sent'
      if (status.value.incarnation !== delivery.order.upstreamIncarnation) return 'not_sent'
      if (agent.isClosed() || !delivery.maySend()) return 'not_sent'
      return await this.#postOrder(delivery, agent)
    } finally {
      agent.destroy()
    }
  }

  async #probe (fence: number, agent: Agent | undefined): Promise<Result<UpstreamStatus, EngineFailure>> {
    const response = await httpCall({
      method: 'POST',
      url: `http://${this.#address}/control/probe`,
      body: JSON.stringify({ fence }),
      timeoutMs: this.#timeoutMs,
      ...agent === undefined ? {} : { agent }
    })
    if (response.isErr()) {
      const kind = response.error.kind === 'timeout' ? 'silent' : 'unreachable'
      return err({ kind, message: response.error.message })
    }
    if (response.value.status !== OK) return err({ kind: 'malformed', message: `Engine returned HTTP status ${response.value.status}` })
    return ok(JSON.parse(response.value.body) as UpstreamStatus)
  }

  async #postOrder (delivery: OrderDelivery, agent: Agent): Promise<OrderAnswer> {
    const { order, model, memoryMb } = delivery
    const response = await httpCall({
      method: 'POST',
      url: `http://${this.#address}/control/orders`,
      body: JSON.stringify({ id: order.id, kind: order.kind, fence: order.fence, model, memoryMb }),
      timeoutMs: this.#timeoutMs,
      agent
    })
    if (response.isErr()) return response.error.kind === 'not_connected' ? 'not_sent' : 'unknown'
    if (response.value.status === OK) return 'accepted'
    return response.value.status === CONFLICT ? 'refused' : 'unknown'
  }
}

/** Agent that opens a single connection and throws instead of opening a second one. */
class SingleConnectionAgent extends Agent {
  readonly #address: string
  #socket: Socket | undefined

  constructor (address: string) {
    super({ keepAlive: true, maxSockets: 1 })
    this.#address = address
  }

  isClosed (): boolean {
    return this.#socket === undefined || this.#socket.destroyed || !this.#socket.writable
  }

  // `createConnection()` is the documented extension point of Node's Agent for creating sockets.
  override createConnection (_options: ClientRequestArgs): Socket {
    if (this.#socket !== undefined) throw new Error('Cannot send order: the verified connection is closed')
    const [host, port] = this.#address.split(':')
    this.#socket = connect({ host: host ?? '', port: Number(port) })
    return this.#socket
  }
}
