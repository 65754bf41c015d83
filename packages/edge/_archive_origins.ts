import { step } from '@berylshed/reducer'
import type { Instant } from '@berylshed/scheduler'
import { applySegments, cutSegment, hasSeveralVersions, recordVersions, versionHistory, wantedOrigins, type OriginSegment, type ServingEffect } from '@berylshed/serving'
import { Schema } from 'effect'
import { applyServingEvent, chain, type EdgeStep } from './_edge_step.ts'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeState } from './edge_state.ts'
import type { ArchiveEvent, ArchiveWrite, CurrentSegment, OriginArchive } from './origin_archive.ts'

/** Name of the object that holds the history of versions. */
export const HISTORY_NAME = 'history'
/** Minimum interval between two writes of an instance, in ms; a fraction of the shortest latency objective of a stream. */
const WRITE_INTERVAL_MS = 80
/** Share of the store's rate of writes that all instances use together. */
const WRITE_SHARE = 0.15
/** Time for which the first event of a stream waits at most, in ms; a store that is slow must not stop streams. */
const MAX_HOLD_MS = 400
/** Time after a failed write for which streams do not wait for the store, in ms; longer than a call that times out. */
const FAILURE_MEMORY_MS = 2000
/** Time after which another segment is begun, in ms. */
const SEGMENT_MS = 2000
/** Segments in the ring of an instance; with `SEGMENT_MS`, longer than the timeout of a route and the slack of resumptions. */
const SEGMENTS = 20
/** Interval between two reads while something is not known, in ms. */
const READ_INTERVAL_MS = 300
const MS_PER_SECOND = 1000
const NEVER_WRITTEN = 0

const Streams = Schema.Record(Schema.String, Schema.Array(Schema.String))
const StoredSegment = Schema.Struct({
  // Wall-clock time of the write, which tells a segment of an earlier process from one of an earlier turn of the ring.
  atMs: Schema.Number,
  streams: Streams
})

/** Reads what is missing of the archive, writes what is not stored yet and ends holds that have lasted too long. */
export function maintainArchive (state: EdgeState, at: Instant): EdgeStep {
  const read = _read(state, at)
  const written = chain(read, (s) => writeArchive(s, at))
  return chain(written, (s) => _release(s, ({ sinceMs }) => at.nowMs - sinceMs >= MAX_HOLD_MS))
}

function _read (state: EdgeState, at: Instant): EdgeStep {
  const { archive } = state
  if (archive.isReading || at.nowMs - archive.readAtMs < READ_INTERVAL_MS) return step(state)
  const kind = !archive.historyKnown ? 'read_history' : wantedOrigins(state.serving).length > 0 ? 'read_segments' : undefined
  if (kind === undefined) return step(state)
  return step(_withArchive(state, { isReading: true, readAtMs: at.nowMs }), [{ subject: 'archive', effect: { kind } }])
}

/** Writes the history or the newest origins, if they are not stored and a write is due. */
export function writeArchive (state: EdgeState, at: Instant): EdgeStep {
  const { archive, serving } = state
  if (!archive.historyKnown || archive.pending !== undefined || at.nowMs - archive.writtenAtMs < _writeIntervalMs(state)) return step(state)
  const history = state.scheduler.held === undefined ? undefined : JSON.stringify(versionHistory(serving, at.nowMs))
  if (history !== undefined && history !== archive.storedHistory) return _startWrite(state, { name: HISTORY_NAME, value: history, upTo: undefined }, at)
  if (serving.origins.newest <= archive.storedUpTo || !hasSeveralVersions(serving, at.nowMs)) return step(state)
  const segment = _currentSegment(state, at)
  const streams = _merge(segment.kept, cutSegment(serving.origins, segment.after))
  return _startWrite(_withArchive(state, { segment }), { name: segment.name, value: JSON.stringify({ atMs: at.clockMs, streams }), upTo: serving.origins.newest }, at)
}

function _writeIntervalMs (state: EdgeState): number {
  return Math.max(WRITE_INTERVAL_MS, state.serving.instances / (WRITE_SHARE * state.storeWritesPerS) * MS_PER_SECOND)
}

function _currentSegment (state: EdgeState, at: Instant): CurrentSegment {
  const { segment, storedUpTo } = state.archive
  const name = `${state.self.instance}-${Math.floor(at.clockMs / SEGMENT_MS) % SEGMENTS}`
  return segment?.name === name ? segment : { name, after: storedUpTo, kept: {} }
}

function _startWrite (state: EdgeState, pending: ArchiveWrite, at: Instant): EdgeStep {
  const { name, value } = pending
  const expectedVersion = state.archive.versions.get(name) ?? NEVER_WRITTEN
  return step(_withArchive(state, { pending, writtenAtMs: at.nowMs }), [{ subject: 'archive', effect: { kind: 'write', name, value, expectedVersion } }])
}

type _OriginAdded = Extract<ServingEffect, { kind: 'store_origin' }>

/** Holds a stream until its origin is stored. */
export function holdStream (state: EdgeState, effect: _OriginAdded, at: Instant): EdgeStep {
  // Streams do not wait for a store that has just failed.
  if (at.nowMs - state.archive.failedAtMs < FAILURE_MEMORY_MS) return step(state, [_begin(effect.id)])
  const held = [...state.archive.held, { id: effect.id, origin: effect.origin, sinceMs: at.nowMs }]
  return writeArchive(_withArchive(state, { held }), at)
}

function _release (state: EdgeState, isDue: (held: OriginArchive['held'][number]) => boolean): EdgeStep {
  const due = state.archive.held.filter(isDue)
  if (due.length === 0) return step(state)
  return step(_withArchive(state, { held: state.archive.held.filter((held) => !due.includes(held)) }), due.map(({ id }) => _begin(id)))
}

function _begin (id: string): EdgeEffect {
  return { subject: 'serving', effect: { kind: 'begin_response', id } }
}

/** Applies the outcome of an action on the archive. */
export function applyArchiveEvent (state: EdgeState, event: ArchiveEvent, at: Instant): EdgeStep {
  switch (event.kind) {
    case 'history_read': return learnHistory(_withArchive(state, { isReading: false, storedHistory: event.value, versions: _withVersion(state.archive, HISTORY_NAME, event.version) }), _parse(event.value, Streams) ?? {}, at)
    case 'segments_read': return _applySegments(_withArchive(state, { isReading: false }), event.values, at)
    case 'read_failed': return step(_withArchive(state, { isReading: false }))
    case 'written': return chain(_finishWrite(state, event.name, event.version), (s) => writeArchive(s, at))
    case 'conflicted': return _resolveConflict(state, event, at)
    case 'write_failed': return _release(_withArchive(state, { pending: undefined, failedAtMs: at.nowMs }), () => true)
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

function _applySegments (state: EdgeState, values: readonly string[], at: Instant): EdgeStep {
  const before = state.serving.origins.newest
  const serving = applySegments(state.serving, values.map((value) => _parse(value, StoredSegment)?.streams ?? {}), at.nowMs)
  const count = serving.origins.newest - before
  const records: readonly EdgeEffect[] = count === 0 ? [] : [{ subject: 'record', record: { what: 'stream_origins_read', count } }]
  return chain(step({ ...state, serving }, records), (s) => applyServingEvent(s, { kind: 'ticked', nowMs: at.nowMs }))
}

function _finishWrite (state: EdgeState, name: string, version: number): EdgeStep {
  const { archive } = state
  const { pending } = archive
  if (pending?.name !== name) return step(state)
  const { upTo } = pending
  const written = _withArchive(state, { pending: undefined, failedAtMs: -Infinity, versions: _withVersion(archive, name, version) })
  if (upTo === undefined) return step(_withArchive(written, { storedHistory: pending.value }))
  return _release(_withArchive(written, { storedUpTo: upTo }), ({ origin }) => origin <= upTo)
}

type _Conflicted = Extract<ArchiveEvent, { kind: 'conflicted' }>

// Keeps what another holder wrote of the history, and what an earlier process of this instance has just stored in a segment.
function _resolveConflict (state: EdgeState, event: _Conflicted, at: Instant): EdgeStep {
  const { archive } = state
  const next = _withArchive(state, { pending: undefined, writtenAtMs: -Infinity, versions: _withVersion(archive, event.name, event.version) })
  if (event.name === HISTORY_NAME) return learnHistory(_withArchive(next, { storedHistory: event.value }), _parse(event.value, Streams) ?? {}, at)
  const stored = _parse(event.value, StoredSegment)
  const isRecent = stored !== undefined && Math.abs(at.clockMs - stored.atMs) < SEGMENT_MS * (SEGMENTS - 1)
  if (!isRecent || archive.segment?.name !== event.name) return writeArchive(next, at)
  return writeArchive(_withArchive(next, { segment: { ...archive.segment, kept: _merge(archive.segment.kept, stored.streams) } }), at)
}

function _merge (a: OriginSegment, b: OriginSegment): OriginSegment {
  const versions = new Set([...Object.keys(a), ...Object.keys(b)])
  return Object.fromEntries([...versions].map((version) => [version, [...new Set([...a[version] ?? [], ...b[version] ?? []])]]))
}

function _withArchive (state: EdgeState, changes: Partial<OriginArchive>): EdgeState {
  return { ...state, archive: { ...state.archive, ...changes } }
}

function _withVersion (archive: OriginArchive, name: string, version: number): OriginArchive['versions'] {
  return new Map(archive.versions).set(name, version)
}

// An object that does not exist, or that another writer made, holds nothing.
function _parse<T> (value: string, schema: Schema.Codec<T>): T | undefined {
  if (value === '') return undefined
  const parsed: unknown = JSON.parse(value)
  return Schema.is(schema)(parsed) ? parsed : undefined
}
