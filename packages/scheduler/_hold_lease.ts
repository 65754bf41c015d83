import { step, type Step } from '@berylshed/reducer'
import type { Lease } from './lease.ts'
import type { Instant } from './scheduler_event.ts'
import type { SchedulerEffect } from './scheduler_effect.ts'
import type { SchedulerState } from './scheduler_state.ts'

type _Step = Step<SchedulerState, SchedulerEffect>

/** Time between two reads of the lease while its holder is not heard, in ms. */
const READ_MS = 300
/** Time after which a holder that was not heard is looked up in the store, in ms: two exchanges. */
const UNHEARD_MS = 600
/** Time after which a holder whose address refuses connections is replaced where engines check fences, in ms. */
const REFUSED_TAKEOVER_MS = 900
/** Time between two tries of a write that failed, in ms. */
const RETRY_WRITE_MS = 300
/** Gap between two ticks from which a process must prove its lease anew during an outage of the store, in ms. */
const SUSPENDED_MS = 1000

/** Measures a time by both clocks; the longer one counts, since a suspended process sees only one move. */
export function elapsedMs (from: Instant, to: Instant): number {
  return Math.max(to.nowMs - from.nowMs, to.clockMs - from.clockMs)
}

/** Tells until when, by the steady clock, this process may send orders; undefined where it may not. */
export function orderDeadline (state: SchedulerState, at: Instant): number | undefined {
  const { held, times } = state
  if (held === undefined) return undefined
  const ageMs = elapsedMs(held.provenAt, at)
  const ttlMs = held.storeFailing ? Math.max(times.holderTtlMs, times.outageMs) : times.holderTtlMs
  return ageMs < ttlMs ? at.nowMs + ttlMs - ageMs : undefined
}

/** Renews, takes or reads the lease, whatever is due. */
export function tendLease (state: SchedulerState, at: Instant): _Step {
  const noticed = _noticeSuspension(state, at)
  if (noticed.pending !== undefined) return _repeat(noticed, at)
  if (noticed.held !== undefined) return _renew(noticed, at)
  if (noticed.stopping) return step(noticed)
  return _follow(noticed, at)
}

function _noticeSuspension (state: SchedulerState, at: Instant): SchedulerState {
  const { lastTick, held } = state
  const suspended = lastTick !== undefined && elapsedMs(lastTick, at) > SUSPENDED_MS
  if (!suspended || held === undefined) return { ...state, lastTick: at }
  return { ...state, lastTick: at, held: { ...held, storeFailing: false } }
}

function _repeat (state: SchedulerState, at: Instant): _Step {
  const { pending } = state
  if (pending === undefined || at.nowMs < pending.repeatAtMs) return step(state)
  return step({ ...state, pending: { ...pending, repeatAtMs: at.nowMs + state.times.writeTimeoutMs } }, [
    { kind: 'write_lease', expectedVersion: pending.expectedVersion, lease: pending.lease }
  ])
}

function _renew (state: SchedulerState, at: Instant): _Step {
  const { held, stopping } = state
  if (held === undefined) return step(state)
  if (stopping) return _giveUp(state, at)
  if (elapsedMs(held.provenAt, at) < state.times.renewMs) return step(state)
  return _write(state, { fence: held.fence, holder: state.self }, at)
}

// Nothing may be on its way when the lease is given up.
function _giveUp (state: SchedulerState, at: Instant): _Step {
  const sending = [...state.engines.values()].some(({ open }) => open?.phase === 'sending')
  if (sending || state.held === undefined) return step(state)
  return _write(state, { fence: state.held.fence, holder: null }, at)
}

function _write (state: SchedulerState, lease: Omit<Lease, 'writeId'>, at: Instant): _Step {
  const named: Lease = { ...lease, writeId: `${state.self.incarnation}#${state.ids}` }
  const expectedVersion = state.version ?? 0
  const pending = { lease: named, expectedVersion, startedAt: at, repeatAtMs: at.nowMs + state.times.writeTimeoutMs }
  return step({ ...state, pending, ids: state.ids + 1 }, [{ kind: 'write_lease', expectedVersion, lease: named }])
}

function _follow (state: SchedulerState, at: Instant): _Step {
  if (_isVacant(state, at)) return _write(state, { fence: (state.lease?.fence ?? 0) + 1, holder: state.self }, at)
  const heard = at.nowMs - state.heardAtMs < UNHEARD_MS
  if (heard || at.nowMs - state.readAtMs < READ_MS) return step(state)
  return step({ ...state, readAtMs: at.nowMs }, [{ kind: 'read_lease' }])
}

function _isVacant (state: SchedulerState, at: Instant): boolean {
  if (state.version === undefined) return false
  const { holder } = state.lease ?? { holder: null }
  if (holder === null) return true
  const quietMs = at.nowMs - state.movedAtMs
  // The own name under an earlier incarnation is a process that has ended.
  const ended = state.holderRefuses || holder.instance === state.self.instance
  if (ended && state.times.outageMs > 0 && quietMs >= REFUSED_TAKEOVER_MS) return true
  return quietMs >= state.times.takeoverMs
}

/** Takes over what the store says of the lease. */
export function seeLease (state: SchedulerState, seen: SeenLease, at: Instant): _Step {
  const moved = seen.version !== state.version
  const next: SchedulerState = { ...state, lease: seen.lease, version: seen.version, movedAtMs: moved ? at.nowMs : state.movedAtMs }
  const fence = seen.lease?.fence ?? 0
  if (state.held === undefined || fence <= state.held.fence) return step(next)
  return loseLease(next, `fence ${fence} was taken`)
}

/** What a read or a conflict shows of the lease. */
export interface SeenLease {
  readonly version: number
  readonly lease: Lease | undefined
}

/** Notes that another process may hold the lease. */
export function loseLease (state: SchedulerState, reason: string): _Step {
  if (state.held === undefined) return step(state)
  const { fence } = state.held
  return step({ ...state, held: undefined, pending: undefined, heardAtMs: -Infinity }, [
    { kind: 'record', record: { what: 'lease_lost', fence, reason } }
  ])
}

/** Applies a write that took effect. */
export function finishWrite (state: SchedulerState, written: { readonly writeId: string, readonly version: number }, at: Instant): _Step {
  const { pending } = state
  if (pending === undefined || pending.lease.writeId !== written.writeId) return step(state)
  const { lease, startedAt } = pending
  const seen: SchedulerState = { ...state, pending: undefined, lease, version: written.version, movedAtMs: at.nowMs }
  if (lease.holder === null) {
    return step({ ...seen, held: undefined }, [{ kind: 'record', record: { what: 'lease_given_up', fence: lease.fence } }])
  }
  const held = { fence: lease.fence, provenAt: startedAt, storeFailing: false }
  if (state.held?.fence === lease.fence) return step({ ...seen, held })
  const engines = new Map([...state.engines].map(([id, view]) => [id, { ...view, confirmed: false, stableSinceMs: Infinity, open: undefined, askedAtMs: -Infinity }]))
  return step({ ...seen, held, engines }, [
    { kind: 'record', record: { what: 'lease_taken', fence: lease.fence, ageMs: elapsedMs(startedAt, at) } }
  ])
}

/** Applies a write that met another version; its own earlier try may be that version. */
export function resolveConflict (state: SchedulerState, seen: SeenLease & { readonly writeId: string }, at: Instant): _Step {
  const { pending } = state
  if (pending === undefined || pending.lease.writeId !== seen.writeId) return step(state)
  if (seen.lease?.writeId === seen.writeId) return finishWrite(state, { writeId: seen.writeId, version: seen.version }, at)
  const shown = seeLease({ ...state, pending: undefined }, seen, at)
  const lost = loseLease(shown.state, 'a conditional update met another version')
  return step(lost.state, [...shown.effects, ...lost.effects])
}

/** Notes that a write has no outcome; the very same write is repeated. */
export function failWrite (state: SchedulerState, writeId: string, at: Instant): _Step {
  const { pending, held } = state
  if (pending === undefined || pending.lease.writeId !== writeId) return step(state)
  const failing = held === undefined ? undefined : { ...held, storeFailing: true }
  const next = { ...state, held: failing, pending: { ...pending, repeatAtMs: at.nowMs + RETRY_WRITE_MS }, movedAtMs: at.nowMs }
  if (held === undefined || held.storeFailing) return step(next)
  return step(next, [{ kind: 'record', record: { what: 'lease_overdue', fence: held.fence, ageMs: elapsedMs(held.provenAt, at) } }])
}
