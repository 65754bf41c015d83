import { Agent, request as httpRequest, type ClientRequest, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { findHeaderFault, readResponseHeaders, type ResponseMetadata } from '@berylshed/platform'
import type { AttemptFailure } from '@berylshed/serving'
import { collectBody, type ResponseBody } from './_response_body.ts'
import type { HeldMemory, HoldingOptions, ResponseMemory } from './_response_memory.ts'
import { createEventSplitter } from './_split_events.ts'

/** Maximum size of a body, in bytes. */
const MAX_BODY_BYTES = 16 * 1024 * 1024
/** Size up to which a body is held before larger ones that wait, in bytes: a small part of any budget. */
const SMALL_BODY_BYTES = 64 * 1024
/** Maximum size of an incomplete event, in bytes; events hold a few tokens. */
const MAX_EVENT_BYTES = 1024 * 1024
/** The same while little memory is free. */
const MAX_CONTENDED_EVENT_BYTES = 64 * 1024
/** Maximum number of interim responses (status 1xx) to a request. */
const MAX_INTERIM_RESPONSES = 16
/** Time after which an idle connection is closed, in ms. Upstreams close idle connections after 1,500 ms or more. */
const MAX_IDLE_CONNECTION_MS = 1000
const MAX_IDLE_CONNECTIONS = 64
/** Interval at which it is asked again whether a silent attempt is given up, in ms. */
const SILENCE_RECHECK_MS = 200
const FIRST_SUCCESS = 200
const NO_CONTENT = 204
const NOT_MODIFIED = 304
const FIRST_REDIRECT = 300
const FIRST_FAILURE = 500
const LAST_FAILURE = 599
const EVENT_STREAM = 'text/event-stream'
/**
 * Bytes written to a connection that appears to have been closed cleanly. Node reports data and a reset that arrive
 * together as a clean end. A write to a reset connection fails, while a closed one accepts and discards the bytes.
 */
const END_PROBE = '\r\n'
/** Statuses that imply that a request was not executed; accepted only if the upstream itself states or signs them. */
const NOT_RUN_STATUSES = [408, 429, 503]

/** Kind of response that answers a request. */
export type ExpectedResponse =
  /** A response that is passed on once all of it has arrived. */
  | 'whole'
  /** A stream of events, or a failure as a whole response. */
  | 'stream'
  /** Only further events of a stream of which the caller has received the beginning in this response. */
  | 'continuation'

/** An attempt of a request at an upstream. */
export interface ForwardedAttempt {
  /** Attempt id that the response must carry. */
  readonly id: string
  readonly host: string
  readonly port: number
  readonly method: string
  readonly path: string
  /** Alternating header names and values. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** What kind of response answers the request. */
  readonly expects: ExpectedResponse
  /** Last event that was forwarded, if the response has to be a continuation. */
  readonly lastEventId: string | undefined
  /** Whether a statement that the request was not executed counts only with its id, as another request must not run twice for it. */
  readonly runsOnce: boolean
  /** Whether an idle connection may be reused, at the risk that the upstream is closing it. */
  readonly reuseConnection: boolean
  readonly connectTimeoutMs: number
  /** Timeout for the first byte of the response body, in ms; Infinity if only the deadline applies. */
  readonly firstByteTimeoutMs: number
  /** Timeout between two events of a stream, in ms; Infinity if only the deadline applies. */
  readonly eventTimeoutMs: number
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number
  /** Alternating header names and values. */
  readonly headers: readonly string[]
}

/** What an upstream says of itself in a response. */
export type Announcement = Pick<ResponseMetadata, 'requestLimitPerS' | 'leaving' | 'retryAfterMs' | 'maxRejectionsPerS'>

/** Callbacks of an attempt. Exactly one of `ended` and `failed` is called unless the attempt is cancelled. */
export interface AttemptHooks {
  /** Called for each response to the attempt with what the upstream says of itself. */
  announced (announcement: Announcement): void
  /** Passes on complete events of a stream with the memory that they hold. Returns false to pause the stream until `resume` is called. */
  events (head: ResponseHead, events: PassedEvents): boolean
  /** Reports whether an attempt that makes no progress is given up; one that nothing can follow goes on. */
  mayGiveUp (): boolean
  /** Called when the response is complete; `body` is undefined for a stream, whose events were relayed. */
  ended (head: ResponseHead, body: ResponseBody | undefined): void
  /** Called when the attempt failed; `errorResponse` is the response if the upstream itself reported an error. */
  failed (failure: AttemptFailure, detail: string, errorResponse?: BufferedResponse): void
}

/** Complete events of a stream. */
export interface PassedEvents {
  readonly chunk: Buffer
  readonly lastEventId: string | undefined
  /** What the events hold, to be released by the receiver. */
  readonly memory: HeldMemory
}

/** A complete response, whose memory is to be released by its receiver. */
export interface BufferedResponse {
  readonly head: ResponseHead
  readonly body: ResponseBody
}

/** An attempt in progress. */
export interface RunningAttempt {
  /** Aborts the attempt without calling `ended` or `failed`. */
  cancel (): void
  /** Resumes a stream after `events` returned false. */
  resume (): void
}

// Agents pass unknown options on to their sockets. A half-open socket can still be probed after the peer has ended it.
const HALF_OPEN: object = { allowHalfOpen: true }
/** Opens a connection for each request. */
const freshConnections = new Agent({ ...HALF_OPEN, keepAlive: false })
const keptConnections = new Agent({ ...HALF_OPEN, keepAlive: true, maxFreeSockets: MAX_IDLE_CONNECTIONS, timeout: MAX_IDLE_CONNECTION_MS })

/**
 * Sends a request to an upstream once, and validates and passes on the response.
 *
 * @param attempt The request, its upstream and the timeouts.
 * @param hooks The callbacks for the response.
 * @param memory What responses may hold.
 * @returns The attempt in progress.
 *
 * @example
 * ```ts
 * const running = forwardAttempt(attempt, hooks, shareResponseMemory(createMemoryBudget(64 * 1024 * 1024)))
 * running.cancel()
 * ```
 */
export function forwardAttempt (attempt: ForwardedAttempt, hooks: AttemptHooks, memory: ResponseMemory): RunningAttempt {
  let settled = false
  let connected = false
  /** Whether the caller does not read the stream. */
  let paused = false
  /** Whether the response is not read until there is memory for it. */
  let starved = false
  /** What the end of the response leads to that came before there was memory for the rest of it. */
  let endHeld = (): void => {}
  let response: IncomingMessage | undefined
  let timer: NodeJS.Timeout | undefined
  let judgement: NodeJS.Immediate | undefined
  let cleanEnd = Promise.resolve(true)
  let release = (): void => {}

  // The receiver of a complete response also takes over its memory.
  function settle (report: () => void, keepsMemory = false): void {
    if (settled) return
    settled = true
    disarm()
    if (!keepsMemory) release()
    report()
  }

  function fail (failure: AttemptFailure, detail: string): void {
    settle(() => hooks.failed(failure, detail))
    request.destroy()
  }

  function disarm (): void {
    clearTimeout(timer)
    clearImmediate(judgement)
  }

  // After a stall of this process its timers come before what has arrived meanwhile, which is read first.
  function arm (timeoutMs: number, failure: AttemptFailure): void {
    disarm()
    if (settled || timeoutMs === Infinity) return
    const armedAtMs = performance.now()
    const judge = (): void => {
      if (paused || starved) return
      if (failure !== 'silent' || hooks.mayGiveUp()) fail(failure, `no progress within ${Math.round(performance.now() - armedAtMs)} ms`)
      else if (!settled) wait(SILENCE_RECHECK_MS)
    }
    const wait = (durationMs: number): void => {
      timer = setTimeout(() => { judgement = setImmediate(judge) }, durationMs)
    }
    wait(timeoutMs)
  }

  let request: ClientRequest
  try {
    request = openRequest()
  } catch (error) {
    // Node throws at once if the address or a header is invalid, before the caller has the attempt.
    setImmediate(() => settle(() => hooks.failed('not_connected', error instanceof Error ? error.message : String(error))))
    return { cancel: () => settle(() => {}), resume: () => {} }
  }
  arm(attempt.connectTimeoutMs, 'not_connected')

  function openRequest (): ClientRequest {
    return httpRequest({
      host: attempt.host,
      port: attempt.port,
      method: attempt.method,
      path: attempt.path,
      agent: attempt.reuseConnection ? keptConnections : freshConnections,
      setHost: false,
      headers: attempt.headers
    })
  }

  // Sends nothing before the connection is established, so that a failed connection implies that no byte was sent.
  request.on('socket', (socket) => {
    const send = (): void => {
      if (settled) return
      connected = true
      socket.setNoDelay(true)
      arm(attempt.firstByteTimeoutMs, 'silent')
      request.end(attempt.body.length > 0 ? attempt.body : undefined)
    }
    if (socket.connecting) socket.once('connect', send)
    else send()
  })
  request.on('error', (error) => {
    const reused = request.reusedSocket ? ' on a reused connection' : ''
    fail(!connected ? 'not_connected' : _isProtocolError(error) ? 'malformed' : 'broken', `${error.message}${reused}`)
  })
  let interimResponses = 0
  const countInterim = (): void => {
    interimResponses += 1
    if (interimResponses > MAX_INTERIM_RESPONSES) fail('malformed', `more than ${MAX_INTERIM_RESPONSES} interim responses`)
  }
  request.on('information', countInterim)
  request.on('continue', countInterim)
  // Node reports no error if it drops a connection whose protocol the upstream switches.
  request.on('upgrade', (_response, socket) => {
    socket.destroy()
    fail('malformed', 'the upstream switched protocols')
  })
  request.on('close', () => { if (response === undefined) fail('broken', 'connection ended without a response') })
  request.on('response', (incoming) => {
    response = incoming
    if (!_isFramed(incoming)) cleanEnd = _probeEnd(incoming.socket)
    // An upstream that responds before reading the whole body may parse the rest of it as another request.
    if (!request.writableFinished) incoming.once('end', () => request.destroy())
    handleResponse(incoming)
  })

  function handleResponse (incoming: IncomingMessage): void {
    const status = incoming.statusCode ?? 0
    if (status < FIRST_SUCCESS || status > LAST_FAILURE) return fail('malformed', `status ${status} is not that of a final response`)
    const fault = findHeaderFault(incoming.rawHeaders)
    if (fault !== undefined) return fail('malformed', fault)
    const facts = readResponseHeaders(status, incoming.headers)
    if (facts.id !== undefined && facts.id !== attempt.id) return fail('crossed', `response carries attempt id ${facts.id}`)
    if (facts.id === attempt.id) hooks.announced(facts)
    if (facts.notRun && facts.id === undefined && !facts.misdirected && attempt.runsOnce) return fail('malformed', `status ${status} without an attempt id does not tell which request was not executed`)
    if (facts.notRun) return fail(facts.misdirected ? 'misdirected' : 'refused', `status ${status}`)
    if (facts.id === undefined) return fail('malformed', `status ${status} without an attempt id`)
    const succeeded = status >= FIRST_SUCCESS && status < FIRST_REDIRECT
    if (!facts.unencoded || (succeeded && !facts.signed)) return fail('malformed', `status ${status} without a signature or with a content encoding`)
    if (!facts.signed && NOT_RUN_STATUSES.includes(status)) return fail('malformed', `status ${status} without a signature or a statement that the request was not executed`)
    const head: ResponseHead = { status, headers: incoming.rawHeaders }
    if (attempt.expects === 'continuation' && !succeeded) return fail('upstream_error', `status ${status} does not continue the stream`)
    if (!succeeded || attempt.expects === 'whole') return collect(incoming, head)
    const contentType = String(incoming.headers['content-type']).toLowerCase()
    if (!contentType.startsWith(EVENT_STREAM)) return fail('malformed', `status ${status} with content type ${contentType} is not a stream`)
    relayEvents(incoming, head)
  }

  function relayEvents (incoming: IncomingMessage, head: ResponseHead): void {
    const splitter = createEventSplitter()
    const held = hold({ order: 'first' })
    let hasEvents = false
    let { lastEventId } = attempt
    const pass = (chunk: Buffer): void => {
      if (settled) return
      const whole = splitter.push(chunk)
      const limitBytes = Math.min(memory.limitBytes, memory.isContended() ? MAX_CONTENDED_EVENT_BYTES : MAX_EVENT_BYTES)
      if (splitter.partialBytes() > limitBytes) return fail('malformed', `${splitter.partialBytes()} bytes of an event are held, of ${limitBytes} allowed`)
      if (whole === undefined) return
      const fault = _findOrderFault(lastEventId, whole.ids)
      if (fault !== undefined) return fail('malformed', fault)
      hasEvents = true
      lastEventId = whole.ids.at(-1) ?? lastEventId
      arm(attempt.eventTimeoutMs, 'silent')
      const passed = memory.hold({ order: 'first' })
      held.leave(whole.bytes.length, passed)
      if (hooks.events(head, { chunk: whole.bytes, lastEventId: whole.ids.at(-1), memory: passed })) return
      paused = true
      incoming.pause()
    }
    incoming.on('data', (chunk: Buffer) => {
      if (settled) return
      whenHeld(incoming, { held, bytes: chunk.length, timeoutMs: attempt.eventTimeoutMs }, () => pass(chunk))
    })
    whenRead(incoming, () => {
      // Without a length, a stream that was cut before its first event looks like a whole one.
      if (!incoming.complete || splitter.partialBytes() > 0 || !hasEvents) return fail('broken', 'stream ended prematurely')
      whenComplete(incoming, () => hooks.ended(head, undefined))
    })
    incoming.on('error', (error) => fail('broken', error.message))
  }

  function collect (incoming: IncomingMessage, head: ResponseHead): void {
    const length = attempt.method === 'HEAD' || hasNoBody(head.status) ? 0 : _lengthOf(incoming)
    const limitBytes = Math.min(memory.limitBytes, MAX_BODY_BYTES)
    const failTooLarge = (bytes: number): void => fail('malformed', `the response has ${bytes} bytes or more, of ${limitBytes} allowed`)
    if (length !== undefined && length > limitBytes) return failTooLarge(length)
    const held = hold(length === undefined ? { order: 'first', growsTo: limitBytes } : { order: length <= SMALL_BODY_BYTES ? 'first' : 'after' })
    const body = collectBody(held, length)
    incoming.on('error', (error) => fail('broken', error.message))
    const read = (): void => {
      incoming.on('data', (chunk: Buffer) => {
        if (settled) return
        if (body.bytes() + chunk.length > limitBytes) return failTooLarge(body.bytes() + chunk.length)
        whenHeld(incoming, { held, bytes: body.lackingBytes(chunk), timeoutMs: attempt.firstByteTimeoutMs }, () => body.add(chunk))
      })
      whenRead(incoming, () => {
        if (!incoming.complete) return fail('broken', 'response body ended prematurely')
        held.complete()
        if (body.bytes() > 0 && hasNoBody(head.status)) return fail('malformed', `status ${head.status} with a body of ${body.bytes()} bytes`)
        whenComplete(incoming, () => {
          const whole = body.whole()
          if (head.status < FIRST_FAILURE) hooks.ended(head, whole)
          else hooks.failed('upstream_error', `status ${head.status}`, { head, body: whole })
        })
      })
    }
    if (length === undefined || length === 0) return read()
    whenHeld(incoming, { held, bytes: length, timeoutMs: attempt.firstByteTimeoutMs }, read)
  }

  // Node reports the end of a paused response if all of it has arrived with its head.
  function whenRead (incoming: IncomingMessage, then: () => void): void {
    incoming.on('end', () => {
      if (starved) endHeld = then
      else then()
    })
  }

  // Returns a holding that is freed at the end of the attempt.
  function hold (options: HoldingOptions): HeldMemory {
    const held = memory.hold(options)
    release = held.release
    return held
  }

  // Reads no more of the response until the bytes are held. The upstream is not to blame for the wait, so that its timeout begins again.
  function whenHeld (incoming: IncomingMessage, wanted: { readonly held: HeldMemory, readonly bytes: number, readonly timeoutMs: number }, then: () => void): void {
    const { held, bytes, timeoutMs } = wanted
    if (bytes === 0 || ((held.bytes() > 0 || bytes <= SMALL_BODY_BYTES) && held.grow(bytes))) return then()
    starved = true
    incoming.pause()
    let hasWaited = false
    held.growWhenFree(bytes, {
      grown: () => {
        starved = false
        if (hasWaited) arm(timeoutMs, 'silent')
        then()
        if (starved) return
        endHeld()
        if (!paused) incoming.resume()
      },
      stuck: () => fail('malformed', `${held.bytes()} bytes of the response are held, and ${bytes} more are not free: responses that wait for more hold all of ${memory.limitBytes}`)
    })
    hasWaited = true
  }

  function whenComplete (incoming: IncomingMessage, report: () => void): void {
    if (_isFramed(incoming)) return settle(report, true)
    cleanEnd.then((clean) => {
      if (clean) settle(report, true)
      else fail('broken', 'connection was reset at the end of a response without a Content-Length')
    }, (error: unknown) => fail('broken', String(error)))
  }

  return {
    cancel: () => {
      settle(() => {})
      request.destroy()
    },
    resume: () => {
      if (!paused) return
      paused = false
      if (starved) return
      arm(attempt.eventTimeoutMs, 'silent')
      response?.resume()
    }
  }
}

// A stream that starts over, or whose last event cannot be named in the header of a request, cannot be continued.
function _findOrderFault (previous: string | undefined, ids: readonly string[]): string | undefined {
  const repeated = ids.findIndex((id, i) => Number(id) <= Number(i === 0 ? previous : ids[i - 1]))
  if (repeated >= 0) return `event ${JSON.stringify(ids[repeated])} follows event ${JSON.stringify(repeated === 0 ? previous : ids[repeated - 1])}`
  return findHeaderFault(['Last-Event-Id', ids.at(-1) ?? ''])
}

/**
 * Reports whether responses of a status never have a body.
 *
 * @param status The status code of a final response.
 * @returns Whether the response ends with its head.
 *
 * @example
 * ```ts
 * console.log(hasNoBody(204)) // true
 * ```
 */
export function hasNoBody (status: number): boolean {
  return status === NO_CONTENT || status === NOT_MODIFIED
}

// Reports whether the end of a response is known from its headers or status rather than from the end of its connection.
function _isFramed ({ headers, statusCode = 0 }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || hasNoBody(statusCode)
}

// Returns the length of a body that its head names; undefined if the body ends otherwise.
function _lengthOf ({ headers }: IncomingMessage): number | undefined {
  return headers['transfer-encoding'] !== undefined || headers['content-length'] === undefined ? undefined : Number(headers['content-length'])
}

// Reports at the end of a connection whether it was closed cleanly.
function _probeEnd (socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.prependOnceListener('end', () => {
      socket.write(END_PROBE, (error) => resolve(error === undefined || error === null))
    })
  })
}

// Node prefixes the codes of HTTP parser errors with HPE_.
function _isProtocolError (error: NodeJS.ErrnoException): boolean {
  return error.code?.startsWith('HPE_') === true
}
