import { expectedKeptTokens, homeOf, nameSeed, partKeys } from '@berylshed/prompt_cache'
import { listTargets } from './_target_index.ts'
import { targetSeed } from './_target_seed.ts'
import { relayKey } from './relay.ts'
import { reportAgeMs } from './_report_age.ts'
import { latestDurationsMs } from './route_duration.ts'
import { promptOf, type Request } from './request.ts'
import type { RoutingTarget, TargetLoad } from './routing_target.ts'
import { targetLoad, type ServingState } from './serving_state.ts'
import { ownershipOf } from './upstream_owner.ts'

/** Half-life of the weight of averages, in ms; the decay lets a recovered upstream be tried again. */
const OBSERVATION_HALF_LIFE_MS = 4000
/** Half-life of what the latest responses show beyond the averages, in ms; slow phases of engines last seconds. */
const RECENT_HALF_LIFE_MS = 1000
/** Expected time to the first byte if none was observed on any upstream, in ms. */
const DEFAULT_FIRST_BYTE_MS = 40
/** Increase of the expected time to the first byte from an idle to a full upstream, as a multiple of the idle time. */
const UTILIZATION_WEIGHT = 4
/** Delay added for an upstream in another availability zone, in ms: twice the longest current round trip between zones. */
const CROSS_ZONE_PENALTY_MS = 6
/** Prompt tokens that an engine of median speed reads, per ms; the engines of the deployments read 29.4 and 38.4. */
const PREFILL_TOKENS_PER_MS = 30
/** Bounds of an engine's slowness relative to the median; beyond them its first bytes are late for other reasons than its speed. */
const [MIN_SLOWNESS, MAX_SLOWNESS] = [0.5, 2]
/** Probability that the home of parts which this instance has not seen elsewhere keeps them, as other instances send them there, if they see the same upstreams. */
const HOME_PROBABILITY = 0.5
/** Load up to which kept parts attract requests, as a multiple of the mean of the upstreams; the usual bound of bounded-load consistent hashing. */
const LOAD_BOUND = 1.25
const MS_PER_SECOND = 1000

/** What a request may expect at an upstream. */
export interface DelayEstimate {
  readonly target: RoutingTarget
  /** Expected delay if the upstream keeps no part of the prompt, in ms. */
  readonly delayMs: number
  /** Time saved by the parts that the upstream probably keeps, in ms. */
  readonly savedMs: number
  /** Expected number of tokens that are not read again. */
  readonly keptTokens: number
  /** Increase of the delay by one more running request, in ms. */
  readonly perRequestMs: number
  /** Slots that are free by the last reports. */
  readonly freeSlots: number
}

/** A request and the local time in ms for which delays are estimated. */
interface _DelayQuery {
  readonly request: Request
  readonly nowMs: number
  /** Load of each upstream; looked up if absent. */
  readonly loads?: readonly TargetLoad[]
}

/**
 * Estimates the delay of a request at each of several upstreams.
 *
 * The load addressed is that of engines which differ in speed and have slow phases of seconds. The estimate is the time to the first byte that
 * this instance observed, raised by the requests that all instances are running there, and the time to read the prompt. Streams with
 * long answers also weigh how much longer the answer takes on a slow and busy engine.
 *
 * @param state The state of the requests.
 * @param targets The upstreams.
 * @param query The request and the time.
 * @returns The estimates, in the order of the upstreams.
 *
 * @example
 * ```ts
 * const [estimate] = estimateDelays(state, targets, { request, nowMs })
 * ```
 */
export function estimateDelays (state: ServingState, targets: readonly RoutingTarget[], query: _DelayQuery): readonly DelayEstimate[] {
  const { outputTokens = 0 } = query.request
  const loads = query.loads ?? targets.map((target) => targetLoad(state, target.upstream))
  const medianMs = _median(loads.map(({ firstByteMs }) => firstByteMs)) ?? DEFAULT_FIRST_BYTE_MS
  const medianTokenMs = outputTokens === 0 ? 0 : _median(loads.map(({ tokenMs }) => tokenMs)) ?? 0
  const kept = _keptTokens(state, targets, query)
  const running = _expectedRunning(state, targets, { loads, query })
  const boundLoad = kept === undefined ? 0 : Math.ceil(LOAD_BOUND * (running.reduce((sum, count) => sum + count, 0) / Math.max(1, targets.length) + 1))
  return targets.map((target, i): DelayEstimate => {
    const load = loads[i] ?? targetLoad(state, target.upstream)
    const weight = Math.exp(-Math.LN2 * Math.max(0, query.nowMs - load.observedAtMs) / OBSERVATION_HALF_LIFE_MS)
    const firstByteMs = _firstByteMs(load, { medianMs, weight, nowMs: query.nowMs })
    const slowness = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, firstByteMs / medianMs))
    const utilization = (running[i] ?? 0) / Math.max(1, target.slots)
    const perTokenMs = slowness / PREFILL_TOKENS_PER_MS
    const keptTokens = kept !== undefined && (running[i] ?? 0) < boundLoad ? kept[i] ?? 0 : 0
    const completionMs = load.tokenMs === 0 ? 0 : outputTokens * Math.max(0, load.tokenMs - medianTokenMs) * utilization
    const zoneMs = target.availabilityZone === state.availabilityZone ? 0 : CROSS_ZONE_PENALTY_MS
    return {
      target,
      delayMs: firstByteMs * (1 + UTILIZATION_WEIGHT * utilization) + (query.request.promptTokens ?? 0) * perTokenMs + weight * load.failureShare * query.request.objectiveMs + zoneMs + completionMs + _ownerDelayMs(state, target, query.nowMs),
      savedMs: keptTokens * perTokenMs,
      keptTokens,
      perRequestMs: firstByteMs * UTILIZATION_WEIGHT / Math.max(1, target.slots),
      freeSlots: Math.max(0, target.slots - (running[i] ?? 0))
    }
  })
}

interface _RunningQuery {
  readonly loads: readonly TargetLoad[]
  readonly query: _DelayQuery
}

// Estimates the requests that run at each upstream now. Some that other instances reported have ended, and others have been sent, more of them where
// there were few: what a report tells beyond the mean of all upstreams fades with its age, as fast as requests end.
function _expectedRunning (state: ServingState, targets: readonly RoutingTarget[], { loads, query: { request, nowMs } }: _RunningQuery): readonly number[] {
  const durationsMs = latestDurationsMs(state.routeDurations, request.route)
  if (state.instances < 2 || durationsMs.length === 0) return loads.map(({ ownRequests, peerRequests }) => ownRequests + peerRequests)
  const isAllShared = state.brittle.size === 0 && state.limits.size === 0
  const durationMs = durationsMs.reduce((sum, ms) => sum + ms, 0) / durationsMs.length
  const kept = Math.exp(-reportAgeMs(state, nowMs) / Math.max(1, durationMs))
  const slots = targets.reduce((sum, target) => sum + target.slots, 0)
  const peersPerSlot = loads.reduce((sum, { peerRequests }) => sum + peerRequests, 0) / Math.max(1, slots)
  return loads.map(({ ownRequests, peerRequests }, i) => {
    const target = targets[i]
    if (target === undefined || (!isAllShared && ownershipOf(state, target, nowMs).kind !== 'shared')) return ownRequests + peerRequests
    return ownRequests + kept * peerRequests + (1 - kept) * peersPerSlot * target.slots
  })
}

// Returns the lower median of the values above 0, which stand for observations.
function _median (values: readonly number[]): number | undefined {
  const observed = new Float64Array(values.length)
  let count = 0
  for (const value of values) if (value > 0) observed[count++] = value
  return observed.subarray(0, count).sort()[Math.floor((count - 1) / 2)]
}

function _firstByteMs (load: TargetLoad, { medianMs, weight, nowMs }: { readonly medianMs: number, readonly weight: number, readonly nowMs: number }): number {
  if (load.firstByteMs === 0) return medianMs
  const recentWeight = Math.exp(-Math.LN2 * Math.max(0, nowMs - load.observedAtMs) / RECENT_HALF_LIFE_MS)
  return Math.max(1, medianMs + weight * (load.firstByteMs - medianMs) + recentWeight * (load.recentFirstByteMs - load.firstByteMs))
}

// Requests that this instance has handed to the owner of a limited upstream are served one after another.
function _ownerDelayMs (state: ServingState, target: RoutingTarget, nowMs: number): number {
  const limit = state.limits.get(target.upstream)
  if (limit === undefined || limit.perS === Infinity) return 0
  const ownership = ownershipOf(state, target, nowMs)
  if (ownership.kind !== 'elsewhere') return 0
  return (1 + targetLoad(state, relayKey(ownership.relay)).ownRequests) * MS_PER_SECOND / limit.perS
}

// Returns the tokens that each upstream probably keeps of the request's prompt; undefined if its route does not ask for it.
function _keptTokens (state: ServingState, targets: readonly RoutingTarget[], { request }: _DelayQuery): readonly number[] | undefined {
  const prompt = promptOf(request)
  if (prompt === undefined) return undefined
  const { tokens } = prompt
  const keys = partKeys(prompt)
  const othersShare = (state.instances - 1) / Math.max(1, listTargets(state.targets, request.service, undefined).length)
  const sought = { keys, tokens }
  const kept = targets.map(({ upstream, incarnation }) => {
    const parts = state.keptPrompts.get(upstream)
    return parts === undefined ? 0 : expectedKeptTokens(parts, sought, { incarnation, readTokens: state.readTokens, othersShare })
  })
  const mostKept = kept.reduce((most, count) => Math.max(most, count), 0)
  const { homes, homeSeeds } = _homesFor(state, request)
  let prefixTokens = 0
  for (const [i, key] of keys.entries()) {
    prefixTokens += tokens[i] ?? 0
    if (mostKept >= HOME_PROBABILITY * prefixTokens) continue
    const index = targets.indexOf(homes[homeOf(nameSeed(key), homeSeeds)] as RoutingTarget)
    if (index >= 0) kept[index] = Math.max(kept[index] ?? 0, HOME_PROBABILITY * prefixTokens)
  }
  return kept
}

interface _Homes {
  readonly homes: readonly RoutingTarget[]
  readonly homeSeeds: readonly number[]
}

// Lists of targets are kept until the targets change.
const knownHomes = new WeakMap<readonly RoutingTarget[], _Homes>()

function _homesFor (state: ServingState, request: Request): _Homes {
  const listed = listTargets(state.targets, request.service, request.model)
  const known = request.adapter === undefined ? knownHomes.get(listed) : undefined
  if (known !== undefined) return known
  const homes = listed.filter((target) => _offers(target, request))
  const found = { homes, homeSeeds: homes.map(targetSeed) }
  if (request.adapter === undefined && request.model !== undefined) knownHomes.set(listed, found)
  return found
}

// The home of a part depends on the placement alone, on which instances agree, and not on what this one observed.
function _offers (target: RoutingTarget, { model = '', adapter }: Request): boolean {
  const held = target.models?.get(model)
  return !target.leaving && held?.usable === true && (adapter === undefined || held.adapters.has(adapter))
}
