/** Sendings of one second. */
interface _Second {
  readonly second: number
  readonly firsts: number
  readonly repeats: number
}

/** First and repeated sendings to one service within the last seconds. */
export interface RetryWindow {
  readonly seconds: readonly _Second[]
}

/** What repeated sendings are allowed, over all instances. */
export interface RetryAllowance {
  /** Repeated sendings that each first sending pays for. */
  readonly ratio: number
  /** Repeated sendings per window that need no first one. */
  readonly extra: number
  readonly windowMs: number
}

/** A window without sendings. */
export const EMPTY_WINDOW: RetryWindow = { seconds: [] }

/** Share of the allowance that is used; the rest covers restarted instances and uncounted ones. */
const USED_SHARE = 0.8
const MS_PER_SECOND = 1000

/**
 * Counts a sending.
 *
 * @param window The window so far.
 * @param sending Whether the sending repeats another one, and the local time in ms.
 * @returns The window with the sending.
 *
 * @example
 * ```ts
 * const window = countSending(EMPTY_WINDOW, { repeat: false, nowMs: 0 })
 * ```
 */
export function countSending (window: RetryWindow, sending: { readonly repeat: boolean, readonly nowMs: number }): RetryWindow {
  const second = Math.floor(sending.nowMs / MS_PER_SECOND)
  const last = window.seconds.at(-1)
  const known = last?.second === second ? last : { second, firsts: 0, repeats: 0 }
  const counted = sending.repeat ? { ...known, repeats: known.repeats + 1 } : { ...known, firsts: known.firsts + 1 }
  const before = (last?.second === second ? window.seconds.slice(0, -1) : window.seconds).filter((s) => s.second > second - KEPT_SECONDS)
  return { seconds: [...before, counted] }
}

/** Seconds that a window keeps; the longest window of the deployments is 10 s. */
const KEPT_SECONDS = 30

/**
 * Tells whether another repeated sending keeps the allowance that all instances share.
 *
 * Each instance may repeat in proportion to its own first sendings, and has an equal share of the rest, so that the sum
 * holds without talking to the others.
 *
 * @param window The instance's own sendings.
 * @param allowance What all instances together may do.
 * @param options The number of instances and the local time in ms.
 * @returns Whether a repeated sending is allowed.
 *
 * @example
 * ```ts
 * console.log(mayRepeat(EMPTY_WINDOW, { ratio: 0.2, extra: 40, windowMs: 10_000 }, { instances: 4, nowMs: 0 })) // true
 * ```
 */
export function mayRepeat (window: RetryWindow, allowance: RetryAllowance, options: { readonly instances: number, readonly nowMs: number }): boolean {
  const since = Math.floor((options.nowMs - allowance.windowMs) / MS_PER_SECOND)
  const recent = window.seconds.filter(({ second }) => second >= since)
  const firsts = recent.reduce((sum, second) => sum + second.firsts, 0)
  const repeats = recent.reduce((sum, second) => sum + second.repeats, 0)
  return repeats + 1 <= USED_SHARE * (allowance.ratio * firsts + allowance.extra / Math.max(1, options.instances))
}
