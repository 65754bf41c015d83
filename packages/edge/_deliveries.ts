import { breakOff } from './_break_off.ts'
import type { CallerExchange } from './_exchanges.ts'
import type { ResponseBody } from './_response_body.ts'
import type { HeldMemory, ResponseMemory } from './_response_memory.ts'

/** Size of what is handed to a connection at once of a body, in bytes; the progress of a caller is seen slice by slice. */
const SLICE_BYTES = 16 * 1024
/**
 * Time after which a caller that takes nothing is cut off if others wait for memory, in ms: a part of the timeouts of routes, so that some of the
 * others are served. A caller that takes less than a slice in this time cannot have a large body within its deadline.
 */
const UNREAD_MS = 1000
/** Maximum time between two checks that counts, in ms: a few ticks. Callers may have read during a stall of the process. */
const MAX_CHECK_MS = 100
/** Maximum number of cuts per second that are reported one by one. */
const MAX_REPORTS_PER_S = 20

/** Why a caller was cut off. */
export interface UnreadResponse {
  /** What its response held. */
  readonly bytes: number
  /** Time for which it had taken nothing, in ms. */
  readonly unreadMs: number
  /** Number of cuts before this one that were not reported. */
  readonly unreported: number
}

/** What is handed to a caller's connection and not yet written to it. */
export interface Delivery {
  /** Reports whether all of the response has been handed over. */
  isWhole (): boolean
  isCut (): boolean
  /** Writes events, and takes over their memory; returns false to wait for the response's drain. */
  write (events: Buffer, memory: HeldMemory): boolean
  /** Writes a body in slices, takes over its memory, and ends the response. */
  end (body: ResponseBody): void
  /** Frees the memory of what can no longer be written. */
  release (): void
}

/** Deliveries of an instance. */
export interface Deliveries {
  open (exchange: CallerExchange): Delivery
  /** Cuts off callers that have taken nothing for some time, while responses still wait for memory; called at short intervals. */
  cutUnread (): void
}

/** Options of {@linkcode createDeliveries}. */
export interface DeliveriesOptions {
  readonly memory: ResponseMemory
  nowMs (): number
  unread (exchange: CallerExchange, unread: UnreadResponse): void
}

interface _Delivery {
  readonly exchange: CallerExchange
  readonly memory: HeldMemory
  /** Time for which nothing was taken, in ms. */
  unreadMs: number
  isWhole: boolean
  isCut: boolean
}

/** Creates an empty set of deliveries. */
export function createDeliveries (options: DeliveriesOptions): Deliveries {
  /** Deliveries that hold memory. */
  const unwritten = new Set<_Delivery>()
  let checkedAtMs = options.nowMs()
  let [reportsSinceMs, reports, unreported] = [checkedAtMs, 0, 0]

  function takeOver (delivery: _Delivery, memory: HeldMemory): void {
    if (delivery.memory.bytes() === 0) delivery.unreadMs = 0
    memory.leave(memory.bytes(), delivery.memory)
    if (delivery.memory.bytes() > 0) unwritten.add(delivery)
  }

  function noteWritten (delivery: _Delivery, bytes: number): void {
    delivery.unreadMs = 0
    delivery.memory.shrink(bytes)
    if (delivery.memory.bytes() === 0) unwritten.delete(delivery)
  }

  function release (delivery: _Delivery): void {
    unwritten.delete(delivery)
    delivery.memory.release()
  }

  function write (delivery: _Delivery, events: Buffer, memory: HeldMemory): boolean {
    const { response } = delivery.exchange
    const bytes = memory.bytes()
    if (response.destroyed) {
      memory.release()
      return true
    }
    takeOver(delivery, memory)
    return response.write(events, () => noteWritten(delivery, bytes))
  }

  function end (delivery: _Delivery, body: ResponseBody): void {
    const { response } = delivery.exchange
    delivery.isWhole = true
    takeOver(delivery, body.memory)
    if (body.bytes === 0) {
      release(delivery)
      response.end()
      return
    }
    const parts = [...body.parts]
    let [part, offset] = [parts.shift(), 0]
    const writeNext = (): void => {
      if (part === undefined || response.destroyed) return
      const slice = part.subarray(offset, offset + SLICE_BYTES)
      offset += slice.length
      const heldBytes = offset < part.length ? 0 : part.buffer.byteLength
      if (heldBytes > 0) [part, offset] = [parts.shift(), 0]
      if (part === undefined) response.end(slice)
      else {
        response.write(slice, (error) => {
          if (error !== undefined && error !== null) return
          noteWritten(delivery, heldBytes)
          writeNext()
        })
      }
    }
    writeNext()
  }

  // The one that has taken nothing for longest is cut first, and no more than are needed.
  function cutUnread (): void {
    const nowMs = options.nowMs()
    const passedMs = Math.min(nowMs - checkedAtMs, MAX_CHECK_MS)
    checkedAtMs = nowMs
    for (const delivery of unwritten) delivery.unreadMs += passedMs
    options.memory.retry()
    if (!options.memory.isAwaited()) return
    const stalled = [...unwritten].filter(({ exchange, unreadMs }) => unreadMs >= UNREAD_MS && mayCut(exchange, nowMs)).sort((a, b) => b.unreadMs - a.unreadMs)
    for (const delivery of stalled) {
      if (!options.memory.isAwaited()) return
      cut(delivery, nowMs)
    }
  }

  // An instance that has handed a request over may itself wait for memory, until the deadline.
  function mayCut ({ relayed, deadlineMs }: CallerExchange, nowMs: number): boolean {
    return !relayed || nowMs >= deadlineMs + UNREAD_MS
  }

  function cut (delivery: _Delivery, nowMs: number): void {
    const { exchange, memory, unreadMs } = delivery
    const bytes = memory.bytes()
    delivery.isCut = true
    breakOff(exchange.response)
    release(delivery)
    report(exchange, { bytes, unreadMs }, nowMs)
  }

  function report (exchange: CallerExchange, unread: Omit<UnreadResponse, 'unreported'>, nowMs: number): void {
    if (nowMs - reportsSinceMs >= 1000) [reportsSinceMs, reports] = [nowMs, 0]
    reports += 1
    if (reports > MAX_REPORTS_PER_S) {
      unreported += 1
      return
    }
    const skipped = unreported
    unreported = 0
    options.unread(exchange, { ...unread, unreported: skipped })
  }

  function open (exchange: CallerExchange): Delivery {
    const delivery: _Delivery = { exchange, memory: options.memory.hold({ order: 'first' }), unreadMs: 0, isWhole: false, isCut: false }
    return {
      isWhole: () => delivery.isWhole,
      isCut: () => delivery.isCut,
      write: (events, memory) => write(delivery, events, memory),
      end: (body) => end(delivery, body),
      release: () => release(delivery)
    }
  }

  return { open, cutUnread }
}
