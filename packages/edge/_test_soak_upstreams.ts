import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { BOUNDS } from './_test_processes.ts'
import type { TestStore } from './_test_store.ts'

const HEARTBEAT_MS = 1200
const MISSED_HEARTBEATS = 3
/** Time for which a leaving upstream serves beyond `DrainMs`, in ms. */
const LEAVING_SLACK_MS = 1000
/** Requests that an upstream runs at once; it may announce fewer. */
const SLOTS = 60

/** What a caller asks an upstream to do; sent in a header. */
export interface Plan {
  /** Time until the answer or the first event, in ms. */
  readonly workMs: number
  /** Number of events; 0 for a plain answer. */
  readonly events: number
  readonly gapMs: number
  /** Size of a plain answer. */
  readonly bytes: number
}

/** A run of a request at an upstream; times are local, in ms. */
export interface Run {
  readonly id: string
  readonly upstream: string
  readonly startedAtMs: number
  /** Last event that the caller had. */
  readonly after: number
  endedAtMs: number
  how: 'running' | 'answered' | 'cancelled' | 'broke_off'
}

/** What upstreams saw: runs, and ids of requests that are not what their caller sent. */
export interface Arrivals {
  readonly runs: Run[]
  readonly changed: string[]
}

/** An upstream that comes and goes. */
export interface SoakUpstream {
  /** Resets its connections and ends. */
  crash (): void
  /** Announces that it leaves, serves on as long as it has to, and ends. */
  leave (): void
  /** Starts again with a new id. */
  comeBack (softwareVersion: string): Promise<void>
  /** Has room for no further request for a time in ms. */
  refuse (durationMs: number): void
  close (): void
}

/** Returns the body of the request with an id. */
export function bodyOf (id: string, bytes: number): string {
  return id.padEnd(bytes, '-')
}

/** Returns the whole answer to a request. */
export function answerOf (id: string, { events, bytes }: Plan): string {
  return events === 0 ? `${id}:`.padEnd(bytes, 'x') : Array.from({ length: events }, (_, i) => _eventOf(id, i + 1)).join('')
}

function _eventOf (id: string, number: number): string {
  return `id: ${number}\ndata: ${id}.${number}\n\n`
}

/** Options of {@linkcode startSoakUpstream}. */
export interface SoakUpstreamOptions {
  readonly service: string
  readonly store: TestStore
  readonly arrivals: Arrivals
  readonly slots?: number
  /** Pace of streams that is the upstream's own, whatever requests ask for. */
  readonly ownPace?: Pick<Plan, 'workMs' | 'gapMs'> | undefined
}

/** Starts an upstream that registers itself in a store. */
export async function startSoakUpstream (name: string, options: SoakUpstreamOptions): Promise<SoakUpstream> {
  const { service, store, arrivals, slots = SLOTS, ownPace } = options
  let lifetime = 0
  let fullUntilMs = -Infinity
  let current = await start('v1')

  async function start (softwareVersion: string): Promise<Omit<SoakUpstream, 'comeBack' | 'refuse'>> {
    lifetime += 1
    const id = `${name}-${lifetime}`
    const born = Date.now()
    const sockets = new Set<Socket>()
    const running = new Set<Run>()
    let [state, beats] = ['ready', 0]

    function run (request: IncomingMessage, response: ServerResponse, attempt: string): void {
      const [askedWorkMs = 0, events = 0, askedGapMs = 0, bytes = 0] = String(request.headers['soak-plan']).split(' ').map(Number)
      const { workMs, gapMs } = events > 0 && ownPace !== undefined ? ownPace : { workMs: askedWorkMs, gapMs: askedGapMs }
      const after = Number(request.headers['last-event-id'] ?? 0)
      const entry: Run = { id: attempt, upstream: id, startedAtMs: performance.now(), after, endedAtMs: Infinity, how: 'running' }
      arrivals.runs.push(entry)
      running.add(entry)
      const end = (how: Run['how']): void => {
        if (running.delete(entry)) Object.assign(entry, { how, endedAtMs: performance.now() })
      }
      response.on('close', () => end('cancelled'))
      const head = { 'Attempt-Id': attempt, 'Server-Signature': `${id}.${attempt}`, ...state === 'ready' ? {} : { 'Server-Leaving': '1', Connection: 'close' } }
      const answer = (): void => {
        if (!running.has(entry)) return
        end('answered')
        response.writeHead(200, { ...head, 'Content-Length': bytes }).end(answerOf(attempt, { workMs, events, gapMs, bytes }))
      }
      const emit = (number: number): void => {
        if (!running.has(entry)) return
        if (!response.headersSent) response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' })
        response.write(_eventOf(attempt, number))
        if (number < events) setTimeout(emit, gapMs, number + 1)
        else end('answered')
        if (number >= events) response.end()
      }
      if (events === 0) setTimeout(answer, workMs)
      else setTimeout(emit, after === 0 ? workMs : gapMs, after + 1)
    }

    const server = createServer((request, response) => {
      let body = ''
      request.on('error', () => {})
      request.on('data', (chunk: Buffer) => { body += chunk.toString() })
      request.on('end', () => {
        const attempt = String(request.headers['attempt-id'])
        const isMisdirected = request.headers['expect-instance'] !== id
        const isFull = running.size >= SLOTS || performance.now() < fullUntilMs
        if (isMisdirected || isFull) return response.writeHead(isMisdirected ? 421 : 503, { 'Attempt-Id': attempt, 'Not-Executed': '1', 'Content-Length': 0 }).end()
        if (body !== bodyOf(attempt, Number(request.headers['soak-bytes']))) arrivals.changed.push(attempt)
        run(request, response, attempt)
      })
    })
    server.on('connection', (socket) => {
      sockets.add(socket)
      socket.on('close', () => sockets.delete(socket))
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const beat = (): void => {
      beats += 1
      store.put('servers', id, { Service: service, Address: `127.0.0.1:${port}`, Zone: 'a', Version: softwareVersion, Slots: slots, State: state, ColdRemainingMs: 0, Sequence: beats, born })
    }
    beat()
    const beating = setInterval(beat, HEARTBEAT_MS)
    const close = (): void => {
      clearInterval(beating)
      for (const entry of running) Object.assign(entry, { how: 'broke_off', endedAtMs: performance.now() })
      running.clear()
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
    }
    const endAfter = (lingerMs: number): void => {
      close()
      setTimeout(() => store.remove('servers', id), lingerMs)
    }
    const leave = (): void => {
      state = 'draining'
      beat()
      setTimeout(endAfter, BOUNDS.DrainMs + LEAVING_SLACK_MS, 0)
    }
    return { close, crash: () => endAfter(HEARTBEAT_MS * MISSED_HEARTBEATS), leave }
  }

  return {
    crash: () => current.crash(),
    leave: () => current.leave(),
    comeBack: async (softwareVersion) => { current = await start(softwareVersion) },
    refuse: (durationMs) => { fullUntilMs = performance.now() + durationMs },
    close: () => current.close()
  }
}
