import type { ConfigurationDocument } from '@berylshed/configuration'
import { buildDeployment, newInstanceState, reduceInstance, type InstanceEffect, type InstanceEvent } from '@berylshed/instance'
import { acceleratorShare, emptyPlacementShard, type PlacementShard, type Holding, type PlacementEffect, type Policy, type UpstreamStatus } from '@berylshed/placement'
import type { RequestEffect } from '@berylshed/requests'
import type { Settings } from '@berylshed/settings'
import { summarizeReplay, type ReplaySummary, type ReplayOutcome } from './replay_summary.ts'
import type { TraceRequest } from './trace.ts'
import { createVirtualClock } from './virtual_clock.ts'
import { createFakeWeightStore } from './fake_weight_store.ts'

const MS_PER_HOUR = 3_600_000
/** Tick interval while requests wait or replicas load or unload, in ms. */
const BUSY_TICK_MS = 250
/** Tick interval otherwise, in ms. */
const IDLE_TICK_MS = 5000
const PREFILL_MS_PER_TOKEN = 0.1
const DECODE_MS_PER_TOKEN = 20
/** Duration of a write to the store, in ms. */
const STORE_WRITE_MS = 4
const THIRTY_DAYS_MS = 30 * 24 * MS_PER_HOUR

/** Options of a replay of a trace. */
export interface ReplayOptions {
  readonly document: ConfigurationDocument
  readonly settings: Settings
  readonly policy: Policy
}

interface _Engine {
  readonly name: string
  readonly holdings: Map<string, Holding & { requestsServed: number }>
  readonly running: Map<string, number>
}

/**
 * Replays a trace through the reducer of an instance, in virtual time.
 *
 * One instance represents all; the store, the engines and the weight store are fakes that never fail.
 *
 * @param trace The requests in order of arrival.
 * @param options The deployment, the settings and the policy.
 * @returns The summary; equal for equal input.
 *
 * @example
 * ```ts
 * const summary = replayTrace(trace, { document, settings, policy: new ExpectedCostPolicy() })
 * console.log(summary.coldStartP99Ms)
 * ```
 */
export function replayTrace (trace: readonly TraceRequest[], options: ReplayOptions): ReplaySummary {
  const clock = createVirtualClock()
  const deployment = buildDeployment(options.document, 1)
  const { catalog } = deployment
  const weights = createFakeWeightStore(clock, options.document.weight_store)
  const engines = new Map<string, _Engine>([...catalog.upstreams.keys()].map((name) => [name, { name, holdings: new Map(), running: new Map() }]))
  const outcomes: ReplayOutcome[] = []
  const pendingRequests = new Map<string, TraceRequest>()
  const coldStartRequests = new Set<string>()
  const firstSentAtMs = new Map<string, number>()
  let shardVersion = 0
  let shard: PlacementShard = emptyPlacementShard(options.document.cell)
  let storeWrites = 0
  let loads = 0
  let wastedLoads = 0
  let idleMs = 0
  let lastIdleUpdateMs = 0

  const self = { name: 'replay', incarnation: 'replay.1', address: 'replay', availabilityZone: options.settings.instance.availability_zone, beat: 0, startedAtMs: 0, leaving: false, configuration: 0 }
  // Without faults lease renewals have no effect on the result, and they would dominate the run time of the replay.
  const lease = { lease_ttl_ms: THIRTY_DAYS_MS, holder_ttl_ms: THIRTY_DAYS_MS, renew_ms: THIRTY_DAYS_MS }
  let state = newInstanceState(self, { settings: { ...options.settings, lease }, policy: options.policy, nowMs: 0, seeds: [], hash: _hash })

  function dispatch (event: InstanceEvent): void {
    const reduced = reduceInstance(state, event)
    state = reduced.state
    for (const effect of reduced.effects) perform(effect)
  }

  function perform (effect: InstanceEffect): void {
    if (effect.subject === 'placement') performPlacement(effect.effect)
    else if (effect.subject === 'requests') performRequest(effect.effect)
  }

  function performPlacement (effect: PlacementEffect): void {
    switch (effect.kind) {
      case 'write_shard':
        storeWrites += 1
        clock.after(STORE_WRITE_MS, () => {
          shardVersion += 1
          shard = effect.shard
          dispatch({ subject: 'placement', event: { kind: 'write_done', writeId: shard.writeId, version: shardVersion, nowMs: clock.nowMs() } })
        })
        return
      case 'send_order':
        clock.after(1, () => {
          executeOrder(effect)
          dispatch({ subject: 'placement', event: { kind: 'order_answered', orderId: effect.order.id, answer: 'accepted', nowMs: clock.nowMs() } })
        })
        return
      case 'probe':
        clock.after(1, () => dispatch({ subject: 'placement', event: { kind: 'status_reported', upstream: effect.upstream, probe: effect.probe, status: status(effect.upstream), nowMs: clock.nowMs() } }))
        break
      default:
    }
  }

  function status (upstream: string): UpstreamStatus {
    const engine = engines.get(upstream)
    const holdings = [...engine?.holdings.values() ?? []].map((holding) => ({ ...holding, running: engine?.running.get(holding.model) ?? 0 }))
    const running = holdings.reduce((sum, holding) => sum + holding.running, 0)
    return { incarnation: `${upstream}.1`, fence: 1, holdings, running, ran: [], leaving: false }
  }

  function executeOrder (effect: Extract<PlacementEffect, { kind: 'send_order' }>): void {
    accumulateIdleTime()
    const engine = engines.get(effect.upstream)
    const { model, memoryMb } = effect
    if (effect.order.kind === 'unload') {
      if (engine?.holdings.get(model)?.requestsServed === 0) wastedLoads += 1
      engine?.holdings.delete(model)
      return
    }
    loads += 1
    engine?.holdings.set(model, { model, memoryMb, phase: 'loading', running: 0, requestsServed: 0 })
    const entry = catalog.models.get(model)
    weights.start(entry?.base !== undefined, entry?.loadMs ?? 0, () => {
      accumulateIdleTime()
      const holding = engine?.holdings.get(model)
      if (holding !== undefined) engine?.holdings.set(model, { ...holding, phase: 'loaded' })
    })
  }

  // Adds the accelerator time since the last call in which loaded models served no request.
  function accumulateIdleTime (): void {
    const elapsedMs = clock.nowMs() - lastIdleUpdateMs
    lastIdleUpdateMs = clock.nowMs()
    if (elapsedMs === 0) return
    for (const engine of engines.values()) {
      for (const holding of engine.holdings.values()) {
        if (holding.phase === 'loaded' && !isInUse(engine, holding.model)) idleMs += elapsedMs * acceleratorShare(catalog, holding.model)
      }
    }
  }

  function recordServedRequest (engine: _Engine, model: string | undefined): void {
    const holding = engine.holdings.get(model ?? '')
    if (holding !== undefined) engine.holdings.set(holding.model, { ...holding, requestsServed: holding.requestsServed + 1 })
  }

  function isInUse (engine: _Engine, model: string): boolean {
    if ((engine.running.get(model) ?? 0) > 0) return true
    return [...engine.running].some(([name, count]) => count > 0 && catalog.models.get(name)?.base === model)
  }

  function performRequest (effect: RequestEffect): void {
    switch (effect.kind) {
      case 'send': return send(effect)
      case 'set_timer':
        clock.at(effect.atMs, () => dispatch({ subject: 'requests', event: { kind: effect.timer === 'deadline' ? 'deadline_passed' : 'retry_due', id: effect.id, nowMs: clock.nowMs() } }))
        return
      case 'deliver': return recordOutcome(effect.id, 'answered')
      case 'refuse': return recordOutcome(effect.id, effect.refusal.reason)
      default:
    }
  }

  function recordOutcome (id: string, outcome: string): void {
    const request = pendingRequests.get(id)
    if (request === undefined) return
    const sentMs = firstSentAtMs.get(id)
    const coldStartMs = coldStartRequests.has(id) && sentMs !== undefined ? sentMs - request.at_ms : 0
    outcomes.push({ outcome, hadColdStart: coldStartRequests.has(id), coldStartMs })
    pendingRequests.delete(id)
  }

  function send (effect: Extract<RequestEffect, { kind: 'send' }>): void {
    const { request, attempt, upstream } = effect
    const engine = engines.get(upstream)
    const traceRequest = pendingRequests.get(request.id)
    const holding = engine?.holdings.get(request.target.name)
    if (engine === undefined || traceRequest === undefined) return
    if (holding?.phase !== 'loaded') {
      clock.after(1, () => dispatch({ subject: 'requests', event: { kind: 'attempt_failed', id: request.id, attempt, failure: 'refused', nowMs: clock.nowMs(), random: 0.5 } }))
      return
    }
    accumulateIdleTime()
    firstSentAtMs.set(request.id, firstSentAtMs.get(request.id) ?? clock.nowMs())
    recordServedRequest(engine, request.target.name)
    recordServedRequest(engine, catalog.models.get(request.target.name)?.base)
    engine.running.set(request.target.name, (engine.running.get(request.target.name) ?? 0) + 1)
    const durationMs = traceRequest.tokens_in * PREFILL_MS_PER_TOKEN + traceRequest.tokens_out * DECODE_MS_PER_TOKEN
    clock.after(durationMs, () => {
      accumulateIdleTime()
      engine.running.set(request.target.name, (engine.running.get(request.target.name) ?? 1) - 1)
      dispatch({ subject: 'requests', event: { kind: 'response_ended', id: request.id, attempt, tokens: traceRequest.tokens_out, outcome: undefined, nowMs: clock.nowMs() } })
    })
  }

  function receive (request: TraceRequest, index: number): void {
    const id = `t${index}`
    const customer = deployment.customers.get(request.customer)
    pendingRequests.set(id, request)
    const loaded = shard.replicas.some((replica) => replica.model === request.model && replica.phase === 'loaded')
    if (!loaded) coldStartRequests.add(id)
    dispatch({
      subject: 'requests',
      event: {
        kind: 'received',
        nowMs: clock.nowMs(),
        request: {
          id,
          customer: request.customer,
          target: { kind: 'model', name: request.model },
          idempotent: true,
          idempotencyKey: undefined,
          fingerprint: id,
          prefix: request.model,
          receivedAtMs: request.at_ms,
          deadlineMs: request.at_ms + request.deadline_ms,
          priority: customer?.priority ?? 0,
          coldStartWeight: customer?.coldStartWeight ?? 1
        }
      }
    })
  }

  function tick (): void {
    dispatch({ subject: 'tick', nowMs: clock.nowMs(), clockMs: clock.nowMs(), random: 0.5 })
    const busy = pendingRequests.size > 0 || shard.replicas.some((replica) => replica.phase !== 'loaded')
    clock.after(busy ? BUSY_TICK_MS : IDLE_TICK_MS, tick)
  }

  dispatch({ subject: 'deployment', deployment, nowMs: 0 })
  dispatch({ subject: 'placement', event: { kind: 'shard_read', version: 0, shard, nowMs: 0 } })
  tick()
  trace.forEach((request, index) => clock.at(request.at_ms, () => receive(request, index)))
  const endMs = (trace.at(-1)?.at_ms ?? 0) + MS_PER_HOUR
  clock.runUntil(endMs)
  accumulateIdleTime()
  return summarizeReplay(outcomes, {
    policy: options.policy.name, idleAcceleratorHours: idleMs / MS_PER_HOUR, loads, wastedLoads, storeWrites, hours: endMs / MS_PER_HOUR
  })
}

// FNV-1a (Fowler, Noll, Vo); sufficient for a replay.
function _hash (text: string): number {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193) >>> 0
  return hash
}
