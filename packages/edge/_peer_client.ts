import { Agent } from 'node:http'
import { createTRPCClient, httpLink } from '@trpc/client'
import { ResultAsync } from 'neverthrow'
import { decodeHeartbeatAnswer, encodeHeartbeat } from './_heartbeat_codec.ts'
import type { HeartbeatAnswer, HeartbeatRequest } from './heartbeat.ts'
import type { PeerRouter } from './_peer_router.ts'
import { postCall } from './_post_call.ts'

/** Timeout of a call to another instance, in ms: two heartbeat intervals. */
const PEER_TIMEOUT_MS = 400
/** Maximum size of an answer, in bytes: that of a heartbeat with a configuration. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024

/** Failure of a call to another instance. */
export interface PeerFailure {
  /** Whether the connection was refused, so that no process listens at the address. */
  readonly refused: boolean
  readonly message: string
}

/** Client of the peer interface of other instances. */
export interface PeerClient {
  heartbeat (address: string, request: HeartbeatRequest): ResultAsync<HeartbeatAnswer, PeerFailure>
}

/** Creates a client with a timeout on each call. */
export function createPeerClient (): PeerClient {
  const agent = new Agent({ keepAlive: true })
  const clients = new Map<string, ReturnType<typeof createClient>>()

  function createClient (address: string) {
    return createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${address}`,
        fetch: (url, init) => postCall(String(url), String(init?.body ?? ''), { agent, timeoutMs: PEER_TIMEOUT_MS, maxBytes: MAX_ANSWER_BYTES })
      })]
    })
  }

  function getClient (address: string): ReturnType<typeof createClient> {
    const known = clients.get(address)
    if (known !== undefined) return known
    const client = createClient(address)
    clients.set(address, client)
    return client
  }

  return {
    heartbeat: (address, request) => ResultAsync.fromPromise(
      getClient(address).exchange.mutate(encodeHeartbeat(request)).then(decodeHeartbeatAnswer), _toPeerFailure)
  }
}

function _toPeerFailure (error: unknown): PeerFailure {
  const message = error instanceof Error ? error.message : String(error)
  return { refused: _errorCodes(error).includes('ECONNREFUSED'), message }
}

// tRPC wraps the error of a failed call, which carries the system error code.
function _errorCodes (error: unknown): readonly string[] {
  if (!(error instanceof Error)) return []
  const code = 'code' in error && typeof error.code === 'string' ? [error.code] : []
  return [...code, ..._errorCodes(error.cause)]
}
