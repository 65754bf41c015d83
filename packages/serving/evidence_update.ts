import { quarantineRecords, type QuarantineRecord } from '@berylshed/scheduler'
import { addCrashes, quarantineCulprits } from './_weigh_evidence.ts'
import { addBreaks, liftQuarantines } from './_weigh_upstreams.ts'
import { combinedMembers, type CrashEvidence } from './crash_evidence.ts'

/** Maximum number of suspicions in one update; the rest follows with the next one. */
const MAX_SUSPICIONS_PER_UPDATE = 200
/** Difference between the ends of two quarantines below which they are the same, in ms; covers the time of transmission. */
const SAME_QUARANTINE_MS = 2000

/** A crash as sent to another instance, with ages in ms. */
export type CrashRecord = readonly [source: string, process: string, sentAgoMs: number, agoMs: number]
/** A suspicion as sent to another instance; the time since it was cleared is in ms, or null if it never was. */
export type SuspicionRecord = readonly [key: string, clearedAgoMs: number | null, crashes: readonly CrashRecord[]]

/** A process that broke attempts as sent to another instance; times as ages in ms, null if it answered none. */
export type ProcessUpdate = readonly [process: string, answeredAgoMs: number | null, breaks: ReadonlyArray<readonly [source: string, keys: readonly string[], sentAgoMs: number, agoMs: number]>]

/** Changes of the crash evidence of one instance that another one lacks. */
export interface EvidenceUpdate {
  /** Incarnation of the sender. */
  readonly origin: string
  /** Version of the sender's evidence up to which the changes are included. */
  readonly version: number
  readonly suspicions: readonly SuspicionRecord[]
  readonly quarantines: readonly QuarantineRecord[]
  /** Processes that broke attempts; absent if there are none or an earlier release sends. */
  readonly processes?: readonly ProcessUpdate[]
}

/** What the receiver of an update already has. */
export interface UpdateBase {
  readonly origin: string
  /** Version of the sender's evidence that the receiver has; 0 if it has none. */
  readonly since: number
  readonly nowMs: number
}

/**
 * Returns the changes of an instance's evidence since a version.
 *
 * To a receiver that has an earlier version, an instance does not repeat what it learned from others.
 *
 * @param evidence The evidence.
 * @param base The sender's incarnation, the version that the receiver has and the local time in ms.
 * @param options Whether to include what the sender learned from other instances.
 * @returns The changes.
 *
 * @example
 * ```ts
 * const update = evidenceUpdateSince(evidence, { origin: self.incarnation, since: 0, nowMs }, { relay: true })
 * ```
 */
export function evidenceUpdateSince (evidence: CrashEvidence, base: UpdateBase, options: { readonly relay: boolean }): EvidenceUpdate {
  const { origin, since, nowMs } = base
  const included = ({ version, own }: { readonly version: number, readonly own: boolean }): boolean => version > since && (own || options.relay || since === 0)
  const changed = [...evidence.suspicions].filter(([, suspicion]) => included(suspicion)).sort(([, a], [, b]) => a.version - b.version)
  const sent = changed.slice(0, MAX_SUSPICIONS_PER_UPDATE)
  const processes = [...evidence.processes].filter(([, record]) => included(record)).map(([process, { answeredAtMs, breaks }]): ProcessUpdate => [
    process, answeredAtMs === -Infinity ? null : Math.round(nowMs - answeredAtMs), breaks.map(({ source, keys, sentAtMs, atMs }) => [source, keys, Math.round(nowMs - sentAtMs), Math.round(nowMs - atMs)] as const)
  ])
  return {
    origin,
    version: sent.length < changed.length ? sent.at(-1)?.[1].version ?? since : evidence.version,
    suspicions: sent.map(([key, { crashes, clearedAtMs }]) => [
      key,
      clearedAtMs === -Infinity ? null : Math.round(nowMs - clearedAtMs),
      crashes.map(({ source, process, sentAtMs, atMs }) => [source, process, Math.round(nowMs - sentAtMs), Math.round(nowMs - atMs)] as const)
    ]),
    quarantines: quarantineRecords(new Map([...evidence.quarantines].filter(([, quarantine]) => included(quarantine))), nowMs),
    ...processes.length === 0 ? {} : { processes }
  }
}

/**
 * Adds the changes that another instance sent.
 *
 * @param evidence The evidence so far.
 * @param update The changes.
 * @param nowMs The local time in ms.
 * @returns The evidence, in which quarantines follow from the crashes of all instances.
 *
 * @example
 * ```ts
 * const next = applyEvidenceUpdate(evidence, update, performance.now())
 * ```
 */
export function applyEvidenceUpdate (evidence: CrashEvidence, update: Pick<EvidenceUpdate, 'suspicions' | 'quarantines' | 'processes'>, nowMs: number): CrashEvidence {
  const merged = update.suspicions.reduce((known, [key, clearedAgoMs, crashes]) => addCrashes(known, key, {
    crashes: crashes.map(([source, process, sentAgoMs, agoMs]) => ({ source, process, sentAtMs: nowMs - sentAgoMs, atMs: nowMs - agoMs })),
    clearedAtMs: clearedAgoMs === null ? -Infinity : nowMs - clearedAgoMs,
    own: false
  }), evidence)
  // Breaks come with crashes, which change the version already.
  const version = merged.version > evidence.version ? merged.version : merged.version + 1
  const informed = (update.processes ?? []).reduce((known, [process, answeredAgoMs, breaks]) => addBreaks(known, process, {
    breaks: breaks.map(([source, keys, sentAgoMs, agoMs]) => ({ source, keys, sentAtMs: nowMs - sentAgoMs, atMs: nowMs - agoMs })),
    answeredAtMs: answeredAgoMs === null ? -Infinity : nowMs - answeredAgoMs,
    version,
    own: false
  }), _liftAnswered(merged, evidence, update.suspicions))
  return quarantineCulprits(applyQuarantines(informed, update.quarantines, nowMs), nowMs)
}

// A response elsewhere to a request with a quarantined key lifts the quarantine here too, if it began after that was known.
function _liftAnswered (merged: CrashEvidence, before: CrashEvidence, suspicions: readonly SuspicionRecord[]): CrashEvidence {
  const cleared = new Set(suspicions.flatMap(([key]) => (merged.suspicions.get(key)?.clearedAtMs ?? -Infinity) > (before.suspicions.get(key)?.clearedAtMs ?? -Infinity) ? [key] : []))
  const answered = [...before.quarantines].filter(([key, { sinceMs }]) => combinedMembers(key).every((member) => cleared.has(member) && (merged.suspicions.get(member)?.clearedAtMs ?? -Infinity) > sinceMs))
  return liftQuarantines(merged, answered.map(([key]) => key))
}

/**
 * Adds quarantines that another instance sent or that were kept in the store.
 *
 * @param evidence The evidence so far.
 * @param records The quarantines.
 * @param nowMs The local time in ms.
 * @returns The evidence with the longer one of each quarantine.
 *
 * @example
 * ```ts
 * const next = applyQuarantines(evidence, [['part 5c1e', 1, 60_000]], performance.now())
 * ```
 */
export function applyQuarantines (evidence: CrashEvidence, records: readonly QuarantineRecord[], nowMs: number): CrashEvidence {
  return records.reduce((known, [key, offences, remainingMs]) => {
    const before = known.quarantines.get(key)
    const untilMs = nowMs + remainingMs
    const longer = before === undefined || offences > before.offences || (offences === before.offences && untilMs > before.untilMs + SAME_QUARANTINE_MS)
    const lifted = known.lifted.get(key)
    const isLifted = lifted !== undefined && offences <= lifted.offences && untilMs <= lifted.untilMs + SAME_QUARANTINE_MS
    if (!longer || isLifted || remainingMs <= 0) return known
    const version = known.version + 1
    return { ...known, version, quarantines: new Map(known.quarantines).set(key, { offences, untilMs, version, own: false, crashes: 0, sinceMs: nowMs }) }
  }, evidence)
}
