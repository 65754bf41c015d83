import { HashMap, Option } from 'effect'
import { followUpOf } from './_fail_attempt.ts'
import { firstByteDueMs, patienceOf } from './patience.ts'
import { relayKey, type Relay } from './relay.ts'
import { currentAttempt, type Request } from './request.ts'
import { targetLoad, type ServingState } from './serving_state.ts'
import { hasReportedSince } from './upstream_owner.ts'

/** Whether a silent attempt is given up, and why not. */
export type SilenceVerdict =
  | { readonly isGivenUp: true }
  | {
    readonly isGivenUp: false
    readonly reason: string
    /** Whether the upstream usually takes as long. */
    readonly isUsual: boolean
  }

const GIVEN_UP: SilenceVerdict = { isGivenUp: true }

/**
 * Reports whether a silent attempt of a request is given up for another one.
 *
 * Whether its response has begun or not, and wherever it was sent.
 *
 * @param state The state of the requests.
 * @param id The id of the request.
 * @param nowMs The local time in ms.
 * @returns Whether the attempt in progress should be given up.
 *
 * @example
 * ```ts
 * if (mayContinueStream(state, '1.a1', performance.now())) running.cancel()
 * ```
 */
export function mayContinueStream (state: ServingState, id: string, nowMs: number): boolean {
  const request = Option.getOrUndefined(HashMap.get(state.requests, id))
  return request === undefined || weighSilence(state, request, nowMs).isGivenUp
}

/**
 * Decides whether a silent attempt is given up.
 *
 * A silent upstream may be slow, suspended or short of processor time, so its attempt is given up only for one that can follow at
 * once: at another upstream or instance, or for a stream that has begun over a new connection if no other upstream serves it. One
 * whose response has not begun is not given up either while the upstream usually takes as long, at an instance that has run since, or
 * for one that usually takes longer than the time left.
 *
 * @param state The state of the requests.
 * @param request The request.
 * @param nowMs The local time in ms.
 * @returns The verdict.
 *
 * @example
 * ```ts
 * const { isGivenUp } = weighSilence(state, request, performance.now())
 * ```
 */
export function weighSilence (state: ServingState, request: Request, nowMs: number): SilenceVerdict {
  const attempt = currentAttempt(request)
  if (attempt === undefined) return GIVEN_UP
  if (request.phase === 'sent' && !state.unreachable.has(attempt.upstream) && nowMs - attempt.sentAtMs < patienceOf(state, request, nowMs).patienceMs) return { isGivenUp: false, reason: 'usually as slow', isUsual: true }
  if (attempt.relay !== undefined && _hasRunSince(state, attempt.relay, attempt.sentAtMs)) return _goesOn(`${attempt.relay.instance} runs`)
  const followUp = followUpOf(state, request, nowMs)
  if (followUp.kind === 'none') return _goesOn(followUp.reason)
  const load = targetLoad(state, followUp.upstream)
  // After repeated failures the present upstream would be avoided for longer than a stream waits.
  if (followUp.upstream === attempt.upstream && request.phase === 'responding' && load.consecutiveFailures === 0) return GIVEN_UP
  if (request.attempts.some(({ upstream }) => upstream === followUp.upstream)) return _goesOn('no other upstream')
  if (load.avoidedUntilMs > nowMs) return _goesOn(`${followUp.upstream} is avoided`)
  const usualMs = Math.max(load.firstByteMs, attempt.relay === undefined ? 0 : targetLoad(state, attempt.upstream).firstByteMs)
  // Instances reach the same upstreams.
  if (request.phase === 'sent' && usualMs > firstByteDueMs(request) - nowMs) return _goesOn(`${followUp.upstream} is too slow for the time left`)
  return GIVEN_UP
}

// An instance that runs gives up silent upstreams itself, and another one would send to the same upstreams.
function _hasRunSince (state: ServingState, relay: Relay, sinceMs: number): boolean {
  return targetLoad(state, relayKey(relay)).answeredAtMs > sinceMs || hasReportedSince(state, relay.instance, sinceMs)
}

function _goesOn (reason: string): SilenceVerdict {
  return { isGivenUp: false, reason, isUsual: false }
}
