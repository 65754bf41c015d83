import { HashMap } from 'effect'
import type { RoutingTarget } from './routing_target.ts'
import { reduceServing } from './reduce_serving.ts'
import type { ReceivedRequest } from './request.ts'
import type { ServingEffect } from './serving_effect.ts'
import type { ServingEvent } from './serving_event.ts'
import { newServingState, type ServingState } from './serving_state.ts'

/** Builds a request to a plain service that arrives at time 0. */
export function testRequest (id: string, changes: Partial<ReceivedRequest> = {}): ReceivedRequest {
  return {
    id,
    callerId: `caller-${id}`,
    fingerprint: `fingerprint-${id}`,
    promptParts: [],
    resumedAttempt: undefined,
    route: 'lookups',
    service: 'orders',
    model: undefined,
    adapter: undefined,
    stream: false,
    retryable: true,
    maxRuns: 2,
    rank: 1,
    objectiveMs: 200,
    arrivedAtMs: 0,
    deadlineMs: 1000,
    ...changes
  }
}

/** Builds an upstream of the plain service. */
export function testTarget (upstream: string, changes: Partial<RoutingTarget> = {}): RoutingTarget {
  return { upstream, service: 'orders', incarnation: 1, softwareVersion: 'v1', availabilityZone: 'a', slots: 2, leaving: false, models: undefined, ...changes }
}

/** Builds an engine that holds models, each with its adapters. */
export function testEngineTarget (upstream: string, models: Readonly<Record<string, readonly string[]>>, usable = true): RoutingTarget {
  return testTarget(upstream, {
    service: 'drafts', slots: 16, models: new Map(Object.entries(models).map(([model, adapters]) => [model, { usable, adapters: new Set(adapters) }]))
  })
}

/** Runs the reducer of an instance's requests and keeps its state and records. */
export interface ServingHarness {
  state (): ServingState
  /** Applies an event and returns a summary of each effect except records and reports to other instances. */
  apply (event: ServingEvent): readonly string[]
  /** Lists the decisions recorded so far, each with its reason. */
  records (): readonly string[]
}

const UNREPORTED_EFFECTS: ReadonlyArray<ServingEffect['kind']> = ['record', 'evidence_changed', 'limits_changed', 'failure_observed']

/** Creates a harness for an instance to which the given upstreams are available. */
export function newServingHarness (targets: readonly RoutingTarget[], retryBudget = { ratio: 0.2, minRetries: 40, windowMs: 10_000 }, phase = 1, instance = ''): ServingHarness {
  const records: string[] = []
  let state = newServingState({ availabilityZone: 'a', retryBudget, phase, instance })
  function apply (event: ServingEvent): readonly string[] {
    const reduced = reduceServing(state, event)
    state = reduced.state
    for (const effect of reduced.effects) if (effect.kind === 'record') records.push(`${effect.record.what} ${effect.record.reason ?? ''}`.trim())
    return reduced.effects.filter((effect) => !UNREPORTED_EFFECTS.includes(effect.kind)).map(summarizeEffect)
  }
  apply({ kind: 'targets_changed', targets: new Map(targets.map((target) => [target.upstream, target])), loadEstimatesMs: new Map(), version: 1, nowMs: 0 })
  return { state: () => state, apply, records: () => records }
}

function summarizeEffect (effect: ServingEffect): string {
  switch (effect.kind) {
    case 'send': return `send ${effect.request.id}#${effect.attempt} to ${effect.upstream}`
    case 'refuse': return `refuse ${effect.id} ${effect.refusal.status} ${effect.refusal.reason}${effect.refusal.notRun ? ' not run' : ''}`
    case 'cancel': return `cancel ${effect.id}#${effect.attempt}`
    case 'probe': return `probe ${effect.upstream}`
    case 'finish':
    case 'abort': return `${effect.kind} ${effect.id}`
    default: return effect.kind
  }
}

/** Returns the number of requests without an outcome. */
export function openRequests (harness: ServingHarness): number {
  return HashMap.size(harness.state().requests)
}
