import { createServer as createHttpServer } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { ExecutionContext } from 'ava'
import type { ResponseBody } from './_response_body.ts'
import { shareResponseMemory } from './_response_memory.ts'
import { forwardAttempt, type ForwardedAttempt } from './forward_attempt.ts'
import { createMemoryBudget } from './memory_budget.ts'

/** TCP upstream that responds with arbitrary bytes. */
export interface RawUpstream {
  readonly port: number
  /** Returns the chunks received so far. */
  arrivals (): readonly string[]
  close (): Promise<void>
}

/** Starts an upstream that calls `respond` with each received chunk and its socket. */
export async function startRawUpstream (respond: (socket: Socket, request: string) => void): Promise<RawUpstream> {
  const arrivals: string[] = []
  const sockets = new Set<Socket>()
  const server: Server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', (chunk) => {
      arrivals.push(chunk.toString('latin1'))
      respond(socket, chunk.toString('latin1'))
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    port: (server.address() as AddressInfo).port,
    arrivals: () => arrivals,
    close: () => new Promise((resolve) => {
      for (const socket of sockets) socket.destroy()
      server.close(() => resolve())
    })
  }
}

/** Outcome of an attempt. */
export interface AttemptOutcome {
  readonly outcome: string
  /** Relayed events of a stream, or the whole body. */
  readonly received: string
  readonly lastEventId: string | undefined
}

/** Memory that the responses to {@linkcode sendAttempt} share: that of an instance. */
export const TEST_RESPONSES = createMemoryBudget(64 * 1024 * 1024)
const testMemory = shareResponseMemory(TEST_RESPONSES)
/** Sends a request and returns its outcome. */
export function sendAttempt (port: number, changes: Partial<ForwardedAttempt> = {}, memory = testMemory): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    let passed = ''
    let lastEventId: string | undefined
    forwardAttempt({
      id: 'a1',
      host: '127.0.0.1',
      port,
      method: 'POST',
      path: '/x',
      headers: ['Host', 'api.example', 'Attempt-Id', 'a1', 'Connection', 'close', 'Content-Length', '4'],
      body: Buffer.from('body'),
      expects: 'whole',
      lastEventId: undefined,
      runsOnce: false,
      reuseConnection: false,
      connectTimeoutMs: 2000,
      firstByteTimeoutMs: 2000,
      eventTimeoutMs: 2000,
      ...changes
    }, {
      announced: () => {},
      mayGiveUp: () => true,
      events: (_head, events) => {
        passed += events.chunk.toString()
        lastEventId = events.lastEventId ?? lastEventId
        events.memory.release()
        return true
      },
      ended: (head, body) => resolve({ outcome: `ended ${head.status}`, received: takeText(body) ?? passed, lastEventId }),
      failed: (failure, _detail, errorResponse) => resolve({ outcome: failure, received: takeText(errorResponse?.body) ?? passed, lastEventId })
    }, memory)
  })
}

function takeText (body: ResponseBody | undefined): string | undefined {
  body?.memory.release()
  return body === undefined ? undefined : Buffer.concat(body.parts).toString()
}

/** Request that reached a {@linkcode startAnsweringUpstream}. */
export interface ArrivedRequest {
  readonly id: string
  /** Last event that the caller has, if the request continues a stream. */
  readonly lastEventId: string | undefined
}

/** Starts an upstream that writes what `answer` returns for each request as it is, and then ends the connection. */
export async function startAnsweringUpstream (t: ExecutionContext, answer: (request: ArrivedRequest) => string): Promise<string> {
  const upstream = await startRawUpstream((socket, text) => {
    const headerOf = (name: string): string | undefined => new RegExp(`^${name}: (.*)$`, 'im').exec(text)?.[1]?.trim()
    const id = headerOf('attempt-id')
    if (id !== undefined) socket.end(answer({ id, lastEventId: headerOf('last-event-id') }), 'latin1')
  })
  t.teardown(() => upstream.close())
  return `127.0.0.1:${upstream.port}`
}

/** An upstream whose responses take some time. */
export interface SlowUpstream {
  readonly address: string
  /** Returns the ids of the requests that arrived, in order. */
  arrived (): readonly string[]
  /** Returns the ids of the requests whose stream has begun. */
  begun (): readonly string[]
  /** Returns the ids of the requests whose connection ended before their response. */
  cancelled (): readonly string[]
}

/** Starts an upstream that answers after `workMs`; a stream begins after half of the time, and ends after all of it. */
export async function startSlowUpstream (t: ExecutionContext, workMs: number): Promise<SlowUpstream> {
  const [arrived, begun, cancelled]: [string[], string[], string[]] = [[], [], []]
  const server = createHttpServer((request, response) => {
    const id = String(request.headers['attempt-id'])
    arrived.push(id)
    response.on('close', () => { if (!response.writableFinished) cancelled.push(id) })
    const signed = { 'attempt-id': id, 'server-signature': 's' }
    if (request.url?.startsWith('/drafts/') === true) {
      setTimeout(() => {
        begun.push(id)
        response.writeHead(200, { ...signed, 'content-type': 'text/event-stream' }).write('id: 1\ndata: a\n\n')
      }, workMs / 2)
      setTimeout(() => response.end('id: 2\ndata: b\n\n'), workMs)
    } else setTimeout(() => response.writeHead(200, { ...signed, 'content-length': 2 }).end('ok'), workMs)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, arrived: () => arrived, begun: () => begun, cancelled: () => cancelled }
}

/** An upstream that answers bookings and lookups after some time, and drafts by short streams. */
export interface WorkingUpstream {
  readonly address: string
  /** Ids of the requests that have arrived. */
  readonly ids: ReadonlySet<string>
}

/** Starts an upstream that takes `workMs` for the nth request, if it is no stream. */
export async function startWorkingUpstream (t: ExecutionContext, workMs: (n: number) => number): Promise<WorkingUpstream> {
  const ids = new Set<string>()
  const server = createHttpServer((request, response) => {
    const id = String(request.headers['attempt-id'])
    ids.add(id)
    const signed = { 'attempt-id': id, 'server-signature': 's' }
    if (request.url?.startsWith('/drafts/') !== true) {
      setTimeout(() => response.writeHead(200, { ...signed, 'content-length': 2 }).end('ok'), workMs(ids.size))
      return
    }
    response.writeHead(200, { ...signed, 'content-type': 'text/event-stream' }).write('id: 1\ndata: a\n\n')
    setTimeout(() => response.end('id: 2\ndata: b\n\n'), 250)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, ids }
}
