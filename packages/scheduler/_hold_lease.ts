import { step, type Step } from '@berylshed/reducer'
import { elapsedMs } from './_elapsed.ts'
import { grantedMs, isSuccessor, successorsOf } from './_lease_grants.ts'
import { REPORT_TTL_MS } from './demand.ts'
import { firstFence, type Lease } from './lease.ts'
import { quarantineRecords } from './quarantine.ts'
import type { Instant } from './scheduler_event.ts'
import type { SchedulerEffect } from './scheduler_effect.ts'
import type { SchedulerState } from './scheduler_state.ts'

type _Step = Step<SchedulerState, SchedulerEffect>

/** Time after the start of a process in which the system may still be starting for the first time, in ms; instances start within a second of each other. */
const FIRST_START_MS = 8000
/** Interval between reads of the lease while its holder cannot be reached, in ms. */
const READ_INTERVAL_MS = 300
/** Minimum of that interval for each instance, in ms, so that all instances together make up to 100 reads per second. */
const READ_INTERVAL_PER_INSTANCE_MS = 10
/** Time without contact after which the lease is read from the store, in ms; two heartbeats. */
const HOLDER_CONTACT_TIMEOUT_MS = 600
/** Time after which a holder that has ended, or that nobody knows, is replaced if engines check fencing tokens, in ms. */
const REFUSED_TAKEOVER_MS = 900
/** Delay before a failed write is retried, in ms. */
const WRITE_RETRY_MS = 300
/**
 * Interval between two ticks that indicates a suspended process, in ms. During a store outage such a process must renew its
 * lease before it sends further orders.
 */
const SUSPENSION_GAP_MS = 1000
/** Additional time for which the lease of earlier builds has to be quiet, in ms; their own instances take it over first. */
const LEGACY_MARGIN_MS = 1000
/** Additional time for which an instance that reaches no engine does not take the lease, in ms. */
const ISOLATED_DELAY_MS = 3000

/** Returns the monotonic time until which this process may send orders, or undefined if it may not send any. */
export function orderDeadline (state: SchedulerState, at: Instant): number | undefined {
  const { held, times } = state
  if (held === undefined) return undefined
  const ttlMs = held.storeFailing ? Math.max(times.holderTtlMs, times.outageMs) : times.holderTtlMs
  const leftMs = Math.max(ttlMs - elapsedMs(held.renewedAt, at), grantedMs(state, at))
  return leftMs > 0 ? at.nowMs + leftMs : undefined
}

/**
 * Reports whether the holder plans orders. One that stops goes on while the store fails and so keeps it from releasing the lease;
 * once a release has been sent, another process may give orders.
 */
export function mayOrder ({ held, pending, stopping }: SchedulerState): boolean {
  if (pending?.lease.holder === null) return false
  return !stopping || held?.storeFailing === true
}

/** Performs the next step of the lease: repeats a pending write, or renews, releases, takes or reads the lease. */
export function advanceLease (state: SchedulerState, at: Instant): _Step {
  const current = _detectSuspension(state, at)
  if (current.pending !== undefined) return _repeatWrite(current, at)
  if (current.held !== undefined) return _renew(current, at)
  if (current.stopping) return step(current)
  return _followHolder(current, at)
}

function _detectSuspension (state: SchedulerState, at: Instant): SchedulerState {
  const { lastTick, held } = state
  const suspended = lastTick !== undefined && elapsedMs(lastTick, at) > SUSPENSION_GAP_MS
  if (!suspended || held === undefined) return { ...state, lastTick: at }
  return { ...state, lastTick: at, held: { ...held, storeFailing: false } }
}

function _repeatWrite (state: SchedulerState, at: Instant): _Step {
  const { pending } = state
  if (pending === undefined || at.nowMs < pending.retryAtMs) return step(state)
  return step({ ...state, pending: { ...pending, retryAtMs: at.nowMs + state.times.writeTimeoutMs } }, [
    { kind: 'write_lease', era: state.leaseEra, expectedVersion: pending.expectedVersion, lease: pending.lease }
  ])
}

function _renew (state: SchedulerState, at: Instant): _Step {
  const { held, stopping } = state
  if (held === undefined) return step(state)
  if (stopping || (state.isolated && _hasConnectedPeer(state, at))) return _release(state, at)
  if (held.fence < firstFence(state.leaseEra)) return _startWrite(state, { fence: _nextFence(state), holder: state.self }, at)
  if (elapsedMs(held.renewedAt, at) < state.times.renewMs) return step(state)
  return _startWrite(state, { fence: held.fence, holder: state.self }, at)
}

// Another instance can take the lease over and reach the engines.
function _hasConnectedPeer (state: SchedulerState, at: Instant): boolean {
  return [...state.reports.values()].some(({ report, receivedAtMs }) => {
    return report.instance !== state.self.instance && report.isolated !== true && at.nowMs - receivedAtMs < REPORT_TTL_MS
  })
}

function _nextFence (state: SchedulerState): number {
  return Math.max((state.lease?.fence ?? 0) + 1, firstFence(state.leaseEra))
}

// The lease is released only when no order is in flight.
function _release (state: SchedulerState, at: Instant): _Step {
  const inFlight = [...state.engines.values()].some(({ open }) => open?.phase === 'in_flight')
  if (inFlight || state.held === undefined) return step(state)
  return _startWrite(state, { fence: state.held.fence, holder: null }, at)
}

function _startWrite (state: SchedulerState, lease: Pick<Lease, 'fence' | 'holder'>, at: Instant): _Step {
  const successors = successorsOf(state, at)
  const newLease: Lease = { ...lease, writeId: `${state.self.incarnation}#${state.nextId}`, quarantines: quarantineRecords(state.quarantines, at.nowMs), instances: state.instances, ...successors === undefined ? {} : { successors } }
  const expectedVersion = state.leaseVersion ?? 0
  const pending = { lease: newLease, expectedVersion, startedAt: at, retryAtMs: at.nowMs + state.times.writeTimeoutMs }
  return step({ ...state, pending, nextId: state.nextId + 1 }, [{ kind: 'write_lease', era: state.leaseEra, expectedVersion, lease: newLease }])
}

function _followHolder (state: SchedulerState, at: Instant): _Step {
  if (_isLeaseVacant(state, at)) return _startWrite(state, { fence: _nextFence(state), holder: state.self }, at)
  const contacted = at.nowMs - state.holderReachedAtMs < HOLDER_CONTACT_TIMEOUT_MS
  const intervalMs = Math.max(READ_INTERVAL_MS, READ_INTERVAL_PER_INSTANCE_MS * state.instances)
  if (contacted || at.nowMs - state.leaseReadAtMs < intervalMs) return step(state)
  return step({ ...state, leaseReadAtMs: at.nowMs }, [{ kind: 'read_lease' }])
}

function _isLeaseVacant (state: SchedulerState, at: Instant): boolean {
  if (state.leaseVersion === undefined) return false
  // An instance that reaches no engine leaves the lease to others for a while.
  if (state.isolated && at.nowMs - state.quietSinceMs < state.times.takeoverMs + ISOLATED_DELAY_MS) return false
  const holder = state.lease?.holder ?? undefined
  if (holder === undefined && state.leaseVersion > 0) return true
  // A missing lease object may be one that a restored store has lost, while its holder is still active.
  const quietMs = at.nowMs - state.quietSinceMs
  if (_isFirstStart(state, at) && quietMs >= state.firstTakeoverMs) return true
  // The holder of an earlier build knows nothing of the object of this era, so two would give orders.
  if (state.legacyLease && holder !== undefined) return quietMs >= state.times.takeoverMs + LEGACY_MARGIN_MS
  // A holder with the name of this instance is an earlier process of it, which has ended.
  const holderEnded = holder === undefined || state.holderRefusesConnections || holder.instance === state.self.instance
  if (holderEnded && state.times.outageMs > 0 && quietMs >= REFUSED_TAKEOVER_MS) return true
  const mayBridge = !holderEnded && state.lease !== undefined && !isSuccessor(state, state.lease)
  return quietMs >= state.times.takeoverMs + (mayBridge ? state.times.bridgeMs : 0)
}

// Later, a missing lease object may be one that a restored store has lost.
function _isFirstStart (state: SchedulerState, at: Instant): boolean {
  return state.lease === undefined && state.leaseVersion === 0 && state.leaseEra === 0 && at.nowMs < state.startedAtMs + FIRST_START_MS
}

/** Applies the lease read from the store. */
export function observeLease (state: SchedulerState, observed: ObservedLease, at: Instant): _Step {
  const legacyLease = observed.legacy === true
  const changed = observed.version !== state.leaseVersion || (legacyLease && observed.lease?.writeId !== state.lease?.writeId)
  const next: SchedulerState = { ...state, legacyLease, lease: observed.lease ?? state.lease, leaseVersion: observed.version, quietSinceMs: changed ? at.nowMs : state.quietSinceMs }
  const fence = observed.lease?.fence ?? 0
  if (state.held === undefined || fence <= state.held.fence) return step(next)
  return loseLease(next, `fence ${fence} was taken`)
}

/** The lease object as returned by a read or a failed conditional update. */
export interface ObservedLease {
  readonly version: number
  readonly lease: Lease | undefined
  readonly legacy?: boolean
}

/**
 * Voids the lease of earlier eras after the store was restored from a copy.
 *
 * A lease written after the copy is lost, and the revision of a lost write may be given out again. The lease of the new era is
 * therefore another object, which the last holder creates at once and the other instances when they no longer hear of it.
 */
export function voidLease (state: SchedulerState, era: number, at: Instant): _Step {
  if (era <= state.leaseEra) return step(state)
  const { held } = state
  const next: SchedulerState = {
    ...state,
    leaseEra: era,
    leaseVersion: held === undefined ? undefined : 0,
    leaseReadAtMs: -Infinity,
    quietSinceMs: at.nowMs,
    pending: undefined,
    held: held === undefined ? undefined : { ...held, storeFailing: false }
  }
  if (state.leaseVersion === undefined) return step(next)
  return step(next, [{ kind: 'record', record: { what: 'lease_voided', reason: `the store entered era ${era}`, ...held === undefined ? {} : { fence: held.fence } } }])
}

/** Stops holding the lease because another process may hold it. */
export function loseLease (state: SchedulerState, reason: string): _Step {
  if (state.held === undefined) return step(state)
  const { fence } = state.held
  return step({ ...state, held: undefined, pending: undefined, holderReachedAtMs: -Infinity }, [
    { kind: 'record', record: { what: 'lease_lost', fence, reason } }
  ])
}

/** Applies a successful write of the lease. */
export function finishWrite (state: SchedulerState, written: { readonly writeId: string, readonly version: number }, at: Instant): _Step {
  const { pending } = state
  if (pending === undefined || pending.lease.writeId !== written.writeId) return step(state)
  const { lease, startedAt } = pending
  const observed: SchedulerState = { ...state, legacyLease: false, pending: undefined, lease, leaseVersion: written.version, quietSinceMs: at.nowMs }
  if (lease.holder === null) {
    return step({ ...observed, held: undefined }, [{ kind: 'record', record: { what: 'lease_given_up', fence: lease.fence } }])
  }
  const held = { fence: lease.fence, renewedAt: startedAt, storeFailing: false, successors: lease.successors ?? [] }
  if (state.held?.fence === lease.fence) return step({ ...observed, held })
  const engines = new Map([...state.engines].map(([id, view]) => [id, { ...view, confirmed: false, stableSinceMs: Infinity, open: undefined, polledAtMs: -Infinity }]))
  return step({ ...observed, held, engines }, [
    { kind: 'record', record: { what: 'lease_taken', fence: lease.fence, ageMs: elapsedMs(startedAt, at) } }
  ])
}

/** Applies a write that met another version, which may be the result of an earlier attempt of the same write. */
export function resolveConflict (state: SchedulerState, observed: ObservedLease & { readonly writeId: string }, at: Instant): _Step {
  const { pending } = state
  if (pending === undefined || pending.lease.writeId !== observed.writeId) return step(state)
  if (observed.lease?.writeId === observed.writeId) return finishWrite(state, { writeId: observed.writeId, version: observed.version }, at)
  const applied = observeLease({ ...state, pending: undefined }, observed, at)
  const lost = loseLease(applied.state, 'a conditional update met another version')
  return step(lost.state, [...applied.effects, ...lost.effects])
}

/** Records a write with an unknown outcome; the identical write is repeated later. */
export function failWrite (state: SchedulerState, writeId: string, at: Instant): _Step {
  const { pending, held } = state
  if (pending === undefined || pending.lease.writeId !== writeId) return step(state)
  const failing = held === undefined ? undefined : { ...held, storeFailing: true }
  const next = { ...state, held: failing, pending: { ...pending, retryAtMs: at.nowMs + WRITE_RETRY_MS }, quietSinceMs: at.nowMs }
  if (held === undefined || held.storeFailing) return step(next)
  return step(next, [{ kind: 'record', record: { what: 'lease_overdue', fence: held.fence, ageMs: elapsedMs(held.renewedAt, at) } }])
}
