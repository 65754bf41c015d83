import { applyRegistrationChanges, NO_UPSTREAMS, type Configuration, type Upstream } from '@berylshed/fleet'
import type { Instant } from '@berylshed/scheduler'
import { newEdgeState, type EdgeState } from './edge_state.ts'
import type { EdgeEvent } from './edge_event.ts'
import type { HeartbeatRequest } from './heartbeat.ts'
import { reduceEdge } from './reduce_edge.ts'

/** An engine that holds one model. */
export const upstream: Upstream = {
  id: 'e1', service: 'drafts', address: '10.0.0.1:80', availabilityZone: 'a', incarnation: 1, softwareVersion: 'v1', slots: 16, leaving: false, residents: [{ model: 'm', adapters: [] }], copies: { inMemory: [], onDisk: ['m'] }
}
/** A configuration with one service of engines. */
export const configuration: Configuration = {
  version: 4,
  routes: [],
  services: new Map([['drafts', { name: 'drafts', engine: { slots: 16, memoryMb: 80, adapterPlaces: 2, loadsPerSecond: 3, models: new Map() } }]]),
  limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
}

/** The heartbeat of an instance that has nothing to report and knows nothing. */
export const EMPTY_HEARTBEAT: HeartbeatRequest = {
  report: { instance: 'other', incarnation: 'other', unmetDemand: [], requestRates: [], loads: [], adapters: [] },
  configurationVersion: 0,
  listRevision: 0,
  receivedView: { holder: '', version: 0 },
  receivedEvidence: { origin: '', version: 0 },
  receivedOrigins: { origin: '', version: 0 },
  origins: undefined,
  wantedOrigins: [],
  historyKnown: true,
  evidence: undefined,
  limits: [],
  brittle: [],
  members: '',
  grant: undefined,
  update: undefined
}

/** Returns an instant at which both clocks show the same. */
export function at (nowMs: number): Instant {
  return { nowMs, clockMs: nowMs }
}

/** Returns the state of an instance that knows nothing yet. */
export function start (name: string): EdgeState {
  return newEdgeState({ instance: name, incarnation: name, address: name }, {
    availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 }, leaseBounds: { enginesCheckFence: true, holderChangeMs: 3000 }
  })
}

/** Applies events and drops their effects. */
export function apply (state: EdgeState, ...events: readonly EdgeEvent[]): EdgeState {
  return events.reduce((known, event) => reduceEdge(known, event).state, state)
}

/** Returns a lease holder that last read the store at 1,000 ms. */
export function startHolder (): EdgeState {
  const list = applyRegistrationChanges(NO_UPSTREAMS, [{ id: 'e1', upstream }], { revision: 9 })
  const known = apply(start('holder'),
    { subject: 'configured', configuration, from: 'store', at: at(0) },
    { subject: 'listed', list, at: at(0) },
    { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 1, lease: { fence: 0, holder: null, writeId: '' }, ...at(0) } },
    { subject: 'tick', at: at(0) })
  const writeId = known.scheduler.pending?.lease.writeId ?? ''
  return apply(known,
    { subject: 'scheduler', event: { kind: 'lease_written', writeId, version: 2, ...at(5) } },
    { subject: 'registry_read', what: 'configuration', sentAtMs: 900, at: at(1000) },
    { subject: 'registry_read', what: 'upstreams', sentAtMs: 900, at: at(1000) })
}
