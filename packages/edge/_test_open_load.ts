import { Agent, request as httpRequest } from 'node:http'

/** A request of an open load and what became of it; times are local, in ms. */
export interface LoadRequest {
  readonly id: string
  readonly path: string
  readonly sentAtMs: number
  /** Time at which the last byte of the request was sent; Infinity before. */
  bodySentAtMs: number
  endedAtMs: number
  isConnected: boolean
  /** Status of the response; 0 if there is none. */
  status: number
  isComplete: boolean
}

/** An open load. */
export interface OpenLoad {
  readonly requests: readonly LoadRequest[]
  /** Sends no further requests. */
  stop (): void
  /** Resolves once all requests have ended. */
  ended (): Promise<void>
}

/** Options of {@linkcode startOpenLoad}. */
export interface LoadOptions {
  readonly paths: readonly string[]
  readonly intervalMs: number
  /** Time after which the second half of a body is sent, in ms. */
  readonly halfAfterMs: number
  readonly callerTimeoutMs: number
  /** Beginning of the ids of its requests. */
  readonly prefix?: string
}

const BODY = 'x'.repeat(80)
const KEPT_CONNECTIONS = 40

/** Sends requests at an interval, whether others end or not, on kept and new connections, with bodies whole, in two parts and in chunks. */
export function startOpenLoad (port: number, options: LoadOptions): OpenLoad {
  const agent = new Agent({ keepAlive: true, maxSockets: KEPT_CONNECTIONS })
  const requests: LoadRequest[] = []
  const running = new Set<Promise<void>>()

  function send (n: number): Promise<void> {
    const path = options.paths[n % options.paths.length] ?? ''
    const bodyKind = Math.floor(n / options.paths.length) % 3
    const isKept = Math.floor(n / options.paths.length / 3) % 2 === 0
    const id = `${options.prefix ?? 'load'}-${n}`
    const sent: LoadRequest = { id, path, sentAtMs: performance.now(), bodySentAtMs: Infinity, endedAtMs: Infinity, isConnected: false, status: 0, isComplete: false }
    requests.push(sent)
    return new Promise((resolve) => {
      const end = (isComplete: boolean): void => {
        if (sent.endedAtMs < Infinity) return
        Object.assign(sent, { isComplete, endedAtMs: performance.now() })
        resolve()
      }
      const headers = { host: 'api.example', 'attempt-id': id, 'deadline-ms': String(options.callerTimeoutMs), ...bodyKind === 2 ? { 'transfer-encoding': 'chunked' } : { 'content-length': BODY.length } }
      const request = httpRequest({ port, host: '127.0.0.1', path, method: 'POST', headers, agent: isKept ? agent : false }, (response) => {
        sent.status = response.statusCode ?? 0
        response.resume()
        response.on('error', () => {})
        response.on('close', () => end(response.complete))
      })
      request.on('error', () => end(false))
      request.on('socket', (socket) => {
        if (socket.connecting) socket.once('connect', () => { sent.isConnected = true })
        else sent.isConnected = true
      })
      const noteBody = (): void => { sent.bodySentAtMs = performance.now() }
      const finish = (rest: string): void => { request.end(rest, noteBody) }
      if (bodyKind === 0) return finish(BODY)
      request.write(BODY.slice(0, BODY.length / 2))
      setTimeout(() => finish(BODY.slice(BODY.length / 2)), options.halfAfterMs)
    })
  }

  const timer = setInterval(() => {
    const ended = send(requests.length).finally(() => running.delete(ended))
    running.add(ended)
  }, options.intervalMs)

  async function ended (): Promise<void> {
    await Promise.all(running)
    agent.destroy()
  }

  return { requests, stop: () => clearInterval(timer), ended }
}
