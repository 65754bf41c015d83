import type { Server } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'

/** Time for which a new connection may stay without a byte before it counts as idle, in ms; callers send a request right away. */
const FIRST_BYTE_MS = 1000

/** Connections of an HTTP server, and the requests on them. */
export interface Connections {
  /** Reports whether a request is arriving, handled or answered on any connection. */
  isBusy (): boolean
  /** Stops accepting connections; those that are open go on. */
  stopListening (): void
  /** Closes the connections on which no request is arriving, handled or answered. */
  closeIdle (): void
}

interface _Connection {
  readonly openedAtMs: number
  openRequests: number
  /** Bytes that had arrived when the last request was answered. */
  answeredBytes: number
}

/**
 * Tracks the connections of a server.
 *
 * Node's own `closeIdleConnections`, which its `close` calls too, takes a connection for idle as soon as the end of a response has been
 * buffered, and cuts off what has not been written yet.
 */
export function trackConnections (server: Server, nowMs: () => number): Connections {
  const connections = new Map<Socket, _Connection>()
  server.on('connection', (socket: Socket) => {
    connections.set(socket, { openedAtMs: nowMs(), openRequests: 0, answeredBytes: 0 })
    socket.once('close', () => connections.delete(socket))
  })
  server.on('request', ({ socket }, response) => {
    const connection = connections.get(socket)
    if (connection === undefined) return
    connection.openRequests += 1
    response.once('close', () => {
      connection.openRequests -= 1
      connection.answeredBytes = socket.bytesRead
    })
  })

  function isIdle (socket: Socket, { openedAtMs, openRequests, answeredBytes }: _Connection): boolean {
    if (openRequests > 0 || socket.bytesRead > answeredBytes) return false
    return answeredBytes > 0 || nowMs() - openedAtMs >= FIRST_BYTE_MS
  }

  return {
    isBusy: () => [...connections].some(([socket, connection]) => !isIdle(socket, connection)),
    stopListening: () => { Reflect.apply(NetServer.prototype.close, server, []) },
    closeIdle: () => {
      for (const [socket, connection] of connections) if (isIdle(socket, connection)) socket.destroy()
    }
  }
}
