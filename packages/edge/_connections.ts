import { STATUS_CODES, type Server, type ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { RefusalReason } from '@berylshed/serving'
import type { Admission } from './_admission.ts'
import { paceRequests, type Intake } from './_request_intake.ts'

/** Time for which a new connection may stay without a byte before it counts as idle, in ms; callers send a request right away. */
const FIRST_BYTE_MS = 1000
/**
 * Times after the end of a caller's sending side at which an interim response shows whether the caller has left, in ms. A closed peer resets
 * the connection at the first write, and the second write fails; later ones are for slow networks.
 */
const DEPARTURE_PROBES_MS = [0, 60, 250]
/**
 * Time within which a stream has to write an event after the end of its caller's sending side, in ms; otherwise the caller has left, as one that
 * waits ends its side before the response begins.
 */
const SILENT_DEPARTURE_MS = 300
/** Maximum number of responses due on a connection before no further requests are read from it. */
const MAX_DUE = 32
/** Time for which a rejected connection stays open, so that its caller can read the rejection, in ms. */
const REJECTED_LINGER_MS = 500
/** Maximum number of connections that stay open after their rejection, or for it; further ones are reset. */
const MAX_LINGERING = 100
/** Requests behind the announced end of a connection that are logged; what else arrives is dropped. */
const MAX_IGNORED = 32
/** Bytes of an incomplete head above which its connection is not kept while memory is short; most heads are smaller. */
const LARGE_HEAD_BYTES = 2048
/** Memory that an incomplete head takes, as a multiple of its bytes: that of headers of some bytes each. */
const HEAD_FACTOR = 8
const REFUSED_STATUS = 503
/** Retry delay sent on a connection whose requests are not read, in s. */
const REFUSED_RETRY_S = 1

/** Connections of an HTTP server, and the requests on them. */
export interface Connections {
  /** Reports whether a request is arriving, handled or answered on any connection. */
  isBusy (): boolean
  /** Stops accepting connections; those that are open go on. */
  stopListening (): void
  /** Closes the connections on which no request is arriving, handled or answered. */
  closeIdle (): void
  /** Reports whether a request may be handled; none is that arrives after the end of its connection has been announced. */
  accepts (response: ServerResponse): boolean
  /** Resolves when few responses are due before this one, so that its request may be read, to whether it is still due. */
  mayRead (response: ServerResponse): Promise<boolean>
  /**
   * Resolves when all responses before this one have been written, or the connection has ended, to whether this one is still due. Requests
   * that were sent without waiting are handled one after the other, so that none has run whose response is lost with the one before it.
   */
  turn (response: ServerResponse): Promise<boolean>
  /**
   * Announces the end of the connection with a response, and returns whether that is possible: requests that have arrived behind it have to be
   * answered on the same connection, also those that are not parsed yet unless they are to be dropped.
   */
  announceEnd (response: ServerResponse, dropsUnparsed?: boolean): boolean
  /** Returns why the request of a response is refused, if its connection is not taken. */
  refusalOf (response: ServerResponse): RefusalReason | undefined
  /** Calls back once nothing more can be written to a response: it has closed, or its connection, on which it may wait for its turn. */
  whenClosed (response: ServerResponse, closed: () => void): void
  /** Reports whether bytes have arrived behind the request of a response that are not parsed yet. */
  hasMore (response: ServerResponse): boolean
  /** Reports whether what has arrived behind the request of a response was dropped, so that the connection is to end with it. */
  isCrowded (response: ServerResponse): boolean
  /** Reports whether bytes of a connection wait to be parsed, so that its caller is not to blame for an incomplete request. */
  isHeld (socket: Duplex): boolean
  /** Rejects bytes that are no request, and ends their connection after the responses that are due on it. */
  endUnreadable (socket: Duplex, status: number): void
}

/** Waits until at most `before` responses are due before one. */
interface _Turn {
  readonly response: ServerResponse
  readonly before: number
  end (isDue: boolean): void
}

interface _Connection {
  readonly socket: Socket
  readonly openedAtMs: number
  /** Why its requests are refused, if the connection is not taken. */
  readonly refusal: RefusalReason | undefined
  /** Responses that are due, in the order of their requests. */
  readonly due: ServerResponse[]
  readonly turns: Set<_Turn>
  /** Callbacks for the end of each response. */
  readonly closings: Map<ServerResponse, Array<() => void>>
  /** Bytes that had arrived when the last request was answered. */
  answeredBytes: number
  /** Whether no further requests are taken: the end of the connection was announced, or its bytes cannot be read. */
  ending: boolean
  /** Whether what arrives is not parsed any more. */
  unreadable: boolean
  /** Whether what arrived without waiting was dropped, so that the connection ends with the responses that are due. */
  crowded: boolean
  /** Requests that arrived after the announced end. */
  ignored: number
  /** The newest response until it is written and its request has arrived. */
  newest: ServerResponse | undefined
  /** Requests that have begun to be handled. */
  requests: number
  /** Requests when bytes were last parsed, and bytes of an incomplete head that were parsed since. */
  head: { requests: number, bytes: number }
}

/** Options of {@linkcode trackConnections}. */
export interface ConnectionsOptions {
  readonly admission: Admission
  /** Called with each connection of which bytes are dropped: it is not taken and too many others are being rejected, or memory is short. */
  refused (reason: RefusalReason): void
  nowMs (): number
  /** Whether callers may end their sending side before they have their responses. */
  readonly allowHalfOpen: boolean
  /** Called when a caller has ended its sending side while a response is due. */
  halfClosed (response: ServerResponse): void
}

/**
 * Tracks the connections of a server, and decides when one ends.
 *
 * Node's own `closeIdleConnections`, which its `close` calls too, takes a connection for idle as soon as the end of a response has been
 * buffered, and cuts off what has not been written yet. Node also closes a connection as soon as its peer has ended its sending side, after a
 * response with `Connection: close`, and after bytes that it cannot read, whatever requests have been taken from it.
 */
export function trackConnections (server: Server, options: ConnectionsOptions): Connections {
  const connections = new Map<Duplex, _Connection>()
  let lingering = 0
  Object.assign(server, { httpAllowHalfOpen: options.allowHalfOpen })
  const intake = paceRequests(server, { next: intakeOf, held: options.admission.hold, parsed: countHead, isCrowded })
  server.on('connection', (socket: Socket) => {
    const taken = options.admission.connect()
    const refusal = typeof taken === 'string' ? taken : undefined
    if (refusal !== undefined && !linger(socket)) return options.refused(refusal)
    const connection: _Connection = { socket, openedAtMs: options.nowMs(), refusal, due: [], turns: new Set(), closings: new Map(), answeredBytes: 0, ending: false, unreadable: false, crowded: false, ignored: 0, newest: undefined, requests: 0, head: { requests: 0, bytes: 0 } }
    connections.set(socket, connection)
    socket.once('end', () => { if (options.allowHalfOpen) probeDeparture(connection) })
    socket.once('close', () => {
      connections.delete(socket)
      setHeadBytes(connection, 0)
      if (typeof taken !== 'string') taken.release()
      for (const turn of connection.turns) turn.end(false)
      // Node does not close the responses that wait for their turn.
      for (const response of [...connection.closings.keys()]) endResponse(connection, response)
    })
  })
  server.prependListener('request', ({ socket }, response) => {
    const connection = connections.get(socket)
    if (connection === undefined) return
    connection.requests += 1
    connection.newest = response
    if (connection.ending) {
      connection.ignored += 1
      return
    }
    connection.due.push(response)
    connection.ending = !response.shouldKeepAlive
    response.once('close', () => {
      endResponse(connection, response)
      connection.due.splice(connection.due.indexOf(response), 1)
      if (connection.newest === response && response.req.complete) connection.newest = undefined
      connection.answeredBytes = socket.bytesRead
      for (const turn of connection.turns) if (connection.due.indexOf(turn.response) <= turn.before) turn.end(true)
      if (connection.ending && connection.due.length === 0) socket.destroySoon()
      else intake.resume(socket)
    })
  })

  function endResponse ({ closings }: _Connection, response: ServerResponse): void {
    const callbacks = closings.get(response) ?? []
    closings.delete(response)
    for (const closed of callbacks) closed()
  }

  function intakeOf (socket: Socket): Intake {
    const connection = connections.get(socket)
    if (connection === undefined || connection.unreadable || connection.ignored > MAX_IGNORED) return 'drop'
    if (connection.newest?.req.complete === false) return 'body'
    if (connection.due.length === 0 || connection.ending) return 'request'
    return connection.due.length > MAX_DUE || options.admission.isShort() ? 'wait' : 'request'
  }

  // The parser keeps each header of an incomplete head as objects, which take many times its bytes.
  function countHead (socket: Socket, bytes: number): void {
    const connection = connections.get(socket)
    if (connection === undefined) return
    const hasBegun = connection.requests > connection.head.requests
    connection.head.requests = connection.requests
    setHeadBytes(connection, hasBegun ? 0 : connection.head.bytes + bytes)
    if (connection.head.bytes <= LARGE_HEAD_BYTES || connection.due.length > 0 || !options.admission.isShort()) return
    options.refused('memory_short')
    connection.unreadable = true
    rejectUnread(socket, REFUSED_STATUS)
  }

  function setHeadBytes ({ head }: _Connection, bytes: number): void {
    options.admission.hold((bytes - head.bytes) * HEAD_FACTOR)
    head.bytes = bytes
  }

  // Drops what a caller has sent without waiting, or before its turn. None of it has run.
  function isCrowded (socket: Socket, bytes: number): boolean {
    const connection = connections.get(socket)
    if (connection === undefined || !options.admission.isFull(bytes)) return false
    options.refused('memory_short')
    connection.unreadable = true
    connection.crowded = true
    connection.ending = true
    if (connection.due.length === 0) rejectUnread(socket, REFUSED_STATUS)
    return true
  }

  // Closes a connection after the time that its caller needs to read a rejection; returns false, and resets it, if there are too many.
  function linger (socket: Duplex): boolean {
    if (lingering >= MAX_LINGERING) {
      socket.destroy()
      return false
    }
    lingering += 1
    socket.once('close', () => { lingering -= 1 })
    setTimeout(() => socket.destroy(), REJECTED_LINGER_MS)
    return true
  }

  // Rejects a connection without a response object. A caller that keeps its side open would hold up a stop.
  function rejectUnread (socket: Duplex, status: number): void {
    if (linger(socket) && socket.writable) socket.end(_rejectionOf(status))
  }

  // A caller that has left and one that has only ended its sending side look alike until something is written.
  function probeDeparture ({ socket, due }: _Connection): void {
    if (due[0] === undefined) return
    options.halfClosed(due[0])
    if (due[0].headersSent) return probeSilentDeparture(socket)
    for (const delayMs of DEPARTURE_PROBES_MS) setTimeout(() => writeInterim(due[0]), delayMs)
  }

  function probeSilentDeparture (socket: Socket): void {
    const { bytesWritten } = socket
    setTimeout(() => { if (socket.bytesWritten === bytesWritten && socket.writableLength === 0) socket.destroy() }, SILENT_DEPARTURE_MS)
  }

  // An interim response would interrupt a response that has begun, and HTTP/1.0 has none.
  function writeInterim (response: ServerResponse | undefined): void {
    if (response === undefined || response.headersSent || response.destroyed || response.req.httpVersion !== '1.1') return
    response.writeContinue()
  }

  function waitFor (response: ServerResponse, before: number): Promise<boolean> {
    const connection = connections.get(response.req.socket)
    const position = connection?.due.indexOf(response) ?? -1
    if (connection === undefined || (position >= 0 && position <= before)) return Promise.resolve(connection !== undefined)
    return new Promise((resolve) => {
      const turn: _Turn = {
        response,
        before,
        end: (isDue) => {
          connection.turns.delete(turn)
          resolve(isDue)
        }
      }
      connection.turns.add(turn)
    })
  }

  function isIdle ({ socket, openedAtMs, due, answeredBytes }: _Connection): boolean {
    if (due.length > 0 || intake.holds(socket) || socket.bytesRead > answeredBytes) return false
    return answeredBytes > 0 || options.nowMs() - openedAtMs >= FIRST_BYTE_MS
  }

  return {
    isBusy: () => [...connections.values()].some((connection) => !isIdle(connection)),
    stopListening: () => { Reflect.apply(NetServer.prototype.close, server, []) },
    closeIdle: () => {
      for (const connection of connections.values()) if (isIdle(connection)) connection.socket.destroy()
    },
    accepts: (response) => connections.get(response.req.socket)?.due.includes(response) === true,
    mayRead: (response) => waitFor(response, MAX_DUE),
    turn: (response) => waitFor(response, 0),
    announceEnd: (response, dropsUnparsed = false) => {
      const connection = connections.get(response.req.socket)
      if (connection === undefined) return true
      if (connection.due.at(-1) !== response || (!dropsUnparsed && intake.holds(connection.socket))) return false
      connection.ending = true
      return true
    },
    refusalOf: ({ req }) => connections.get(req.socket)?.refusal,
    whenClosed: (response, closed) => {
      const connection = connections.get(response.req.socket)
      if (connection?.due.includes(response) !== true) return closed()
      connection.closings.set(response, [...connection.closings.get(response) ?? [], closed])
    },
    isCrowded: ({ req }) => connections.get(req.socket)?.crowded === true,
    isHeld: (socket) => intake.holds(socket),
    hasMore: ({ req }) => intake.holds(req.socket),
    endUnreadable: (socket, status) => {
      const connection = connections.get(socket)
      const newest = connection?.due.at(-1)
      if (connection !== undefined) connection.unreadable = true
      // The caller has its response, and would take what follows for that to another request.
      if (newest === undefined && connection?.newest?.req.complete === false) {
        socket.destroy()
        return
      }
      if (connection === undefined || newest === undefined) return rejectUnread(socket, status)
      connection.ending = true
      // The rest of an incomplete request never arrives.
      if (!newest.req.complete && !newest.headersSent) newest.writeHead(status, { 'Content-Length': 0, Connection: 'close' }).end()
    }
  }
}

// A response to bytes for which Node has no response object.
function _rejectionOf (status: number): string {
  const retryAfter = status === REFUSED_STATUS ? `Retry-After: ${REFUSED_RETRY_S}\r\n` : ''
  return `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${retryAfter}Content-Length: 0\r\nConnection: close\r\n\r\n`
}
