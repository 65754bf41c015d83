import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { readBody } from '@berylshed/platform'
import { initTRPC, TRPCError } from '@trpc/server'
import { getHTTPStatusCodeFromError } from '@trpc/server/http'
import { TRPC_ERROR_CODES_BY_KEY } from '@trpc/server/rpc'
import { Schema } from 'effect'
import { decodeHeartbeat, encodeHeartbeatAnswer, HeartbeatWire } from './_heartbeat_codec.ts'
import { createLimitedServer } from './_limited_server.ts'
import type { HeartbeatAnswer, HeartbeatRequest } from './heartbeat.ts'
import { createMemoryBudget } from './memory_budget.ts'

/** Maximum size of a heartbeat, in bytes: twice the size of the configuration expected in two years. */
const MAX_BODY_BYTES = 4 * 1024 * 1024
/** Maximum size of a heartbeat without a configuration, in bytes: several times those of the largest deployments. */
const SMALL_BODY_BYTES = 64 * 1024
/** Maximum size of all heartbeats of each size class that are being read, and of all answers that have not been taken, in bytes. */
const MAX_HELD_BYTES = 12 * 1024 * 1024
/** Maximum number of connections: two for each of the instances of large deployments. */
const MAX_CONNECTIONS = 768
/** Time from the head of a heartbeat until its answer has been taken, in ms: several times what its sender waits. */
const EXCHANGE_MS = 1500
/** Keep-alive timeout of connections between instances, in ms: several heartbeat intervals. */
const KEEP_ALIVE_MS = 5000

const OK = 200
const LENGTH_REQUIRED = 411
const PAYLOAD_TOO_LARGE = 413
const SERVICE_UNAVAILABLE = 503
/** Name of the procedure. */
const EXCHANGE = 'exchange'

/** Calls that an instance serves to other instances. */
export interface PeerService {
  heartbeat (request: HeartbeatRequest): HeartbeatAnswer
}

const trpc = initTRPC.create()

/** Creates the router for calls of other instances. */
export function createPeerRouter (service: PeerService) {
  return trpc.router({
    exchange: trpc.procedure
      .input(Schema.toStandardSchemaV1(HeartbeatWire))
      .mutation(({ input }) => encodeHeartbeatAnswer(service.heartbeat(decodeHeartbeat(input))))
  })
}

/** Type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>

/**
 * Creates the server for other instances; it does not listen yet.
 *
 * It answers like tRPC's own handler, which converts each request to that of `fetch` and back. A holder answers hundreds a second.
 */
export function createPeerServer (service: PeerService): Server {
  const caller = trpc.createCallerFactory(createPeerRouter(service))({})
  const admit = createAdmission()

  async function answer (request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      const input = await readInput(request)
      // If this process is behind with its work, the end of a connection whose sender no longer waits is read in the turn after the call.
      for (let turn = 0; turn < 2; turn += 1) await nextTurn()
      if (request.socket.destroyed || request.socket.readableEnded) return
      respond(response, OK, { result: { data: await caller.exchange(input) } })
    } catch (error) {
      const failure = error instanceof TRPCError ? error : new TRPCError({ code: 'INTERNAL_SERVER_ERROR', cause: error })
      const status = getHTTPStatusCodeFromError(failure)
      respond(response, status, { error: { message: failure.message, code: TRPC_ERROR_CODES_BY_KEY[failure.code], data: { code: failure.code, httpStatus: status, path: EXCHANGE } } })
    }
  }

  return createLimitedServer({ maxConnections: MAX_CONNECTIONS, exchangeMs: EXCHANGE_MS, keepAliveMs: KEEP_ALIVE_MS }, (request, response) => {
    const refusedStatus = admit(request, response)
    if (refusedStatus !== undefined) return response.writeHead(refusedStatus, { connection: 'close' }).end()
    answer(request, response).catch(() => response.destroy())
  })
}

function respond (response: ServerResponse, status: number, value: unknown): void {
  if (response.destroyed || response.headersSent) return
  const body = JSON.stringify(value)
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }).end(body)
}

// The procedure checks the input.
async function readInput (request: IncomingMessage): Promise<typeof HeartbeatWire.Type> {
  if (request.method !== 'POST' || request.url?.split('?')[0] !== `/${EXCHANGE}`) throw new TRPCError({ code: 'NOT_FOUND', message: `No procedure at ${request.method} ${request.url}` })
  const body = await readBody(request, MAX_BODY_BYTES)
  if (body === undefined) throw new TRPCError({ code: 'PAYLOAD_TOO_LARGE', message: `The call exceeds ${MAX_BODY_BYTES} bytes` })
  try {
    return JSON.parse(body.toString('utf8')) as typeof HeartbeatWire.Type
  } catch (error) {
    throw new TRPCError({ code: 'PARSE_ERROR', message: 'The call is not JSON', cause: error })
  }
}

// Returns a function that admits a request, or returns the status with which it is refused.
function createAdmission (): (request: IncomingMessage, response: ServerResponse) => number | undefined {
  // Large ones, of which a few are due after a change, must not keep the others out.
  const [small, large] = [createMemoryBudget(MAX_HELD_BYTES), createMemoryBudget(MAX_HELD_BYTES)]
  const open = new Set<ServerResponse>()

  return (request, response) => {
    const bytes = Number(request.headers['content-length'] ?? (request.method === 'GET' ? 0 : NaN))
    if (!Number.isSafeInteger(bytes)) return LENGTH_REQUIRED
    if (bytes > MAX_BODY_BYTES) return PAYLOAD_TOO_LARGE
    const untakenBytes = [...open].reduce((sum, { writableLength }) => sum + writableLength, 0)
    if (untakenBytes > MAX_HELD_BYTES) return SERVICE_UNAVAILABLE
    const reservation = (bytes > SMALL_BODY_BYTES ? large : small).reserve(bytes)
    if (reservation === undefined) return SERVICE_UNAVAILABLE
    open.add(response)
    response.once('close', () => {
      reservation.release()
      open.delete(response)
    })
    return undefined
  }
}
