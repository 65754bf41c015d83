import { Agent } from 'node:http'
import type { EngineReport, Upstream } from '@berylshed/fleet'
import { formatFinding } from '@berylshed/settings'
import { err, ok, type Result } from 'neverthrow'
import { decodeReport } from './_decode_upstream.ts'
import { EngineControl, type EngineOrder, type EngineOrderResult, type ReportFailure } from './engine_control.ts'
import { httpCall } from './http_call.ts'

const OK = 200
const MISDIRECTED_REQUEST = 421

/** Maximum wait for an engine's response, in ms: 100 times the round-trip time within a region. */
const RESPONSE_TIMEOUT_MS = 300
/** Maximum size of an engine's response, in bytes: several times a report with 1,000 running requests. All engines are asked within a second. */
const MAX_RESPONSE_BYTES = 256 * 1024

const RESULT_BY_STATUS: Readonly<Record<number, EngineOrderResult>> = {
  200: 'held', 202: 'accepted', 400: 'invalid', 409: 'conflict', 412: 'fenced', 421: 'misdirected', 429: 'conflict', 503: 'conflict'
}

/** Control interface of the model engines over the platform's HTTP protocol. */
export class PlatformEngineControl extends EngineControl {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 2, timeout: 1000 })

  override async readReport (upstream: Upstream): Promise<Result<EngineReport, ReportFailure>> {
    const response = await httpCall({
      method: 'GET',
      url: `http://${upstream.address}/report`,
      headers: { 'Expect-Instance': upstream.id },
      timeoutMs: RESPONSE_TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
      agent: this.#agent
    })
    if (response.isErr()) return err({ kind: response.error.kind === 'timeout' ? 'silent' : 'unreachable', message: response.error.message })
    if (response.value.status === MISDIRECTED_REQUEST) return err({ kind: 'misdirected', message: `Address ${upstream.address} belongs to another upstream` })
    if (response.value.status !== OK) return err({ kind: 'unreadable', message: `Engine returned HTTP status ${response.value.status}` })
    return _parseReport(upstream, response.value.body)
  }

  // Uses a new connection: if the engine closed a reused one, the outcome of the order would be unknown.
  override async sendOrder (upstream: Upstream, order: EngineOrder): Promise<EngineOrderResult> {
    const response = await httpCall({
      method: 'POST',
      url: `http://${upstream.address}/order`,
      headers: { 'content-type': 'application/json', 'Expect-Instance': upstream.id },
      body: JSON.stringify({
        Operation: order.operation === 'load' ? 'loading' : 'unloading',
        Model: order.model,
        ...order.adapter === undefined ? {} : { Adapter: order.adapter },
        // The engine compares this with its number of accepted orders when it executes the order.
        Expect: order.expectedSequence,
        Holder: order.holder,
        FencingToken: order.fence
      }),
      timeoutMs: RESPONSE_TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES
    })
    if (response.isErr()) return response.error.kind === 'not_connected' ? 'not_sent' : 'unknown'
    return RESULT_BY_STATUS[response.value.status] ?? 'unknown'
  }
}

function _parseReport (upstream: Upstream, body: string): Result<EngineReport, ReportFailure> {
  try {
    const report = decodeReport(upstream.id, JSON.parse(body))
    return report.isOk() ? ok(report.value) : err({ kind: 'unreadable', message: report.error.map(formatFinding).join('; ') })
  } catch (error) {
    return err({ kind: 'unreadable', message: error instanceof Error ? error.message : String(error) })
  }
}
