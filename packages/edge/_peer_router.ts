import { createServer, type Server } from 'node:http'
import { initTRPC } from '@trpc/server'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { Schema } from 'effect'
import { decodeExchange, encodeAnswer, ExchangeWire } from './_exchange_codec.ts'
import type { ExchangeAnswer, ExchangeRequest } from './exchange.ts'

/** Largest body of an exchange, in bytes: the configuration of the two-year size takes half of it. */
const MAX_BODY_BYTES = 4 * 1024 * 1024
/** Time for which an idle connection between instances is kept, in ms: several exchanges. */
const KEPT_MS = 5000

/** What other instances may ask of an instance. */
export interface PeerService {
  exchange (request: ExchangeRequest): ExchangeAnswer
}

const trpc = initTRPC.create()

/** Builds the router by which other instances call an instance. */
export function createPeerRouter (service: PeerService) {
  return trpc.router({
    exchange: trpc.procedure
      .input(Schema.toStandardSchemaV1(ExchangeWire))
      .mutation(({ input }) => encodeAnswer(service.exchange(decodeExchange(input))))
  })
}

/** The type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>

/** Creates the server that other instances reach, not listening yet. */
export function createPeerServer (service: PeerService): Server {
  const handler = createHTTPHandler({ router: createPeerRouter(service), maxBodySize: MAX_BODY_BYTES })
  return createServer({ keepAliveTimeout: KEPT_MS }, handler)
}
