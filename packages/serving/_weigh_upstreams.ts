import { HashMap, Option } from 'effect'
import { combinedMembers, countCrashes, isPartKey, type Break, type Crash, type CrashEvidence, type ProcessRecord } from './crash_evidence.ts'

/** Independent breaks without what a crash is attributed to, after which a process explains its breaks by itself. */
const MIN_OTHER_BREAKS = 2
/** Time for which breaks of a process are remembered, in ms: as long as crashes. */
const BREAK_RETENTION_MS = 120_000
/** Maximum number of breaks kept per process, the newest that are independent. */
const MAX_BREAKS = 4
/** Maximum number of processes, so that an update of all of them takes tens of kilobytes. */
const MAX_PROCESSES = 100
/** Time after which a doubtful quarantine is probed, in ms: the longest time for which a failing upstream is found out late, a few heartbeats and ejections. */
const PROBE_AFTER_MS = 3000
/** Maximum number of parts whose newest response is remembered. */
const MAX_ANSWERED = 4000

/** Adds attempts that a process broke, and its newest response; the result does not depend on the order in which they became known. */
export function addBreaks (evidence: CrashEvidence, process: string, found: Pick<ProcessRecord, 'breaks' | 'answeredAtMs' | 'version' | 'own'>): CrashEvidence {
  const before = evidence.processes.get(process)
  if (before === undefined && found.breaks.length === 0) return evidence
  const known = before?.breaks ?? []
  const answered = Math.max(before?.answeredAtMs ?? -Infinity, found.answeredAtMs)
  const added = found.breaks.filter((one) => !known.some((other) => other.source === one.source && other.keys[0] === one.keys[0]))
  const breaks = _independent([...known, ...added].filter(({ atMs }) => atMs > answered))
  const isSame = breaks.length === known.length && breaks.every((one, i) => one === known[i])
  if (before !== undefined && isSame && (answered === before.answeredAtMs || known.length === 0)) return evidence
  const next: ProcessRecord = { breaks, answeredAtMs: answered, goneAtMs: before?.goneAtMs ?? Infinity, version: found.version, own: found.own }
  return { ...evidence, version: Math.max(evidence.version, found.version), processes: new Map(evidence.processes).set(process, next) }
}

// Of attempts that broke at one moment, the first one is kept.
function _independent (breaks: readonly Break[]): readonly Break[] {
  const kept: Break[] = []
  for (const one of [...breaks].sort((a, b) => a.atMs - b.atMs)) {
    const last = kept.at(-1)
    if (last === undefined || one.sentAtMs >= last.atMs) kept.push(one)
  }
  return kept.slice(-MAX_BREAKS)
}

/** Notes that processes are gone, as after a crash. */
export function noteGone (evidence: CrashEvidence, isGone: (upstream: string, incarnation: number) => boolean, nowMs: number): CrashEvidence {
  const gone = [...evidence.processes].filter(([process, { goneAtMs }]) => {
    const at = process.lastIndexOf('#')
    return goneAtMs === Infinity && isGone(process.slice(0, at), Number(process.slice(at + 1)))
  })
  if (gone.length === 0) return evidence
  return { ...evidence, processes: new Map([...evidence.processes, ...gone.map(([process, record]) => [process, { ...record, goneAtMs: nowMs }] as const)]) }
}

/**
 * Leaves out the crashes that the upstream explains by itself.
 *
 * A process that broke several independent attempts without a key, and answered none in between, breaks what it gets, so that its
 * breaks do not count against the key. The last break of a process that is gone counts nevertheless, as the request may have ended it.
 */
export function withoutFailingUpstreams (evidence: CrashEvidence): CrashEvidence {
  const failing = new Map([...evidence.processes].filter(([, { breaks }]) => breaks.length >= MIN_OTHER_BREAKS))
  if (failing.size === 0) return evidence
  const suspicions = new Map([...evidence.suspicions].map(([key, suspicion]) => {
    const crashes = suspicion.crashes.filter((crash) => !_isExplained(failing.get(crash.process), key, crash))
    return [key, crashes.length === suspicion.crashes.length ? suspicion : { ...suspicion, crashes }]
  }))
  return { ...evidence, suspicions }
}

function _isExplained (record: ProcessRecord | undefined, key: string, crash: Crash): boolean {
  if (record === undefined) return false
  const others = record.breaks.filter(({ keys }) => !keys.includes(key))
  if (new Set(others.map(({ source }) => source)).size < MIN_OTHER_BREAKS) return false
  return record.goneAtMs === Infinity || others.some(({ sentAtMs }) => sentAtMs >= crash.atMs)
}

/** Returns the quarantines that rest on crashes which upstreams explain by themselves. */
export function unfoundedQuarantines (evidence: CrashEvidence, weighed: CrashEvidence, options: { readonly maxCrashes: number, readonly nowMs: number }): readonly string[] {
  if (weighed === evidence) return []
  const count = ({ suspicions }: CrashEvidence, key: string): number => countCrashes(suspicions.get(key)?.crashes ?? [])
  return [...evidence.quarantines].filter(([key, { offences, untilMs }]) => {
    if (offences > 1 || untilMs <= options.nowMs) return false
    return combinedMembers(key).some((member) => count(evidence, member) >= options.maxCrashes && count(weighed, member) < options.maxCrashes)
  }).map(([key]) => key)
}

/**
 * Reports whether a request may be sent despite a quarantine, to see whether that is unfounded.
 *
 * Only doubtful quarantines of parts are probed, once: those that rest on a crash at a process which broke other requests at other
 * times as well. A part whose crashes have no such explanation reaches no further upstream.
 */
export function isQuarantineProbe (evidence: CrashEvidence, key: string, nowMs: number): boolean {
  const quarantine = evidence.quarantines.get(key)
  if (quarantine === undefined || quarantine.offences > 1 || quarantine.probed === true || nowMs - quarantine.sinceMs < PROBE_AFTER_MS) return false
  return combinedMembers(key).every(isPartKey) && combinedMembers(key).some((member) => (evidence.suspicions.get(member)?.crashes ?? []).some(({ process }) => {
    return evidence.processes.get(process)?.breaks.some(({ keys }) => !keys.includes(member)) === true
  }))
}

/** Notes that a request is sent despite a quarantine. */
export function noteQuarantineProbe (evidence: CrashEvidence, key: string): CrashEvidence {
  const quarantine = evidence.quarantines.get(key)
  return quarantine === undefined ? evidence : { ...evidence, quarantines: new Map(evidence.quarantines).set(key, { ...quarantine, probed: true }) }
}

/** Lifts quarantines, also those that others still name. */
export function liftQuarantines (evidence: CrashEvidence, keys: readonly string[]): CrashEvidence {
  if (keys.length === 0) return evidence
  const lifted = new Map(evidence.lifted)
  for (const key of keys) {
    const quarantine = evidence.quarantines.get(key)
    if (quarantine !== undefined) lifted.set(key, { offences: quarantine.offences, untilMs: quarantine.untilMs })
  }
  return { ...evidence, lifted, quarantines: without(evidence.quarantines, keys) }
}

/** Remembers that requests with some parts were answered. */
export function rememberAnswers (evidence: CrashEvidence, keys: readonly string[], nowMs: number): CrashEvidence {
  const parts = keys.filter(isPartKey)
  if (parts.length === 0) return evidence
  const known = HashMap.size(evidence.answeredAtMs) < MAX_ANSWERED ? evidence.answeredAtMs : _newer(evidence.answeredAtMs)
  return { ...evidence, answeredAtMs: parts.reduce((map, key) => HashMap.set(map, key, nowMs), known) }
}

function _newer (answered: HashMap.HashMap<string, number>): HashMap.HashMap<string, number> {
  return HashMap.fromIterable([...answered].sort(([, a], [, b]) => b - a).slice(0, MAX_ANSWERED / 2))
}

/** Returns the local time of the newest response to a request with a part, in ms; -Infinity if none is remembered. */
export function answeredAtMs (evidence: CrashEvidence, key: string): number {
  return Option.getOrElse(HashMap.get(evidence.answeredAtMs, key), () => -Infinity)
}

/** Forgets old breaks, and lifted quarantines that would be over. */
export function pruneProcesses (evidence: CrashEvidence, nowMs: number): CrashEvidence {
  const kept = [...evidence.processes].filter(([, { breaks }]) => breaks.some(({ atMs }) => nowMs - atMs < BREAK_RETENTION_MS))
  const newest = kept.length <= MAX_PROCESSES ? kept : kept.sort(([, a], [, b]) => b.version - a.version).slice(0, MAX_PROCESSES)
  const over = [...evidence.lifted].filter(([, { untilMs }]) => untilMs <= nowMs).map(([key]) => key)
  return { ...evidence, processes: new Map(newest), lifted: over.length === 0 ? evidence.lifted : without(evidence.lifted, over) }
}

/** Returns a map without some of its keys. */
export function without<T> (map: ReadonlyMap<string, T>, keys: readonly string[]): ReadonlyMap<string, T> {
  const rest = new Map(map)
  for (const key of keys) rest.delete(key)
  return rest
}
