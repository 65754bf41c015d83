import { createHash } from 'node:crypto'
import type { Relay } from './relay.ts'
import type { RoutingTarget } from './routing_target.ts'
import { targetLoad, type ServingState } from './serving_state.ts'

/** Time for which a new owner waits until the former one has learnt of it and its requests have been reported, in ms: three heartbeats. */
const CHANGE_MS = 600
/** Time after the last confirmation until which a list of members is valid, in ms; the holder drops a silent member later. */
const MEMBERS_TTL_MS = 1200
/** Maximum age of the last report of a member when the lease holder makes a list, in ms. */
const MAX_REPORT_AGE_MS = 1500
/** Time after which upstreams that became brittle may let fewer requests wait, in ms; below the shortest notice of the deployments. */
const BRITTLE_NOTICE_MS = 1000
/** Number of instances per owner of a plain service; few owners can use the slots of all upstreams for any request. */
const INSTANCES_PER_OWNER = 64
/** Part of the rejections that upstreams bear which instances without an owner risk; the rest covers phases that happen to meet. */
const RISKED_SHARE = 1 / 3
const MS_PER_SECOND = 1000

/** The instances among which upstreams are divided, as the lease holder lists them. */
export interface Members {
  /** The instances, by name. */
  readonly relays: readonly Relay[]
  /** The list before the last change. */
  readonly previous: readonly Relay[]
  /** Local time of the last change, in ms. */
  readonly changedAtMs: number
  /** Local time up to which the lease holder is known to stand by the list, in ms. */
  readonly confirmedAtMs: number
}

/** Members of an instance that has not heard of a lease holder. */
export const NO_MEMBERS: Members = { relays: [], previous: [], changedAtMs: -Infinity, confirmedAtMs: -Infinity }

/** Who may send requests to an upstream. */
export type Ownership =
  /** Every instance. */
  | { readonly kind: 'shared' }
  /** This instance alone. */
  | { readonly kind: 'own' }
  /** This instance alone, once the former owner has stopped. */
  | { readonly kind: 'pending' }
  /** Another instance alone. */
  | { readonly kind: 'elsewhere', readonly relay: Relay }
  /** Every instance as little as all of them together may, as no owner is known. */
  | { readonly kind: 'unowned' }

const SHARED: Ownership = { kind: 'shared' }

/**
 * Returns the digest by which two instances compare their lists of members.
 *
 * @param relays The members.
 * @returns The digest.
 *
 * @example
 * ```ts
 * const isKnown = membersDigest(state.members.relays) === request.members
 * ```
 */
export function membersDigest (relays: readonly Relay[]): string {
  return createHash('sha256').update(relays.map(({ instance, address }) => `${instance} ${address}`).join('\n')).digest('base64url').slice(0, 12)
}

/**
 * Applies a list of members that the lease holder stands by.
 *
 * @param members The members so far.
 * @param relays The list.
 * @param at The local time, and the local time up to which the holder stands by the list, both in ms.
 * @returns The members.
 *
 * @example
 * ```ts
 * const members = confirmMembers(state.members, relays, { nowMs, confirmedAtMs: sentAtMs })
 * ```
 */
export function confirmMembers (members: Members, relays: readonly Relay[], at: { readonly nowMs: number, readonly confirmedAtMs: number }): Members {
  const confirmedAtMs = Math.max(members.confirmedAtMs, at.confirmedAtMs)
  const isSame = relays.length === members.relays.length && relays.every(({ instance, address }, i) => members.relays[i]?.instance === instance && members.relays[i]?.address === address)
  if (isSame) return { ...members, confirmedAtMs }
  // A change within the time of another one does not shorten the wait for the first owner.
  const previous = at.nowMs - members.changedAtMs < CHANGE_MS ? members.previous : members.relays
  return { relays, previous, changedAtMs: at.nowMs, confirmedAtMs }
}

/**
 * Reports whether an instance is known to have run since a time, as it has reported to the lease holder.
 *
 * @param state The state of the requests.
 * @param instance The name of the instance.
 * @param sinceMs The local time in ms.
 * @returns Whether it is on a list of members that the holder made from later reports.
 *
 * @example
 * ```ts
 * if (hasReportedSince(state, 'entry-2', attempt.sentAtMs)) wait()
 * ```
 */
export function hasReportedSince ({ members }: ServingState, instance: string, sinceMs: number): boolean {
  return members.confirmedAtMs - MAX_REPORT_AGE_MS > sinceMs && members.relays.some((relay) => relay.instance === instance)
}

/**
 * Tells who may send requests to an upstream.
 *
 * What each instance may do at least once adds up over all instances. An upstream that bears few rejections, or takes fewer requests
 * a second than there are instances, therefore gets its requests from one instance, to which the others hand theirs over.
 *
 * @param state The state of the requests.
 * @param target The upstream.
 * @param nowMs The local time in ms.
 * @returns Who may send to the upstream.
 *
 * @example
 * ```ts
 * if (ownershipOf(state, target, nowMs).kind === 'own') send()
 * ```
 */
export function ownershipOf (state: ServingState, target: RoutingTarget, nowMs: number): Ownership {
  if (state.brittle.size === 0 && state.limits.size === 0) return SHARED
  const brittle = brittleService(state, target, nowMs)
  if (brittle === undefined && !_isLimitScarce(state, target)) return SHARED
  const { members } = state
  if (members.relays.length === 0 || nowMs - members.confirmedAtMs >= MEMBERS_TTL_MS) return { kind: 'unowned' }
  if (brittle !== undefined && nowMs - brittle.sinceMs < BRITTLE_NOTICE_MS && !_isLimitScarce(state, target)) return { kind: 'shared' }
  const owner = _ownerAmong(members.relays, target)
  if (owner === undefined) return { kind: 'unowned' }
  if (owner.instance !== state.instance) return { kind: 'elsewhere', relay: owner }
  const isChanging = nowMs - members.changedAtMs < CHANGE_MS && _ownerAmong(members.previous, target)?.instance !== state.instance
  return { kind: isChanging ? 'pending' : 'own' }
}

/**
 * Returns the service of an upstream if it is brittle.
 *
 * @param state The state of the requests.
 * @param target The upstream.
 * @param nowMs The local time in ms.
 * @returns The brittle service, or undefined if its upstreams bear rejections.
 *
 * @example
 * ```ts
 * const maxRejectionsPerS = brittleService(state, target, nowMs)?.maxRejectionsPerS
 * ```
 */
export function brittleService (state: ServingState, target: RoutingTarget, nowMs: number) {
  const brittle = state.brittle.get(target.service)
  return brittle === undefined || brittle.untilMs <= nowMs ? undefined : brittle
}

/**
 * Reports whether this instance may send a brittle upstream without a known owner a request that may be rejected.
 *
 * All instances together send no more of them in a second than the upstream bears. The first ones are spread by the phases of the
 * instances, as all of them lose the owner at about the same time.
 *
 * @param state The state of the requests.
 * @param target The upstream.
 * @param nowMs The local time in ms.
 * @returns Whether the request may be sent now.
 *
 * @example
 * ```ts
 * const available = targets.filter((target) => isRiskAllowed(state, target, nowMs))
 * ```
 */
export function isRiskAllowed (state: ServingState, target: RoutingTarget, nowMs: number): boolean {
  const brittle = brittleService(state, target, nowMs)
  if (brittle === undefined) return true
  const load = targetLoad(state, target.upstream)
  const intervalMs = MS_PER_SECOND * state.instances / (RISKED_SHARE * Math.max(1, brittle.maxRejectionsPerS))
  const unownedSinceMs = Math.max(brittle.sinceMs, state.members.confirmedAtMs + MEMBERS_TTL_MS)
  return load.unanswered === 0 && nowMs >= unownedSinceMs + state.phase * intervalMs && nowMs >= load.sentAtMs + intervalMs
}

/**
 * Returns the instance to which an upstream's limit belongs as a whole.
 *
 * @param state The state of the requests.
 * @param upstream The upstream's id.
 * @returns The instance, or undefined if the limit is shared.
 *
 * @example
 * ```ts
 * const share = limitOwner(state, 'u1')?.instance === self ? 1 : 0
 * ```
 */
export function limitOwner (state: ServingState, upstream: string): Relay | undefined {
  const target = state.targets.get(upstream)
  return target !== undefined && _isLimitScarce(state, target) ? _ownerAmong(state.members.relays, target) : undefined
}

function _isLimitScarce (state: ServingState, target: RoutingTarget): boolean {
  const limit = state.limits.get(target.upstream)
  return limit !== undefined && limit.perS < state.instances
}

const knownOwners = new WeakMap<readonly Relay[], Map<string, Relay | undefined>>()

// Rendezvous hashing: instances with the same list agree, and a change of the list moves few upstreams.
function _ownerAmong (relays: readonly Relay[], target: RoutingTarget): Relay | undefined {
  const owners = knownOwners.get(relays) ?? new Map<string, Relay | undefined>()
  knownOwners.set(relays, owners)
  const key = `${target.service} ${target.upstream}`
  const known = owners.get(key)
  if (known !== undefined) return known
  const candidates = target.models === undefined ? _ranked(relays, target.service).slice(0, Math.ceil(relays.length / INSTANCES_PER_OWNER)) : relays
  const [owner] = _ranked(candidates, target.upstream)
  owners.set(key, owner)
  return owner
}

function _ranked (relays: readonly Relay[], name: string): readonly Relay[] {
  const ranked = relays.map((relay) => ({ relay, rank: createHash('sha256').update(`${name} ${relay.instance}`).digest('hex') }))
  return ranked.sort((a, b) => a.rank < b.rank ? -1 : 1).map(({ relay }) => relay)
}
