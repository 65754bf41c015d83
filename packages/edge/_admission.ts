import type { RefusalReason } from '@berylshed/serving'
import type { InstanceLimits } from './instance_limits.ts'
import { createMemoryBudget, type MemoryBudget, type Reservation } from './memory_budget.ts'

/** Memory of a connection and its parser, in bytes: 5 KiB on the heap, and buffers. */
const CONNECTION_BYTES = 14 * 1024
/** Memory of a request with its connection to an upstream, without bodies, in bytes. */
const REQUEST_BYTES = 10 * 1024
/** Share of a budget from which memory is short. */
const SHORT_SHARE = 0.8
/** Share of the process's memory from which no more is taken, whatever the budgets tell. */
const RESIDENT_SHARE = 0.85

/** What an instance holds at a time. */
export interface HeldMemory {
  readonly residentBytes: number
  readonly objectBytes: number
  readonly requestBodyBytes: number
  readonly responseBytes: number
  readonly connections: number
  readonly requests: number
}

/** Decides which connections and requests an instance takes, by what it holds. */
export interface Admission {
  readonly requestBodies: MemoryBudget
  readonly responses: MemoryBudget
  /** Takes a connection until the reservation is released; returns why it is refused otherwise. */
  connect (): Reservation | RefusalReason
  /** Takes a request whose head has some length, in bytes, until the reservation is released; returns why it is refused otherwise. */
  admit (headBytes: number): Reservation | RefusalReason
  /** Counts bytes of connections that have been read and are not requests yet. */
  hold (changeBytes: number): void
  /** Reports whether there is no room for further bytes that are not parsed yet. */
  isFull (bytes: number): boolean
  /** Reports whether further requests of a connection are better left unread. */
  isShort (): boolean
  /** Updates the resident memory of the process. */
  measure (residentBytes: number): void
  held (): HeldMemory
}

/** Inputs of {@linkcode createAdmission}. */
export interface AdmissionOptions {
  readonly limits: InstanceLimits
  /** Resident memory above which the platform ends the process, in bytes. */
  readonly memoryBytes: number
  /** Returns the number of connections to upstreams that are in use. */
  attempts (): number
  /** Called with the number of bytes of bodies that are no longer held. */
  freed? (bytes: number): void
}

/**
 * Creates the admission of an instance that holds nothing.
 *
 * @param options The limits of the instance, and what else it holds.
 * @returns The admission.
 *
 * @example
 * ```ts
 * const admission = createAdmission({ limits, memoryBytes, attempts: () => 0 })
 * const admitted = admission.admit(300)
 * ```
 */
export function createAdmission ({ limits, memoryBytes, attempts, freed = () => {} }: AdmissionOptions): Admission {
  let [connections, requests, residentBytes, unparsedBytes] = [0, 0, 0, 0]
  const objects = createMemoryBudget(limits.objectBytes)
  const requestBodies = createBodies(limits.requestBodyBytes)
  const responses = createBodies(limits.responseBytes)

  function createBodies (limitBytes: number): MemoryBudget {
    const bodies: MemoryBudget = createMemoryBudget(limitBytes, { mayTake: () => residentBytes <= memoryBytes * RESIDENT_SHARE || holdsLittle(bodies), freed })
    return bodies
  }

  // Memory that garbage and fragments hold comes back only with work, so an instance that holds little goes on.
  function holdsLittle ({ limitBytes, usedBytes }: MemoryBudget): boolean {
    return usedBytes() <= limitBytes * (1 - SHORT_SHARE)
  }

  function isResidentShort (): boolean {
    return residentBytes > memoryBytes * RESIDENT_SHARE && ![objects, requestBodies, responses].every(holdsLittle)
  }

  function reserveObjects (bytes: number): Reservation | undefined {
    return isResidentShort() || objects.usedBytes() + unparsedBytes + bytes > limits.objectBytes ? undefined : objects.reserve(bytes)
  }

  function counted (reservation: Reservation, count: (change: number) => void): Reservation {
    let isCounted = true
    count(1)
    return {
      ...reservation,
      release: () => {
        if (isCounted) count(-1)
        isCounted = false
        reservation.release()
      }
    }
  }

  return {
    requestBodies,
    responses,
    connect: () => {
      if (connections >= limits.connections || connections + attempts() >= limits.sockets) return 'descriptors_short'
      const reservation = reserveObjects(CONNECTION_BYTES)
      return reservation === undefined ? 'memory_short' : counted(reservation, (change) => { connections += change })
    },
    admit: (headBytes) => {
      if (connections + attempts() >= limits.sockets) return 'descriptors_short'
      const reservation = reserveObjects(REQUEST_BYTES + headBytes)
      return reservation === undefined ? 'memory_short' : counted(reservation, (change) => { requests += change })
    },
    hold: (changeBytes) => { unparsedBytes += changeBytes },
    isFull: (bytes) => objects.usedBytes() + unparsedBytes + bytes > limits.objectBytes,
    isShort: () => objects.usedBytes() + unparsedBytes > objects.limitBytes * SHORT_SHARE || isResidentShort(),
    measure: (bytes) => {
      residentBytes = bytes
      requestBodies.retry()
    },
    held: () => ({ residentBytes, objectBytes: objects.usedBytes() + unparsedBytes, requestBodyBytes: requestBodies.usedBytes(), responseBytes: responses.usedBytes(), connections, requests })
  }
}
