import type { Operation, OperationAnswer } from '@berylshed/claims'
import type { PeerEntry } from '@berylshed/membership'
import type { Demand, ModelUse, Estimate } from '@berylshed/placement'
import { createTRPCClient, httpLink } from '@trpc/client'
import { ResultAsync } from 'neverthrow'
import type { LoadReport } from './instance_event.ts'
import { SECRET_HEADER, type PeerConfiguration, type PeerRouter } from './peer_router.ts'

/** Maximum number of unanswered calls to one peer. */
const MAX_PENDING_CALLS_PER_PEER = 500

/** Reason why a call to a peer failed. */
export interface PeerFailure {
  /** `busy` if the call was not sent because too many calls to the peer are unanswered. */
  readonly kind: 'no_answer' | 'busy'
  readonly message: string
}

/** Options for `createPeerClient`. */
export interface PeerClientOptions {
  /** Secret shared by all instances. */
  readonly secret: string
  /** Timeout of each call in ms. */
  readonly timeoutMs: number
  /** Returns the local time in ms. */
  nowMs (): number
}

/** Client for the procedures of `PeerService`; `address` is the host and port of the peer. */
export interface PeerClient {
  demand (address: string, demand: Demand): ResultAsync<Estimate, PeerFailure>
  heartbeat (address: string, instance: string, uses: readonly ModelUse[]): ResultAsync<readonly LoadReport[], PeerFailure>
  disclaim (address: string, orderIds: readonly string[]): ResultAsync<void, PeerFailure>
  gossip (address: string, entries: readonly PeerEntry[]): ResultAsync<readonly PeerEntry[], PeerFailure>
  operate (address: string, operation: Operation): ResultAsync<OperationAnswer, PeerFailure>
  configuration (address: string): ResultAsync<PeerConfiguration | null, PeerFailure>
  warn (address: string, fingerprint: string): ResultAsync<void, PeerFailure>
  suspect (address: string, upstream: string, forMs: number): ResultAsync<void, PeerFailure>
}

/**
 * Creates a client that calls the procedures of peers.
 *
 * @param options Shared secret, timeout and clock.
 * @returns The client.
 *
 * @example
 * ```ts
 * const peers = createPeerClient({ secret, timeoutMs: 500, nowMs: () => performance.now() })
 * const estimate = await peers.demand('127.0.0.1:8091', demand)
 * ```
 */
export function createPeerClient (options: PeerClientOptions): PeerClient {
  const clients = new Map<string, ReturnType<typeof create>>()
  const pendingCalls = new Map<string, number>()

  function create (address: string) {
    return createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${address}`,
        headers: { [SECRET_HEADER]: options.secret },
        fetch: (url, init) => fetch(url, { ...init as RequestInit, signal: AbortSignal.timeout(options.timeoutMs) })
      })]
    })
  }

  function clientFor (address: string): ReturnType<typeof create> {
    const existing = clients.get(address)
    if (existing !== undefined) return existing
    const client = create(address)
    clients.set(address, client)
    return client
  }

  function call<T> (address: string, send: (client: ReturnType<typeof create>) => Promise<T>): ResultAsync<T, PeerFailure> {
    const count = pendingCalls.get(address) ?? 0
    if (count >= MAX_PENDING_CALLS_PER_PEER) {
      return ResultAsync.fromPromise(Promise.reject(new Error('busy')), () => ({ kind: 'busy', message: `Cannot call ${address}: ${count} calls are unanswered already` }))
    }
    pendingCalls.set(address, count + 1)
    const answer = send(clientFor(address)).finally(() => pendingCalls.set(address, (pendingCalls.get(address) ?? 1) - 1))
    return ResultAsync.fromPromise(answer, (error) => ({ kind: 'no_answer', message: error instanceof Error ? error.message : String(error) }))
  }

  return {
    demand: (address, demand) => call(address, (client) => client.demand.mutate(demand)),
    heartbeat: (address, instance, uses) => call(address, (client) => client.exchange.mutate({ instance, uses })),
    disclaim: (address, orderIds) => call(address, (client) => client.disclaim.mutate({ orderIds })),
    gossip: (address, entries) => call(address, (client) => client.gossip.mutate({ entries })),
    operate: (address, { deadlineMs, ...operation }) => call(address, (client) => client.operate.mutate({
      deadlineInMs: Math.min(Number.MAX_SAFE_INTEGER, deadlineMs - options.nowMs()), operation
    })),
    configuration: (address) => call(address, (client) => client.configuration.query()),
    warn: (address, fingerprint) => call(address, (client) => client.warn.mutate({ fingerprint })),
    suspect: (address, upstream, forMs) => call(address, (client) => client.suspect.mutate({ upstream, forMs }))
  }
}
