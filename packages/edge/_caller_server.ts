import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { chooseService, matchRoute, type Configuration, type Route } from '@berylshed/fleet'
import { findHeaderFault, localResponseHeaders, readHandoverHeaders, readRequestHeaders, type HandoverMetadata, type RequestMetadata } from '@berylshed/platform'
import { refusal, type ReceivedRequest, type RefusalReason } from '@berylshed/serving'
import type { Admission } from './_admission.ts'
import { trackConnections, type Connections } from './_connections.ts'
import { sendRefusal, type CallerExchange } from './_exchanges.ts'
import { identifiedFields, identifyCaller, type CallerIdentity } from './_identify_caller.ts'
import { readRequestBody, type BodyFailure, type BodyLimits } from './_request_body.ts'
import type { EdgeState } from './edge_state.ts'

/** Maximum size of request headers, in bytes: twice the limit of current configurations. */
const MAX_HEADER_BYTES = 32 * 1024
/** Time for which an idle connection stays open beyond the time in which callers may reuse it, in ms. */
const IDLE_SLACK_MS = 2000
const DEFAULT_IDLE_MS = 30_000
/** Retry delay sent to callers while the instance has no configuration, in ms. */
const NOT_CONFIGURED_RETRY_MS = 500
/** Retry delay sent to callers while the instance has no memory or descriptors for their requests, in ms: some times the usual duration of a request. */
const SHORT_RETRY_MS = 1000
/** Maximum time that a body waits for memory, in ms: that of some hundred large bodies over the instance's link. */
const MEMORY_WAIT_MS = 5000
/** The same as a share of the time that the caller waits; the rest is for the response. */
const MEMORY_WAIT_SHARE = 0.65
/** Multiple of the configured header timeout after which a slow sender is disconnected; tolerates short pauses. */
const HEADER_TIMEOUT_FACTOR = 2
/** Timeout for receiving a whole request, in ms; longer than the timeout of any current route. */
const REQUEST_TIMEOUT_MS = 60_000
/** Characters of a path that Node's parser accepts and its writer refuses. */
const UNWRITABLE_IN_PATH = /[^\x21-\xff]/
/** Memory of a header's name or value beside its characters, in bytes. */
const HEADER_TEXT_BYTES = 64
const TUNNEL_STATUS = 405
const UNAUTHORIZED = 401
const REQUEST_TIMEOUT = 'ERR_HTTP_REQUEST_TIMEOUT'

/** Options of {@linkcode createCallerServer}. */
export interface CallerServerOptions {
  /** Whether other instances connect, which hand over requests of their callers. */
  readonly forInstances: boolean
  readonly admission: Admission
  nowMs (): number
  random (): number
  state (): EdgeState
  receive (request: ReceivedRequest, exchange: CallerExchange): void
  /**
   * Called for each request that is rejected before routing; the status is 0 if its connection had been announced to end. The first characters
   * of the digest of its key are given if the key is the reason.
   */
  rejected (callerId: string, status: number, reason: string, keyDigest?: string): void
  /** Called when a caller has ended its sending side and waits for the response to a request. */
  halfClosed (callerId: string): void
}

/** HTTP server for callers. */
export interface CallerServer {
  readonly server: Server
  readonly connections: Connections
  /** Refuses the requests whose bodies have not arrived yet. */
  refuseArriving (): void
  /** Applies the limits of a configuration. */
  configure (configuration: Configuration): void
}

interface _Call {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly facts: RequestMetadata
  readonly arrivedAtMs: number
  readonly callerAddress: string
  /** What the instance that hands the request over tells; undefined if it comes from a caller. */
  readonly handover: HandoverMetadata | undefined
}

interface _RejectOptions {
  readonly endsConnection?: boolean
  readonly keyDigest?: string
}

interface _RoutedCall {
  readonly route: Route
  readonly caller: Exclude<CallerIdentity, { kind: 'rejected' }>
}

/** Creates the HTTP server for callers; it does not listen yet. */
export function createCallerServer (options: CallerServerOptions): CallerServer {
  let requestCount = 0
  const arriving = new Set<_Call>()

  function reject (call: _Call, status: number, reason: string, { endsConnection = false, keyDigest }: _RejectOptions = {}): void {
    options.rejected(call.facts.id, status, reason, keyDigest)
    if (call.response.headersSent || call.response.destroyed) return
    const body = JSON.stringify({ error: { reason, outcome: 'not run' } })
    call.response.writeHead(status, { ...localResponseHeaders(call.facts.id, undefined, { notRun: call.handover !== undefined, needsKey: status === UNAUTHORIZED }), 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body), ...mayEnd(call.response, endsConnection) ? { Connection: 'close' } : {} }).end(body)
  }

  // A stopping instance asks callers to reconnect to another one.
  function mayEnd (response: ServerResponse, isWanted: boolean): boolean {
    const mustEnd = isWanted || connections.isCrowded(response)
    return (mustEnd || options.state().draining) && connections.announceEnd(response, mustEnd)
  }

  // What else a caller has sent without waiting is dropped with its connection, and not run.
  function refuse ({ response, facts, handover }: _Call, reason: RefusalReason, retryAfterMs: number, endsConnection = false): void {
    const refused = refusal(reason, { mayHaveRun: false, retryAfterMs })
    options.rejected(facts.id, refused.status, refused.reason)
    sendRefusal(response, refused, { callerId: facts.id, close: mayEnd(response, endsConnection), relayed: handover !== undefined })
  }

  function rejectBody (call: _Call, failure: Exclude<BodyFailure, 'answered'>): void {
    if (failure === 'too_large') return reject(call, 413, 'body_too_large')
    if (failure === 'memory_short') return refuse(call, failure, SHORT_RETRY_MS)
    // The rest of the body would hold the connection.
    reject(call, 408, 'body_stalled', { endsConnection: true })
  }

  function bodyLimits ({ response, facts: { callerTimeoutMs = Infinity } }: _Call, maxBytes: number): BodyLimits {
    return {
      maxBytes,
      budget: options.admission.requestBodies,
      waitMs: Math.min(MEMORY_WAIT_MS, callerTimeoutMs * MEMORY_WAIT_SHARE),
      whenClosed: (closed) => connections.whenClosed(response, () => closed(response.writableEnded))
    }
  }

  // What still arrives of the body is dropped.
  function rejectKey (call: _Call, { reason, digestPrefix }: Extract<CallerIdentity, { kind: 'rejected' }>): void {
    call.request.resume()
    reject(call, UNAUTHORIZED, reason, digestPrefix === '' ? {} : { keyDigest: digestPrefix })
  }

  function identify ({ request, handover }: _Call, route: Route): CallerIdentity {
    return identifyCaller(options.state(), { route, headers: request.rawHeaders, handedOver: handover?.identity })
  }

  async function handle (call: _Call): Promise<void> {
    const { request, response, facts } = call
    const { socket } = request
    if (findHeaderFault(request.rawHeaders) !== undefined || UNWRITABLE_IN_PATH.test(request.url ?? '')) return reject(call, 400, 'malformed_head')
    const state = options.state()
    if (state.configuration === undefined) {
      await _drainBody(request)
      return refuse(call, 'not_configured', NOT_CONFIGURED_RETRY_MS)
    }
    const path = request.url ?? '/'
    const findRoute = (): Route | undefined => matchRoute(options.state().routes, request.headers.host ?? '', { path })
    const claimedRoute = findRoute()
    const claimed = claimedRoute === undefined ? undefined : identify(call, claimedRoute)
    if (claimed?.kind === 'rejected') return rejectKey(call, claimed)
    if (!await connections.mayRead(response)) return options.rejected(facts.id, 0, 'connection_ended')
    const read = await readRequestBody(request, bodyLimits(call, state.configuration.limits.maxBodyBytes))
    if (typeof read !== 'string') connections.whenClosed(response, read.reservation.release)
    if (read === 'answered') return
    if (!await connections.turn(response)) return options.rejected(facts.id, 0, 'connection_ended')
    arriving.delete(call)
    // The instance may have refused the request meanwhile.
    if (response.headersSent) return
    if (typeof read === 'string') return rejectBody(call, read)
    const body = read.bytes
    // Reads the state again, as the configuration may have changed while the body arrived.
    const route = findRoute()
    if (route === undefined) return reject(call, 404, 'no_route')
    const caller = identify(call, route)
    if (caller.kind === 'rejected') return rejectKey(call, caller)
    if (facts.id === '') return reject(call, 400, 'no_request_id')
    requestCount += 1
    const id = `${options.forInstances ? 'r' : 'c'}${requestCount.toString(36)}.${facts.id}`
    const received = toReceivedRequest(call, { route, caller }, { id, body })
    options.receive(received, {
      id, callerId: facts.id, callerAddress: call.callerAddress, relayed: call.handover !== undefined, ...caller.kind === 'open' ? {} : { identity: caller.identity, keyDigest: caller.keyDigest }, method: request.method ?? 'GET', path, headers: request.rawHeaders, body, deadlineMs: received.deadlineMs, response, hasEndedSending: () => socket.readableEnded, announceEnd: () => connections.announceEnd(response), mustEnd: () => connections.isCrowded(response)
    })
  }

  function toReceivedRequest (call: _Call, { route, caller }: _RoutedCall, identified: { readonly id: string, readonly body: Buffer }): ReceivedRequest {
    const { facts, arrivedAtMs, handover } = call
    const resumable = route.repetition === 'streaming' && route.resumable
    return {
      id: identified.id,
      callerId: facts.id,
      fingerprint: _fingerprint(call.request, identified.body),
      promptParts: facts.promptParts,
      promptPartTokens: facts.promptPartTokens,
      ...facts.tokens === undefined ? {} : { promptTokens: facts.tokens.prompt, outputTokens: facts.tokens.output },
      ...route.sticky === true ? { sticky: true } : {},
      resumedAttempt: facts.lastEventId === undefined ? undefined : facts.resumedAttempt ?? '',
      route: route.name,
      service: chooseService(route, options.random()),
      model: facts.model,
      adapter: facts.adapter,
      stream: route.repetition === 'streaming',
      retryable: route.repetition === 'idempotent' || resumable,
      maxRuns: Math.max(1, handover?.maxRuns ?? route.maxAttempts),
      ...identifiedFields(options.state(), caller, { route, tokens: facts.tokens }),
      objectiveMs: route.objectiveMs,
      ...route.patienceMs === undefined ? {} : { leavesAtMs: arrivedAtMs + route.patienceMs },
      arrivedAtMs,
      deadlineMs: arrivedAtMs + Math.min(route.timeoutMs, facts.callerTimeoutMs ?? Infinity),
      ...handover === undefined ? {} : { handover: { softwareVersion: handover.softwareVersion } }
    }
  }

  async function handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!connections.accepts(response)) {
      request.resume()
      return options.rejected(readRequestHeaders(request.headers).id, 0, 'connection_ending')
    }
    const handover = options.forInstances ? readHandoverHeaders(request.headers) : undefined
    const callerAddress = handover?.callerAddress ?? request.socket.remoteAddress ?? ''
    const call = { request, response, facts: readRequestHeaders(request.headers), arrivedAtMs: options.nowMs(), callerAddress, handover }
    const refusedFor = connections.refusalOf(response)
    const admitted = refusedFor ?? options.admission.admit(_headBytes(request))
    if (typeof admitted === 'string') {
      request.resume()
      return refuse(call, admitted, SHORT_RETRY_MS, refusedFor !== undefined || connections.hasMore(response))
    }
    connections.whenClosed(response, admitted.release)
    arriving.add(call)
    try {
      await handle(call)
    } finally {
      arriving.delete(call)
    }
  }

  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS, keepAliveTimeout: DEFAULT_IDLE_MS + IDLE_SLACK_MS }, (request, response) => {
    handleRequest(request, response).catch((error: unknown) => {
      const { id: callerId } = readRequestHeaders(request.headers)
      options.rejected(callerId, 400, error instanceof Error ? error.message : String(error))
      // A request that broke off has nobody to answer.
      if (request.errored !== null || response.socket?.writable !== true) response.destroy()
      else sendRefusal(response, refusal('internal_error', { mayHaveRun: true }), { callerId, close: connections.announceEnd(response), relayed: options.forInstances })
    })
  })
  const connections = trackConnections(server, { admission: options.admission, refused: (reason) => options.rejected('', 0, reason), nowMs: options.nowMs, allowHalfOpen: !options.forInstances, halfClosed: ({ req }) => options.halfClosed(readRequestHeaders(req.headers).id) })
  server.on('connect', (_request, socket) => {
    // Node has removed its own listener.
    socket.on('error', () => {})
    options.rejected('', TUNNEL_STATUS, 'tunnel')
    connections.endUnreadable(socket, TUNNEL_STATUS)
    socket.resume()
  })
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (!socket.writable) return
    // The rest of a head that took long may wait here.
    if (error.code === REQUEST_TIMEOUT && connections.isHeld(socket)) return
    const status = _clientErrorStatus(error.code)
    options.rejected('', status, error.code ?? error.message)
    connections.endUnreadable(socket, status)
  })

  function refuseArriving (): void {
    for (const call of arriving) refuse(call, 'shutting_down', 0)
    arriving.clear()
  }

  function configure (configuration: Configuration): void {
    server.keepAliveTimeout = configuration.limits.idleTimeoutMs + IDLE_SLACK_MS
    server.headersTimeout = configuration.limits.headerTimeoutMs * HEADER_TIMEOUT_FACTOR
  }

  return { server, connections, configure, refuseArriving }
}

function _clientErrorStatus (code: string | undefined): number {
  if (code === 'HPE_HEADER_OVERFLOW') return 431
  return code === REQUEST_TIMEOUT ? 408 : 400
}

// Returns the memory of the header names and values of a request.
function _headBytes ({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + HEADER_TEXT_BYTES, url.length)
}

async function _drainBody (request: IncomingMessage): Promise<void> {
  request.resume()
  await new Promise((resolve) => request.once('end', resolve).once('close', resolve))
}

// Several callers may send the same request, and each of them would crash as many upstreams if it were counted by itself.
function _fingerprint (request: IncomingMessage, body: Buffer): string {
  const name = `${request.method ?? ''}\n${request.headers.host ?? ''}\n${request.url ?? ''}\n`
  return createHash('sha256').update(name).update(body).digest('base64url').slice(0, 22)
}
