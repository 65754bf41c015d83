import type { ServerResponse } from 'node:http'
import type { Upstream } from '@berylshed/fleet'
import { attemptHeaders, forwardedResponseHeaders, handoverAnswerHeaders, handoverHeaders, localResponseHeaders, readSoftwareVersion, type RequestIdentity } from '@berylshed/platform'
import { refusal, type Refusal, type Relay, type Request, type AttemptFailure, type ServingEffect, type ServingEvent } from '@berylshed/serving'
import { breakOff } from './_break_off.ts'
import { createDeliveries, type Delivery, type UnreadResponse } from './_deliveries.ts'
import { forwardAttempt, hasNoBody, type Announcement, type ForwardedAttempt, type ResponseHead, type BufferedResponse, type PassedEvents, type RunningAttempt } from './forward_attempt.ts'
import type { MemoryBudget } from './memory_budget.ts'
import type { ResponseBody } from './_response_body.ts'
import { shareResponseMemory } from './_response_memory.ts'

/** Timeout for a connection to an upstream, in ms: many round trips within a region. */
const CONNECT_TIMEOUT_MS = 250
/**
 * Minimum timeout between two events of a stream, in ms. A sound upstream may pause for more than a second; callers abandon a stream
 * after 2 s without an event or four times its latency objective, and another upstream has to start within that time.
 */
const MIN_EVENT_TIMEOUT_MS = 1600
/** Timeout between two events of a stream, as a multiple of its latency objective. */
const EVENT_TIMEOUT_FACTOR = 2
/** Time after its deadline at which an exchange without an outcome is given up, in ms: several ticks, which end requests in time. */
const EXPIRY_SLACK_MS = 200
/** Delay of the last byte of the first events after a caller has ended its sending side, in ms: several round trips within a region. */
const DEPARTURE_PROBE_MS = 40
const METHODS_WITHOUT_BODY = ['GET', 'HEAD', 'OPTIONS', 'DELETE']

/** A caller's request as forwarded to upstreams, and the response to the caller. */
export interface CallerExchange {
  readonly id: string
  readonly callerId: string
  /** Network address of the caller. */
  readonly callerAddress: string
  /** Whether another instance handed the request over. */
  readonly relayed: boolean
  /** Customer of the request; absent if the deployment had no customers when it arrived. */
  readonly identity?: RequestIdentity
  /** Digest of the customer's key; undefined if it was not checked here. */
  readonly keyDigest?: string | undefined
  readonly method: string
  readonly path: string
  /** Alternating header names and values, as the caller sent them. */
  readonly headers: readonly string[]
  readonly body: Buffer
  /** Local time of the deadline, in ms. */
  readonly deadlineMs: number
  readonly response: ServerResponse
  /** Reports whether the caller has ended its sending side, as one that has left also does. */
  hasEndedSending (): boolean
  /** Announces with the response that the connection ends, and returns whether that is possible. */
  announceEnd (): boolean
  /** Reports whether the connection ends with the response, as what the caller had sent behind its request was dropped. */
  mustEnd (): boolean
}

/** Options of {@linkcode createExchanges}. */
export interface ExchangesOptions {
  /** Memory for responses, from the first byte of a body or an event until it is written to the caller's connection. */
  readonly responses: MemoryBudget
  nowMs (): number
  /** Returns the registration of an upstream, or undefined if it is no longer registered. */
  upstream (id: string): Upstream | undefined
  /** Reports whether the deployment has customers, so that no key and no name that a caller states may reach an upstream. */
  hasCustomers (): boolean
  /** Reports whether callers are asked to reconnect to another instance. */
  isDraining (): boolean
  /** Reports whether the silent attempt of a request is given up for another one. */
  mayContinue (id: string): boolean
  /** Reports whether the origin of a request's stream has to be stored before its first event is forwarded. */
  needsStoredOrigin (id: string): boolean
  dispatch (event: ServingEvent): void
  /** Called with an exception that ended an exchange. */
  failed (error: unknown): void
  /** Called when a connection ended before all of a response was written that had been handed to it. */
  undelivered (exchange: CallerExchange): void
  /** Called when a request has ended because its key was removed. */
  revoked (exchange: CallerExchange): void
  /** Called when a caller that did not read its response was cut off, as others waited for memory. */
  unread (exchange: CallerExchange, unread: UnreadResponse): void
}

interface _OpenExchange {
  readonly exchange: CallerExchange
  /** What is handed to the caller's connection. */
  readonly delivery: Delivery
  running: RunningAttempt | undefined
  buffered: BufferedResponse | undefined
  /** Last event that was forwarded. */
  lastEventId: string | undefined
  /** Software version of the upstream that runs the request. */
  softwareVersion: string | undefined
  /** Whether a relay runs the request. */
  isRelayed: boolean
  /** Whether the stream has shown that a caller which has ended its sending side is still there. */
  isProbed: boolean
  /** Last byte of the events that probe the caller; undefined once it is written. */
  tail: Buffer | undefined
  /** First events of a stream whose origin is being stored. */
  held: _HeldEvents | undefined
  /** Whether the request was sent at least once, and may have run. */
  isSent: boolean
  /** Whether the request has ended because its key was removed. */
  isRevoked: boolean
}

/** Open exchanges of an instance with its callers. */
export interface Exchanges {
  open (exchange: CallerExchange): void
  /** Carries out an effect of request serving. An exception ends the exchange that it concerns. */
  perform (effect: ServingEffect): void
  /** Ends the requests whose keys are no longer those of their customers. */
  revoke (isHeldBy: (keyDigest: string, customer: string) => boolean): void
  /** Ends an exchange whose request cannot be handled any further. */
  giveUp (id: string): void
  /** Gives up the exchanges whose deadline has passed without an outcome, and cuts off callers that do not read while others wait for memory. */
  expire (): void
  /** Returns the number of open exchanges. */
  size (): number
  /** Returns the number of exchanges with an attempt, as of the last expiry. */
  running (): number
}

/** Creates an empty set of open exchanges. */
export function createExchanges (options: ExchangesOptions): Exchanges {
  const openExchanges = new Map<string, _OpenExchange>()
  let runningCount = 0
  const memory = shareResponseMemory(options.responses)
  const deliveries = createDeliveries({ memory, nowMs: options.nowMs, unread: options.unread })

  function open (exchange: CallerExchange): void {
    const { id, response } = exchange
    const delivery = deliveries.open(exchange)
    openExchanges.set(id, { exchange, delivery, running: undefined, buffered: undefined, lastEventId: undefined, softwareVersion: undefined, isRelayed: false, isProbed: false, tail: undefined, held: undefined, isSent: false, isRevoked: false })
    response.on('drain', () => openExchanges.get(id)?.running?.resume())
    response.on('close', () => {
      const isWhole = response.writableEnded || delivery.isWhole()
      delivery.release()
      if (isWhole && !response.writableFinished && !delivery.isCut()) options.undelivered(exchange)
      else if (!isWhole) options.dispatch({ kind: 'caller_left', id, nowMs: options.nowMs() })
      if (openExchanges.get(id)?.running === undefined) remove(id)
    })
  }

  // Frees what has not been handed to the caller's connection.
  function remove (id: string): void {
    const entry = openExchanges.get(id)
    if (entry === undefined) return
    openExchanges.delete(id)
    entry.buffered?.body.memory.release()
    entry.held?.events.memory.release()
    entry.buffered = undefined
    entry.held = undefined
  }

  function send (effect: _Send): void {
    const entry = openExchanges.get(effect.request.id)
    if (entry === undefined) return
    if (effect.relay === undefined) sendToUpstream(entry, effect)
    else sendToRelay(entry, effect, effect.relay)
  }

  function sendToUpstream (entry: _OpenExchange, effect: _Send): void {
    const { request, attempt } = effect
    const upstream = options.upstream(effect.upstream)
    if (upstream === undefined) return fail(request.id, attempt, { failure: 'not_connected', detail: 'upstream is not registered' })
    entry.softwareVersion = upstream.softwareVersion
    entry.isRelayed = false
    const passed = passedRequest(entry, effect)
    forward(entry, effect, {
      ..._addressOf(upstream.address),
      headers: attemptHeaders({ ...passed, upstream: effect.upstream, rank: request.rank, ...request.routeRank === undefined ? {} : { routeRank: request.routeRank } }),
      reuseConnection: passed.keepAlive,
      firstByteTimeoutMs: effect.patienceMs,
      eventTimeoutMs: _eventTimeoutMs(request)
    })
  }

  function sendToRelay (entry: _OpenExchange, effect: _Send, relay: Relay): void {
    const { request } = effect
    entry.softwareVersion = request.softwareVersion
    entry.isRelayed = true
    const passed = passedRequest(entry, effect)
    forward(entry, effect, {
      ..._addressOf(relay.address),
      headers: handoverHeaders({
        ...passed, callerAddress: entry.exchange.callerAddress, maxRuns: Math.max(1, request.maxRuns - request.runs + 1), softwareVersion: request.softwareVersion
      }),
      reuseConnection: passed.keepAlive,
      firstByteTimeoutMs: effect.patienceMs,
      eventTimeoutMs: Infinity
    })
  }

  function passedRequest (entry: _OpenExchange, effect: _Send) {
    const { exchange, lastEventId } = entry
    const hasBody = !METHODS_WITHOUT_BODY.includes(exchange.method) || exchange.body.length > 0
    // A request that arrived before there were customers belongs to none.
    const identity = exchange.identity ?? (options.hasCustomers() ? { customer: undefined } : undefined)
    return {
      callerHeaders: exchange.headers,
      ...identity === undefined ? {} : { identity },
      remainingMs: effect.request.deadlineMs - options.nowMs(),
      lastEventId,
      bodyBytes: hasBody ? exchange.body.length : undefined,
      // A reused connection may fail for reasons unrelated to the request, which only a retryable request tolerates.
      keepAlive: effect.request.retryable && effect.attempt === 1
    }
  }

  function forward (entry: _OpenExchange, effect: _Send, target: Pick<ForwardedAttempt, 'host' | 'port' | 'headers' | 'reuseConnection' | 'firstByteTimeoutMs' | 'eventTimeoutMs'>): void {
    const { exchange } = entry
    const { request, attempt, relay } = effect
    entry.isSent = true
    entry.running = forwardAttempt({
      id: exchange.callerId,
      runsOnce: !request.retryable,
      method: exchange.method,
      path: exchange.path,
      body: exchange.body,
      expects: !request.stream ? 'whole' : exchange.response.headersSent ? 'continuation' : 'stream',
      lastEventId: entry.lastEventId,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      ...target
    }, {
      announced: (announcement) => { if (relay === undefined) announce(effect.upstream, announcement) },
      events: (head, events) => {
        const mayGoOn = contain(request.id, () => relayEvents(entry, { head, attempt }, events))
        if (mayGoOn === undefined) events.memory.release()
        return mayGoOn ?? false
      },
      mayGiveUp: () => mayGiveUp(entry),
      ended: (head, body) => completeAttempt(entry, { head, attempt }, body),
      failed: (failure, detail, errorResponse) => {
        entry.running = undefined
        entry.held?.events.memory.release()
        entry.held = undefined
        if (errorResponse !== undefined) buffer(entry, errorResponse)
        fail(request.id, attempt, { failure, detail })
        removeIfAbandoned(entry)
      }
    }, memory)
  }

  function buffer (entry: _OpenExchange, buffered: BufferedResponse): void {
    entry.buffered?.body.memory.release()
    entry.buffered = buffered
    if (openExchanges.get(entry.exchange.id) !== entry) buffered.body.memory.release()
  }

  function mayGiveUp (entry: _OpenExchange): boolean {
    const { id } = entry.exchange
    if (options.mayContinue(id)) return true
    options.dispatch({ kind: 'silence_endured', id, nowMs: options.nowMs() })
    return false
  }

  function announce (upstream: string, announcement: Announcement): void {
    const { requestLimitPerS, leaving, retryAfterMs, maxRejectionsPerS } = announcement
    const nowMs = options.nowMs()
    options.dispatch({ kind: 'limit_stated', upstream, perS: requestLimitPerS, nowMs })
    if (leaving || retryAfterMs !== undefined || maxRejectionsPerS !== undefined) options.dispatch({ kind: 'upstream_announced', upstream, leaving, retryAfterMs, maxRejectionsPerS, nowMs })
  }

  // No outcome is delivered to a disconnected caller, so no other code path removes its exchange.
  function removeIfAbandoned (entry: _OpenExchange): void {
    if (entry.exchange.response.destroyed && entry.running === undefined) remove(entry.exchange.id)
  }

  function fail (id: string, attempt: number, failed: { readonly failure: AttemptFailure, readonly detail: string }): void {
    options.dispatch({ kind: 'attempt_failed', id, attempt, ...failed, nowMs: options.nowMs() })
  }

  function relayEvents (entry: _OpenExchange, source: _AttemptResponse, events: PassedEvents): boolean {
    const { response, id } = entry.exchange
    if (entry.held !== undefined) {
      const { source: first, hasEnded, events: { chunk, lastEventId, memory: held } } = entry.held
      events.memory.leave(events.chunk.length, held)
      entry.held = { source: first, hasEnded, events: { chunk: Buffer.concat([chunk, events.chunk]), lastEventId: events.lastEventId ?? lastEventId, memory: held } }
      return false
    }
    if (response.headersSent || entry.isRelayed || !options.needsStoredOrigin(id)) return writeEvents(entry, source, events)
    entry.held = { source, events, hasEnded: false }
    options.dispatch({ kind: 'stream_began', id, attempt: source.attempt, nowMs: options.nowMs() })
    // A store that has just failed is not waited for.
    return entry.held === undefined
  }

  function beginResponse (id: string): void {
    const entry = openExchanges.get(id)
    if (entry?.held === undefined || entry.exchange.response.destroyed) return
    const { source, events, hasEnded } = entry.held
    entry.held = undefined
    const mayResume = writeEvents(entry, source, events)
    if (hasEnded) completeAttempt(entry, source, undefined)
    else if (mayResume) entry.running?.resume()
  }

  function writeEvents (entry: _OpenExchange, source: _AttemptResponse, events: PassedEvents): boolean {
    const { response, id } = entry.exchange
    if (!response.headersSent) {
      if (entry.isRelayed) entry.softwareVersion = _namedVersion(source.head)
      sendHead(entry, source.head, undefined)
      options.dispatch({ kind: 'response_started', id, attempt: source.attempt, softwareVersion: entry.softwareVersion ?? '', nowMs: options.nowMs() })
    }
    entry.lastEventId = events.lastEventId ?? entry.lastEventId
    const chunk = entry.tail === undefined ? events.chunk : Buffer.concat([entry.tail, events.chunk])
    entry.tail = undefined
    if (entry.isProbed || !entry.exchange.hasEndedSending()) return entry.delivery.write(chunk, events.memory)
    // Only the second write fails on a connection that its caller has closed.
    entry.isProbed = true
    entry.tail = Buffer.from(chunk.subarray(-1))
    setTimeout(writeTail, DEPARTURE_PROBE_MS, entry)
    return entry.delivery.write(chunk.subarray(0, -1), events.memory)
  }

  function writeTail (entry: _OpenExchange): void {
    const { tail, exchange: { response } } = entry
    entry.tail = undefined
    if (tail !== undefined && !response.destroyed && !response.writableEnded) response.write(tail)
  }

  function sendHead (entry: _OpenExchange, head: ResponseHead, length: number | undefined): void {
    const { response } = entry.exchange
    const headers = [...forwardedResponseHeaders(head.headers)]
    if (entry.exchange.relayed) headers.push(...handoverAnswerHeaders(entry.softwareVersion ?? ''))
    if (length !== undefined && !hasNoBody(head.status)) headers.push('Content-Length', String(length))
    // A stream may go on for seconds, in which the caller may send another request.
    if (length !== undefined && (options.isDraining() || entry.exchange.mustEnd()) && entry.exchange.announceEnd()) headers.push('Connection', 'close')
    response.sendDate = false
    response.writeHead(head.status, headers)
  }

  function completeAttempt (entry: _OpenExchange, source: _AttemptResponse, body: ResponseBody | undefined): void {
    const { id } = entry.exchange
    if (entry.held !== undefined) {
      entry.held = { ...entry.held, hasEnded: true }
      return
    }
    entry.running = undefined
    if (body !== undefined) buffer(entry, { head: source.head, body })
    options.dispatch({ kind: 'response_ended', id, attempt: source.attempt, status: source.head.status, nowMs: options.nowMs() })
    removeIfAbandoned(entry)
  }

  function finish (id: string): void {
    const entry = openExchanges.get(id)
    if (entry === undefined) return
    const { exchange: { response }, buffered } = entry
    if (!response.destroyed && !response.headersSent && buffered !== undefined) {
      sendHead(entry, buffered.head, buffered.body.bytes)
      entry.buffered = undefined
      entry.delivery.end(buffered.body)
    } else if (!response.destroyed) {
      writeTail(entry)
      response.end()
    }
    remove(id)
  }

  function abort (id: string): void {
    const entry = openExchanges.get(id)
    if (entry !== undefined) breakOff(entry.exchange.response)
    remove(id)
  }

  function refuse (id: string, refused: Refusal): void {
    const entry = openExchanges.get(id)
    if (entry === undefined) return
    const { response, callerId, relayed, announceEnd } = entry.exchange
    sendRefusal(response, refused, { callerId, close: options.isDraining() && announceEnd(), relayed })
    remove(id)
  }

  // An exception while a request is handled must cost that request alone.
  function contain<Result> (id: string, run: () => Result): Result | undefined {
    try {
      return run()
    } catch (error) {
      options.failed(error)
      giveUp(id)
      return undefined
    }
  }

  function giveUp (id: string): void {
    const entry = openExchanges.get(id)
    if (entry === undefined) return
    remove(id)
    entry.running?.cancel()
    const { callerId, relayed, response, announceEnd } = entry.exchange
    try {
      sendRefusal(response, refusal('internal_error', { mayHaveRun: true }), { callerId, close: announceEnd(), relayed })
    } catch (error) {
      options.failed(error)
      breakOff(response)
    }
    options.dispatch({ kind: 'exchange_failed', id, nowMs: options.nowMs() })
  }

  function revoke (isHeldBy: (keyDigest: string, customer: string) => boolean): void {
    for (const entry of [...openExchanges.values()]) {
      const { id, keyDigest, identity } = entry.exchange
      if (entry.isRevoked || keyDigest === undefined || isHeldBy(keyDigest, identity?.customer ?? '')) continue
      contain(id, () => endRevoked(entry))
    }
  }

  // Serving treats the request like one whose caller has left: what may run only once is not cut off at its upstream.
  function endRevoked (entry: _OpenExchange): void {
    const { id, callerId, relayed, response, announceEnd } = entry.exchange
    entry.isRevoked = true
    sendRefusal(response, refusal('key_revoked', { mayHaveRun: entry.isSent }), { callerId, close: options.isDraining() && announceEnd(), relayed })
    options.revoked(entry.exchange)
    options.dispatch({ kind: 'caller_left', id, nowMs: options.nowMs() })
    if (entry.running === undefined) remove(id)
  }

  function expire (): void {
    deliveries.cutUnread()
    const dueMs = options.nowMs() - EXPIRY_SLACK_MS
    runningCount = 0
    for (const [id, { exchange, running }] of openExchanges) {
      if (running !== undefined) runningCount += 1
      if (exchange.deadlineMs >= dueMs) continue
      options.failed(new Error(`Request ${exchange.callerId} had no outcome ${EXPIRY_SLACK_MS} ms after its deadline; it is given up`))
      giveUp(id)
    }
  }

  function perform (effect: ServingEffect): void {
    if ('id' in effect) contain(effect.id, () => performOn(effect))
    else if (effect.kind === 'send') contain(effect.request.id, () => send(effect))
  }

  function performOn (effect: Extract<ServingEffect, { readonly id: string }>): void {
    switch (effect.kind) {
      case 'begin_response': return beginResponse(effect.id)
      case 'finish': return finish(effect.id)
      case 'refuse': return refuse(effect.id, effect.refusal)
      case 'cancel': {
        const entry = openExchanges.get(effect.id)
        entry?.running?.cancel()
        if (entry?.exchange.response.destroyed === true || entry?.isRevoked === true) remove(effect.id)
        return
      }
      case 'abort':
        abort(effect.id)
        break
      default:
    }
  }

  return { open, perform, revoke, giveUp, expire, size: () => openExchanges.size, running: () => runningCount }
}

type _Send = Extract<ServingEffect, { kind: 'send' }>

interface _AttemptResponse {
  readonly head: ResponseHead
  readonly attempt: number
}

interface _HeldEvents {
  readonly source: _AttemptResponse
  readonly events: PassedEvents
  /** Whether the stream has ended meanwhile. */
  readonly hasEnded: boolean
}

// The time between events is limited only for streams, whose callers abandon them after a pause. A relay times out its attempts itself.
function _eventTimeoutMs (request: Request): number {
  return request.retryable && request.stream ? Math.max(MIN_EVENT_TIMEOUT_MS, request.objectiveMs * EVENT_TIMEOUT_FACTOR) : Infinity
}

function _addressOf (address: string): Pick<ForwardedAttempt, 'host' | 'port'> {
  const [host = '', port = ''] = address.split(':')
  return { host, port: Number(port) }
}

// Names the software version of the upstream that a relay used.
function _namedVersion (head: ResponseHead): string | undefined {
  return readSoftwareVersion(Object.fromEntries(head.headers.flatMap((name, i) => i % 2 === 0 ? [[name.toLowerCase(), head.headers[i + 1]]] : [])))
}

/** How a refusal is delivered. */
export interface RefusalOptions {
  readonly callerId: string
  /** Whether the connection is closed afterwards. */
  readonly close: boolean
  /** Whether another instance handed the request over. */
  readonly relayed: boolean
}

/** Responds to a request that this instance refuses; a response that has begun is broken off. */
export function sendRefusal (response: ServerResponse, refused: Refusal, options: RefusalOptions): void {
  if (response.destroyed || response.writableEnded) return
  if (response.headersSent) return breakOff(response)
  const body = JSON.stringify({ error: { reason: refused.reason, outcome: refused.notRun ? 'not run' : 'outcome unknown' } })
  response.writeHead(refused.status, {
    ...localResponseHeaders(options.callerId, refused.retryAfterMs, { notRun: options.relayed && refused.notRun }),
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
    ...options.close ? { Connection: 'close' } : {}
  })
  response.end(body)
}
