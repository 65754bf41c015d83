import { createServer, type Server } from 'node:http'
import { initTRPC } from '@trpc/server'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { Schema } from 'effect'
import type { ExchangeAnswer, ExchangeRequest } from './exchange.ts'

/** Largest body of an exchange, in bytes: the configuration of the two-year size takes half of it. */
const MAX_BODY_BYTES = 4 * 1024 * 1024
/** Time for which an idle connection between instances is kept, in ms: several exchanges. */
const KEPT_MS = 5000

const ExchangeSchema = Schema.Struct({
  report: Schema.Struct({
    instance: Schema.String,
    incarnation: Schema.String,
    needs: Schema.Array(Schema.Struct({
      service: Schema.String,
      model: Schema.String,
      adapter: Schema.UndefinedOr(Schema.String).pipe(Schema.optional),
      waiting: Schema.Number,
      dueInMs: Schema.Array(Schema.Number)
    })),
    uses: Schema.Array(Schema.Struct({ service: Schema.String, model: Schema.String, ratePerS: Schema.Number })),
    loads: Schema.Array(Schema.Struct({ upstream: Schema.String, model: Schema.String, running: Schema.Number })),
    adapters: Schema.Array(Schema.Struct({
      upstream: Schema.String, model: Schema.String, adapter: Schema.String, running: Schema.Number, idleMs: Schema.Number
    }))
  }),
  configurationVersion: Schema.Number,
  listRevision: Schema.Number,
  crashes: Schema.Array(Schema.Tuple([Schema.String, Schema.Number])),
  beliefs: Schema.UndefinedOr(Schema.String).pipe(Schema.optional)
})

/** What other instances may ask of an instance. */
export interface PeerService {
  exchange (request: ExchangeRequest): ExchangeAnswer
}

const trpc = initTRPC.create()

/** Builds the router by which other instances call an instance. */
export function createPeerRouter (service: PeerService) {
  return trpc.router({
    exchange: trpc.procedure.input(Schema.toStandardSchemaV1(ExchangeSchema)).mutation(({ input }) => service.exchange({
      ...input,
      beliefs: input.beliefs,
      report: { ...input.report, needs: input.report.needs.map((need) => ({ ...need, adapter: need.adapter })) }
    }))
  })
}

/** The type of the router, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>

/** Creates the server that other instances reach, not listening yet. */
export function createPeerServer (service: PeerService): Server {
  const handler = createHTTPHandler({ router: createPeerRouter(service), maxBodySize: MAX_BODY_BYTES })
  return createServer({ keepAliveTimeout: KEPT_MS }, handler)
}
