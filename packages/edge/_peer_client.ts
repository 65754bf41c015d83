import { createTRPCClient, httpLink } from '@trpc/client'
import { ResultAsync } from 'neverthrow'
import { decodeAnswer, encodeExchange } from './_exchange_codec.ts'
import type { ExchangeAnswer, ExchangeRequest } from './exchange.ts'
import type { PeerRouter } from './_peer_router.ts'

/** Longest wait for the answer of another instance, in ms: two exchanges. */
const PEER_TIMEOUT_MS = 400

/** Why another instance gave no answer. */
export interface PeerFailure {
  /** Whether its address refuses connections, so that nothing listens there. */
  readonly refused: boolean
  readonly message: string
}

/** Calls to other instances. */
export interface PeerClient {
  exchange (address: string, request: ExchangeRequest): ResultAsync<ExchangeAnswer, PeerFailure>
}

/** Creates a client whose calls are bounded in time. */
export function createPeerClient (): PeerClient {
  const clients = new Map<string, ReturnType<typeof create>>()

  function create (address: string) {
    return createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${address}`,
        fetch: (url, init) => fetch(url, { ...init as RequestInit, signal: AbortSignal.timeout(PEER_TIMEOUT_MS) })
      })]
    })
  }

  function clientFor (address: string): ReturnType<typeof create> {
    const known = clients.get(address)
    if (known !== undefined) return known
    const client = create(address)
    clients.set(address, client)
    return client
  }

  return {
    exchange: (address, request) => ResultAsync.fromPromise(
      clientFor(address).exchange.mutate(encodeExchange(request)).then(decodeAnswer), _failure)
  }
}

function _failure (error: unknown): PeerFailure {
  const message = error instanceof Error ? error.message : String(error)
  return { refused: _codes(error).includes('ECONNREFUSED'), message }
}

// The reason of a failed fetch stands in the causes of the error.
function _codes (error: unknown): readonly string[] {
  if (!(error instanceof Error)) return []
  const code = 'code' in error && typeof error.code === 'string' ? [error.code] : []
  return [...code, ..._codes(error.cause)]
}
