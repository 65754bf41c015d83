/** Share of a budget that those may fill who wait for it, so that something is left for small reservations, which do not wait. */
const WAITED_SHARE = 0.9

/** Memory of one kind that a process may hold. */
export interface MemoryBudget {
  /** Maximum number of bytes held. */
  readonly limitBytes: number
  /** Returns the number of bytes held. */
  usedBytes (): number
  /** Returns the number of reservations that wait. */
  waiting (): number
  /** Reserves bytes at once; returns undefined if they are not free. */
  reserve (bytes: number): Reservation | undefined
  /** Serves those that wait, as more may be held than when they asked. */
  retry (): void
  /** Reserves bytes as soon as they are free, those that asked first before others. More bytes than the limit are never free. */
  whenFree (bytes: number, reserved: (reservation: Reservation) => void): MemoryWait
}

/** Bytes that are held. */
export interface Reservation {
  bytes (): number
  /** Holds more; returns false, and holds as much as before, if so much is not free. */
  grow (bytes: number): boolean
  /** Frees some of the bytes. */
  shrink (bytes: number): void
  /** Frees the bytes; those of a reservation are freed once. */
  release (): void
}

/** A reservation that waits. */
export interface MemoryWait {
  /** Ends the wait; does nothing once the bytes are reserved. */
  cancel (): void
}

/** Options of {@linkcode createMemoryBudget}. */
export interface MemoryBudgetOptions {
  /** Reports whether more may be held now; not asked while nothing is held, as nothing would come of waiting. */
  readonly mayTake?: () => boolean
  /** Called with the number of bytes that are no longer held. */
  readonly freed?: (bytes: number) => void
}

interface _Waiter {
  readonly bytes: number
  readonly reserved: (reservation: Reservation) => void
}

/**
 * Creates a budget of which nothing is held.
 *
 * @param limitBytes Maximum number of bytes held.
 * @param options What else decides on reservations, and who is told of what is freed.
 * @returns The budget.
 *
 * @example
 * ```ts
 * const budget = createMemoryBudget(1024)
 * const held = budget.reserve(1000)
 * console.log(budget.reserve(100)) // undefined
 * held?.release()
 * ```
 */
export function createMemoryBudget (limitBytes: number, { mayTake = () => true, freed = () => {} }: MemoryBudgetOptions = {}): MemoryBudget {
  let usedBytes = 0
  const waiters = new Set<_Waiter>()

  function isFree (bytes: number): boolean {
    return usedBytes + bytes <= limitBytes && (bytes === 0 || usedBytes === 0 || mayTake())
  }

  function reserve (bytes: number): Reservation | undefined {
    if (!isFree(bytes)) return undefined
    usedBytes += bytes
    return reservationOf(bytes)
  }

  function reserveWaited (bytes: number): Reservation | undefined {
    return usedBytes === 0 || usedBytes + bytes <= limitBytes * WAITED_SHARE ? reserve(bytes) : undefined
  }

  function reservationOf (bytes: number): Reservation {
    let heldBytes = bytes
    let isReleased = false
    return {
      bytes: () => heldBytes,
      grow: (more) => {
        if (isReleased || !isFree(more)) return false
        usedBytes += more
        heldBytes += more
        return true
      },
      shrink: (fewer) => {
        if (isReleased) return
        const freedBytes = Math.min(fewer, heldBytes)
        heldBytes -= freedBytes
        usedBytes -= freedBytes
        freed(freedBytes)
        serveWaiters()
      },
      release: () => {
        if (isReleased) return
        isReleased = true
        usedBytes -= heldBytes
        freed(heldBytes)
        serveWaiters()
      }
    }
  }

  function serveWaiters (): void {
    for (const waiter of waiters) {
      const reservation = reserveWaited(waiter.bytes)
      if (reservation === undefined) return
      waiters.delete(waiter)
      waiter.reserved(reservation)
    }
  }

  return {
    limitBytes,
    usedBytes: () => usedBytes,
    waiting: () => waiters.size,
    reserve,
    retry: serveWaiters,
    whenFree: (bytes, reserved) => {
      const waiter = { bytes, reserved }
      const reservation = waiters.size === 0 ? reserveWaited(bytes) : undefined
      if (reservation !== undefined) reserved(reservation)
      else waiters.add(waiter)
      return { cancel: () => { if (waiters.delete(waiter)) serveWaiters() } }
    }
  }
}
