import { Agent, request as httpRequest, type ClientRequest, type IncomingHttpHeaders, type OutgoingHttpHeaders } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { createChunkList } from './chunk_list.ts'

/** An HTTP call with a limit on its duration and on the size of the response body. */
export interface HttpCall {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly url: string
  readonly body?: string
  readonly headers?: OutgoingHttpHeaders
  /** Maximum time until the response is complete, in ms. */
  readonly timeoutMs: number
  /** Maximum size of the response body, in bytes; 4 MiB by default. */
  readonly maxResponseBytes?: number
  /** Agent whose connections are reused; by default the call opens a new connection. */
  readonly agent?: Agent
}

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number
  /** Headers, by name in lower case. */
  readonly headers: IncomingHttpHeaders
  readonly body: string
}

/** Reason why a call has no complete response. */
export interface HttpFailure {
  /** `not_connected` if no byte can have been sent. */
  readonly kind: 'not_connected' | 'timeout' | 'broken' | 'too_large'
  readonly message: string
}

const MAX_RESPONSE_BYTES = 4 * 1024 * 1024

/**
 * Makes an HTTP call and collects the response body.
 *
 * @param call The call.
 * @returns The complete response, or the reason why there is none.
 *
 * @example
 * ```ts
 * const response = await httpCall({ method: 'GET', url: 'http://127.0.0.1:8200/healthz', timeoutMs: 1000 })
 * ```
 */
export function httpCall (call: HttpCall): Promise<Result<HttpResponse, HttpFailure>> {
  return new Promise((resolve) => {
    let connected = false
    const maxBytes = call.maxResponseBytes ?? MAX_RESPONSE_BYTES
    const fail = (kind: HttpFailure['kind'], message: string): void => {
      clearTimeout(timer)
      resolve(err({ kind, message }))
      request.destroy()
    }
    const headers = { ...call.headers, 'content-length': Buffer.byteLength(call.body ?? '') }
    let request: ClientRequest
    try {
      request = httpRequest(call.url, { method: call.method, headers, agent: call.agent ?? false })
    } catch (error) {
      return resolve(err({ kind: 'not_connected', message: error instanceof Error ? error.message : String(error) }))
    }
    const timer = setTimeout(() => fail(connected ? 'timeout' : 'not_connected', `No response from ${call.url} within ${call.timeoutMs} ms`), call.timeoutMs)
    request.on('socket', (socket) => {
      connected = !socket.connecting
      if (socket.connecting) socket.once('connect', () => { connected = true })
    })
    request.on('error', (error) => fail(connected ? 'broken' : 'not_connected', error.message))
    request.on('response', (response) => {
      const chunks = createChunkList()
      response.on('data', (chunk: Buffer) => {
        chunks.add(chunk)
        if (chunks.bytes() > maxBytes) fail('too_large', `Response from ${call.url} exceeds ${maxBytes} bytes`)
      })
      response.on('end', () => {
        clearTimeout(timer)
        if (!response.complete) return fail('broken', `Response from ${call.url} ended before it was complete`)
        resolve(ok({ status: response.statusCode ?? 0, headers: response.headers, body: chunks.concat().toString('utf8') }))
      })
      response.on('error', (error) => fail('broken', error.message))
    })
    request.end(call.body)
  })
}
