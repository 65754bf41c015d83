import { HashMap, Option } from 'effect'
import { reduceClaims, type ClaimsEffect, type ClaimsEvent, type Operation, type OperationAnswer } from '@berylshed/claims'
import { liveEntries, reduceMembership, type MembershipEvent } from '@berylshed/membership'
import { isHolder, reducePlacement, type PlacementShard, type Demand, type PlacementEffect, type PlacementEvent } from '@berylshed/placement'
import { step, type Step } from '@berylshed/reducer'
import { reduceRequests, type ClaimAnswer, type PermitAnswer, type RequestEffect, type RequestEvent, type Residency } from '@berylshed/requests'
import { claimOperation, requestIdOf } from './_claim_operation.ts'
import { modelUses } from './_model_uses.ts'
import { buildRules } from './deployment.ts'
import type { InstanceEffect } from './instance_effect.ts'
import type { InstanceEvent, LoadReport } from './instance_event.ts'
import type { InstanceState } from './instance_state.ts'

/** Interval between heartbeats to the lease holder, in ms. */
const HEARTBEAT_MS = 1000
/** Minimum interval between ticks of placement, requests and membership, in ms; claims receive every tick. */
const MIN_TICK_MS = 90

type _Step = Step<InstanceState, InstanceEffect>

/**
 * Applies one event to the state of an entry instance.
 *
 * Effects that one reducer of the instance addresses to another are applied within the same step.
 *
 * @param state The current state.
 * @param event The event to apply.
 * @returns The next state and the effects to carry out.
 *
 * @example
 * ```ts
 * const { state, effects } = reduceInstance(before, { subject: 'tick', nowMs: 0, clockMs: Date.now(), random: 0.5 })
 * ```
 */
export function reduceInstance (state: InstanceState, event: InstanceEvent): _Step {
  switch (event.subject) {
    case 'placement': return _reducePlacementEvent(state, event.event)
    case 'requests': return _reduceRequestEvent(state, event.event)
    case 'claims': return _reduceClaimsEvent(state, event.event)
    case 'membership': return _reduceMembershipEvent(state, event.event)
    case 'deployment': return _applyDeployment(state, event)
    case 'reports': return _applyLoadReports(state, event.reports, event.nowMs)
    case 'tick': return _tick(state, event)
    case 'draining': return _drain(state, event.nowMs)
  }
}

function _chain (first: _Step, next: (state: InstanceState) => _Step): _Step {
  const second = next(first.state)
  return step(second.state, [...first.effects, ...second.effects])
}

function _reducePlacementEvent (state: InstanceState, event: PlacementEvent): _Step {
  const reduced = reducePlacement(state.placement, event)
  const next = { ...state, placement: reduced.state }
  const handled = reduced.effects.reduce<_Step>(
    (previous, effect) => _chain(previous, (s) => _routePlacementEffect(s, effect, event.nowMs)), step(next))
  if (event.kind !== 'status_reported') return handled
  const report = { upstream: event.upstream, running: event.status.running, leaving: event.status.leaving }
  return _chain(handled, (s) => _applyLoadReports(s, [report], event.nowMs))
}

function _routePlacementEffect (state: InstanceState, effect: PlacementEffect, nowMs: number): _Step {
  if (effect.kind === 'placement_changed') {
    return _reduceRequestEvent(state, { kind: 'residency_changed', residencies: _toResidencies(effect.shard), nowMs })
  }
  if (effect.kind === 'answer_demand' && effect.call === LOCAL_CALL) {
    return _reduceRequestEvent(state, { kind: 'estimate_received', ...effect.estimate, nowMs })
  }
  return step(state, [{ subject: 'placement', effect }])
}

function _toResidencies (shard: PlacementShard): readonly Residency[] {
  const upstreams = new Map<string, string[]>()
  for (const replica of shard.replicas) {
    if (replica.phase !== 'loaded') continue
    upstreams.set(replica.model, [...upstreams.get(replica.model) ?? [], replica.upstream])
  }
  return [...upstreams].map(([model, names]) => ({ model, upstreams: names }))
}

/** Call id of a demand that this instance makes on itself as the lease holder. */
const LOCAL_CALL = 'local'

function _reduceRequestEvent (state: InstanceState, event: RequestEvent): _Step {
  const reduced = reduceRequests(state.requests, event)
  const next = { ...state, requests: reduced.state }
  return reduced.effects.reduce<_Step>(
    (previous, effect) => _chain(previous, (s) => _routeRequestEffect(s, effect, event.nowMs)), step(next))
}

function _routeRequestEffect (state: InstanceState, effect: RequestEffect, nowMs: number): _Step {
  switch (effect.kind) {
    case 'demand': return _sendDemand(state, { instance: state.self.name, ...effect }, nowMs)
    case 'claim':
    case 'settle_claim':
    case 'release_claim':
    case 'record_crash':
    case 'request_permit':
    case 'yield_permit':
    case 'clear_suspect': {
      const operation = claimOperation(effect, {
        incarnation: state.self.incarnation, nowMs, operationNumber: state.operationCount, hash: state.requests.hash
      })
      const sent = _sendOperation({ ...state, operationCount: state.operationCount + 1 }, operation, nowMs)
      return effect.kind === 'record_crash' ? _chain(sent, (s) => _warnPeers(s, effect.request.fingerprint, nowMs)) : sent
    }
    default: return step(state, [{ subject: 'requests', effect }])
  }
}

function _sendDemand (state: InstanceState, demand: Demand, nowMs: number): _Step {
  if (isHolder(state.placement)) return _reducePlacementEvent(state, { kind: 'demand_received', call: LOCAL_CALL, demand, nowMs })
  const to = state.placement.shard?.holder?.address
  return to === undefined ? step(state) : step(state, [{ subject: 'demand', to, demand }])
}

// Rendezvous hashing sends the operations on a shard to one instance, which batches them into shared writes.
// Any other instance may process them as well.
function _sendOperation (state: InstanceState, operation: Operation, nowMs: number): _Step {
  const owner = liveEntries(state.membership, nowMs).reduce((best, entry) => {
    const weight = (name: string): number => state.requests.hash(`${operation.shard}\n${name}`)
    return weight(entry.name) > weight(best.name) ? entry : best
  }, state.self)
  return step(state, [{ subject: 'operate', to: owner.incarnation === state.self.incarnation ? '' : owner.address, operation }])
}

// A repeated request may reach any instance before that instance reads the crash from the store.
function _warnPeers (state: InstanceState, fingerprint: string, nowMs: number): _Step {
  const others = liveEntries(state.membership, nowMs).filter((entry) => entry.incarnation !== state.self.incarnation)
  return step(state, others.map((entry): InstanceEffect => ({ subject: 'warn', to: entry.address, fingerprint })))
}

function _reduceClaimsEvent (state: InstanceState, event: ClaimsEvent): _Step {
  const reduced = reduceClaims(state.claims, event)
  const next = { ...state, claims: reduced.state }
  return step(next, reduced.effects.map((effect: ClaimsEffect) => ({ subject: 'claims', effect })))
}

/**
 * Returns the event that reports the answer of an operation to its request.
 *
 * @param operation The operation that was answered.
 * @param answer The answer to the operation.
 * @param options Time, randomness and liveness of incarnations.
 * @returns The event, or undefined if no request waits for the answer.
 *
 * @example
 * ```ts
 * const event = operationEvent(operation, { kind: 'granted' }, { nowMs: 0, random: 0.5, isLive: () => true })
 * ```
 */
export function operationEvent (operation: Operation, answer: OperationAnswer, options: OperationEventOptions): RequestEvent | undefined {
  const id = requestIdOf(operation)
  if (operation.kind === 'claim') return { kind: 'claim_answered', id, answer: _toClaimAnswer(answer, options), nowMs: options.nowMs }
  if (operation.kind === 'permit') return { kind: 'permit_answered', id, answer: _toPermitAnswer(answer), ...options }
  return undefined
}

/** Options for `operationEvent`. */
export interface OperationEventOptions {
  /** Local time in ms. */
  readonly nowMs: number
  /** Random number from 0 up to 1. */
  readonly random: number
  /** Reports whether an incarnation is believed to be live. */
  isLive (incarnation: string): boolean
}

function _toClaimAnswer (answer: OperationAnswer, options: OperationEventOptions): ClaimAnswer {
  switch (answer.kind) {
    case 'busy': return options.isLive(answer.holder) ? { kind: 'busy' } : { kind: 'unknown' }
    case 'done':
    case 'refused': return { kind: 'unavailable' }
    default: return answer
  }
}

function _toPermitAnswer (answer: OperationAnswer): PermitAnswer {
  if (answer.kind === 'granted' || answer.kind === 'busy' || answer.kind === 'refused') return answer.kind
  return 'unavailable'
}

function _reduceMembershipEvent (state: InstanceState, event: MembershipEvent): _Step {
  const reduced = reduceMembership(state.membership, event)
  const liveInstances = liveEntries(reduced.state, event.nowMs).length
  const next = { ...state, membership: reduced.state }
  const effects = reduced.effects.map((effect): InstanceEffect => ({ subject: 'membership', effect }))
  if (liveInstances === state.requests.instanceCount || liveInstances === 0) return step(next, effects)
  return _chain(step(next, effects), (s) => _reduceRequestEvent(s, {
    kind: 'rules_changed', rules: s.requests.rules, instanceCount: liveInstances, nowMs: event.nowMs
  }))
}

type _DeploymentEvent = Extract<InstanceEvent, { subject: 'deployment' }>

// An older configuration never replaces the one in force: versions arrive in any order, from the store and from peers.
function _applyDeployment (state: InstanceState, event: _DeploymentEvent): _Step {
  const { deployment, nowMs } = event
  if (state.deployment !== undefined && deployment.version <= state.deployment.version) return step(state)
  const rules = buildRules(deployment, state.settings)
  const deployed = _reduceRequestEvent({ ...state, deployment }, { kind: 'rules_changed', rules, instanceCount: state.requests.instanceCount, nowMs })
  const placed = _chain(deployed, (s) => _reducePlacementEvent(s, { kind: 'catalog_changed', catalog: deployment.catalog, nowMs }))
  return _chain(placed, (s) => _reduceMembershipEvent(s, { kind: 'configuration_applied', version: deployment.version, nowMs }))
}

function _applyLoadReports (state: InstanceState, reports: readonly LoadReport[], nowMs: number): _Step {
  return reports.reduce<_Step>((previous, report) => _chain(previous, (s) => _reduceRequestEvent(s, {
    kind: 'upstream_reported', ...report, nowMs
  })), step(state))
}

type _TickEvent = Extract<InstanceEvent, { subject: 'tick' }>

function _tick (state: InstanceState, event: _TickEvent): _Step {
  const { nowMs, clockMs, random } = event
  const claimed = _reduceClaimsEvent(state, { kind: 'ticked', nowMs, clockMs })
  if (nowMs - state.lastTickMs < MIN_TICK_MS) return claimed
  const ticked = _chain(claimed, (s) => _reducePlacementEvent({ ...s, lastTickMs: nowMs }, { kind: 'ticked', nowMs, random }))
  const routed = _chain(ticked, (s) => _reduceRequestEvent(s, { kind: 'ticked', nowMs }))
  const gossiped = _chain(routed, (s) => _reduceMembershipEvent(s, { kind: 'ticked', nowMs, random }))
  return _chain(gossiped, (s) => _sendHeartbeat(s, nowMs))
}

function _sendHeartbeat (state: InstanceState, nowMs: number): _Step {
  const holder = state.placement.shard?.holder
  if (nowMs - state.lastHeartbeatMs < HEARTBEAT_MS || holder === undefined || holder === null) return step(state)
  const uses = modelUses(state.requests, nowMs)
  const next = { ...state, lastHeartbeatMs: nowMs }
  if (!isHolder(state.placement)) return step(next, [{ subject: 'heartbeat', to: holder.address, uses }])
  return _reducePlacementEvent(next, { kind: 'usage_reported', instance: state.self.name, uses, nowMs })
}

function _drain (state: InstanceState, nowMs: number): _Step {
  const requests = _reduceRequestEvent(state, { kind: 'draining', nowMs })
  const placement = _chain(requests, (s) => _reducePlacementEvent(s, { kind: 'stopping', nowMs }))
  return _chain(placement, (s) => _reduceMembershipEvent(s, { kind: 'leaving', nowMs }))
}

/**
 * Lists the upstream loads that the lease holder returns in answer to a heartbeat.
 *
 * @param state The state of the lease holder.
 * @returns One report per upstream that has answered a probe.
 *
 * @example
 * ```ts
 * console.log(loadReports(state).length)
 * ```
 */
export function loadReports (state: InstanceState): readonly LoadReport[] {
  return HashMap.toEntries(state.placement.reports).map(([upstream, report]) => ({
    upstream, running: report.status.running, leaving: report.status.leaving
  }))
}

/**
 * Counts the requests that have no outcome yet.
 *
 * @param state The state of the instance.
 * @returns The number of open requests.
 *
 * @example
 * ```ts
 * console.log(countOpenRequests(state)) // 0
 * ```
 */
export function countOpenRequests (state: InstanceState): number {
  return HashMap.size(state.requests.requests)
}

/**
 * Returns the customer that an API key belongs to.
 *
 * @param state The state of the instance.
 * @param digest The SHA-256 digest of the key in hexadecimal digits.
 * @returns The resolved customer, or undefined if the key is unknown.
 *
 * @example
 * ```ts
 * const customer = customerByKeyDigest(state, digest)
 * ```
 */
export function customerByKeyDigest (state: InstanceState, digest: string): ReturnType<NonNullable<InstanceState['deployment']>['customers']['get']> {
  const name = Option.fromNullishOr(state.deployment?.customerByKey.get(digest))
  return Option.isNone(name) ? undefined : state.deployment?.customers.get(name.value)
}
