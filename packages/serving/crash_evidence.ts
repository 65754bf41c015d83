import { HashMap } from 'effect'
import type { Quarantine } from '@berylshed/scheduler'
import type { ReceivedRequest } from './request.ts'

/** An attempt whose upstream broke the connection before the response began. */
export interface Crash {
  /**
   * What has to differ between two crashes for both to count: the id of the caller's attempt for a part of a prompt, and the
   * attempt at the upstream for the request itself.
   */
  readonly source: string
  /** The upstream and its incarnation. */
  readonly process: string
  /** Local time at which the attempt was sent, in ms. */
  readonly sentAtMs: number
  /** Local time at which the connection broke, in ms. */
  readonly atMs: number
}

/** Crashes of upstreams while they were about to respond to requests that have something in common. */
export interface Suspicion {
  readonly crashes: readonly Crash[]
  /** Local time of the newest response to such a request, in ms; earlier crashes had another cause. */
  readonly clearedAtMs: number
  /** Version of the evidence in which this suspicion changed. */
  readonly version: number
  /** Whether an attempt of this instance caused the last change. */
  readonly own: boolean
}

/** A quarantine and the version of the evidence in which it changed. */
export interface KnownQuarantine extends Quarantine {
  readonly version: number
  /** Whether this instance imposed it. */
  readonly own: boolean
  /** Local time at which this instance learnt of it, in ms. */
  readonly sinceMs: number
  /** Whether this instance has sent a request despite it, to see whether it is unfounded. */
  readonly probed?: boolean
  /** Independent crashes on which it is based; 0 if another instance imposed it. */
  readonly crashes: number
}

/**
 * What is known about requests that crash upstreams.
 *
 * Requests are identified by keys: the fingerprint of the whole request, each part of its prompt, and combinations of such parts
 * that cannot be told apart. The last part counts too, as several callers may send the same prompt.
 */
export interface CrashEvidence {
  /** Number of changes so far. */
  readonly version: number
  readonly suspicions: ReadonlyMap<string, Suspicion>
  readonly quarantines: ReadonlyMap<string, KnownQuarantine>
  /** What upstream processes broke, by process; the other explanation of a crash. */
  readonly processes: ReadonlyMap<string, ProcessRecord>
  /** Quarantines that were lifted before their end, as other instances and the lease still name them for some time. */
  readonly lifted: ReadonlyMap<string, Quarantine>
  /** Local time of the newest response to a request with a part, in ms; crashes may become known only after it. */
  readonly answeredAtMs: HashMap.HashMap<string, number>
}

/** Attempts that an upstream process broke since it last answered one. */
export interface ProcessRecord {
  readonly breaks: readonly Break[]
  /** Local time of the newest response of the process, in ms. */
  readonly answeredAtMs: number
  /** Local time at which the process was found to be gone, in ms; Infinity if it was not. */
  readonly goneAtMs: number
  readonly version: number
  readonly own: boolean
}

/** An attempt that an upstream process broke before its response began. */
export interface Break {
  readonly source: string
  /** Keys of the request, from {@linkcode crashKeys}. */
  readonly keys: readonly string[]
  readonly sentAtMs: number
  readonly atMs: number
}

/** Evidence of an instance that knows of no crashes. */
export const NO_CRASH_EVIDENCE: CrashEvidence = { version: 0, suspicions: new Map(), quarantines: new Map(), processes: new Map(), lifted: new Map(), answeredAtMs: HashMap.empty() }

const REQUEST_PREFIX = 'request '
const PART_PREFIX = 'part '
const COMBINATION_PREFIX = 'parts '
const COMBINATION_SEPARATOR = '+'
/** Maximum length of the id of a part within a key, in characters. */
const MAX_PART_LENGTH = 64

/**
 * Returns the keys of a request under which crashes are counted.
 *
 * @param request The request.
 * @returns The keys, the request's own first.
 *
 * @example
 * ```ts
 * console.log(crashKeys({ fingerprint: 'f', promptParts: ['5c1e', '91bd', 'e440'] })) // ['request f', 'part 5c1e', 'part 91bd', 'part e440']
 * ```
 */
export function crashKeys (request: Pick<ReceivedRequest, 'fingerprint' | 'promptParts'>): readonly string[] {
  const parts = request.promptParts.map((id) => PART_PREFIX + id.slice(0, MAX_PART_LENGTH))
  return [REQUEST_PREFIX + request.fingerprint, ...new Set(parts)]
}

/**
 * Reports whether a key stands for a part of a prompt rather than for a whole request.
 *
 * @param key The key.
 * @returns Whether it stands for a part.
 *
 * @example
 * ```ts
 * console.log(isPartKey('part 5c1e')) // true
 * ```
 */
export function isPartKey (key: string): boolean {
  return key.startsWith(PART_PREFIX)
}

/**
 * Reports whether a key stands for a whole request.
 *
 * @param key The key.
 * @returns Whether it stands for a request.
 *
 * @example
 * ```ts
 * console.log(isRequestKey('request f')) // true
 * ```
 */
export function isRequestKey (key: string): boolean {
  return key.startsWith(REQUEST_PREFIX)
}

/**
 * Returns the key of a combination of parts.
 *
 * @param partKeys The keys of the parts.
 * @returns The key of the part if there is only one, otherwise the key of their combination.
 *
 * @example
 * ```ts
 * console.log(combinedKey(['part b', 'part a'])) // 'parts a+b'
 * ```
 */
export function combinedKey (partKeys: readonly string[]): string {
  const [only = ''] = partKeys
  if (partKeys.length === 1) return only
  return COMBINATION_PREFIX + partKeys.map((key) => key.slice(PART_PREFIX.length)).sort().join(COMBINATION_SEPARATOR)
}

/**
 * Returns the keys of the parts that a key combines.
 *
 * @param key The key of a request, a part or a combination of parts.
 * @returns The keys of the parts of a combination, otherwise the key alone.
 *
 * @example
 * ```ts
 * console.log(combinedMembers('parts a+b')) // ['part a', 'part b']
 * ```
 */
export function combinedMembers (key: string): readonly string[] {
  if (!key.startsWith(COMBINATION_PREFIX)) return [key]
  return key.slice(COMBINATION_PREFIX.length).split(COMBINATION_SEPARATOR).map((id) => PART_PREFIX + id)
}

/**
 * Reports whether a request has what a key stands for.
 *
 * @param keys The keys of the request, from {@linkcode crashKeys}.
 * @param key The key of a request, a part or a combination of parts.
 * @returns Whether the request has it.
 *
 * @example
 * ```ts
 * console.log(matchesKey(['request f', 'part a', 'part b'], 'parts a+b')) // true
 * ```
 */
export function matchesKey (keys: readonly string[], key: string): boolean {
  if (!key.startsWith(COMBINATION_PREFIX)) return keys.includes(key)
  return key.slice(COMBINATION_PREFIX.length).split(COMBINATION_SEPARATOR).every((id) => keys.includes(PART_PREFIX + id))
}

/**
 * Counts the crashes of a suspicion that are independent of each other.
 *
 * Connections that break at the same moment, on the same process or for the same request may have one cause, so a crash counts
 * only if its attempt was sent after the last counted one had ended, to another process and from another source.
 *
 * @param crashes The crashes, in any order.
 * @returns The number of independent crashes.
 *
 * @example
 * ```ts
 * const crash = { source: 'a', process: 'u1#1', sentAtMs: 0, atMs: 50 }
 * console.log(countCrashes([crash, { ...crash, source: 'b' }])) // 1
 * ```
 */
export function countCrashes (crashes: readonly Crash[]): number {
  const sources = new Set<string>()
  const processes = new Set<string>()
  let lastAtMs = -Infinity
  for (const { source, process, sentAtMs, atMs } of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
    if (sentAtMs < lastAtMs || sources.has(source) || processes.has(process)) continue
    sources.add(source)
    processes.add(process)
    lastAtMs = atMs
  }
  return sources.size
}
