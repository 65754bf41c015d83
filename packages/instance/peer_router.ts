import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, type Server } from 'node:http'
import type { Operation, OperationAnswer } from '@berylshed/claims'
import type { PeerEntry } from '@berylshed/membership'
import type { Demand, ModelUse, Estimate } from '@berylshed/placement'
import { initTRPC, TRPCError } from '@trpc/server'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { Schema } from 'effect'
import type { LoadReport } from './instance_event.ts'

/** HTTP header that carries the secret shared by all instances. */
export const SECRET_HEADER = 'x-berylshed-secret'
/** Maximum number of concurrent calls from peers; further calls receive status 503. */
const MAX_CONCURRENT_CALLS = 1000
const MAX_BODY_BYTES = 256 * 1024

const DemandSchema = Schema.Struct({
  instance: Schema.String,
  model: Schema.String,
  waiting: Schema.Number,
  deadlineInMs: Schema.Number,
  priority: Schema.Number,
  coldStartWeight: Schema.Number
})

const HeartbeatSchema = Schema.Struct({
  instance: Schema.String,
  uses: Schema.Array(Schema.Struct({ model: Schema.String, running: Schema.Number, idleForMs: Schema.Number }))
})

const GossipSchema = Schema.Struct({
  entries: Schema.Array(Schema.Struct({
    name: Schema.String,
    incarnation: Schema.String,
    address: Schema.String,
    availabilityZone: Schema.String,
    beat: Schema.Number,
    startedAtMs: Schema.Number,
    leaving: Schema.Boolean,
    configuration: Schema.Number
  }))
})

const OutcomeSchema = Schema.Struct({ status: Schema.Number, contentType: Schema.String, body: Schema.String })
const OPERATION_FIELDS = { id: Schema.String, shard: Schema.Number }
const OperationSchema = Schema.Struct({
  deadlineInMs: Schema.Number,
  operation: Schema.Union([
    Schema.Struct({ ...OPERATION_FIELDS, kind: Schema.Literal('claim'), key: Schema.String, fingerprint: Schema.String, holder: Schema.String }),
    Schema.Struct({ ...OPERATION_FIELDS, kind: Schema.Literal('settle'), key: Schema.String, claim: Schema.String, outcome: Schema.UndefinedOr(OutcomeSchema).pipe(Schema.optional) }),
    Schema.Struct({ ...OPERATION_FIELDS, kind: Schema.Literal('release'), key: Schema.String, claim: Schema.String }),
    Schema.Struct({ ...OPERATION_FIELDS, kind: Schema.Literal('crash'), fingerprint: Schema.String, group: Schema.String, attempt: Schema.String }),
    Schema.Struct({ ...OPERATION_FIELDS, kind: Schema.Literal('permit'), fingerprint: Schema.String, group: Schema.String }),
    Schema.Struct({ ...OPERATION_FIELDS, kind: Schema.Literal('yield'), fingerprint: Schema.String }),
    Schema.Struct({ ...OPERATION_FIELDS, kind: Schema.Literal('clear'), fingerprint: Schema.String })
  ])
})

const DisclaimerSchema = Schema.Struct({ orderIds: Schema.Array(Schema.String) })
const WarningSchema = Schema.Struct({ fingerprint: Schema.String })
const SuspicionSchema = Schema.Struct({ upstream: Schema.String, forMs: Schema.Number })

/** Configuration that an instance sends to a peer. */
export interface PeerConfiguration {
  /** Version of the configuration in the store. */
  readonly version: number
  /** The configuration document as JSON text. */
  readonly value: string
}

/** Procedures that peers may call on an instance. */
export interface PeerService {
  /** Reports a demand for a model to the lease holder and returns when the model is expected to be loaded. */
  demand (demand: Demand): Promise<Estimate>
  /** Reports the models that an instance uses to the lease holder and returns the loads of the upstreams. */
  heartbeat (instance: string, uses: readonly ModelUse[]): readonly LoadReport[]
  /** Receives the ids of orders that will not be executed any more, from the instance that issued them. */
  disclaim (orderIds: readonly string[]): void
  /** Merges the membership entries of a peer and returns entries of this instance. */
  gossip (entries: readonly PeerEntry[]): readonly PeerEntry[]
  /** Carries out an operation on the claims. */
  operate (operation: Operation): Promise<OperationAnswer>
  /** Returns the configuration in force, or undefined if there is none yet. */
  configuration (): PeerConfiguration | undefined
  /** Marks requests with this fingerprint as suspected of crashing upstreams. */
  warn (fingerprint: string): void
  /** Makes the instance avoid an upstream for a time in ms. */
  suspect (upstream: string, forMs: number): void
  /** Returns the local time in ms. */
  nowMs (): number
}

const trpc = initTRPC.create()

/**
 * Creates the tRPC router that peers call.
 *
 * @param service The procedures that the router exposes.
 * @returns The router.
 *
 * @example
 * ```ts
 * const router = createPeerRouter(service)
 * ```
 */
export function createPeerRouter (service: PeerService) {
  return trpc.router({
    demand: trpc.procedure.input(Schema.toStandardSchemaV1(DemandSchema)).mutation(({ input }) => service.demand(input)),
    exchange: trpc.procedure.input(Schema.toStandardSchemaV1(HeartbeatSchema))
      .mutation(({ input }) => service.heartbeat(input.instance, input.uses)),
    disclaim: trpc.procedure.input(Schema.toStandardSchemaV1(DisclaimerSchema))
      .mutation(({ input }) => service.disclaim(input.orderIds)),
    gossip: trpc.procedure.input(Schema.toStandardSchemaV1(GossipSchema))
      .mutation(({ input }) => service.gossip(input.entries)),
    operate: trpc.procedure.input(Schema.toStandardSchemaV1(OperationSchema)).mutation(({ input }) => {
      const deadlineMs = service.nowMs() + input.deadlineInMs
      const { operation } = input
      if (operation.kind === 'settle') return service.operate({ ...operation, outcome: operation.outcome, deadlineMs })
      return service.operate({ ...operation, deadlineMs })
    }),
    configuration: trpc.procedure.query(() => service.configuration() ?? null),
    warn: trpc.procedure.input(Schema.toStandardSchemaV1(WarningSchema))
      .mutation(({ input }) => service.warn(input.fingerprint)),
    suspect: trpc.procedure.input(Schema.toStandardSchemaV1(SuspicionSchema))
      .mutation(({ input }) => service.suspect(input.upstream, input.forMs))
  })
}

/** Type of the peer router, from which clients infer the procedures. */
export type PeerRouter = ReturnType<typeof createPeerRouter>

/**
 * Creates the HTTP server of the peer router. Every call must carry the shared secret.
 *
 * @param service The procedures that peers may call.
 * @param secret The secret shared by all instances.
 * @returns The server, which is not listening yet.
 *
 * @example
 * ```ts
 * const server = createPeerServer(service, settings.peers.shared_secret)
 * server.listen(8090)
 * ```
 */
export function createPeerServer (service: PeerService, secret: string): Server {
  const expected = _digest(secret)
  let activeCalls = 0
  const handler = createHTTPHandler({
    router: createPeerRouter(service),
    maxBodySize: MAX_BODY_BYTES,
    createContext: ({ req }) => {
      const given = _digest(String(req.headers[SECRET_HEADER] ?? ''))
      if (!timingSafeEqual(given, expected)) throw new TRPCError({ code: 'UNAUTHORIZED', message: 'Cannot accept call: the shared secret is wrong; set the same peers.shared_secret everywhere' })
      return {}
    }
  })
  return createServer((request, response) => {
    if (activeCalls >= MAX_CONCURRENT_CALLS) {
      response.writeHead(503).end()
      return
    }
    activeCalls += 1
    response.on('close', () => { activeCalls -= 1 })
    handler(request, response)
  })
}

// `timingSafeEqual` requires inputs of equal length, which digests have.
function _digest (secret: string): Buffer {
  return createHash('sha256').update(secret).digest()
}
