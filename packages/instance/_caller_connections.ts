import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer } from 'node:net'
import type { Duplex } from 'node:stream'

/** Time for which a new connection may stay without a byte before it counts as idle, in ms; callers send a request right away. */
const FIRST_BYTE_MS = 1000
/** Times after the end of a caller's sending side at which something is written to it, in ms. */
const PROBE_DELAYS_MS = [0, 60, 250]

/** Options for `trackCallerConnections`. */
export interface CallerConnectionsOptions {
  /** Returns the local time in ms. */
  nowMs (): number
  /** Handles a request that has been taken. */
  handle (request: IncomingMessage, response: ServerResponse): void
  /** Returns the bytes of the response to bytes that are no request. */
  reject (error: NodeJS.ErrnoException): string
}

/** Connections of an HTTP server for callers, and the responses that are due on them. */
export interface CallerConnections {
  /** Reports whether a request is arriving, handled or answered on any connection. */
  isBusy (): boolean
  /** Lists the responses that are due on all connections. */
  dueResponses (): readonly ServerResponse[]
  /** Announces on each connection, with the last response that is due, that it will be closed. */
  announceEnd (): void
  /** Stops accepting connections; those that are open go on. */
  stopListening (): void
  /** Closes the connections on which no request is arriving, handled or answered. */
  closeIdle (): void
}

interface _Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
}

interface _Connection {
  readonly openedAtMs: number
  /** Requests whose responses are due, in the order of the responses. */
  due: readonly _Exchange[]
  /** Response of the request that was taken last. */
  last: ServerResponse | undefined
  /** Response that will announce the end of the connection, unless another request is taken before its head is written. */
  announcing: ServerResponse | undefined
  /** Bytes to be written once no response is due, after which the connection ends. */
  rejection: string | undefined
  /** Bytes that had arrived when the last request was answered. */
  answeredBytes: number
}

/**
 * Takes the requests of a server for callers and tracks the responses that are due on each connection.
 *
 * A caller may end its sending side and still read; Node's server then keeps the connection until the last response is written. Such a caller
 * and one that has left look alike until something is written: the peer of one that has left resets the connection at the first
 * write, and the second write fails, which closes the response.
 */
export function trackCallerConnections (server: Server, options: CallerConnectionsOptions): CallerConnections {
  const connections = new Map<Duplex, _Connection>()
  let ending = false

  // Node reads this property of its server, which its types and pages do not name.
  Object.assign(server, { httpAllowHalfOpen: true })

  server.on('connection', (socket) => {
    const connection: _Connection = { openedAtMs: options.nowMs(), due: [], last: undefined, announcing: undefined, rejection: undefined, answeredBytes: 0 }
    connections.set(socket, connection)
    socket.once('end', () => {
      for (const delayMs of PROBE_DELAYS_MS) setTimeout(() => _probe(connection), delayMs)
    })
    socket.once('close', () => {
      connections.delete(socket)
      _abandon(connection)
    })
  })

  server.on('request', (request, response) => {
    const { socket } = request
    const connection = connections.get(socket)
    // The connection has closed, or its end has been announced: the caller sends the request again on another one.
    if (connection === undefined || _isEndAnnounced(connection)) {
      request.resume()
      return
    }
    if (connection.announcing?.headersSent === false) connection.announcing.shouldKeepAlive = true
    connection.announcing = undefined
    connection.due = [...connection.due, { request, response }]
    connection.last = response
    if (ending) _announce(connection)
    response.once('close', () => {
      connection.due = connection.due.filter((exchange) => exchange.response !== response)
      connection.answeredBytes = socket.bytesRead
      writeRejection(socket, connection)
    })
    options.handle(request, response)
  })

  server.on('clientError', (error, socket) => {
    const connection = connections.get(socket)
    if (connection === undefined || !socket.writable) return socket.destroy()
    if (connection.rejection !== undefined) return
    const spoiled = connection.due.find(({ request }) => !request.complete)
    // Nothing is answered behind the last response of a connection.
    if (spoiled === undefined && connection.last?.shouldKeepAlive === false) return
    if (spoiled?.response.headersSent === false) connection.due = connection.due.filter((exchange) => exchange !== spoiled)
    connection.rejection = options.reject(error)
    writeRejection(socket, connection)
  })

  function writeRejection (socket: Duplex, connection: _Connection): void {
    if (connection.rejection === undefined || connection.due.length > 0 || !socket.writable) return
    socket.end(connection.rejection)
  }

  function isIdle (socket: Duplex, { openedAtMs, due, answeredBytes }: _Connection): boolean {
    const bytesRead = 'bytesRead' in socket ? Number(socket.bytesRead) : 0
    if (due.length > 0 || bytesRead > answeredBytes) return false
    return answeredBytes > 0 || options.nowMs() - openedAtMs >= FIRST_BYTE_MS
  }

  return {
    isBusy: () => [...connections].some(([socket, connection]) => !isIdle(socket, connection)),
    dueResponses: () => [...connections.values()].flatMap(({ due }) => due.map(({ response }) => response)),
    announceEnd: () => {
      ending = true
      for (const connection of connections.values()) _announce(connection)
    },
    // Node's own `close` takes a connection for idle as soon as the end of a response has been buffered.
    stopListening: () => { Reflect.apply(NetServer.prototype.close, server, []) },
    closeIdle: () => {
      for (const [socket, connection] of connections) if (isIdle(socket, connection)) socket.destroy()
    }
  }
}

function _isEndAnnounced ({ last }: _Connection): boolean {
  return last !== undefined && last.headersSent && !last.shouldKeepAlive
}

function _announce (connection: _Connection): void {
  const response = connection.due.at(-1)?.response
  if (response === undefined || response.headersSent || !response.shouldKeepAlive) return
  response.shouldKeepAlive = false
  connection.announcing = response
}

// An interim response is the only thing that may be written before the response; callers of HTTP/1.0 know none.
function _probe ({ due }: _Connection): void {
  const [first] = due
  if (first === undefined || first.response.headersSent || first.response.destroyed || first.request.httpVersion !== '1.1') return
  first.response.writeContinue()
}

// Node emits 'close' only for the response that is being written, not for those that wait for their turn.
function _abandon ({ due }: _Connection): void {
  for (const { response } of due) {
    if (response.socket !== null || response.destroyed) continue
    response.destroy()
    response.emit('close')
  }
}
