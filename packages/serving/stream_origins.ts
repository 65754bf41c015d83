import { HashMap, Option } from 'effect'

/**
 * Time for which a software version that no upstream runs any more may be that of an interrupted stream, in ms: twice the longest
 * timeout of a route.
 */
const DEPARTED_VERSION_MS = 60_000
/** Maximum number of records in one update; the rest follows with the next one. */
const MAX_RECORDS_PER_UPDATE = 400

/** Source of the origins of streams that began at this instance. */
export const OWN_ORIGIN = ''
/** Source of the origins that were read from the store. */
export const STORED_ORIGIN = 'store'

/** The upstream software that began a stream, which is the only one that can continue it. */
export interface StreamOrigin {
  readonly softwareVersion: string
  /** Local time until which the caller may resume the stream, in ms. */
  readonly untilMs: number
  /** Incarnation of the instance that this instance learned it from, or {@linkcode STORED_ORIGIN}. */
  readonly source: string
}

/** Origins of streams that callers may resume, in the order in which this instance learned of them. */
export interface StreamOrigins {
  /** Number of the newest origin. */
  readonly newest: number
  /** Number of the oldest origin that is kept. */
  readonly oldest: number
  /** Ids of the callers' attempts that began the streams, by number. */
  readonly attempts: HashMap.HashMap<number, string>
  /** Origins by the id of the caller's attempt. */
  readonly byAttempt: HashMap.HashMap<string, StreamOrigin>
}

/** No known origins. */
export const NO_STREAM_ORIGINS: StreamOrigins = { newest: 0, oldest: 1, attempts: HashMap.empty(), byAttempt: HashMap.empty() }

/** An origin as sent to another instance. */
export type OriginRecord = readonly [attempt: string, softwareVersion: string, leftMs: number]
/** A software version that upstreams of a service run or have run recently, as sent to another instance. */
export type VersionRecord = readonly [service: string, softwareVersion: string, agoMs: number]

/** Origins of streams that another instance lacks. */
export interface OriginUpdate {
  /** Incarnation of the sender. */
  readonly origin: string
  /** Number of the sender's newest origin that is included. */
  readonly version: number
  readonly records: readonly OriginRecord[]
  readonly softwareVersions: readonly VersionRecord[]
}

/** Local times at which software versions were last run, in ms, by service and version. */
export type SoftwareVersions = ReadonlyMap<string, ReadonlyMap<string, number>>

/**
 * Adds the origin of a stream.
 *
 * @param origins The known origins.
 * @param attempt Id of the caller's attempt that brought the first event.
 * @param origin The origin.
 * @returns The origins; the same if the stream is known, as its origin never changes.
 *
 * @example
 * ```ts
 * const next = addOrigin(NO_STREAM_ORIGINS, 'a1', { softwareVersion: 'v1', untilMs: 9000, source: 'self' })
 * ```
 */
export function addOrigin (origins: StreamOrigins, attempt: string, origin: StreamOrigin): StreamOrigins {
  if (HashMap.has(origins.byAttempt, attempt)) return origins
  const newest = origins.newest + 1
  return { ...origins, newest, attempts: HashMap.set(origins.attempts, newest, attempt), byAttempt: HashMap.set(origins.byAttempt, attempt, origin) }
}

/**
 * Removes the oldest origins whose streams can no longer be resumed.
 *
 * @param origins The known origins.
 * @param nowMs The local time in ms.
 * @returns The remaining origins.
 *
 * @example
 * ```ts
 * const next = pruneOrigins(origins, performance.now())
 * ```
 */
export function pruneOrigins (origins: StreamOrigins, nowMs: number): StreamOrigins {
  let { oldest, attempts, byAttempt } = origins
  for (; oldest <= origins.newest; oldest += 1) {
    const attempt = Option.getOrElse(HashMap.get(attempts, oldest), () => '')
    const origin = Option.getOrUndefined(HashMap.get(byAttempt, attempt))
    if (origin !== undefined && origin.untilMs > nowMs) break
    attempts = HashMap.remove(attempts, oldest)
    byAttempt = HashMap.remove(byAttempt, attempt)
  }
  return oldest === origins.oldest ? origins : { ...origins, oldest, attempts, byAttempt }
}

/** What the receiver of an update has and asks for. */
export interface OriginQuery {
  /** Number of the sender's newest origin that the receiver has; Infinity if it is to get only those that it asks for. */
  readonly since: number
  /** Incarnation of the receiver, from which the sender may have learned some of the origins. */
  readonly receiver: string
  /** Ids of attempts that the receiver asks for. */
  readonly wanted: readonly string[]
  readonly nowMs: number
}

/**
 * Lists the origins that another instance lacks or asks for, oldest first.
 *
 * @param origins The known origins.
 * @param query What the receiver has and asks for.
 * @returns The records, and the number up to which they are complete.
 *
 * @example
 * ```ts
 * const { records } = originsSince(origins, { since: 0, receiver: 'other', wanted: [], nowMs })
 * ```
 */
export function originsSince (origins: StreamOrigins, query: OriginQuery): Pick<OriginUpdate, 'version' | 'records'> {
  const records = query.wanted.flatMap((attempt) => _record(origins, attempt, query.nowMs))
  let version = Math.max(Math.min(query.since, origins.newest), origins.oldest - 1)
  for (; version < origins.newest && records.length < MAX_RECORDS_PER_UPDATE; version += 1) {
    const attempt = Option.getOrElse(HashMap.get(origins.attempts, version + 1), () => '')
    const origin = Option.getOrUndefined(HashMap.get(origins.byAttempt, attempt))
    if (origin !== undefined && origin.source !== query.receiver && origin.source !== STORED_ORIGIN) records.push(..._record(origins, attempt, query.nowMs))
  }
  return { version, records }
}

function _record (origins: StreamOrigins, attempt: string, nowMs: number): readonly OriginRecord[] {
  const origin = Option.getOrUndefined(HashMap.get(origins.byAttempt, attempt))
  return origin === undefined || origin.untilMs <= nowMs ? [] : [[attempt, origin.softwareVersion, Math.round(origin.untilMs - nowMs)]]
}

/**
 * Lists the software versions that open streams of a service may have begun at.
 *
 * @param versions When versions were last run.
 * @param service The service.
 * @param nowMs The local time in ms.
 * @returns The versions.
 *
 * @example
 * ```ts
 * console.log(possibleVersions(new Map([['drafts', new Map([['v1', 0]])]]), 'drafts', 100)) // ['v1']
 * ```
 */
export function possibleVersions (versions: SoftwareVersions, service: string, nowMs: number): readonly string[] {
  return [...versions.get(service) ?? []].filter(([, atMs]) => nowMs - atMs < DEPARTED_VERSION_MS).map(([version]) => version)
}

/**
 * Records that versions of a service were run at a time.
 *
 * @param versions When versions were last run.
 * @param run The service, version and local time in ms of each observation.
 * @returns The updated times.
 *
 * @example
 * ```ts
 * const versions = recordVersions(new Map(), [['drafts', 'v1', performance.now()]])
 * ```
 */
export function recordVersions (versions: SoftwareVersions, run: ReadonlyArray<readonly [service: string, version: string, atMs: number]>): SoftwareVersions {
  const next = new Map([...versions].map(([service, times]) => [service, new Map(times)]))
  for (const [service, version, atMs] of run) {
    const times = next.get(service) ?? new Map<string, number>()
    next.set(service, times.set(version, Math.max(times.get(version) ?? -Infinity, atMs)))
  }
  return next
}
