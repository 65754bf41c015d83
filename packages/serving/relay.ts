import { targetLoad, type ServingState } from './serving_state.ts'
import type { Request } from './request.ts'

/** Another instance that takes over requests whose upstreams this instance cannot reach. */
export interface Relay {
  readonly instance: string
  /** Host and port at which it accepts requests of other instances. */
  readonly address: string
}

/** Maximum number of relays to which a request is handed. */
const MAX_RELAYS_PER_REQUEST = 2
const KEY_PREFIX = 'relay '

/**
 * Returns the key under which the load and health of a relay are kept.
 *
 * @param relay The relay.
 * @returns The key, which differs from the id of any upstream.
 *
 * @example
 * ```ts
 * console.log(relayKey({ instance: 'entry-2', address: '10.0.0.2:7381' })) // 'relay entry-2'
 * ```
 */
export function relayKey (relay: Relay): string {
  return KEY_PREFIX + relay.instance
}

/**
 * Reports whether a request may be handed to another instance.
 *
 * @param state The state of the requests.
 * @param request The request.
 * @param to The other instance and the local time in ms.
 * @returns Whether it was not itself handed over, nor too often, nor to that instance before, and the instance can be reached.
 *
 * @example
 * ```ts
 * const candidates = state.relays.filter((relay) => mayHandOver(state, request, { relay, nowMs }))
 * ```
 */
export function mayHandOver (state: ServingState, request: Request, { relay, nowMs }: { readonly relay: Relay, readonly nowMs: number }): boolean {
  const tried = request.attempts.flatMap((attempt) => attempt.relay === undefined ? [] : [attempt.relay.instance])
  if (request.handover !== undefined || tried.length >= MAX_RELAYS_PER_REQUEST || tried.includes(relay.instance)) return false
  return targetLoad(state, relayKey(relay)).avoidedUntilMs <= nowMs
}

/**
 * Chooses the instance that a request is handed to.
 *
 * @param state The state of the requests.
 * @param request The request.
 * @param nowMs The local time in ms.
 * @returns The relay with the fewest requests of this instance, or undefined if the request was itself handed over, has been handed
 * over too often, or no relay is known that can be reached.
 *
 * @example
 * ```ts
 * const relay = chooseRelay(state, request, performance.now())
 * ```
 */
export function chooseRelay (state: ServingState, request: Request, nowMs: number): Relay | undefined {
  const [best] = state.relays
    .filter((relay) => mayHandOver(state, request, { relay, nowMs }))
    .sort((a, b) => targetLoad(state, relayKey(a)).ownRequests - targetLoad(state, relayKey(b)).ownRequests)
  return best
}
