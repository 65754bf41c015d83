import { createServer, type RequestListener, type Server } from 'node:http'
import type { Socket } from 'node:net'

/** Limits of a server whose callers are the platform or other instances. */
export interface ServerLimits {
  /** Maximum number of connections; the oldest one is closed for a new one. */
  readonly maxConnections: number
  /** Time from the head of a request until its response has been taken, in ms; the connection is closed after it. */
  readonly exchangeMs: number
  /** Time for which a connection is kept for another request, in ms. */
  readonly keepAliveMs: number
}

/** Limits for probes of readiness and scrapes of metrics: some callers each, which call once a second at most. */
export const PROBE_LIMITS: ServerLimits = { maxConnections: 64, exchangeMs: 2000, keepAliveMs: 5000 }

/** Time without a byte after which a connection is closed, in ms: several intervals between probes, scrapes and heartbeats. */
const IDLE_MS = 15_000

/** Creates a server that bounds what its callers can hold: connections, requests that do not end, and responses that are not read. */
export function createLimitedServer ({ maxConnections, exchangeMs, keepAliveMs }: ServerLimits, handle: RequestListener): Server {
  const connections = new Set<Socket>()
  const busy = new Set<Socket>()
  const server = createServer({ keepAliveTimeout: keepAliveMs }, (request, response) => {
    const { socket } = request
    // What was parsed together with a request is still passed on after its connection has been closed.
    if (socket.destroyed) return
    // These callers wait for a response before they send the next request.
    if (busy.has(socket)) return socket.destroy()
    busy.add(socket)
    const timer = setTimeout(() => socket.destroy(), exchangeMs)
    response.once('close', () => {
      clearTimeout(timer)
      busy.delete(socket)
    })
    handle(request, response)
  })
  server.timeout = IDLE_MS
  server.on('connection', (socket: Socket) => {
    connections.add(socket)
    socket.once('close', () => connections.delete(socket))
    const [oldest] = connections
    if (connections.size > maxConnections) oldest?.destroy()
  })
  return server
}
