import { connect, type Socket } from 'node:net'
import { answerOf, bodyOf, type Plan } from './_test_soak_upstreams.ts'

const PIECE_BYTES = 30
const PIECE_INTERVAL_MS = 4
const CONTINUE_TIMEOUT_MS = 1000
const SLOW_READ_INTERVAL_MS = 40
const SLOW_READ_BYTES = 16 * 1024
/** Time for which a caller reuses an idle connection, in ms; four fifths of the idle timeout. */
const REUSE_MS = 12_000
/** Time beyond its deadline after which a caller ends its connection, in ms. */
const GIVE_UP_SLACK_MS = 1500

/** How a caller sends its request and reads the answer. */
export const CALLER_KINDS = ['whole', 'chunked', 'two_parts', 'pieces', 'expect', 'slow_reader', 'half_closed', 'pipelined', 'http10', 'closes', 'resets'] as const

/** A request to be sent. */
export interface NewCall {
  readonly id: string
  readonly kind: typeof CALLER_KINDS[number]
  readonly path: string
  readonly plan: Plan
  readonly bodyBytes: number
  readonly deadlineMs: number
  /** Whether its connection is used before or after it. */
  readonly keep: boolean
  /** Time after which the second half of a body is sent, or the caller leaves, in ms. */
  readonly pauseMs: number
}

/** A request and what its caller saw; times are local, in ms, and Infinity before. */
export interface SoakCall extends NewCall {
  readonly instance: string
  readonly sentAtMs: number
  /** Whether the connection had brought an answer before. */
  readonly isKept: boolean
  isConnected: boolean
  /** Time at which the last byte of the request was sent. */
  bodySentAtMs: number
  leftAtMs: number
  endedAtMs: number
  /** Status of the answer; 0 if there is none. */
  status: number
  headers: ReadonlyMap<string, string>
  text: string
  isComplete: boolean
  /** How the connection ended. */
  detail: string
}

/** An instance that callers use. */
export interface Target {
  readonly name: string
  readonly callers: number
}

/** Callers of the soak. */
export interface Callers {
  readonly calls: readonly SoakCall[]
  /** Bytes that are no answer, or answers that no request waits for. */
  readonly stray: readonly string[]
  /** Sends requests on one connection, without waiting between them. */
  send (target: Target, asked: readonly NewCall[]): void
  /**
   * Opens a connection, and sends a request as soon as the one before it has been answered, until the connection ends or none is drawn.
   * Resolves to the last one, if any.
   */
  stay (target: Target, draw: () => NewCall | undefined): Promise<SoakCall | undefined>
  /** Resolves once all requests have ended. */
  ended (): Promise<void>
}

interface _Channel {
  readonly socket: Socket
  readonly instance: string
  readonly waiting: SoakCall[]
  received: string
  /** Bytes that are missing of the body or the chunk; undefined before a head, Infinity if the connection ends the body. */
  missing: number | undefined
  isChunked: boolean
  hasAnswered: boolean
  mayReuse: boolean
  idleSinceMs: number
  onContinue: () => void
  /** Called when all requests have been answered and more can follow; returns whether another one was sent. */
  goOn: () => boolean
}

/** Creates callers that have sent nothing yet. */
export function createCallers (): Callers {
  const calls: SoakCall[] = []
  const stray: string[] = []
  const idle: _Channel[] = []
  const open = new Set<SoakCall>()

  function end (call: SoakCall, isComplete: boolean, detail: string): void {
    if (open.delete(call)) Object.assign(call, { endedAtMs: performance.now(), isComplete, detail })
  }

  function finish (channel: _Channel): void {
    const call = channel.waiting.shift()
    Object.assign(channel, { missing: undefined, hasAnswered: true, idleSinceMs: performance.now() })
    if (call !== undefined) end(call, true, 'answered')
    if (channel.waiting.length > 0) return
    // The rest of a body that was answered early would stand where the next request is due.
    const mayReuse = channel.mayReuse && call?.headers.get('connection') !== 'close' && call?.bodySentAtMs !== Infinity
    if (!mayReuse) channel.socket.end()
    else if (!channel.goOn()) idle.push(channel)
  }

  function readHead (channel: _Channel): boolean {
    const length = channel.received.indexOf('\r\n\r\n')
    if (length < 0) return false
    const [first = '', ...lines] = channel.received.slice(0, length).split('\r\n')
    channel.received = channel.received.slice(length + 4)
    const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(first)?.[1] ?? 0)
    const [call] = channel.waiting
    if (status === 0 || call === undefined) {
      stray.push(`${JSON.stringify(first)} from ${channel.instance} ${call === undefined ? 'while no request waits' : `to ${call.id}`}`)
      channel.socket.destroy()
      return false
    }
    if (status === 100) channel.onContinue()
    if (status === 100) return true
    const headers = new Map(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
    channel.isChunked = headers.get('transfer-encoding') === 'chunked'
    channel.missing = channel.isChunked ? 0 : Number(headers.get('content-length') ?? Infinity)
    Object.assign(call, { status, headers })
    return true
  }

  // Takes what has arrived of the body; returns whether there may be more to read.
  function readBody (channel: _Channel, missing: number): boolean {
    const taken = channel.received.slice(0, missing)
    channel.missing = missing - taken.length
    channel.received = channel.received.slice(taken.length)
    const [call] = channel.waiting
    if (call !== undefined) call.text += taken
    if (channel.missing > 0) return false
    if (!channel.isChunked) finish(channel)
    if (!channel.isChunked) return true
    const size = /^(?:\r\n)?([0-9a-f]+)\r\n/i.exec(channel.received)
    const bytes = parseInt(size?.[1] ?? '', 16)
    if (size === null || (bytes === 0 && !channel.received.includes('0\r\n\r\n'))) return false
    channel.received = channel.received.slice(size[0].length + (bytes === 0 ? 2 : 0))
    channel.missing = bytes
    if (bytes === 0) finish(channel)
    return true
  }

  function openChannel (target: Target): _Channel {
    const socket = connect({ host: '127.0.0.1', port: target.callers, allowHalfOpen: true, noDelay: true })
    const channel: _Channel = { socket, instance: target.name, waiting: [], received: '', missing: undefined, isChunked: false, hasAnswered: false, mayReuse: true, idleSinceMs: 0, onContinue: () => {}, goOn: () => false }
    let detail = 'closed'
    socket.on('connect', () => { for (const call of channel.waiting) call.isConnected = true })
    socket.on('data', (chunk: Buffer) => {
      channel.received += chunk.toString('latin1')
      let more = true
      while (more && channel.received !== '') more = channel.missing === undefined ? readHead(channel) : readBody(channel, channel.missing)
    })
    socket.on('error', (error) => { detail = error.message })
    socket.on('end', () => {
      detail = 'ended'
      if (channel.missing === Infinity) finish(channel)
      socket.end()
    })
    socket.on('close', () => {
      if (idle.includes(channel)) idle.splice(idle.indexOf(channel), 1)
      for (const call of channel.waiting.splice(0)) end(call, false, detail)
    })
    return channel
  }

  function takeChannel (target: Target): _Channel {
    const at = idle.findIndex(({ instance, idleSinceMs }) => instance === target.name && performance.now() - idleSinceMs < REUSE_MS)
    return idle.splice(at, at < 0 ? 0 : 1)[0] ?? openChannel(target)
  }

  function leave (channel: _Channel, call: SoakCall, resets: boolean): void {
    if (!open.has(call)) return
    for (const waiting of channel.waiting) waiting.leftAtMs = performance.now()
    if (resets) channel.socket.resetAndDestroy()
    else channel.socket.destroy()
  }

  function readSlowly ({ socket }: _Channel, call: SoakCall): void {
    socket.pause()
    const timer = setInterval(() => {
      if (open.has(call) && !socket.destroyed) return socket.read(Math.min(SLOW_READ_BYTES, socket.readableLength))
      clearInterval(timer)
      socket.resume()
    }, SLOW_READ_INTERVAL_MS)
  }

  function write (channel: _Channel, call: SoakCall, isLast: boolean): void {
    const { socket } = channel
    const { kind, pauseMs, plan } = call
    const body = bodyOf(call.id, call.bodyBytes)
    const half = Math.ceil(body.length / 2)
    const isChunked = kind === 'chunked'
    const head = [
      `POST ${call.path} HTTP/${kind === 'http10' ? '1.0' : '1.1'}`, 'Host: api.example', `Attempt-Id: ${call.id}`, `Deadline-Ms: ${call.deadlineMs}`, `Soak-Plan: ${plan.workMs} ${plan.events} ${plan.gapMs} ${plan.bytes}`, `Soak-Bytes: ${body.length}`, ...kind === 'expect' ? ['Expect: 100-continue'] : [], isChunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${body.length}`, '\r\n'
    ].join('\r\n')
    const frame = (text: string): string => isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text
    const writeLast = (text: string): void => {
      socket.write(text + (isChunked ? '0\r\n\r\n' : ''), 'latin1', (error) => {
        if (error !== undefined && error !== null) return
        call.bodySentAtMs = performance.now()
        if (kind === 'half_closed' && isLast) socket.end()
        if (kind === 'closes' || kind === 'resets') setTimeout(leave, pauseMs, channel, call, kind === 'resets')
      })
    }
    const writePieces = (text: string): void => {
      if (text.length <= PIECE_BYTES) return writeLast(text)
      socket.write(text.slice(0, PIECE_BYTES), 'latin1')
      setTimeout(writePieces, PIECE_INTERVAL_MS, text.slice(PIECE_BYTES))
    }
    if (kind === 'pieces') return writePieces(head + body)
    if (isChunked || kind === 'two_parts') {
      socket.write(head + frame(body.slice(0, half)), 'latin1')
      setTimeout(() => writeLast(frame(body.slice(half))), pauseMs)
      return
    }
    if (kind !== 'expect') return writeLast(head + body)
    const sendBody = (): void => {
      clearTimeout(timer)
      channel.onContinue = () => {}
      writeLast(body)
    }
    const timer = setTimeout(sendBody, CONTINUE_TIMEOUT_MS)
    channel.onContinue = sendBody
    socket.write(head, 'latin1')
  }

  function send (target: Target, asked: readonly NewCall[]): void {
    sendOn(asked[0]?.keep === true ? takeChannel(target) : openChannel(target), asked)
  }

  function sendOn (channel: _Channel, asked: readonly NewCall[]): void {
    channel.mayReuse = asked.every(({ keep, kind }) => keep && kind !== 'half_closed' && kind !== 'http10')
    for (const one of asked) {
      const call: SoakCall = { ...one, instance: channel.instance, sentAtMs: performance.now(), isKept: channel.hasAnswered, isConnected: channel.hasAnswered, bodySentAtMs: Infinity, leftAtMs: Infinity, endedAtMs: Infinity, status: 0, headers: new Map(), text: '', isComplete: false, detail: '' }
      calls.push(call)
      open.add(call)
      channel.waiting.push(call)
      setTimeout(leave, call.deadlineMs + GIVE_UP_SLACK_MS, channel, call, false).unref()
      if (call.kind === 'slow_reader') readSlowly(channel, call)
      write(channel, call, one === asked.at(-1))
    }
  }

  function stay (target: Target, draw: () => NewCall | undefined): Promise<SoakCall | undefined> {
    const channel = openChannel(target)
    let last: SoakCall | undefined
    const next = (): boolean => {
      const call = draw()
      if (call !== undefined) sendOn(channel, [call])
      else channel.socket.end()
      last = channel.waiting.at(-1) ?? last
      return true
    }
    channel.goOn = next
    next()
    return new Promise((resolve) => channel.socket.once('close', () => resolve(last)))
  }

  async function ended (): Promise<void> {
    while (open.size > 0) await new Promise((resolve) => setTimeout(resolve, SLOW_READ_INTERVAL_MS))
    for (const { socket } of idle) socket.destroy()
  }

  return { calls, stray, send, stay, ended }
}

/** Returns what is wrong with an answer that its caller got, if anything. */
export function answerFault ({ id, plan, status, headers, text, isComplete }: SoakCall): string | undefined {
  const named = headers.get('attempt-id')
  if (named !== undefined && named !== id) return `MIXED: the answer is that of ${named}`
  if (status < 200 || status > 299) return undefined
  const whole = answerOf(id, plan)
  if (headers.get('server-signature')?.endsWith(`.${id}`) !== true) return `MIXED: a success is signed ${headers.get('server-signature')}`
  if (!whole.startsWith(text)) return `${plan.events > 0 ? 'ORDER' : 'MIXED'}: the answer differs: ${JSON.stringify(text.slice(-200))}`
  return isComplete && text !== whole ? `MIXED: an answer of ${text.length} of ${whole.length} bytes looks complete` : undefined
}
