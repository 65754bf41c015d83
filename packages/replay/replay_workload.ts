import { diffUpstreams, applyRegistrationChanges, NO_UPSTREAMS, type Configuration, type Upstream } from '@berylshed/fleet'
import { answerHeartbeat, newEdgeState, reduceEdge, type EdgeEffect, type EdgeEvent, type EdgeState, type HeartbeatRequest } from '@berylshed/edge'
import type { Instant, Lease, PlacementPolicy, SchedulerEffect } from '@berylshed/scheduler'
import type { ReceivedRequest, ServingEffect, ServingEvent } from '@berylshed/serving'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createVirtualEngine, type EngineEnvironment, type EngineProfile, type VirtualEngine } from './_virtual_engine.ts'
import { summarizeWorkload, type WorkloadSummary, type RequestOutcome } from './workload_summary.ts'
import type { WorkloadRequest } from './workload_request.ts'
import { createVirtualClock } from './virtual_clock.ts'

/** A deployment on which a workload is replayed. */
export interface VirtualDeployment {
  readonly configuration: Configuration
  readonly upstreams: readonly Upstream[]
  readonly availabilityZones: readonly string[]
  readonly instances: number
  readonly engineProfile: EngineProfile
  /** Concurrent loads that the weight store serves at full speed. */
  readonly storeLoadConcurrency: number
  /** Time for which instances, engines and the weight store run before the workload starts, in ms. */
  readonly warmupMs: number
}

/** A crash of an engine during a replay. */
export interface EngineCrash {
  /** Time since the start of the workload, in ms. */
  readonly atMs: number
  readonly upstream: string
}

/** Options of a replay of a workload. */
export interface ReplayWorkloadOptions {
  readonly seed: number
  readonly policy?: PlacementPolicy
  readonly crashes?: readonly EngineCrash[]
}

const TICK_INTERVAL_MS = 40
/** Latency of one message between instances, engines and the store, in ms. */
const ONE_WAY_LATENCY_MS = 1
/** Time after the arrival of the last request until open requests count as not served, in ms. */
const SETTLE_TIME_MS = 20_000
/** Largest share of the remaining time that a refused caller waits before it retries. */
const MAX_RETRY_AFTER_SHARE = 1 / 3
/** Longest pause between events of a response that still counts as in time, in ms. */
const MAX_STREAM_PAUSE_MS = 200
/** Interval between samples of the memory usage, in ms. */
const SAMPLE_INTERVAL_MS = 100
/** Unix time at the start of the replay, in ms. */
const START_CLOCK_MS = 1_700_000_000_000

interface _Instance {
  readonly name: string
  state: EdgeState
  /** Cancels the current attempt of each request, by request id. */
  readonly cancellations: Map<string, () => void>
}

interface _Caller {
  readonly request: WorkloadRequest
  /** Virtual time of the first arrival, in ms. */
  readonly arrivalMs: number
  firstEventAtMs: number | undefined
  longestPauseMs: number
  submissions: number
  /** Undefined while the request is open. */
  outcome: 'answered' | 'refused' | 'aborted' | 'abandoned' | undefined
}

/**
 * Replays a workload through the reducers of all instances, against simulated engines in virtual time.
 *
 * The reducers are those that run in production; engines, the store and the callers are simulated.
 *
 * @param requests The requests in order of arrival.
 * @param deployment The deployment.
 * @param options The seed, the placement policy and the engine crashes.
 * @returns The summary of the replay; equal for equal input.
 *
 * @example
 * ```ts
 * const summary = replayWorkload(generateWorkload(pattern, 7), deployment, { seed: 7 })
 * console.log(summary.worthShare)
 * ```
 */
export function replayWorkload (requests: readonly WorkloadRequest[], deployment: VirtualDeployment, options: ReplayWorkloadOptions): WorkloadSummary {
  const generator = xoroshiro128plus(options.seed)
  const random = (): number => uniformFloat64(generator)
  const clock = createVirtualClock()
  const registered = new Map(deployment.upstreams.map((upstream) => [upstream.id, upstream]))
  const list = applyRegistrationChanges(NO_UPSTREAMS, diffUpstreams(undefined, registered), { revision: 1 })
  const environment: EngineEnvironment = { clock, profile: deployment.engineProfile, storeLoadConcurrency: deployment.storeLoadConcurrency, storeLoadsInFlight: 0, overcommitments: 0 }
  const engines = new Map<string, VirtualEngine>()
  for (const upstream of deployment.upstreams) {
    const engine = deployment.configuration.services.get(upstream.service)?.engine
    if (engine !== undefined) engines.set(upstream.id, createVirtualEngine(upstream, engine, environment))
  }
  const callers = new Map(requests.map((request): [string, _Caller] => [request.id, { request, arrivalMs: deployment.warmupMs + request.atMs, firstEventAtMs: undefined, longestPauseMs: 0, submissions: 0, outcome: undefined }]))
  const instances = Array.from({ length: deployment.instances }, (_, i) => startInstance(i))
  let stored: { readonly version: number, readonly lease: Lease | undefined } = { version: 0, lease: undefined }
  let orders = 0
  let allocatedMbMs = 0
  let idleMemoryMbMs = 0

  function now (): Instant {
    return { nowMs: clock.nowMs(), clockMs: START_CLOCK_MS + clock.nowMs() }
  }

  function startInstance (index: number): _Instance {
    const name = `instance-${index}`
    const zones = deployment.availabilityZones
    const state = newEdgeState({ instance: name, incarnation: name, address: name }, {
      availabilityZone: zones[index % zones.length] ?? '',
      retryBudget: { ratio: 0.2, minRetries: 54, windowMs: 10_000 },
      leaseBounds: { enginesCheckFence: true, holderChangeMs: 3000 },
      ...options.policy === undefined ? {} : { policy: options.policy }
    })
    return { name, state, cancellations: new Map() }
  }

  function dispatch (instance: _Instance, event: EdgeEvent): void {
    const reduced = reduceEdge(instance.state, event)
    instance.state = reduced.state
    for (const effect of reduced.effects) perform(instance, effect)
  }

  function perform (instance: _Instance, effect: EdgeEffect): void {
    switch (effect.subject) {
      case 'serving': return performServing(instance, effect.effect)
      case 'scheduler': return performScheduler(instance, effect.effect)
      case 'heartbeat': return sendHeartbeat(instance, effect.to, effect.request)
      case 'record':
    }
  }

  function dispatchServing (instance: _Instance, event: _WithoutTime<ServingEvent>): void {
    dispatch(instance, { subject: 'serving', event: { ...event, nowMs: clock.nowMs() } })
  }

  function performServing (instance: _Instance, effect: ServingEffect): void {
    switch (effect.kind) {
      case 'send': return send(instance, effect)
      case 'cancel':
        instance.cancellations.get(effect.id)?.()
        instance.cancellations.delete(effect.id)
        return
      case 'finish': return recordOutcome(effect.id, 'answered')
      case 'refuse': return handleRefusal(effect.id, effect.refusal.retryAfterMs)
      case 'abort': return recordOutcome(effect.id, 'aborted')
      default:
    }
  }

  function send (instance: _Instance, effect: Extract<ServingEffect, { kind: 'send' }>): void {
    const { id } = effect.request
    const { attempt } = effect
    const caller = callers.get(id)
    const engine = engines.get(effect.upstream)
    if (caller === undefined || engine === undefined) return
    const dispatchLater = (event: _WithoutTime<ServingEvent>): void => clock.after(ONE_WAY_LATENCY_MS, () => dispatchServing(instance, event))
    let cancelled = false
    instance.cancellations.set(id, () => { cancelled = true })
    clock.after(ONE_WAY_LATENCY_MS, () => {
      if (cancelled) return
      const cancel = engine.run({ ...caller.request }, {
        onRejected: (misdirected) => dispatchLater({ kind: 'attempt_failed', id, attempt, failure: misdirected ? 'misdirected' : 'refused', detail: '' }),
        onStarted: () => {
          caller.firstEventAtMs ??= clock.nowMs()
          dispatchLater({ kind: 'response_started', id, attempt })
        },
        onEnded: (longestPauseMs) => {
          caller.longestPauseMs = longestPauseMs
          dispatchLater({ kind: 'response_ended', id, attempt, status: 200 })
        },
        onAborted: () => dispatchLater({ kind: 'attempt_failed', id, attempt, failure: 'broken', detail: 'crashed' })
      })
      instance.cancellations.set(id, cancel)
    })
  }

  function recordOutcome (id: string, outcome: NonNullable<_Caller['outcome']>): void {
    const caller = callers.get(id)
    if (caller !== undefined) caller.outcome ??= outcome
  }

  // A refused caller retries once, at an instance chosen at random, if the retry leaves it enough time.
  function handleRefusal (id: string, retryAfterMs: number | undefined): void {
    const caller = callers.get(id)
    if (caller === undefined || caller.outcome !== undefined) return
    const remainingMs = caller.arrivalMs + caller.request.timeoutMs - clock.nowMs()
    if (caller.submissions > 1 || retryAfterMs === undefined || retryAfterMs > remainingMs * MAX_RETRY_AFTER_SHARE) return recordOutcome(id, 'refused')
    clock.after(retryAfterMs + 2 * ONE_WAY_LATENCY_MS, () => { if (caller.outcome === undefined) submit(caller) })
  }

  function submit (caller: _Caller): void {
    const { request } = caller
    caller.submissions += 1
    const instance = instances[Math.floor(random() * instances.length)]
    if (instance === undefined) return
    const nowMs = clock.nowMs()
    const received: ReceivedRequest = {
      id: request.id,
      callerId: request.id,
      fingerprint: request.id,
      promptParts: [],
      resumedAttempt: undefined,
      route: request.route,
      service: request.service,
      model: request.model,
      adapter: request.adapter,
      stream: true,
      retryable: request.resumable,
      maxRuns: request.maxRuns,
      rank: request.rank,
      objectiveMs: request.objectiveMs,
      arrivedAtMs: nowMs,
      deadlineMs: caller.arrivalMs + request.timeoutMs
    }
    dispatchServing(instance, { kind: 'received', request: received })
    clock.after(request.firstEventTimeoutMs, () => { if (caller.firstEventAtMs === undefined) abandon(instance, caller) })
  }

  function abandon (instance: _Instance, caller: _Caller): void {
    if (caller.outcome !== undefined) return
    recordOutcome(caller.request.id, 'abandoned')
    dispatchServing(instance, { kind: 'caller_left', id: caller.request.id })
  }

  function performScheduler (instance: _Instance, effect: SchedulerEffect): void {
    const deliver = (event: Extract<EdgeEvent, { subject: 'scheduler' }>['event']): void => {
      clock.after(2 * ONE_WAY_LATENCY_MS, () => dispatch(instance, { subject: 'scheduler', event: { ...event, ...now() } }))
    }
    switch (effect.kind) {
      case 'read_lease': return deliver({ kind: 'lease_read', era: 0, ...stored, ...now() })
      case 'write_lease': return deliver(writeLease(effect))
      case 'poll_engine': {
        const report = engines.get(effect.upstream.id)?.report()
        if (report !== undefined) deliver({ kind: 'engine_reported', upstream: effect.upstream.id, polledAtMs: effect.polledAtMs, report, ...now() })
        return
      }
      case 'send_order': {
        orders += 1
        const { planned, expectedSequence, id } = effect.order
        const outcome = engines.get(effect.upstream.id)?.order({ ...planned, expectedSequence, fence: effect.fence }) ?? 'not_sent'
        return deliver({ kind: 'order_ended', upstream: effect.upstream.id, order: id, outcome, ...now() })
      }
      default:
    }
  }

  function writeLease (effect: Extract<SchedulerEffect, { kind: 'write_lease' }>): Extract<EdgeEvent, { subject: 'scheduler' }>['event'] {
    const { writeId } = effect.lease
    if (stored.version !== effect.expectedVersion) return { kind: 'lease_conflicted', writeId, ...stored, ...now() }
    stored = { version: stored.version + 1, lease: effect.lease }
    return { kind: 'lease_written', writeId, version: stored.version, ...now() }
  }

  function sendHeartbeat (instance: _Instance, to: string, request: HeartbeatRequest): void {
    const holder = instances.find(({ name }) => name === to)
    clock.after(ONE_WAY_LATENCY_MS, () => {
      if (holder === undefined) return dispatch(instance, { subject: 'heartbeat_failed', refused: true, at: now() })
      dispatch(holder, { subject: 'heartbeat_received', request, at: now() })
      const answer = answerHeartbeat(holder.state, request, now())
      clock.after(ONE_WAY_LATENCY_MS, () => dispatch(instance, { subject: 'heartbeat_answered', answer, at: now() }))
    })
  }

  function tick (instance: _Instance): void {
    dispatch(instance, { subject: 'tick', at: now() })
    clock.after(TICK_INTERVAL_MS, () => tick(instance))
  }

  function sampleMemory (): void {
    for (const engine of engines.values()) {
      const { allocatedMb, activeMb } = engine.memoryUsage()
      allocatedMbMs += allocatedMb * SAMPLE_INTERVAL_MS
      idleMemoryMbMs += (allocatedMb - activeMb) * SAMPLE_INTERVAL_MS
    }
    clock.after(SAMPLE_INTERVAL_MS, sampleMemory)
  }

  instances.forEach((instance, i) => clock.at(i * TICK_INTERVAL_MS / instances.length, () => {
    dispatch(instance, { subject: 'configured', configuration: deployment.configuration, from: 'store', at: now() })
    dispatch(instance, { subject: 'listed', list, at: now() })
    tick(instance)
  }))
  for (const caller of callers.values()) clock.at(caller.arrivalMs, () => submit(caller))
  for (const crash of options.crashes ?? []) clock.at(deployment.warmupMs + crash.atMs, () => engines.get(crash.upstream)?.crash())
  clock.at(deployment.warmupMs, sampleMemory)
  clock.runUntil(deployment.warmupMs + (requests.at(-1)?.atMs ?? 0) + SETTLE_TIME_MS)

  const outcomes = [...callers.values()].map(({ request, arrivalMs, firstEventAtMs, longestPauseMs, outcome }): RequestOutcome => {
    const timeToFirstEventMs = firstEventAtMs === undefined ? Infinity : firstEventAtMs + ONE_WAY_LATENCY_MS - arrivalMs
    return { request, served: outcome === 'answered', inTime: timeToFirstEventMs <= request.objectiveMs && longestPauseMs <= MAX_STREAM_PAUSE_MS, timeToFirstEventMs }
  })
  return summarizeWorkload(outcomes, {
    orders,
    storeLoads: [...engines.values()].reduce((sum, engine) => sum + engine.storeLoads(), 0),
    overcommitments: environment.overcommitments,
    idleMemoryShare: allocatedMbMs === 0 ? 0 : idleMemoryMbMs / allocatedMbMs
  })
}

type _WithoutTime<T> = T extends unknown ? Omit<T, 'nowMs'> : never
