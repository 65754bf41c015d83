import { HashMap, Option } from 'effect'
import { isLeaving } from './choose_upstream.ts'
import type { Request } from './request.ts'
import type { RoutingTarget } from './routing_target.ts'
import type { ServingState } from './serving_state.ts'
import { addOrigin, OWN_ORIGIN, possibleVersions, pruneOrigins, recordVersions } from './stream_origins.ts'

/** Time beyond the deadline of an attempt within which its caller may still resume the stream, in ms. */
const RESUME_SLACK_MS = 10_000
/** Interval at which the software versions of unchanged upstreams are noted, in ms; a fraction of how long they are kept. */
const NOTE_INTERVAL_MS = 1000

/** Notes the software versions that upstreams run. */
export function noteVersions (state: ServingState, targets: ReadonlyMap<string, RoutingTarget>, nowMs: number): ServingState {
  const run = [...targets.values()].map(({ service, softwareVersion }) => [service, softwareVersion, nowMs] as const)
  return { ...state, softwareVersions: recordVersions(state.softwareVersions, run), versionsNotedAtMs: nowMs }
}

/** Forgets streams that can no longer be resumed, and notes the software versions from time to time. */
export function maintainOrigins (state: ServingState, nowMs: number): ServingState {
  const origins = pruneOrigins(state.origins, nowMs)
  const pruned = origins === state.origins ? state : { ...state, origins }
  return nowMs - state.versionsNotedAtMs < NOTE_INTERVAL_MS ? pruned : noteVersions(pruned, pruned.targets, nowMs)
}

/**
 * Pins a request that resumes a stream to the software version that began it.
 *
 * The version is the one that the stream's origin names, or the only one that upstreams of the service run and are known to have run
 * recently. An instance that was cut off or suspended may not know of a version that others have begun streams at, so the only one
 * counts if that was confirmed since the request arrived.
 */
export function pinRequest (state: ServingState, request: Request, nowMs: number): Request {
  if (request.resumedAttempt === undefined || request.softwareVersion !== undefined) return request
  const origin = Option.getOrUndefined(HashMap.get(state.origins.byAttempt, request.resumedAttempt))
  const [version, ...others] = possibleVersions(state.softwareVersions, request.service, nowMs)
  const isOnly = others.length === 0 && state.historyKnown && state.versionsConfirmedAtMs >= request.arrivedAtMs
  const softwareVersion = origin?.softwareVersion ?? (isOnly ? version : undefined)
  return softwareVersion === undefined ? request : { ...request, softwareVersion }
}

/** Reports whether no upstream of the software version that a request is pinned to can continue its stream soon. */
export function isVersionUnavailable (state: ServingState, request: Request): boolean {
  if (request.softwareVersion === undefined) return false
  const offered = [...state.targets.values()].filter((target) => target.service === request.service && !isLeaving(state, target))
  const holds = (target: RoutingTarget): boolean => request.model === undefined || target.models === undefined || target.models.has(request.model)
  const sameVersion = offered.filter((target) => target.softwareVersion === request.softwareVersion)
  return sameVersion.length === 0 || (offered.some(holds) && !sameVersion.some(holds))
}

/** Remembers the software version that began the stream of a request whose response has started. */
export function pinStream (state: ServingState, request: Request, softwareVersion: string): ServingState {
  const attempt = request.resumedAttempt ?? request.callerId
  if (!request.stream || !request.retryable || attempt === '') return state
  return { ...state, origins: addOrigin(state.origins, attempt, { softwareVersion, untilMs: request.deadlineMs + RESUME_SLACK_MS, source: OWN_ORIGIN }) }
}
