import type { ServingEffect } from './serving_effect.ts'
import { targetLoad, updateTargetLoad, type ServingState } from './serving_state.ts'

/** Interval between two probes of an upstream that is silent or cannot be reached, in ms. */
const PROBE_INTERVAL_MS = 400
/** Maximum number of probes per tick; bounds the connections of an instance that reaches none of many upstreams. */
const MAX_PROBES_PER_TICK = 4
/** Number of upstreams that have to be out of reach for an instance to count as isolated; a single one may just have crashed. */
const MIN_UNREACHABLE = 2
/** Time without contact with any upstream after which an instance counts as isolated, in ms: two failed connections. */
const ISOLATION_MS = 500

/**
 * Marks an upstream to which no connection can be opened, so that it gets no requests until a probe succeeds.
 *
 * @param state The state of the requests.
 * @param upstream The upstream's id.
 * @param nowMs The local time in ms.
 * @returns The state; the same if the upstream is not a known one or is marked already.
 *
 * @example
 * ```ts
 * const next = markUnreachable(state, 'u1', performance.now())
 * ```
 */
export function markUnreachable (state: ServingState, upstream: string, nowMs: number): ServingState {
  if (!state.targets.has(upstream) || state.unreachable.has(upstream)) return state
  return { ...state, unreachable: new Map(state.unreachable).set(upstream, nowMs) }
}

/**
 * Asks for a new connection to a silent upstream, as its silence does not tell whether there is no path to it or it only takes long.
 *
 * @param state The state of the requests.
 * @param upstream The upstream's id.
 * @param nowMs The local time in ms.
 * @returns The state and the probe; none if the upstream is not a known one, is probed already or was probed lately.
 *
 * @example
 * ```ts
 * const { effects } = probeSilent(state, 'u1', performance.now())
 * ```
 */
export function probeSilent (state: ServingState, upstream: string, nowMs: number): { readonly state: ServingState, readonly effects: readonly ServingEffect[] } {
  const isDue = state.targets.has(upstream) && !state.unreachable.has(upstream) && nowMs - targetLoad(state, upstream).probedAtMs >= PROBE_INTERVAL_MS
  if (!isDue) return { state, effects: [] }
  return { state: updateTargetLoad(state, upstream, (load) => ({ ...load, probedAtMs: nowMs })), effects: [{ kind: 'probe', upstream }] }
}

/**
 * Clears an upstream to which a connection was opened.
 *
 * @param state The state of the requests.
 * @param upstream The upstream's id.
 * @param nowMs The local time in ms.
 * @returns The state.
 *
 * @example
 * ```ts
 * const next = markReached(state, 'u1', performance.now())
 * ```
 */
export function markReached (state: ServingState, upstream: string, nowMs: number): ServingState {
  const contacted = noteContact(state, nowMs)
  if (!state.unreachable.has(upstream)) return contacted
  const unreachable = new Map(state.unreachable)
  unreachable.delete(upstream)
  return { ...contacted, unreachable }
}

/**
 * Notes that some upstream responded, on a connection of any age.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns The state.
 *
 * @example
 * ```ts
 * const next = noteContact(state, performance.now())
 * ```
 */
export function noteContact (state: ServingState, nowMs: number): ServingState {
  return { ...state, contactAtMs: nowMs }
}

/**
 * Returns the probes that are due.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns The state with the time of the next probes, and the effects.
 *
 * @example
 * ```ts
 * const { effects } = probeUnreachable(state, performance.now())
 * ```
 */
export function probeUnreachable (state: ServingState, nowMs: number): { readonly state: ServingState, readonly effects: readonly ServingEffect[] } {
  const due = [...state.unreachable].filter(([, atMs]) => atMs <= nowMs).sort(([, a], [, b]) => a - b).slice(0, MAX_PROBES_PER_TICK)
  if (due.length === 0) return { state, effects: [] }
  const unreachable = new Map(state.unreachable)
  for (const [upstream] of due) unreachable.set(upstream, nowMs + PROBE_INTERVAL_MS)
  return { state: { ...state, unreachable }, effects: due.map(([upstream]) => ({ kind: 'probe', upstream })) }
}

/**
 * Reports whether this instance has lost its path to the upstreams rather than some upstreams their processes.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns Whether several upstreams cannot be reached and none has responded lately.
 *
 * @example
 * ```ts
 * if (isIsolated(state, performance.now())) releaseLease()
 * ```
 */
export function isIsolated (state: ServingState, nowMs: number): boolean {
  return state.unreachable.size >= Math.min(MIN_UNREACHABLE, state.targets.size) && state.unreachable.size > 0 && nowMs - state.contactAtMs > ISOLATION_MS
}
