import { HashMap, Option } from 'effect'
import type { ServingState } from './serving_state.ts'
import { addOrigin, originsSince, possibleVersions, recordVersions, type OriginQuery, type OriginUpdate } from './stream_origins.ts'

/**
 * Lists the attempts that began streams which waiting requests resume and whose software version is not known.
 *
 * @param state The state of the requests.
 * @returns Ids of callers' attempts.
 *
 * @example
 * ```ts
 * console.log(wantedOrigins(state)) // ['a1']
 * ```
 */
export function wantedOrigins (state: ServingState): readonly string[] {
  return [...state.waiting.values()].flat().flatMap((id) => {
    const request = Option.getOrUndefined(HashMap.get(state.requests, id))
    const attempt = request?.softwareVersion === undefined ? request?.resumedAttempt : undefined
    return attempt === undefined || attempt === '' ? [] : [attempt]
  })
}

/**
 * Returns the origins that another instance lacks.
 *
 * Origins are needed only while a service runs or has recently run several software versions.
 *
 * @param state The state of the requests.
 * @param self Incarnation of this instance.
 * @param query What the other instance has and asks for.
 * @returns The update, or undefined if nothing in it could matter to the other instance.
 *
 * @example
 * ```ts
 * const update = originUpdate(state, 'self', { since: 0, receiver: 'other', wanted: [], nowMs })
 * ```
 */
export function originUpdate (state: ServingState, self: string, query: OriginQuery): OriginUpdate | undefined {
  const services = _changingServices(state, query.nowMs)
  if (services.length === 0) return undefined
  const { version, records } = originsSince(state.origins, query)
  const softwareVersions = services.flatMap((service) => possibleVersions(state.softwareVersions, service, query.nowMs)
    .map((softwareVersion) => [service, softwareVersion, Math.round(query.nowMs - (state.softwareVersions.get(service)?.get(softwareVersion) ?? -Infinity))] as const))
  return records.length === 0 && query.since > 0 ? undefined : { origin: self, version, records, softwareVersions }
}

/**
 * Reports whether open streams of some service may have begun at several software versions.
 *
 * @param state The state of the requests.
 * @param nowMs The local time in ms.
 * @returns Whether the origins of streams matter.
 *
 * @example
 * ```ts
 * if (hasSeveralVersions(state, performance.now())) storeOrigins()
 * ```
 */
export function hasSeveralVersions (state: ServingState, nowMs: number): boolean {
  return _changingServices(state, nowMs).length > 0
}

/**
 * Reports whether the origin of a request's stream has to be stored before its first event is forwarded.
 *
 * @param state The state of the requests.
 * @param id Id of the request.
 * @param nowMs The local time in ms.
 * @returns Whether it begins a resumable stream while its service runs, or ran lately, several software versions.
 *
 * @example
 * ```ts
 * if (needsStoredOrigin(state, id, performance.now())) hold(id)
 * ```
 */
export function needsStoredOrigin (state: ServingState, id: string, nowMs: number): boolean {
  const request = Option.getOrUndefined(HashMap.get(state.requests, id))
  if (request === undefined || !request.stream || !request.retryable || request.resumedAttempt !== undefined) return false
  return possibleVersions(state.softwareVersions, request.service, nowMs).length > 1
}

function _changingServices (state: ServingState, nowMs: number): readonly string[] {
  return [...state.softwareVersions.keys()].filter((service) => possibleVersions(state.softwareVersions, service, nowMs).length > 1)
}

/**
 * Adds the origins that another instance sent.
 *
 * @param state The state of the requests.
 * @param update The update.
 * @param nowMs The local time in ms.
 * @returns The state with the origins.
 *
 * @example
 * ```ts
 * const next = applyOrigins(state, update, performance.now())
 * ```
 */
export function applyOrigins (state: ServingState, update: OriginUpdate, nowMs: number): ServingState {
  const origins = update.records.reduce((known, [attempt, softwareVersion, leftMs]) => addOrigin(known, attempt, { softwareVersion, untilMs: nowMs + leftMs, source: update.origin }), state.origins)
  const softwareVersions = recordVersions(state.softwareVersions, update.softwareVersions.map(([service, version, agoMs]) => [service, version, nowMs - agoMs] as const))
  return { ...state, origins, softwareVersions }
}
