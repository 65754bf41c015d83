import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage, type OutgoingHttpHeaders } from 'node:http'
import { findHeaderFault } from '@berylshed/platform'
import type { AttemptFailure } from '@berylshed/requests'

/** Maximum size of a response that is buffered before it is forwarded to the caller, in bytes. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024
/** Number of bytes at the end of a stream that are searched for its closing event. */
const TAIL_BYTES = 64
const STREAM_END = 'data: [DONE]'
const SERVICE_UNAVAILABLE = 503
const FIRST_SUCCESS = 200
const LAST_FAILURE = 599

/** Options for `forwardRequest`, which makes one attempt at an upstream. */
export interface ForwardOptions {
  /** Id of the attempt; the response must carry it in its `x-request-id` header. */
  readonly id: string
  /** Host and port of the upstream. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: OutgoingHttpHeaders
  readonly body: Buffer
  /** Whether the caller requested a stream of server-sent events. */
  readonly stream: boolean
  /** Whether the attempt may use an idle keep-alive connection, which the upstream may close at the same moment. */
  readonly reuseConnection: boolean
  /** Time within which the connection must be established, in ms. */
  readonly connectTimeoutMs: number
  /** Time without data from the upstream after which its silence is reported, in ms. */
  readonly progressTimeoutMs: number
}

/** Status and content type of a response. */
export interface AnswerHead {
  readonly status: number
  readonly contentType: string
}

/** Callbacks of an attempt. Exactly one of `ended` and `failed` is called, or neither if the attempt is cancelled. */
export interface ForwardHooks {
  /** Called with the first data of a stream. */
  started (head: AnswerHead): void
  /** Called with each chunk of a stream; returns false to pause the upstream until `resume` is called. */
  chunk (chunk: Buffer): boolean
  /** Called when the response is complete; `body` is empty for a stream. */
  ended (head: AnswerHead, body: Buffer, tokens: number): void
  /** Called each time that nothing has come for the progress timeout; the attempt goes on unless it is cancelled. */
  silent (): void
  /** Called when the attempt fails, with the reason. */
  failed (failure: AttemptFailure): void
}

/** Controls an attempt in progress. */
export interface ForwardHandle {
  /** Aborts the attempt without a further callback. */
  cancel (): void
  /** Resumes a stream after `chunk` returned false. */
  resume (): void
}

const keepAliveAgent = new Agent({ keepAlive: true, maxSockets: 256, maxFreeSockets: 16 })

/** Sends a request to an upstream once, validates the response and forwards it through the callbacks. */
export function forwardRequest (options: ForwardOptions, hooks: ForwardHooks): ForwardHandle {
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

  function startTimer (timeoutMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      if (paused) return
      if (!connected) return fail('not_connected')
      recordProgress()
      hooks.silent()
    }, timeoutMs)
  }

  function recordProgress (): void {
    clearTimeout(timer)
    if (!settled) timer = startTimer(options.progressTimeoutMs)
  }

  const request: ClientRequest = httpRequest({
    host: options.address.split(':')[0],
    port: Number(options.address.split(':')[1]),
    method: options.method,
    path: options.path,
    agent: options.reuseConnection ? keepAliveAgent : false,
    headers: { ...options.headers, 'x-request-id': options.id, 'content-length': options.body.length }
  })
  let timer = startTimer(options.connectTimeoutMs)

  // The body is written only after the connection is established, so `not_connected` means that no byte was sent.
  request.on('socket', (socket) => {
    const send = (): void => {
      if (settled) return
      connected = true
      recordProgress()
      request.end(options.body)
    }
    if (socket.connecting) socket.once('connect', send)
    else send()
  })
  request.on('error', () => fail(_classifyFailure({ connected, reused: request.reusedSocket, responding: response !== undefined })))
  // Node reports no error if it drops a connection whose protocol the upstream switches.
  request.on('upgrade', (_response, socket) => {
    socket.destroy()
    fail('broken')
  })
  request.on('response', (incoming) => {
    response = incoming
    recordProgress()
    const status = incoming.statusCode ?? 0
    if (status < FIRST_SUCCESS || status > LAST_FAILURE || findHeaderFault(incoming.rawHeaders) !== undefined) return fail('broken')
    if (incoming.headers['x-not-run'] === 'true' && incoming.statusCode === SERVICE_UNAVAILABLE) return fail('refused')
    if (incoming.headers['x-request-id'] !== options.id) return fail('crossed')
    const isStream = String(incoming.headers['content-type']).startsWith('text/event-stream')
    if (options.stream && isStream) _relayStream(incoming, { hooks, recordProgress, settle, fail, setPaused: (isPaused) => { paused = isPaused } })
    else _bufferBody(incoming, { hooks, recordProgress, settle, fail })
  })

  return {
    cancel: () => {
      settle(() => {})
      request.destroy()
    },
    resume: () => {
      paused = false
      recordProgress()
      response?.resume()
    }
  }
}

interface _ConnectionState {
  readonly connected: boolean
  readonly reused: boolean
  readonly responding: boolean
}

function _classifyFailure (connection: _ConnectionState): AttemptFailure {
  if (!connection.connected) return 'not_connected'
  return connection.reused && !connection.responding ? 'stale' : 'broken'
}

interface _ResponseControl {
  readonly hooks: ForwardHooks
  recordProgress (): void
  settle (report: () => void): void
  fail (failure: AttemptFailure): void
}

interface _StreamControl extends _ResponseControl {
  setPaused (isPaused: boolean): void
}

function _headOf (incoming: IncomingMessage): AnswerHead {
  return { status: incoming.statusCode ?? 0, contentType: incoming.headers['content-type'] ?? 'application/octet-stream' }
}

function _relayStream (incoming: IncomingMessage, control: _StreamControl): void {
  const head = _headOf(incoming)
  let tail = ''
  let tokens = 0
  let started = false
  incoming.on('data', (chunk: Buffer) => {
    control.recordProgress()
    if (!started) control.hooks.started(head)
    started = true
    const text = chunk.toString('latin1')
    tokens += text.split('data: ').length - 1
    tail = (tail + text).slice(-TAIL_BYTES)
    if (control.hooks.chunk(chunk)) return
    control.setPaused(true)
    incoming.pause()
  })
  incoming.on('end', () => {
    if (!incoming.complete || !tail.includes(STREAM_END)) return control.fail('truncated')
    control.settle(() => control.hooks.ended(head, Buffer.alloc(0), Math.max(0, tokens - 1)))
  })
  incoming.on('error', () => control.fail('broken'))
}

function _bufferBody (incoming: IncomingMessage, control: _ResponseControl): void {
  const chunks: Buffer[] = []
  let bytes = 0
  incoming.on('data', (chunk: Buffer) => {
    control.recordProgress()
    bytes += chunk.length
    chunks.push(chunk)
    if (bytes > MAX_BUFFERED_BYTES) control.fail('truncated')
  })
  incoming.on('end', () => {
    if (!incoming.complete) return control.fail('truncated')
    const body = Buffer.concat(chunks)
    control.settle(() => control.hooks.ended(_headOf(incoming), body, _countTokens(body)))
  })
  incoming.on('error', () => control.fail('broken'))
}

function _countTokens (body: Buffer): number {
  const found = /"completion_tokens":\s*(\d+)/.exec(body.toString('latin1'))
  return Number(found?.[1] ?? 0)
}
