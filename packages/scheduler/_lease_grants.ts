import { elapsedMs } from './_elapsed.ts'
import type { Lease, LeaseGrant, Successor } from './lease.ts'
import type { Instant } from './scheduler_event.ts'
import type { SchedulerState } from './scheduler_state.ts'
import { REPORT_TTL_MS } from './demand.ts'

/**
 * Returns the processes that the next write of the lease allows to take it over early: those that report to this one.
 *
 * The first write of a holder also names those of the lease before.
 *
 * @param state The state of the holder.
 * @param at The current time by both clocks.
 * @returns The processes; undefined if engines check fencing tokens, so that early takeovers do no harm.
 */
export function successorsOf (state: SchedulerState, at: Instant): readonly Successor[] | undefined {
  if (state.times.bridgeMs === 0) return undefined
  const reporting = [...state.reports.values()]
    .filter(({ report, receivedAtMs }) => report.instance !== state.self.instance && at.nowMs - receivedAtMs < REPORT_TTL_MS)
    .map(({ report }) => report.incarnation)
  // Nobody has reported to a new holder yet, which may end before its next write.
  const inherited = state.held === undefined ? state.lease?.successors ?? [] : []
  return [...new Set([...reporting, ...inherited])].filter((successor) => successor !== state.self.incarnation)
}

/**
 * Returns how long the holder may go on without the store, because every process that may take the lease over has granted
 * it the time.
 *
 * A successor of an earlier list counts until the write of the next list is confirmed, as either may be in force.
 *
 * @param state The state of the holder.
 * @param at The current time by both clocks.
 * @returns The time in ms, 0 or less if it may not go on.
 */
export function grantedMs (state: SchedulerState, at: Instant): number {
  const { held, pending, grants, times } = state
  if (held === undefined || !held.storeFailing || times.bridgeMs === 0) return 0
  const ages = [...held.successors, ...pending?.lease.successors ?? []].map((successor) => {
    const grant = grants.get(successor)
    if (grant === undefined) return Infinity
    return grant.isFinal ? 0 : elapsedMs(grant.stamp, at)
  })
  return Math.min(times.holderTtlMs - Math.max(0, ...ages), times.bridgeMs - elapsedMs(held.renewedAt, at))
}

/**
 * Reports whether this process may take a lease over early.
 *
 * A process of which the holder did not know may only do so once the holder has surely stopped, as it granted no time.
 *
 * @param state The state of the process.
 * @param lease The lease in force.
 * @returns Whether the holder needs a grant of this process to go on without the store.
 */
export function isSuccessor (state: SchedulerState, lease: Lease): boolean {
  if (lease.successors === undefined) return true
  return (state.leaseVersion ?? 0) > 0 && lease.successors.includes(state.self.incarnation)
}

/**
 * Notes what a process grants to this one; an older grant that arrives late changes nothing.
 *
 * @param state The state of the holder.
 * @param successor The process.
 * @param grant The grant, if it makes one.
 * @returns The next state.
 */
export function noteGrant (state: SchedulerState, successor: Successor, grant: LeaseGrant | undefined): SchedulerState {
  if (state.times.bridgeMs === 0) return state
  const known = state.grants.get(successor)
  if (grant === undefined || (known !== undefined && (known.isFinal || known.stamp.nowMs >= grant.stamp.nowMs))) return state
  const live = new Set([...state.reports.values()].map(({ report }) => report.incarnation))
  return { ...state, grants: new Map([...state.grants].filter(([incarnation]) => live.has(incarnation))).set(successor, grant) }
}

/**
 * Notes an answer of the lease holder, which renews the time that this process grants it.
 *
 * A process that has sent a write to take the lease over grants nothing, as the write may yet be carried out.
 *
 * @param state The state of the process, in which the time since the last contact has just begun anew.
 * @param answer The answer, unless an earlier release sent it.
 * @returns The next state.
 */
export function noteStamp (state: SchedulerState, answer: SchedulerState['grantedSince']): SchedulerState {
  return answer === undefined || state.pending !== undefined || state.held !== undefined ? state : { ...state, grantedSince: answer }
}

/**
 * Returns what this process grants to the lease holder.
 *
 * @param state The state of the process.
 * @returns The holder's incarnation and the grant; undefined if there is none.
 *
 * @example
 * ```ts
 * const grant = leaseGrant(state)
 * ```
 */
export function leaseGrant (state: SchedulerState): (LeaseGrant & { readonly holder: string }) | undefined {
  const { grantedSince, pending, stopping } = state
  return grantedSince === undefined || pending !== undefined ? undefined : { ...grantedSince, isFinal: stopping }
}
