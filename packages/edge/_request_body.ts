import type { IncomingMessage } from 'node:http'
import { createChunkList } from '@berylshed/platform'
import type { MemoryBudget, Reservation } from './memory_budget.ts'

/** Size up to which a body takes memory at once rather than in its order, in bytes; most bodies are smaller. */
const SMALL_BYTES = 64 * 1024
/** Time without a byte after which a body is given up while memory is short, in ms: many round trips, and a retransmission. */
const STALL_MS = 2000
/** Share of the budget from which memory is short. */
const SHORT_SHARE = 0.75

/** Why a body is not read; the request may have been answered before its end. */
export type BodyFailure = 'too_large' | 'memory_short' | 'stalled' | 'answered'

/** A body and the memory that it holds until it is released. */
export interface RequestBody {
  readonly bytes: Buffer
  readonly reservation: Reservation
}

/** Limits of {@linkcode readRequestBody}. */
export interface BodyLimits {
  /** Maximum size of a body, in bytes. */
  readonly maxBytes: number
  /** Memory for all bodies. */
  readonly budget: MemoryBudget
  /** Maximum time that a body waits for memory, in ms. */
  readonly waitMs: number
  /** Calls back once the request cannot be answered any more, with whether it has been: Node closes no request that was answered before its end. */
  whenClosed (closed: (isAnswered: boolean) => void): void
}

/**
 * Reads the body of a request within a budget. One whose length is known waits for its memory before it is read; another one takes it as it
 * arrives. Rejects if the request breaks off.
 *
 * @param request The request.
 * @param limits The maximum size and the budget.
 * @returns The body, which the caller releases, or why it is not read. What still arrives of it is dropped.
 *
 * @example
 * ```ts
 * const body = await readRequestBody(request, { maxBytes: 65_536, budget, waitMs: 1000, whenClosed: (closed) => response.once('close', () => closed(response.writableEnded)) })
 * ```
 */
export async function readRequestBody (request: IncomingMessage, { maxBytes, budget, waitMs, whenClosed }: BodyLimits): Promise<RequestBody | BodyFailure> {
  const length = _lengthOf(request)
  if (length !== undefined && length > maxBytes) return _drop(request, 'too_large')
  const reservation = await _reserve(length ?? 0, { budget, waitMs, whenClosed })
  if (reservation === undefined) return _drop(request, 'memory_short')
  try {
    const bytes = await _collect(request, { maxBytes, budget, whenClosed, length, reservation })
    if (typeof bytes !== 'string') return { bytes, reservation }
    reservation.release()
    return _drop(request, bytes)
  } catch (error) {
    reservation.release()
    throw error
  }
}

// The connection is needed for the response, and perhaps for those before it.
function _drop (request: IncomingMessage, failure: BodyFailure): BodyFailure {
  request.resume()
  return failure
}

// Node's parser accepts only decimal digits.
function _lengthOf ({ headers }: IncomingMessage): number | undefined {
  const stated = headers['content-length']
  return stated === undefined ? undefined : Number(stated)
}

function _reserve (bytes: number, { budget, waitMs, whenClosed }: Omit<BodyLimits, 'maxBytes'>): Promise<Reservation | undefined> {
  if (bytes <= SMALL_BYTES || bytes > budget.limitBytes) return Promise.resolve(budget.reserve(bytes))
  return new Promise((resolve) => {
    const end = (reservation: Reservation | undefined): void => {
      clearTimeout(timer)
      resolve(reservation)
    }
    const giveUp = (): void => {
      wait.cancel()
      end(undefined)
    }
    const timer = setTimeout(giveUp, waitMs)
    const wait = budget.whenFree(bytes, end)
    whenClosed(giveUp)
  })
}

interface _Collection extends Omit<BodyLimits, 'waitMs'> {
  readonly length: number | undefined
  readonly reservation: Reservation
}

function _collect (request: IncomingMessage, { maxBytes, budget, whenClosed, length, reservation }: _Collection): Promise<Buffer | BodyFailure> {
  // One buffer of the whole length, as joining chunks would take the memory twice.
  const whole = length === undefined ? undefined : Buffer.allocUnsafe(length)
  const chunks = createChunkList()
  let [bytes, progressAtMs] = [0, performance.now()]
  if (request.destroyed) return Promise.reject(new Error('aborted'))
  return new Promise((resolve, reject) => {
    const stallTimer = length !== undefined && length <= SMALL_BYTES ? undefined : setInterval(judgeStall, STALL_MS / 4)

    function judgeStall (): void {
      if (performance.now() - progressAtMs >= STALL_MS && (budget.waiting() > 0 || budget.usedBytes() > budget.limitBytes * SHORT_SHARE)) end(() => resolve('stalled'))
    }

    function take (chunk: Buffer): void {
      progressAtMs = performance.now()
      bytes += chunk.length
      if (bytes > maxBytes) return end(() => resolve('too_large'))
      if (whole !== undefined) chunk.copy(whole, bytes - chunk.length)
      else if (reservation.grow(chunk.length)) chunks.add(chunk)
      else end(() => resolve('memory_short'))
    }

    function finish (): void {
      end(() => resolve(whole ?? chunks.concat()))
    }

    function fail (error: Error): void {
      end(() => reject(error))
    }

    function breakOff (isAnswered: boolean): void {
      if (isAnswered) end(() => resolve('answered'))
      else fail(new Error('aborted'))
    }

    function end (settle: () => void): void {
      clearInterval(stallTimer)
      request.off('data', take).off('end', finish).off('error', fail)
      settle()
    }

    request.on('data', take).on('end', finish).on('error', fail)
    whenClosed(breakOff)
  })
}
