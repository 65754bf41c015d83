import { connect, type Socket } from 'node:net'

/** Callers that send requests without waiting for their responses. */
export interface FloodLoad {
  readonly kind: 'flood'
  readonly connections: number
  /** Requests that each connection writes at once. */
  readonly requestsAtOnce: number
  readonly intervalMs: number
  readonly durationMs: number
}

/** Callers that read their response only after a time. */
export interface UnreadLoad {
  readonly kind: 'unread'
  readonly connections: number
  readonly responseBytes: number
  readonly durationMs: number
}

/** Uploads, whole ones or ones that stop before their end. */
export interface UploadLoad {
  readonly kind: 'uploads' | 'halted uploads'
  readonly connections: number
  readonly bodyBytes: number
  /** Time for which a caller waits: for its response, or after it has stopped, in ms. */
  readonly durationMs: number
  /** Time after which whole uploads send their last bytes, in ms; at once by default. */
  readonly pauseMs?: number
}

/** Callers that send a request as soon as the one before it has been answered. */
export interface SequenceLoad {
  readonly kind: 'sequence'
  readonly connections: number
  /** Maximum number of requests on each connection. */
  readonly requests: number
  readonly gapMs: number
  /** Time after which no request is begun but the first, in ms. */
  readonly durationMs: number
  /** Time over which the connections are opened, in ms; as short as possible by default. */
  readonly openingMs?: number
  /** Whether connections stay open until the last request of all has been answered. */
  readonly stays?: boolean
  /** Time for which a caller waits for a response, in ms; somewhat beyond its deadline by default. */
  readonly patienceMs?: number
}

/** A load of one kind; loads of an order run at the same time. */
export type Load = FloodLoad | UnreadLoad | UploadLoad | SequenceLoad

/** Loads for one instance. */
export interface LoadOrder {
  readonly port: number
  readonly loads: readonly Load[]
}

/** What became of the requests of a load. */
export interface LoadReport {
  readonly kind: Load['kind']
  /** Number of requests by outcome; those of `flood` without a response at its end are not counted. */
  readonly outcomes: Readonly<Record<string, number>>
  /** Examples of what must not be. */
  readonly faults: readonly string[]
  /** Ids of requests that were refused, or whose connection was closed without a response. */
  readonly unserved: readonly string[]
}

type _Outcome =
  /** A whole response of the upstream that the request asked for. */
  | 'served'
  /** The route doesn't exist. */
  | 'unrouted'
  /** 429 or 503 with a time after which to retry, or 408. */
  | 'refused'
  /** 503 without one, as the instance gives if a retry would not help. */
  | 'refused for good'
  /** 503 with a time and the end of the connection, before a request was read from it. */
  | 'turned away'
  /** 408, to a caller that stops before the end of its request. */
  | 'given up'
  /** 504, to a caller that doesn't wait. */
  | 'timed out'
  /** The instance closed the connection without a byte of a response. */
  | 'closed'
  /** The connection ended within a response. */
  | 'cut'
  /** No response in time. */
  | 'silent'
  /** Any other response. */
  | 'odd'

interface _Asked {
  readonly id: string
  readonly path: string
  readonly responseBytes: number
  /** Whether the deadline may pass, as the request may wait for those before it. */
  readonly mayTimeOut: boolean
  /** Whether its caller stops before its end. */
  readonly mayStop: boolean
}

interface _Channel {
  readonly socket: Socket
  /** Adds a request for whose response the channel waits. */
  expect (asked: _Asked): void
  /** Ends the channel from this side; what is due is then counted as this outcome, if any. */
  leave (outcome: _Outcome | undefined): void
}

interface _Recorder {
  record (outcome: _Outcome, asked: _Asked, detail: string): void
  report (): LoadReport
}

const DEADLINE_MS = 8000
/** Time beyond its deadline for which a caller waits, in ms. */
const SLACK_MS = 1500
const PATHS = ['/lookups/1', '/bookings/1', '/lookups/2', '/missing/1']
const SMALL_BYTES = 60
/** Connections that are opened at once, and the interval, in ms. */
const WAVE = 100
const WAVE_MS = 5
/** Bytes that a flooding caller keeps for a connection that takes no more. */
const MAX_UNSENT_BYTES = 256 * 1024
const HALTED_BYTES = 300
const MAX_EXAMPLES = 5
const MAX_UNSERVED = 20_000
const CHUNK = Buffer.alloc(64 * 1024, 'u')

const NO_REQUEST: _Asked = { id: 'none', path: '', responseBytes: 0, mayTimeOut: false, mayStop: false }

let requestCount = 0

function createRecorder (kind: Load['kind']): _Recorder {
  const outcomes: Record<string, number> = {}
  const faults: string[] = []
  const unserved: string[] = []
  return {
    record: (outcome, { id, path }, detail) => {
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1
      if (['cut', 'silent', 'odd'].includes(outcome) && faults.length < MAX_EXAMPLES) faults.push(`${id} at ${path}: ${detail}`)
      if (['refused', 'refused for good', 'turned away', 'given up', 'closed'].includes(outcome) && unserved.length < MAX_UNSERVED) unserved.push(id)
    },
    report: () => ({ kind, outcomes, faults, unserved })
  }
}

function _headOf ({ id, path, responseBytes }: _Asked, bodyBytes: number): string {
  return `POST ${path} HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: ${id}\r\nDeadline-Ms: ${DEADLINE_MS}\r\nLoad-Response-Bytes: ${responseBytes}\r\nLoad-Body-Bytes: ${bodyBytes}\r\nContent-Length: ${bodyBytes}\r\n\r\n`
}

function _newRequest (path: string, changes: Partial<_Asked> = {}): _Asked {
  requestCount += 1
  return { id: `q${requestCount}`, path, responseBytes: SMALL_BYTES, mayTimeOut: false, mayStop: false, ...changes }
}

interface _Head {
  readonly status: number
  readonly bytes: number
  readonly id: string | undefined
  readonly hasTime: boolean
  /** Whether the connection ends. */
  readonly closes: boolean
}

function _outcomeOf (asked: _Asked, { status, bytes, id, hasTime, closes }: _Head): _Outcome {
  if (id === undefined) return status === 503 && hasTime && closes ? 'turned away' : 'odd'
  if (id !== asked.id) return 'odd'
  switch (status) {
    case 200: return bytes === asked.responseBytes ? 'served' : 'odd'
    case 404: return asked.path.startsWith('/missing') ? 'unrouted' : 'odd'
    case 408: return asked.mayStop ? 'given up' : 'odd'
    case 429: return hasTime ? 'refused' : 'odd'
    case 503: return hasTime ? 'refused' : 'refused for good'
    case 504: return asked.mayTimeOut ? 'timed out' : 'odd'
    default: return 'odd'
  }
}

// Opens a connection and reads responses from it.
function openChannel (port: number, recorder: _Recorder, answered: () => void = () => {}): _Channel {
  const socket = connect({ host: '127.0.0.1', port, noDelay: true })
  const due: _Asked[] = []
  let head = ''
  let response: { readonly outcome: _Outcome, readonly detail: string, missing: number } | undefined
  let [ending, detail]: [{ readonly outcome: _Outcome | undefined } | undefined, string] = [undefined, 'closed']

  function readHead (): void {
    const length = head.indexOf('\r\n\r\n')
    if (length < 0) return
    const text = head.slice(0, length)
    const [asked] = due
    const field = (name: string): string | undefined => new RegExp(`^${name}: *(.*)$`, 'im').exec(text)?.[1]
    const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0)
    if (status === 100) {
      head = head.slice(length + 4)
      return readHead()
    }
    const bytes = Number(field('content-length') ?? NaN)
    const outcome = asked === undefined || Number.isNaN(bytes) ? 'odd' : _outcomeOf(asked, { status, bytes, id: field('attempt-id'), hasTime: field('retry-after') !== undefined, closes: field('connection') === 'close' })
    response = { outcome, detail: text.replaceAll('\r\n', ' | ').slice(0, 200), missing: Number.isNaN(bytes) ? Infinity : bytes }
    const rest = head.slice(length + 4)
    head = ''
    read(Buffer.from(rest, 'latin1'))
  }

  function read (bytes: Buffer): void {
    let left = bytes
    while (left.length > 0) {
      if (response === undefined) {
        head += left.toString('latin1')
        return readHead()
      }
      const taken = Math.min(left.length, response.missing)
      response.missing -= taken
      left = left.subarray(taken)
      finish()
    }
    finish()
  }

  function finish (): void {
    if (response === undefined || response.missing > 0) return
    const { outcome, detail } = response
    const asked = due.shift()
    response = undefined
    recorder.record(outcome, asked ?? NO_REQUEST, detail)
    answered()
  }

  socket.on('data', read)
  socket.on('error', (error) => { detail = error.message })
  socket.on('close', () => {
    const [began] = due
    if (began !== undefined && response !== undefined && ending === undefined) {
      recorder.record('cut', began, `${response.missing} bytes missing, ${detail}, of ${response.detail}`)
      due.shift()
    }
    const outcome = ending === undefined ? 'closed' : ending.outcome
    if (outcome !== undefined) for (const asked of due) recorder.record(outcome, asked, `${response === undefined ? 'no byte' : `${response.missing} bytes missing`}, ${detail}`)
    due.splice(0)
  })
  return {
    socket,
    expect: (asked) => { due.push(asked) },
    leave: (outcome) => {
      ending ??= { outcome }
      socket.destroy()
    }
  }
}

async function openAll<Opened> (count: number, open: (i: number) => Opened, openingMs = 0): Promise<readonly Opened[]> {
  const opened: Opened[] = []
  const beganAtMs = performance.now()
  while (opened.length < count) {
    const dueByNow = openingMs === 0 ? opened.length + WAVE : count * (performance.now() - beganAtMs) / openingMs
    while (opened.length < Math.min(count, dueByNow)) opened.push(open(opened.length))
    await pause(WAVE_MS)
  }
  return opened
}

function pause (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}

function whenClosed ({ socket }: _Channel): Promise<void> {
  return socket.closed ? Promise.resolve() : new Promise((resolve) => socket.once('close', () => resolve()))
}

async function flood (port: number, load: FloodLoad): Promise<LoadReport> {
  const recorder = createRecorder(load.kind)
  const endMs = performance.now() + load.durationMs
  const write = ({ socket, expect }: _Channel): void => {
    if (socket.destroyed || socket.writableLength > MAX_UNSENT_BYTES) return
    let text = ''
    for (let i = 0; i < load.requestsAtOnce; i += 1) {
      const asked = _newRequest(PATHS[requestCount % PATHS.length] ?? '', { mayTimeOut: true })
      expect(asked)
      text += _headOf(asked, 0)
    }
    socket.write(text, 'latin1')
  }
  const channels: _Channel[] = []
  const opening = openAll(load.connections, () => {
    const channel = openChannel(port, recorder)
    channels.push(channel)
    return channel
  })
  while (performance.now() < endMs) {
    const beganAtMs = performance.now()
    for (const [i, channel] of channels.entries()) {
      write(channel)
      // Responses are read and connections are opened in between.
      if (i % 500 === 499) await new Promise((resolve) => setImmediate(resolve))
    }
    await pause(Math.max(1, Math.min(load.intervalMs, endMs - beganAtMs) - (performance.now() - beganAtMs)))
  }
  await opening
  for (const { leave } of channels) leave(undefined)
  await Promise.all(channels.map(whenClosed))
  return recorder.report()
}

async function unread (port: number, load: UnreadLoad): Promise<LoadReport> {
  const recorder = createRecorder(load.kind)
  const channels = await openAll(load.connections, () => {
    const channel: _Channel = openChannel(port, recorder, () => channel.leave(undefined))
    const asked = _newRequest('/lookups/1', { responseBytes: load.responseBytes })
    channel.socket.pause()
    channel.expect(asked)
    channel.socket.write(_headOf(asked, 0), 'latin1')
    return channel
  })
  await pause(load.durationMs)
  for (const { socket } of channels) socket.resume()
  const timer = setTimeout(() => { for (const { leave } of channels) leave('silent') }, DEADLINE_MS + SLACK_MS)
  await Promise.all(channels.map(whenClosed))
  clearTimeout(timer)
  return recorder.report()
}

// Sends so many bytes of a body, unless the connection ends.
async function sendBody (socket: Socket, bytes: number): Promise<void> {
  for (let left = bytes; left > 0 && !socket.destroyed; left -= CHUNK.length) {
    if (socket.write(CHUNK.subarray(0, left))) continue
    await new Promise<void>((resolve) => {
      socket.once('drain', resolve)
      socket.once('close', () => resolve())
    })
  }
}

async function upload (port: number, load: UploadLoad): Promise<LoadReport> {
  const recorder = createRecorder(load.kind)
  const isHalted = load.kind === 'halted uploads'
  const sendParts = async (socket: Socket): Promise<void> => {
    await sendBody(socket, load.bodyBytes - HALTED_BYTES)
    if (isHalted) return
    await pause(load.pauseMs ?? 0)
    await sendBody(socket, HALTED_BYTES)
  }
  const channels = await openAll(load.connections, (i) => {
    const channel: _Channel = openChannel(port, recorder, () => channel.leave('closed'))
    const asked = _newRequest(PATHS[i % 2] ?? '', { mayStop: isHalted })
    channel.expect(asked)
    channel.socket.write(_headOf(asked, load.bodyBytes), 'latin1')
    sendParts(channel.socket).catch(() => {})
    return channel
  })
  const timer = setTimeout(() => { for (const { leave } of channels) leave(isHalted ? undefined : 'silent') }, load.durationMs)
  await Promise.all(channels.map(whenClosed))
  clearTimeout(timer)
  return recorder.report()
}

async function sequence (port: number, load: SequenceLoad): Promise<LoadReport> {
  const recorder = createRecorder(load.kind)
  const endMs = performance.now() + load.durationMs
  const done: Promise<void>[] = []
  const channels = await openAll(load.connections, (n) => {
    let sent = 0
    let timer: NodeJS.Timeout | undefined
    let finish = (): void => {}
    const send = (): void => {
      const asked = _newRequest(PATHS[(n + sent) % 3] ?? '')
      sent += 1
      channel.expect(asked)
      channel.socket.write(_headOf(asked, 0), 'latin1')
      timer = setTimeout(channel.leave, load.patienceMs ?? DEADLINE_MS + SLACK_MS, 'silent')
    }
    const channel: _Channel = openChannel(port, recorder, () => {
      clearTimeout(timer)
      if (sent < load.requests && performance.now() <= endMs) timer = setTimeout(send, load.gapMs)
      else finish()
    })
    done.push(new Promise((resolve) => {
      finish = () => {
        if (load.stays !== true) channel.leave(undefined)
        resolve()
      }
      channel.socket.once('close', () => {
        clearTimeout(timer)
        resolve()
      })
    }))
    send()
    return channel
  }, load.openingMs)
  await Promise.all(done)
  for (const { leave } of channels) leave(undefined)
  await Promise.all(channels.map(whenClosed))
  return recorder.report()
}

function run (port: number, load: Load): Promise<LoadReport> {
  switch (load.kind) {
    case 'flood': return flood(port, load)
    case 'unread': return unread(port, load)
    case 'sequence': return sequence(port, load)
    default: return upload(port, load)
  }
}

async function runAll ({ port, loads }: LoadOrder): Promise<void> {
  process.send?.(await Promise.all(loads.map((load) => run(port, load))))
}

// Runs in a process of its own, which the test starts.
process.on('message', (order) => {
  runAll(order as LoadOrder).catch((error: unknown) => { throw error })
})
process.on('disconnect', () => process.exit())
