import { combinedKey, countCrashes, crashKeys, isPartKey, isRequestKey, matchesKey, type Break, type Crash, type CrashEvidence, type KnownQuarantine, type Suspicion } from './crash_evidence.ts'
import { addBreaks, answeredAtMs, liftQuarantines, pruneProcesses, rememberAnswers, unfoundedQuarantines, without, withoutFailingUpstreams } from './_weigh_upstreams.ts'
import type { Attempt, ReceivedRequest } from './request.ts'

/** Independent crashes after which a request is quarantined. */
export const MAX_REQUEST_CRASHES = 3
/** Independent crashes after which a part is quarantined, together with the parts that were present at the same crashes. */
export const MAX_PART_CRASHES = 3
/** Independent crashes after which a request is not sent to another upstream. */
const MAX_RETRIED_CRASHES = 1
/** Time after which the evidence of a crash has arrived from all instances, in ms: a heartbeat interval and a round trip. */
const SETTLE_MS = 250
/** Duration of the first quarantine, in ms. */
const QUARANTINE_MS = 120_000
const MAX_QUARANTINE_MS = 3_600_000
/** Duration of the first quarantine of parts that were at the same crashes in different requests, in ms; one of them is to blame. */
const AMBIGUOUS_QUARANTINE_MS = 5000
/** Time for which a crash is remembered, in ms. */
const CRASH_RETENTION_MS = 120_000
/** Time for which a cleared suspicion is kept, in ms; longer than a report of the same crash is under way. */
const CLEARED_RETENTION_MS = 10_000
const MAX_SUSPICIONS = 1000
const MAX_QUARANTINES = 250
/** Maximum number of crashed processes kept per suspicion; more do not change any decision. */
const MAX_PROCESSES_PER_SUSPICION = 8
/** Maximum number of attempts kept per crashed process; one crash breaks many. */
const MAX_ATTEMPTS_PER_PROCESS = 3

/** Records that an upstream broke the connection of an attempt before the response began. */
export function recordCrash (evidence: CrashEvidence, request: ReceivedRequest, options: { readonly attempt: Attempt, readonly incarnation: number, readonly nowMs: number }): CrashEvidence {
  const { attempt, incarnation, nowMs } = options
  const process = `${attempt.upstream}#${incarnation}`
  const observed = { process, sentAtMs: attempt.sentAtMs, atMs: nowMs }
  const added = crashKeys(request).reduce((known, key) => {
    const source = isPartKey(key) ? request.callerId : `${request.callerId}#${attempt.number}`
    return addCrashes(known, key, { crashes: [{ ...observed, source }], clearedAtMs: -Infinity, own: true })
  }, evidence)
  const found: Break = { source: request.callerId, keys: crashKeys(request), sentAtMs: attempt.sentAtMs, atMs: nowMs }
  return quarantineCulprits(_prune(addBreaks(added, process, { breaks: [found], answeredAtMs: -Infinity, version: added.version, own: true }), nowMs), nowMs)
}

/** Records that a response began, which clears all that the request shares with others. */
export function recordResponse (before: CrashEvidence, request: ReceivedRequest, nowMs: number, process?: string): CrashEvidence {
  const keys = crashKeys(request)
  const answered = rememberAnswers(before, keys, nowMs)
  if (before.suspicions.size === 0 && before.quarantines.size === 0) return answered
  const evidence = process === undefined || !answered.processes.has(process) ? answered : addBreaks(answered, process, { breaks: [], answeredAtMs: nowMs, version: answered.version + 1, own: true })
  const cleared = keys.reduce((known, key) => addCrashes(known, key, { crashes: [], clearedAtMs: nowMs, own: true }), evidence)
  const lifted = [...cleared.quarantines.keys()].filter((key) => matchesKey(keys, key))
  const rest = liftQuarantines(cleared, lifted)
  // A part that had as many crashes as others may now be the only one left.
  return rest.version === evidence.version ? rest : quarantineCulprits(rest, nowMs)
}

/** Returns the key for which a request is quarantined, or undefined if it may be sent. */
export function quarantinedKey (evidence: CrashEvidence, request: ReceivedRequest, nowMs: number): string | undefined {
  if (evidence.quarantines.size === 0) return undefined
  const keys = crashKeys(request)
  return [...evidence.quarantines].find(([key, { untilMs }]) => untilMs > nowMs && matchesKey(keys, key))?.[0]
}

/** Reports whether upstreams have crashed on a request repeatedly, whatever it shares with others. */
export function isSuspectedRequest (evidence: CrashEvidence, request: ReceivedRequest): boolean {
  const weighed = withoutFailingUpstreams(evidence)
  return crashKeys(request).some((key) => isRequestKey(key) && _crashCount(weighed, key) > MAX_RETRIED_CRASHES)
}

/** Reports whether upstreams have crashed repeatedly on requests that share a part with this one, and none has responded since. */
export function hasSuspectedPart (evidence: CrashEvidence, request: ReceivedRequest): boolean {
  if (evidence.suspicions.size === 0) return false
  const weighed = withoutFailingUpstreams(evidence)
  return crashKeys(request).some((key) => isPartKey(key) && _crashCount(weighed, key) > MAX_RETRIED_CRASHES)
}

// Counts the crashes whose evidence has had time to arrive from all instances.
function _settledCount (evidence: CrashEvidence, key: string, nowMs: number): number {
  return countCrashes((evidence.suspicions.get(key)?.crashes ?? []).filter(({ atMs }) => nowMs - atMs >= SETTLE_MS))
}

function _crashCount (evidence: CrashEvidence, key: string): number {
  return countCrashes(evidence.suspicions.get(key)?.crashes ?? [])
}

/** Adds crashes and a response to a suspicion; the result does not depend on the order in which they became known. */
export function addCrashes (evidence: CrashEvidence, key: string, found: Pick<Suspicion, 'crashes' | 'clearedAtMs' | 'own'>): CrashEvidence {
  const before = evidence.suspicions.get(key)
  if (before === undefined && found.crashes.length === 0) return evidence
  const clearedAtMs = Math.max(before?.clearedAtMs ?? -Infinity, found.clearedAtMs, answeredAtMs(evidence, key))
  const known = before?.crashes ?? []
  const added = found.crashes.filter((crash) => !known.some((other) => _isSame(crash, other)))
  const crashes = _representative([...known, ...added].filter((crash) => crash.atMs > clearedAtMs))
  const unchanged = before !== undefined && crashes.length === known.length && crashes.every((crash, i) => crash === known[i])
  if (unchanged && clearedAtMs === before.clearedAtMs) return evidence
  const version = unchanged ? evidence.version : evidence.version + 1
  const next: Suspicion = { crashes, clearedAtMs, version: unchanged ? before.version : version, own: unchanged ? before.own : found.own }
  return { ...evidence, version, suspicions: new Map(evidence.suspicions).set(key, next) }
}

// Keeps the attempts that were sent last, as they are the most likely to be independent of earlier crashes.
function _representative (crashes: readonly Crash[]): readonly Crash[] {
  const byProcess = new Map<string, Crash[]>()
  for (const crash of crashes) byProcess.set(crash.process, [...byProcess.get(crash.process) ?? [], crash])
  if (byProcess.size <= MAX_PROCESSES_PER_SUSPICION && [...byProcess.values()].every((attempts) => attempts.length <= MAX_ATTEMPTS_PER_PROCESS)) return crashes
  const newest = [...byProcess.values()].sort((a, b) => _endedAtMs(b) - _endedAtMs(a)).slice(0, MAX_PROCESSES_PER_SUSPICION)
  const kept = new Set(newest.flatMap((attempts) => attempts.sort((a, b) => b.sentAtMs - a.sentAtMs || (a.source < b.source ? -1 : 1)).slice(0, MAX_ATTEMPTS_PER_PROCESS)))
  return crashes.filter((crash) => kept.has(crash))
}

function _endedAtMs (crashes: readonly Crash[]): number {
  return Math.min(...crashes.map(({ atMs }) => atMs))
}

function _isSame (a: Crash, b: Crash): boolean {
  return a.source === b.source && a.process === b.process
}

/** Quarantines what the crashes are attributed to, and clears the other parts that were present at the crashes of a single part. */
export function quarantineCulprits (before: CrashEvidence, nowMs: number): CrashEvidence {
  const weighed = withoutFailingUpstreams(before)
  const evidence = liftQuarantines(before, unfoundedQuarantines(before, weighed, { maxCrashes: MAX_PART_CRASHES, nowMs }))
  const culprits = _culprits(weighed === before ? evidence : { ...evidence, suspicions: weighed.suspicions }, nowMs)
  if (culprits.length === 0) return evidence
  const version = evidence.version + 1
  const quarantined = culprits.map((culprit): [string, KnownQuarantine] => {
    const { key } = culprit
    const offences = (evidence.quarantines.get(key)?.offences ?? 0) + 1
    const firstMs = culprit.isAmbiguous ? AMBIGUOUS_QUARANTINE_MS : QUARANTINE_MS
    return [key, { offences, untilMs: nowMs + Math.min(MAX_QUARANTINE_MS, firstMs * 2 ** (offences - 1)), version, own: true, crashes: culprit.crashes, sinceMs: nowMs }]
  })
  const imposed: CrashEvidence = { ...evidence, version, quarantines: _limit([...evidence.quarantines, ...quarantined]) }
  return culprits.filter(({ key, isAmbiguous }) => isPartKey(key) && !isAmbiguous).reduce((known, { key }) => _clearNeighbours(known, key, nowMs), imposed)
}

function _limit (quarantines: ReadonlyArray<[string, KnownQuarantine]>): CrashEvidence['quarantines'] {
  const byKey = new Map(quarantines)
  if (byKey.size <= MAX_QUARANTINES) return byKey
  return new Map([...byKey].sort(([, a], [, b]) => b.untilMs - a.untilMs).slice(0, MAX_QUARANTINES))
}

interface _Culprit {
  readonly key: string
  readonly crashes: number
  /** Whether parts of other requests were at the same crashes. */
  readonly isAmbiguous: boolean
}

function _culprits (evidence: CrashEvidence, nowMs: number): readonly _Culprit[] {
  const isFree = (key: string): boolean => (evidence.quarantines.get(key)?.untilMs ?? -Infinity) <= nowMs
  const offenders = [...evidence.quarantines.keys()].filter((key) => _isRepeatedOffender(evidence, key, nowMs)).map((key) => ({ key, crashes: _crashCount(evidence, key), isAmbiguous: false }))
  const requests = [...evidence.suspicions]
    .filter(([key, { crashes }]) => crashes.length >= MAX_REQUEST_CRASHES && isRequestKey(key))
    .map(([key, { crashes }]) => ({ key, crashes: countCrashes(crashes), isAmbiguous: false }))
    .filter(({ crashes }) => crashes >= MAX_REQUEST_CRASHES)
  const culprits = [...offenders, ...requests, ..._blamedParts(evidence, nowMs)].filter(({ key }) => isFree(key))
  return [...new Map(culprits.map((culprit) => [culprit.key, culprit])).values()]
}

function _isRepeatedOffender (evidence: CrashEvidence, key: string, nowMs: number): boolean {
  const endedAtMs = evidence.quarantines.get(key)?.untilMs ?? Infinity
  return endedAtMs <= nowMs && evidence.suspicions.get(key)?.crashes.some(({ atMs }) => atMs > endedAtMs) === true
}

// Parts that were present at the same crashes cannot be told apart. Those of one request are blamed together, so that others with
// one of them are served; those of different requests are blamed for a short time, after which responses clear all but the culprit.
// Evidence of the newest crash may still be under way from other instances, so one crash of difference does not tell parts apart,
// and a part is blamed alone only for crashes that have settled.
function _blamedParts (evidence: CrashEvidence, nowMs: number): readonly _Culprit[] {
  const suspects = [...evidence.suspicions].filter(([key, { crashes }]) => isPartKey(key) && crashes.length >= MAX_PART_CRASHES && countCrashes(crashes) >= MAX_PART_CRASHES).map(([key]) => key)
  const groups = suspects.map((part) => _inseparableParts(evidence, part))
  const alone = groups.filter(({ members, rivals }) => members.length === 1 && rivals.length === 0).flatMap(({ members }) => members)
  const isExplained = (part: string): boolean => alone.includes(part)
  const combined = groups.filter(({ members }) => members.length > 1 && !members.some(isExplained))
  const single = groups.filter(({ members, rivals }) => members.length === 1 && !rivals.some(isExplained))
  const settled = single.filter(({ members }) => members.every((part) => _settledCount(evidence, part, nowMs) >= MAX_PART_CRASHES))
  return [...settled, ...combined].map(({ members, rivals, crashes }) => ({ key: combinedKey(members), crashes, isAmbiguous: members.length === 1 && rivals.length > 0 }))
}

interface _PartGroup {
  /** The part, and the parts that were with it in a request of each of its crashes. */
  readonly members: readonly string[]
  /** Parts that were at the same crashes, but in other requests. */
  readonly rivals: readonly string[]
  readonly crashes: number
}

function _inseparableParts (evidence: CrashEvidence, part: string): _PartGroup {
  const processes = _processes(evidence, part)
  const present = [...evidence.suspicions.keys()].filter((other) => {
    return other !== part && isPartKey(other) && [..._processes(evidence, other)].filter((process) => processes.has(process)).length >= processes.size - 1
  })
  const companions = present.filter((other) => _haveMet(evidence, part, other))
  // Companions in different requests are alternatives, so that a combination of all of them would match no request.
  const members = companions.filter((other) => companions.every((another) => other === another || _haveMet(evidence, other, another)))
  return { members: [part, ...members].sort(), rivals: present.filter((other) => !members.includes(other)), crashes: _crashCount(evidence, part) }
}

function _haveMet (evidence: CrashEvidence, part: string, other: string): boolean {
  const sources = _sources(evidence, part)
  return [..._sources(evidence, other)].some((source) => sources.has(source))
}

function _sources (evidence: CrashEvidence, key: string): ReadonlySet<string> {
  return new Set(evidence.suspicions.get(key)?.crashes.map(({ source }) => source))
}

function _processes (evidence: CrashEvidence, key: string): ReadonlySet<string> {
  return new Set(evidence.suspicions.get(key)?.crashes.map(({ process }) => process))
}

function _clearNeighbours (evidence: CrashEvidence, culprit: string, nowMs: number): CrashEvidence {
  const explained = _processes(evidence, culprit)
  const neighbours = [...evidence.suspicions].filter(([key, { crashes }]) => key !== culprit && crashes.some(({ process }) => explained.has(process)))
  return neighbours.reduce((known, [key]) => addCrashes(known, key, { crashes: [], clearedAtMs: nowMs, own: true }), evidence)
}

function _prune (evidence: CrashEvidence, nowMs: number): CrashEvidence {
  const kept = [...evidence.suspicions].filter(([, { crashes, clearedAtMs }]) => {
    return crashes.some(({ atMs }) => nowMs - atMs < CRASH_RETENTION_MS) || nowMs - clearedAtMs < CLEARED_RETENTION_MS
  })
  const newest = kept.length <= MAX_SUSPICIONS ? kept : kept.sort(([, a], [, b]) => b.version - a.version).slice(0, MAX_SUSPICIONS)
  const lapsed = [...evidence.quarantines].filter(([, { untilMs }]) => nowMs - untilMs > MAX_QUARANTINE_MS).map(([key]) => key)
  return { ...pruneProcesses(evidence, nowMs), suspicions: new Map(newest), quarantines: lapsed.length === 0 ? evidence.quarantines : without(evidence.quarantines, lapsed) }
}
