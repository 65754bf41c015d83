import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http'
import type { AttemptFailure } from '@berylshed/requests'

/** Longest answer that is collected before it is passed on, in bytes. */
const MAX_COLLECTED_BYTES = 16 * 1024 * 1024
/** Bytes at the end of a stream in which its closing event is looked for. */
const TAIL_BYTES = 64
const STREAM_END = 'data: [DONE]'
const SERVICE_UNAVAILABLE = 503

/** One sending of a request to an upstream. */
export interface Forwarding {
  /** Id that the answer must carry. */
  readonly id: string
  /** Host and port of the upstream. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: OutgoingHttpHeaders
  readonly body: Buffer
  readonly stream: boolean
  /** Whether a kept connection may be used. */
  readonly mayReuse: boolean
  readonly connectTimeoutMs: number
  readonly progressTimeoutMs: number
}

/** An answer's status line and headers. */
export interface AnswerHead {
  readonly status: number
  readonly contentType: string
}

/** What a forwarding reports; exactly one of `ended` and `failed` is called, unless it is cancelled. */
export interface ForwardingHooks {
  /** A stream has started. */
  started (head: AnswerHead): void
  /** Passes on a piece of a stream; the answer is whether more may follow at once. */
  piece (chunk: Buffer): boolean
  /** The whole answer has arrived; `body` is empty for a stream. */
  ended (head: AnswerHead, body: Buffer, tokens: number): void
  failed (failure: AttemptFailure): void
}

/** A forwarding under way. */
export interface RunningForwarding {
  cancel (): void
  /** Goes on with a stream after `piece` answered no. */
  resume (): void
}

const keptConnections = new Agent({ keepAlive: true, maxSockets: 256, maxFreeSockets: 16 })

/** Sends a request to an upstream once, and matches, checks and passes on its answer. */
export function forwardRequest (forwarding: Forwarding, hooks: ForwardingHooks): RunningForwarding {
  let settled = false
  let connected = false
  let paused = false
  let response: IncomingMessage | undefined

  function settle (report: () => void): void {
    if (settled) return
    settled = true
    clearTimeout(timer)
    report()
  }

  function fail (failure: AttemptFailure): void {
    settle(() => hooks.failed(failure))
    request.destroy()
  }

  function armTimer (timeoutMs: number): NodeJS.Timeout {
    return setTimeout(() => { if (!paused) fail(connected ? 'silent' : 'not_connected') }, timeoutMs)
  }

  function progress (): void {
    clearTimeout(timer)
    if (!settled) timer = armTimer(forwarding.progressTimeoutMs)
  }

  const request: ClientRequest = httpRequest({
    host: forwarding.address.split(':')[0],
    port: Number(forwarding.address.split(':')[1]),
    method: forwarding.method,
    path: forwarding.path,
    agent: forwarding.mayReuse ? keptConnections : false,
    headers: { ...forwarding.headers, 'x-request-id': forwarding.id, 'content-length': forwarding.body.length }
  })
  let timer = armTimer(forwarding.connectTimeoutMs)

  // The body is handed over only on a connection that exists, so that a failed connection means that no byte left.
  request.on('socket', (socket) => {
    const send = (): void => {
      if (settled) return
      connected = true
      progress()
      request.end(forwarding.body)
    }
    if (socket.connecting) socket.once('connect', send)
    else send()
  })
  request.on('error', () => fail(_failureOf({ connected, reused: request.reusedSocket, answering: response !== undefined })))
  request.on('response', (incoming) => {
    response = incoming
    progress()
    if (incoming.headers['x-not-run'] === 'true' && incoming.statusCode === SERVICE_UNAVAILABLE) return fail('refused')
    if (incoming.headers['x-request-id'] !== forwarding.id) return fail('crossed')
    const isStream = String(incoming.headers['content-type']).startsWith('text/event-stream')
    if (forwarding.stream && isStream) _passOn(incoming, { hooks, progress, settle, fail, pause: (on) => { paused = on } })
    else _collect(incoming, { hooks, progress, settle, fail })
  })

  return {
    cancel: () => {
      settle(() => {})
      request.destroy()
    },
    resume: () => {
      paused = false
      progress()
      response?.resume()
    }
  }
}

interface _Connection {
  readonly connected: boolean
  readonly reused: boolean
  readonly answering: boolean
}

function _failureOf (connection: _Connection): AttemptFailure {
  if (!connection.connected) return 'not_connected'
  return connection.reused && !connection.answering ? 'stale' : 'broken'
}

interface _Control {
  readonly hooks: ForwardingHooks
  progress (): void
  settle (report: () => void): void
  fail (failure: AttemptFailure): void
}

interface _StreamControl extends _Control {
  pause (on: boolean): void
}

function _headOf (incoming: IncomingMessage): AnswerHead {
  return { status: incoming.statusCode ?? 0, contentType: incoming.headers['content-type'] ?? 'application/octet-stream' }
}

function _passOn (incoming: IncomingMessage, control: _StreamControl): void {
  const head = _headOf(incoming)
  let tail = ''
  let tokens = 0
  let started = false
  incoming.on('data', (chunk: Buffer) => {
    control.progress()
    if (!started) control.hooks.started(head)
    started = true
    const text = chunk.toString('latin1')
    tokens += text.split('data: ').length - 1
    tail = (tail + text).slice(-TAIL_BYTES)
    if (control.hooks.piece(chunk)) return
    control.pause(true)
    incoming.pause()
  })
  incoming.on('end', () => {
    if (!incoming.complete || !tail.includes(STREAM_END)) return control.fail('truncated')
    control.settle(() => control.hooks.ended(head, Buffer.alloc(0), Math.max(0, tokens - 1)))
  })
  incoming.on('error', () => control.fail('broken'))
}

function _collect (incoming: IncomingMessage, control: _Control): void {
  const chunks: Buffer[] = []
  let bytes = 0
  incoming.on('data', (chunk: Buffer) => {
    control.progress()
    bytes += chunk.length
    chunks.push(chunk)
    if (bytes > MAX_COLLECTED_BYTES) control.fail('truncated')
  })
  incoming.on('end', () => {
    if (!incoming.complete) return control.fail('truncated')
    const body = Buffer.concat(chunks)
    control.settle(() => control.hooks.ended(_headOf(incoming), body, _tokensOf(body)))
  })
  incoming.on('error', () => control.fail('broken'))
}

function _tokensOf (body: Buffer): number {
  const found = /"completion_tokens":\s*(\d+)/.exec(body.toString('latin1'))
  return Number(found?.[1] ?? 0)
}
