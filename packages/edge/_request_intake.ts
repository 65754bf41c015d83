import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'

/** Bytes that are given to the parser at once, so that few further requests are parsed behind one that has to be answered first. */
const SLICE_BYTES = 2048
/** The same while a body arrives. */
const BODY_SLICE_BYTES = 16 * 1024
/** Slices that are parsed in one turn of the event loop, some milliseconds of work. */
const SLICES_PER_TURN = 8
/**
 * The same after a turn in which a connection was accepted, about a millisecond of work. The listener accepts one connection in each turn, and others
 * may be waiting behind it.
 */
const SLICES_WHILE_ACCEPTING = 2

/** What is done with bytes that have arrived on a connection. */
export type Intake =
  /** They are parsed: a request may begin. */
  | 'request'
  /** They are parsed: the body of a request arrives. */
  | 'body'
  /** They stay unread until the connection is resumed. */
  | 'wait'
  /** They are dropped. */
  | 'drop'

/** Paces how the bytes of callers are parsed. */
export interface RequestIntake {
  /** Goes on with a connection whose bytes had to wait. */
  resume (socket: Socket): void
  /** Reports whether bytes of a connection wait. */
  holds (socket: Duplex): boolean
}

/** Callbacks of {@linkcode paceRequests}. */
export interface IntakeOptions {
  /** Returns what is done with the next bytes of a connection. */
  next (socket: Socket): Intake
  /** Called with each change of the number of bytes that wait on all connections. */
  held (changeBytes: number): void
  /** Called with the number of bytes of a connection that the parser got, but for those of bodies. */
  parsed (socket: Socket, bytes: number): void
  /** Called before bytes are kept that wait; returns whether there is no room for them, so that they are dropped. */
  isCrowded (socket: Socket, bytes: number): boolean
}

// The part of a socket with which Node itself stops and starts the reading of connections that its parser consumes.
interface _Handle {
  reading: boolean
  readStart (): void
  readStop (): void
}

/**
 * Paces how the bytes of a server's connections are parsed.
 *
 * Node parses all that one read brings, hundreds of small requests, and reads on whenever a message is complete, whether the connection was
 * paused or not. Here the parser gets the bytes in slices, and none while `next` lets them wait. A connection with bytes that wait is not
 * read, so that there are at most those of one read.
 *
 * @param server The server, before it listens.
 * @param options What is done with the bytes, and who is told of those that wait.
 * @returns The intake.
 *
 * @example
 * ```ts
 * const intake = paceRequests(server, { next: (socket) => isBusy(socket) ? 'wait' : 'request', held: () => {}, parsed: () => {}, isCrowded: () => false })
 * ```
 */
export function paceRequests (server: Server, { next, held, parsed, isCrowded }: IntakeOptions): RequestIntake {
  /** Connections whose bytes wait for another turn, in the order of their arrival. */
  const ready = new Set<Socket>()
  /** Numbers of bytes that wait. */
  const waiting = new Map<Duplex, number>()
  let slicesLeft = SLICES_PER_TURN
  let hasAccepted = false
  let turn: NodeJS.Immediate | undefined

  server.on('connection', (socket: Socket) => {
    hasAccepted = true
    turn ??= setImmediate(endTurn)
    slicesLeft = Math.min(slicesLeft, SLICES_WHILE_ACCEPTING)
    const [parse] = socket.listeners('data') as Array<(bytes: Buffer) => void>
    // A second listener next to that of Node would have the parser read the same bytes again.
    if (parse === undefined) throw new Error('Cannot pace a connection: Node parses it without a listener for data; use a version of Node 20')
    socket.removeListener('data', parse)
    socket.on('data', (bytes: Buffer) => {
      setWaiting(socket, 0)
      take(socket, bytes, parse)
    })
    // Otherwise a paused socket is read up to its high-water mark.
    socket.on('pause', () => setReading(socket, false))
    socket.on('resume', () => setReading(socket, true))
    socket.once('close', () => {
      ready.delete(socket)
      setWaiting(socket, 0)
    })
  })

  function setReading (socket: Socket, isReading: boolean): void {
    const handle = Reflect.get(socket, '_handle') as _Handle | null | undefined
    if (handle === null || handle === undefined || handle.reading === isReading) return
    handle.reading = isReading
    if (isReading) handle.readStart()
    else handle.readStop()
  }

  function setWaiting (socket: Socket, bytes: number): void {
    const before = waiting.get(socket) ?? 0
    if (before === bytes) return
    if (bytes === 0) waiting.delete(socket)
    else waiting.set(socket, bytes)
    held(bytes - before)
  }

  function take (socket: Socket, bytes: Buffer, parse: (bytes: Buffer) => void): void {
    let rest = bytes
    while (rest.length > 0 && !socket.destroyed) {
      const intake = next(socket)
      if (intake === 'drop') return
      const mustWait = intake === 'wait' || isHeld(socket)
      if (mustWait || slicesLeft === 0) {
        if (intake !== 'body' && isCrowded(socket, rest.length)) return
        if (!mustWait) ready.add(socket)
        return putBack(socket, rest)
      }
      slicesLeft -= 1
      turn ??= setImmediate(endTurn)
      const size = intake === 'body' ? BODY_SLICE_BYTES : SLICE_BYTES
      const slice = rest.subarray(0, size)
      rest = rest.subarray(size)
      parse.call(socket, slice)
      if (intake === 'request') parsed(socket, slice.length)
      // Node pauses the connection if the body is not read.
      if (rest.length > 0 && socket.isPaused()) return putBack(socket, rest)
    }
  }

  function putBack (socket: Socket, bytes: Buffer): void {
    setWaiting(socket, bytes.length)
    socket.pause()
    socket.unshift(bytes)
  }

  function endTurn (): void {
    turn = undefined
    slicesLeft = hasAccepted ? SLICES_WHILE_ACCEPTING : SLICES_PER_TURN
    hasAccepted = false
    let resumable = slicesLeft
    for (const socket of ready) {
      if (resumable === 0) break
      resumable -= 1
      ready.delete(socket)
      resume(socket)
    }
    if (ready.size > 0) turn = setImmediate(endTurn)
  }

  function resume (socket: Socket): void {
    if (!isHeld(socket) && !socket.destroyed) socket.resume()
  }

  // Node holds a connection back whose responses are not read, resumes it itself, and does not expect bytes meanwhile.
  function isHeld (socket: Socket): boolean {
    return Reflect.get(socket, '_paused') === true
  }

  return { resume, holds: (socket) => waiting.has(socket) }
}
