import type { MemoryBudget } from './memory_budget.ts'

/** Share of the budget from which less of each response is collected. */
const CONTENDED_SHARE = 0.75
/** Size that a body of unknown length may reach without regard to others, in bytes: a small part of any budget. */
const FREE_GROWTH_BYTES = 16 * 1024

/** Memory that responses share. */
export interface ResponseMemory {
  readonly limitBytes: number
  /** Returns a holding of nothing. */
  hold (options: HoldingOptions): HeldMemory
  /** Reports whether little is free. */
  isContended (): boolean
  /** Reports whether a response waits for memory. */
  isAwaited (): boolean
  /** Asks again for those that wait, as more may be free for reasons of the budget; called at short intervals. */
  retry (): void
}

/** How a response holds memory. */
export interface HoldingOptions {
  /** Those that are `first` are served before others, in the order in which they asked: small ones, and those that hold something while they wait. */
  readonly order: 'first' | 'after'
  /** Maximum size of a body of unknown length, which grows until it is complete, in bytes. */
  readonly growsTo?: number
}

/** What one response holds. */
export interface HeldMemory {
  bytes (): number
  /** Holds more at once, before those that wait; returns false, and holds as much as before, if so much is not free. */
  grow (bytes: number): boolean
  /** Holds more as soon as so much is free. At most one growth of a holding waits. */
  growWhenFree (bytes: number, growth: Growth): void
  /** Tells that it grows no more. */
  complete (): void
  /** Frees some of the bytes. */
  shrink (bytes: number): void
  /** Leaves some of the bytes to another holding. */
  leave (bytes: number, heir: HeldMemory): void
  /** Takes over bytes that another holding leaves. */
  inherit (bytes: number): void
  /** Ends a wait, and frees all bytes. */
  release (): void
}

/** A growth that waits. */
export interface Growth {
  /** Called when the bytes are held. */
  grown (): void
  /** Called instead if all memory is held by responses that wait for more: then the one that asked last has to give up. */
  stuck (): void
}

interface _Holding {
  readonly order: HoldingOptions['order']
  readonly growsTo: number
  bytes: number
  wait: (Growth & { readonly moreBytes: number }) | undefined
}

/**
 * Lets responses share a budget, which nothing else uses.
 *
 * Bodies of unknown length could hold all memory while each waits for more. So the oldest of them may always become as large as one may be:
 * others grow only as far as they leave memory for it. It ends sooner or later, as do those that do not grow, and the next one is the oldest.
 */
export function shareResponseMemory (budget: MemoryBudget): ResponseMemory {
  const all = budget.reserve(0)
  if (all === undefined) throw new Error(`More than the ${budget.limitBytes} bytes of a budget are held; create responses before`)
  const [first, after] = [new Set<_Holding>(), new Set<_Holding>()]
  /** Bodies of unknown length that are being collected, the oldest first, and what they hold. */
  const growing = new Set<_Holding>()
  let growingBytes = 0
  let isServing = false

  function change (holding: _Holding, bytes: number): void {
    holding.bytes += bytes
    if (growing.has(holding)) growingBytes += bytes
  }

  function mayGrow (holding: _Holding, bytes: number): boolean {
    const [oldest = holding] = growing
    if (!growing.has(holding) || holding === oldest || holding.bytes + bytes <= FREE_GROWTH_BYTES) return true
    return growingBytes + bytes + Math.max(0, oldest.growsTo - oldest.bytes) <= budget.limitBytes
  }

  function grow (holding: _Holding, bytes: number): boolean {
    if (!mayGrow(holding, bytes) || all?.grow(bytes) !== true) return false
    change(holding, bytes)
    return true
  }

  function shrink (holding: _Holding, bytes: number): void {
    const freedBytes = Math.min(bytes, holding.bytes)
    if (freedBytes === 0) return
    change(holding, -freedBytes)
    all?.shrink(freedBytes)
    serve()
  }

  function complete (holding: _Holding): void {
    if (!growing.delete(holding)) return
    growingBytes -= holding.bytes
    serve()
  }

  // What is called may free or ask for memory, so that each round begins again.
  function serve (): void {
    if (isServing || first.size + after.size === 0) return
    isServing = true
    try {
      while (serveNext() || endStuck());
    } finally {
      isServing = false
    }
  }

  function serveNext (): boolean {
    const candidates = [...first].filter((holding) => mayGrow(holding, holding.wait?.moreBytes ?? 0))
    const next = candidates.length > 0 ? candidates : [...after].slice(0, 1)
    return next.some((holding) => {
      const { wait } = holding
      if (wait === undefined || !grow(holding, wait.moreBytes)) return false
      endWait(holding)
      wait.grown()
      return true
    })
  }

  // Events and small bodies that hold all memory while they wait for more would wait for each other.
  function endStuck (): boolean {
    const [oldest] = growing
    if (oldest !== undefined && oldest.wait === undefined) return false
    // The budget may refuse bytes for a while that its limit allows.
    const isRefused = ({ moreBytes }: { readonly moreBytes: number }): boolean => budget.usedBytes() + moreBytes <= budget.limitBytes
    if ([...first].some((holding) => holding.wait !== undefined && isRefused(holding.wait) && mayGrow(holding, holding.wait.moreBytes))) return false
    const holders = [...first].filter(({ bytes }) => bytes > 0)
    const last = holders.at(-1)
    if (last === undefined || holders.reduce((sum, { bytes }) => sum + bytes, 0) < budget.usedBytes()) return false
    const { wait } = last
    endWait(last)
    wait?.stuck()
    return true
  }

  function endWait (holding: _Holding): void {
    holding.wait = undefined
    first.delete(holding)
    after.delete(holding)
  }

  function growWhenFree (holding: _Holding, bytes: number, growth: Growth): void {
    const isNext = holding.order === 'first' || first.size + after.size === 0
    if (isNext && grow(holding, bytes)) return growth.grown()
    holding.wait = { ...growth, moreBytes: bytes }
    const waits = holding.order === 'first' ? first : after
    waits.add(holding)
    serve()
  }

  function hold ({ order, growsTo = 0 }: HoldingOptions): HeldMemory {
    const holding: _Holding = { order, growsTo, bytes: 0, wait: undefined }
    if (growsTo > 0) growing.add(holding)
    return {
      bytes: () => holding.bytes,
      grow: (bytes) => grow(holding, bytes),
      growWhenFree: (bytes, growth) => growWhenFree(holding, bytes, growth),
      complete: () => complete(holding),
      shrink: (bytes) => shrink(holding, bytes),
      leave: (bytes, heir) => {
        const leftBytes = Math.min(bytes, holding.bytes)
        change(holding, -leftBytes)
        heir.inherit(leftBytes)
      },
      inherit: (bytes) => change(holding, bytes),
      release: () => {
        endWait(holding)
        complete(holding)
        shrink(holding, holding.bytes)
        serve()
      }
    }
  }

  return {
    limitBytes: budget.limitBytes,
    hold,
    isContended: () => budget.usedBytes() > budget.limitBytes * CONTENDED_SHARE,
    isAwaited: () => first.size + after.size > 0,
    retry: serve
  }
}
