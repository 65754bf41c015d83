import { step } from '@berylshed/reducer'
import type { Instant } from '@berylshed/scheduler'
import { applySegments, cutSegment, hasSeveralVersions, recordVersions, versionHistory, wantedOrigins, type OriginSegment } from '@berylshed/serving'
import { Schema } from 'effect'
import { applyServingEvent, chain, type EdgeStep } from './_edge_step.ts'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeState } from './edge_state.ts'
import type { ArchiveEvent, ArchiveWrite, OriginArchive } from './origin_archive.ts'

/** Name of the object that holds the history of versions. */
export const HISTORY_NAME = 'history'
/** Interval between two writes of the archive, in ms; together with a heartbeat, the most of what a loss of all instances loses. */
const WRITE_INTERVAL_MS = 200
/** Time after which another segment is begun, in ms. */
const SEGMENT_MS = 1000
/** Segments in the ring of one holder; with `SEGMENT_MS`, longer than the timeout of a route and the slack of resumptions. */
const SEGMENTS = 40
/** Number of rings, used by consecutive holders in turn, so that none overwrites the newest segments of its predecessor. */
const RINGS = 4
/** Interval between two reads while something is not known, in ms. */
const READ_INTERVAL_MS = 300

const NO_WRITE_YET = 0

const Segment = Schema.Record(Schema.String, Schema.Array(Schema.String))

/** Reads what is missing of the archive and writes what is not stored yet. */
export function maintainArchive (state: EdgeState, at: Instant): EdgeStep {
  return chain(_read(state, at), (s) => _write(s, at))
}

function _read (state: EdgeState, at: Instant): EdgeStep {
  const { archive } = state
  if (archive.isReading || at.nowMs - archive.readAtMs < READ_INTERVAL_MS) return step(state)
  const kind = !archive.historyKnown ? 'read_history' : wantedOrigins(state.serving).length > 0 ? 'read_segments' : undefined
  if (kind === undefined) return step(state)
  return step({ ...state, archive: { ...archive, isReading: true, readAtMs: at.nowMs } }, [{ subject: 'archive', effect: { kind } }])
}

function _write (state: EdgeState, at: Instant): EdgeStep {
  const { archive } = state
  const { held } = state.scheduler
  if (held === undefined || !archive.historyKnown || archive.pending !== undefined || at.nowMs - archive.writtenAtMs < WRITE_INTERVAL_MS) return step(state)
  const history = JSON.stringify(versionHistory(state.serving, at.nowMs))
  if (history !== archive.storedHistory) return _startWrite(state, { name: HISTORY_NAME, value: history, upTo: undefined }, at)
  if (state.serving.origins.newest <= archive.storedUpTo || !hasSeveralVersions(state.serving, at.nowMs)) return step(state)
  const isOver = at.nowMs - archive.segmentSinceMs >= SEGMENT_MS
  const current = isOver ? { ...archive, segment: (archive.segment + 1) % SEGMENTS, segmentAfter: archive.storedUpTo, segmentSinceMs: at.nowMs } : archive
  const { segment, upTo, streams } = cutSegment(state.serving.origins, current.segmentAfter)
  if (streams === 0) return step({ ...state, archive: { ...current, storedUpTo: upTo } })
  // A full segment is followed by the next one at once.
  const next = upTo < state.serving.origins.newest ? { ...current, segmentSinceMs: -Infinity } : current
  return _startWrite({ ...state, archive: next }, { name: `${held.fence % RINGS}-${current.segment}`, value: JSON.stringify(segment), upTo }, at)
}

function _startWrite (state: EdgeState, pending: ArchiveWrite, at: Instant): EdgeStep {
  const { archive } = state
  const { name, value } = pending
  const expectedVersion = archive.versions.get(name) ?? NO_WRITE_YET
  return step({ ...state, archive: { ...archive, pending, writtenAtMs: at.nowMs } }, [{ subject: 'archive', effect: { kind: 'write', name, value, expectedVersion } }])
}

/** Applies the outcome of an action on the archive. */
export function applyArchiveEvent (state: EdgeState, event: ArchiveEvent, at: Instant): EdgeStep {
  switch (event.kind) {
    case 'history_read': return learnHistory(_withArchive(state, { isReading: false, storedHistory: event.value, versions: _withVersion(state.archive, HISTORY_NAME, event.version) }), _decode(event.value), at)
    case 'segments_read': return _applySegments(_withArchive(state, { isReading: false }), event.values.map(_decode), at)
    case 'read_failed': return step(_withArchive(state, { isReading: false }))
    case 'written': return step(_finishWrite(state, event.name, event.version))
    case 'conflicted': return _resolveConflict(state, event, at)
    case 'write_failed': return step(_withArchive(state, { pending: undefined }))
  }
}

/** Learns the software versions that open streams may have begun at; they count as run a moment ago. */
export function learnHistory (state: EdgeState, history: OriginSegment, at: Instant): EdgeStep {
  const run = Object.entries(history).flatMap(([service, versions]) => versions.map((version) => [service, version, at.nowMs] as const))
  const serving = { ...state.serving, historyKnown: true, softwareVersions: recordVersions(state.serving.softwareVersions, run) }
  const known = _withArchive({ ...state, serving }, { historyKnown: true })
  const record: EdgeEffect = { subject: 'record', record: { what: 'version_history_known', softwareVersion: run.map(([service, version]) => `${service}:${version}`).join(' ') } }
  return chain(step(known, [record]), (s) => applyServingEvent(s, { kind: 'ticked', nowMs: at.nowMs }))
}

function _applySegments (state: EdgeState, segments: readonly OriginSegment[], at: Instant): EdgeStep {
  const before = state.serving.origins.newest
  const serving = applySegments(state.serving, segments, at.nowMs)
  const record: EdgeEffect = { subject: 'record', record: { what: 'stream_origins_read', count: serving.origins.newest - before } }
  return chain(step({ ...state, serving }, [record]), (s) => applyServingEvent(s, { kind: 'ticked', nowMs: at.nowMs }))
}

function _finishWrite (state: EdgeState, name: string, version: number): EdgeState {
  const { archive } = state
  const { pending } = archive
  if (pending?.name !== name) return state
  const written = { pending: undefined, versions: _withVersion(archive, name, version) }
  return pending.upTo === undefined ? _withArchive(state, { ...written, storedHistory: pending.value }) : _withArchive(state, { ...written, storedUpTo: pending.upTo })
}

type _Conflicted = Extract<ArchiveEvent, { kind: 'conflicted' }>

// What another holder wrote of the history is kept; its segment has been passed over once and may be replaced.
function _resolveConflict (state: EdgeState, event: _Conflicted, at: Instant): EdgeStep {
  const { archive } = state
  const next = _withArchive(state, { pending: undefined, writtenAtMs: -Infinity, versions: _withVersion(archive, event.name, event.version) })
  return event.name === HISTORY_NAME ? learnHistory(_withArchive(next, { storedHistory: event.value }), _decode(event.value), at) : step(next)
}

function _withArchive (state: EdgeState, changes: Partial<OriginArchive>): EdgeState {
  return { ...state, archive: { ...state.archive, ...changes } }
}

function _withVersion (archive: OriginArchive, name: string, version: number): OriginArchive['versions'] {
  return new Map(archive.versions).set(name, version)
}

// An object that does not exist, or that another writer made, holds nothing.
function _decode (value: string): OriginSegment {
  if (value === '') return {}
  const parsed: unknown = JSON.parse(value)
  return Schema.is(Segment)(parsed) ? parsed : {}
}
