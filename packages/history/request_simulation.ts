import { EMPTY_CLAIMS_SHARD, type Operation, type OperationAnswer, type ClaimsShard } from '@berylshed/claims'
import type { ConfigurationDocument } from '@berylshed/configuration'
import { buildDeployment, newInstanceState, operationEvent, reduceInstance, loadReports, type Deployment, type InstanceEffect, type InstanceEvent, type InstanceState } from '@berylshed/instance'
import { gossipEntries, liveEntries } from '@berylshed/membership'
import { emptyPlacementShard, FixedKeepAlivePolicy, type PlacementShard, type PlacementEffect } from '@berylshed/placement'
import type { Step } from '@berylshed/reducer'
import type { AttemptFailure, ReceivedRequest, RequestEffect, RequestEvent } from '@berylshed/requests'
import type { Settings } from '@berylshed/settings'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createFakeEngine, type FakeEngine } from './fake_engine.ts'
import { createFakeStore, type FakeStore } from './fake_store.ts'
import type { RequestRecord } from './request_history.ts'
import { createVirtualClock } from '@berylshed/replay'

/** Kind of a fault of a request simulation. */
export type RequestFaultKind =
  | 'kill_instance'
  | 'pause_instance'
  /** Drains an instance, which then leaves the load balancer's rotation. */
  | 'drain_instance'
  /** Cuts the network between an instance and its peers. */
  | 'partition_instance'
  | 'store_down'
  | 'store_slow'
  /** The store applies the next one to four writes without answering them. */
  | 'lose_write_answer'
  | 'crash_upstream'
  | 'partition_upstream'
  | 'silent_upstream'
  /** An upstream runs requests and breaks the connection instead of answering. */
  | 'break_after_run'
  | 'truncate_answer'
  /** An upstream returns the answer of another request. */
  | 'cross_answers'

/** Lists all kinds of faults of a request simulation. */
export const REQUEST_FAULT_KINDS: readonly RequestFaultKind[] = [
  'kill_instance', 'pause_instance', 'drain_instance', 'partition_instance', 'store_down', 'store_slow',
  'lose_write_answer', 'crash_upstream', 'partition_upstream', 'silent_upstream', 'break_after_run', 'truncate_answer',
  'cross_answers'
]

/** Fault of a request simulation. */
export interface RequestFault {
  readonly kind: RequestFaultKind
  /** Start of the fault, in ms of virtual time. */
  readonly atMs: number
  readonly durationMs: number
  /** Selects the instance or upstream, modulo their number. */
  readonly index: number
}

/** Reducer of an instance; mutants wrap the actual one. */
export type InstanceReducer = (state: InstanceState, event: InstanceEvent) => Step<InstanceState, InstanceEffect>

/** Options for {@linkcode runRequestSimulation}. */
export interface RequestSimulationOptions {
  readonly seed: number
  readonly faults: readonly RequestFault[]
  /** Reducer of every instance; the actual one by default. */
  readonly reduce?: InstanceReducer
  /** Whether a caller repeatedly sends a request that crashes its upstream. */
  readonly poison?: boolean
  /** Time during which callers send requests, in ms. */
  readonly activeMs?: number
  /** Mean time between two requests, in ms. */
  readonly callIntervalMs?: number
}

/** Result of {@linkcode runRequestSimulation}. */
export interface RequestSimulationRun {
  readonly records: readonly RequestRecord[]
  /** Number of writes that instances sent to the store. */
  readonly storeWrites: number
}

interface _Instance {
  state: InstanceState
  readonly name: string
  alive: boolean
  /** Whether the load balancer sends new requests to this instance. */
  inRotation: boolean
  pausedUntilMs: number
  partitionedUntilMs: number
  inbox: InstanceEvent[]
  /** Cancelled attempts, as `request.attempt`. */
  readonly cancelledAttempts: Set<string>
  readonly pendingOperations: Map<string, (answer: OperationAnswer) => void>
}

type _Kind = 'model' | 'lookup' | 'booking' | 'poison'

interface _Call {
  readonly kind: _Kind
  readonly key: string | undefined
  readonly body: string
  readonly model: string
  /** Retries that the caller may still make with the same key. */
  readonly remainingRetries: number
}

const TICK_MS = 100
const INSTANCES = 4
const STORE_TIMEOUT_MS = 1000
const PEER_TIMEOUT_MS = 500
const CONNECT_TIMEOUT_MS = 1000
const PROGRESS_TIMEOUT_MS = 4000
const DEADLINE_MS = 12_000
const QUIET_PERIOD_MS = 30_000
const END_MARGIN_MS = 1000
const SECRET = 'simulation-secret-0000'

const SETTINGS: Settings = {
  instance: { name: 'node', address: 'simulation', availability_zone: 'a', http_port: 0, peer_port: 0, admin_port: 0 },
  peers: { shared_secret: SECRET, timeout_ms: PEER_TIMEOUT_MS },
  store: { address: 'simulation', timeout_ms: STORE_TIMEOUT_MS, watch_ms: 1000 },
  admin: { read_keys: [], operate_keys: [] },
  lease: { lease_ttl_ms: 6000, holder_ttl_ms: 4000, renew_ms: 1500 },
  requests: {
    max_body_bytes: 1024,
    max_waiting: 100,
    max_attempts: 3,
    max_crashes: 2,
    connect_timeout_ms: CONNECT_TIMEOUT_MS,
    progress_timeout_ms: PROGRESS_TIMEOUT_MS,
    drain_ms: 500
  },
  metrics: { statsd_host: 'simulation', statsd_port: 0 }
}

const engineEntry = (name: string, zone: string, checksFence: boolean): ConfigurationDocument['upstreams'][number] => ({
  name, kind: 'engine', address: name, availability_zone: zone, slots: 8, accelerators: 1, memory_mb: 100, kv_floor_mb: 0, checks_fence: checksFence, logs_orders: true
})

const DOCUMENT: ConfigurationDocument = {
  cell: 'cell',
  weight_store: { starts_per_second: 5, loads_in_flight: 4, adapter_loads_in_flight: 30 },
  zones: { distance_ms: 1 },
  upstreams: [
    engineEntry('engine-1', 'a', true), engineEntry('engine-2', 'b', false), engineEntry('engine-3', 'c', true),
    { name: 'order-1', kind: 'service', address: 'order-1', availability_zone: 'a', slots: 8 },
    { name: 'order-2', kind: 'service', address: 'order-2', availability_zone: 'b', slots: 8 }
  ],
  models: [
    { name: 'base', memory_mb: 40, load_ms: 1500, max_replicas: 2 },
    { name: 'adapter', base: 'base', memory_mb: 10, load_ms: 300, max_replicas: 1 },
    { name: 'other', memory_mb: 60, load_ms: 2500, max_replicas: 1 }
  ],
  services: [{ name: 'orders', upstreams: ['order-1', 'order-2'], routes: [{ path: '/book', idempotent: false }, { path: '/stock', idempotent: true }] }],
  templates: [{
    name: 'all',
    parameters: {},
    fields: {
      models: ['*'], services: ['*'], priority: 5, deadline_ms: DEADLINE_MS, requests_per_second: 100, request_burst: 200, tokens_per_second: 10_000, token_burst: 100_000, concurrency: 100, weight: 1, cold_start_weight: 10
    }
  }],
  customers: [{ name: 'members', template: 'all', key_sha256: [], parameters: {} }]
}

// FNV-1a hash (Fowler, Noll, Vo), in place of the hash that instances use.
function _hash (text: string): number {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i += 1) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193) >>> 0
  return hash
}

/**
 * Runs four entry instances with fakes of the store, the engines, the services and the callers, under a schedule of
 * faults in virtual time.
 *
 * @param options The seed, the faults and the reducer.
 * @returns The history and the number of store writes.
 *
 * @example
 * ```ts
 * const run = runRequestSimulation({ seed: 1, faults: [] })
 * console.log(checkRequests(run.records, { marginMs: 200, maxCrashes: 2 })) // []
 * ```
 */
export function runRequestSimulation (options: RequestSimulationOptions): RequestSimulationRun {
  const clock = createVirtualClock()
  const random = xoroshiro128plus(options.seed)
  const reduce = options.reduce ?? reduceInstance
  const activeMs = options.activeMs ?? 20_000
  const callIntervalMs = options.callIntervalMs ?? 150
  const deployment: Deployment = buildDeployment(DOCUMENT, 1)
  const records: RequestRecord[] = []
  const instances: _Instance[] = []
  const claimsShards = new Map<number, FakeStore<ClaimsShard>>()
  const placementShard = createFakeStore<PlacementShard>(emptyPlacementShard('cell'), (now) => {
    for (const instance of instances) clock.after(int(1, 20), () => { if (!storeIsDown()) observePlacement(instance, now.version, now.value) })
  })
  const store = { downUntilMs: 0, slowUntilMs: 0, lostAnswers: 0, writes: 0 }
  const upstreamFaults = new Map<string, number>()
  const callsById = new Map<string, _Call>()
  let incarnations = 0
  let callCount = 0

  const int = (min: number, max: number): number => uniformInt(random, min, max)
  const unit = (): number => int(0, 999_999) / 1_000_000
  const storeIsDown = (): boolean => clock.nowMs() < store.downUntilMs
  const hasFault = (upstream: string, fault: RequestFaultKind): boolean => clock.nowMs() < (upstreamFaults.get(`${upstream}/${fault}`) ?? 0)

  const engines = new Map<string, FakeEngine>(['engine-1', 'engine-2', 'engine-3'].map((name): readonly [string, FakeEngine] => [name, createFakeEngine(
    { name, checksFence: name !== 'engine-2', logsOrders: true },
    {
      executed: () => {},
      changed: () => {},
      loading: (model, incarnation) => clock.after(deployment.catalog.models.get(model)?.loadMs ?? 0, () => engines.get(name)?.finishLoad(model, incarnation))
    })]))

  function startInstance (name: string): void {
    incarnations += 1
    const self = { name, incarnation: `${name}.${incarnations}`, address: name, availabilityZone: 'a', beat: 0, startedAtMs: incarnations, leaving: false, configuration: 0 }
    const seeds = Array.from({ length: INSTANCES }, (_, i) => `node-${i + 1}`)
    const state = newInstanceState(self, { settings: SETTINGS, policy: new FixedKeepAlivePolicy(8000), nowMs: clock.nowMs(), seeds, hash: _hash })
    const instance: _Instance = { state, name, alive: true, inRotation: true, pausedUntilMs: 0, partitionedUntilMs: 0, inbox: [], cancelledAttempts: new Set(), pendingOperations: new Map() }
    instances.push(instance)
    receive(instance, { subject: 'deployment', deployment, nowMs: clock.nowMs() })
    clock.after(int(1, 20), () => readPlacement(instance))
    clock.after(int(1, TICK_MS), () => tick(instance))
  }

  function tick (instance: _Instance): void {
    if (!instance.alive) return
    receive(instance, { subject: 'tick', nowMs: clock.nowMs(), clockMs: clock.nowMs(), random: unit() })
    clock.after(TICK_MS, () => tick(instance))
  }

  function readPlacement (instance: _Instance): void {
    if (!instance.alive) return
    const now = placementShard.current()
    if (storeIsDown()) receive(instance, { subject: 'placement', event: { kind: 'shard_read_failed', nowMs: clock.nowMs() } })
    else observePlacement(instance, now.version, now.value)
    clock.after(int(800, 1500), () => readPlacement(instance))
  }

  function observePlacement (instance: _Instance, version: number, value: PlacementShard): void {
    receive(instance, { subject: 'placement', event: { kind: 'shard_read', version, shard: value, nowMs: clock.nowMs() } })
  }

  function receive (instance: _Instance, event: InstanceEvent): void {
    if (!instance.alive) return
    if (clock.nowMs() >= instance.pausedUntilMs) return process(instance, event)
    if (event.subject !== 'tick') instance.inbox.push(event)
  }

  function resume (instance: _Instance): void {
    if (!instance.alive || clock.nowMs() < instance.pausedUntilMs) return
    const events = instance.inbox
    instance.inbox = []
    for (const event of events) process(instance, _retime(event, clock.nowMs()))
  }

  function process (instance: _Instance, event: InstanceEvent): void {
    const reduced = reduce(instance.state, event)
    instance.state = reduced.state
    for (const effect of reduced.effects) perform(instance, effect)
  }

  function perform (instance: _Instance, effect: InstanceEffect): void {
    switch (effect.subject) {
      case 'placement': return performPlacement(instance, effect.effect)
      case 'requests': return performRequests(instance, effect.effect)
      case 'claims':
        if (effect.effect.kind === 'read_shard') return readClaimsShard(instance, effect.effect.shard)
        if (effect.effect.kind === 'write_shard') return writeClaimsShard(instance, effect.effect)
        return answerOperation(instance, effect.effect.operation, effect.effect.answer)
      case 'operate': return operate(instance, effect.to, effect.operation)
      case 'warn': return sendToPeer(instance, effect.to, (peer) => receive(peer, { subject: 'requests', event: { kind: 'fingerprint_suspected', fingerprint: effect.fingerprint, nowMs: clock.nowMs() } }))
      case 'membership': {
        const { effect: gossip } = effect
        if (gossip.kind !== 'gossip') return
        return sendToPeer(instance, gossip.to, (peer) => {
          receive(peer, { subject: 'membership', event: { kind: 'gossip_received', entries: gossip.entries, nowMs: clock.nowMs() } })
          const entries = gossipEntries(peer.state.membership, clock.nowMs(), { random: unit() })
          receive(instance, { subject: 'membership', event: { kind: 'gossip_received', entries, nowMs: clock.nowMs() } })
        })
      }
      case 'demand': return sendToPeer(instance, effect.to, (peer) => receive(peer, { subject: 'placement', event: { kind: 'demand_received', call: `remote/${instance.name}`, demand: effect.demand, nowMs: clock.nowMs() } }))
      case 'heartbeat': return sendToPeer(instance, effect.to, (peer) => {
        receive(peer, { subject: 'placement', event: { kind: 'usage_reported', instance: instance.name, uses: effect.uses, nowMs: clock.nowMs() } })
        receive(instance, { subject: 'reports', reports: loadReports(peer.state), nowMs: clock.nowMs() })
      })
    }
  }

  function findPeer (address: string): _Instance | undefined {
    return instances.find((instance) => instance.alive && instance.name === address)
  }

  function sendToPeer (instance: _Instance, to: string, deliver: (peer: _Instance) => void): void {
    clock.after(int(1, 5), () => {
      const peer = findPeer(to)
      if (peer === undefined || clock.nowMs() < Math.max(instance.partitionedUntilMs, peer.partitionedUntilMs)) return
      deliver(peer)
    })
  }

  function storeDelayMs (): number {
    return clock.nowMs() < store.slowUntilMs ? int(100, 3000) : int(1, 10)
  }

  interface _WriteAnswers<Value> {
    done (version: number): void
    conflict (version: number, value: Value): void
    lost (): void
  }

  function update<Value> (object: FakeStore<Value>, write: { readonly expectedVersion: number, readonly value: Value }, answers: _WriteAnswers<Value>): void {
    let answered = false
    const once = (answer: () => void): void => {
      if (!answered) answer()
      answered = true
    }
    store.writes += 1
    clock.after(STORE_TIMEOUT_MS, () => once(answers.lost))
    clock.after(storeDelayMs(), () => {
      if (storeIsDown()) return
      const updated = object.update(write.expectedVersion, write.value)
      if (store.lostAnswers > 0) {
        store.lostAnswers -= 1
        return
      }
      clock.after(storeDelayMs(), () => once(() => updated.kind === 'done'
        ? answers.done(updated.version)
        : answers.conflict(updated.current.version, updated.current.value)))
    })
  }

  function performPlacement (instance: _Instance, effect: PlacementEffect): void {
    switch (effect.kind) {
      case 'write_shard': {
        const { writeId } = effect.shard
        const report = (event: Extract<InstanceEvent, { subject: 'placement' }>['event']): void => receive(instance, { subject: 'placement', event })
        return update(placementShard, { expectedVersion: effect.expectedVersion, value: effect.shard }, {
          done: (version) => report({ kind: 'write_done', writeId, version, nowMs: clock.nowMs() }),
          conflict: (version, value) => report({ kind: 'write_conflicted', writeId, version, shard: value, nowMs: clock.nowMs() }),
          lost: () => report({ kind: 'write_lost', writeId, nowMs: clock.nowMs(), random: unit() })
        })
      }
      case 'send_order': return sendOrder(instance, effect)
      case 'probe':
        clock.after(int(1, 10), () => {
          const status = hasFault(effect.upstream, 'partition_upstream') ? undefined : engines.get(effect.upstream)?.probe(effect.fence)
          if (status !== undefined) receive(instance, { subject: 'placement', event: { kind: 'status_reported', upstream: effect.upstream, probe: effect.probe, status, nowMs: clock.nowMs() } })
        })
        return
      case 'disclaim_orders':
        return sendToPeer(instance, effect.to.address, (peer) => receive(peer, { subject: 'placement', event: { kind: 'orders_disclaimed', orderIds: effect.orderIds, nowMs: clock.nowMs() } }))
      case 'answer_demand': {
        const [, origin] = effect.call.split('/')
        const target = findPeer(origin ?? '')
        if (target === undefined) return
        clock.after(int(1, 5), () => receive(target, { subject: 'requests', event: { kind: 'estimate_received', ...effect.estimate, nowMs: clock.nowMs() } }))
        break
      }
      default:
    }
  }

  function sendOrder (instance: _Instance, effect: Extract<PlacementEffect, { kind: 'send_order' }>): void {
    const { order, model, memoryMb, upstream } = effect
    clock.after(int(1, 10), () => {
      const engine = engines.get(upstream)
      const reachable = engine !== undefined && !hasFault(upstream, 'partition_upstream') && engine.incarnation() === order.upstreamIncarnation
      const answer = !reachable || clock.nowMs() >= effect.notAfterMs || !instance.alive
        ? 'not_sent'
        : engine.execute({ order, model, memoryMb }) ? 'accepted' : 'refused'
      receive(instance, { subject: 'placement', event: { kind: 'order_answered', orderId: order.id, answer, nowMs: clock.nowMs() } })
    })
  }

  function claimsShardAt (shard: number): FakeStore<ClaimsShard> {
    const known = claimsShards.get(shard) ?? createFakeStore<ClaimsShard>(EMPTY_CLAIMS_SHARD)
    claimsShards.set(shard, known)
    return known
  }

  function times (): { readonly nowMs: number, readonly clockMs: number } {
    return { nowMs: clock.nowMs(), clockMs: clock.nowMs() }
  }

  function readClaimsShard (instance: _Instance, shard: number): void {
    clock.after(storeDelayMs(), () => {
      const now = claimsShardAt(shard).current()
      const failed = storeIsDown()
      clock.after(failed ? STORE_TIMEOUT_MS : storeDelayMs(), () => receive(instance, {
        subject: 'claims',
        event: failed ? { kind: 'read_failed', shard, ...times() } : { kind: 'shard_read', shard, version: now.version, value: now.value, ...times() }
      }))
    })
  }

  function writeClaimsShard (instance: _Instance, effect: { readonly shard: number, readonly expectedVersion: number, readonly value: ClaimsShard }): void {
    const { shard } = effect
    const { writeId } = effect.value
    update(claimsShardAt(shard), effect, {
      done: (version) => receive(instance, { subject: 'claims', event: { kind: 'write_done', shard, writeId, version, ...times() } }),
      conflict: (version, value) => receive(instance, { subject: 'claims', event: { kind: 'write_conflicted', shard, writeId, version, value, ...times() } }),
      lost: () => receive(instance, { subject: 'claims', event: { kind: 'write_lost', shard, writeId, ...times() } })
    })
  }

  function answerOperation (instance: _Instance, operation: Operation, answer: OperationAnswer): void {
    const answerPeer = instance.pendingOperations.get(operation.id)
    instance.pendingOperations.delete(operation.id)
    if (answerPeer !== undefined) return answerPeer(answer)
    const live = liveEntries(instance.state.membership, clock.nowMs())
    const event = operationEvent(operation, answer, { nowMs: clock.nowMs(), random: unit(), isLive: (holder) => live.some((entry) => entry.incarnation === holder) })
    if (event !== undefined) receive(instance, { subject: 'requests', event })
  }

  function operate (instance: _Instance, to: string, operation: Operation): void {
    const operateLocally = (): void => receive(instance, { subject: 'claims', event: { kind: 'operation_requested', operation, ...times() } })
    if (to === '') return operateLocally()
    let answered = false
    sendToPeer(instance, to, (peer) => {
      peer.pendingOperations.set(operation.id, (answer) => clock.after(int(1, 5), () => {
        if (answered || clock.nowMs() < instance.partitionedUntilMs) return
        answered = true
        answerOperation(instance, operation, answer)
      }))
      receive(peer, { subject: 'claims', event: { kind: 'operation_requested', operation, ...times() } })
    })
    clock.after(PEER_TIMEOUT_MS, () => {
      if (answered) return
      answered = true
      operateLocally()
    })
  }

  function performRequests (instance: _Instance, effect: RequestEffect): void {
    switch (effect.kind) {
      case 'send': return sendAttempt(instance, effect)
      case 'cancel':
        instance.cancelledAttempts.add(`${effect.id}.${effect.attempt}`)
        return
      case 'deliver': return recordOutcome(instance, { kind: 'answered', id: effect.id, attempt: effect.attempt, atMs: clock.nowMs() })
      case 'replay_outcome': return recordOutcome(instance, { kind: 'replayed', id: effect.id, body: effect.outcome.body, atMs: clock.nowMs() })
      case 'refuse': return recordOutcome(instance, { kind: 'refused', id: effect.id, reason: effect.refusal.reason, outcome: effect.refusal.outcome, atMs: clock.nowMs() })
      case 'set_timer':
        clock.at(effect.atMs, () => receive(instance, { subject: 'requests', event: { kind: effect.timer === 'deadline' ? 'deadline_passed' : 'retry_due', id: effect.id, nowMs: clock.nowMs() } }))
        return
      case 'check_upstream':
        clock.after(int(1, 20), () => receive(instance, {
          subject: 'requests',
          event: hasFault(effect.upstream, 'partition_upstream')
            ? { kind: 'upstream_suspected', upstream: effect.upstream, forMs: 3000, nowMs: clock.nowMs() }
            : { kind: 'upstream_cleared', upstream: effect.upstream, nowMs: clock.nowMs() }
        }))
        break
      default:
    }
  }

  function recordOutcome (instance: _Instance, record: RequestRecord & { readonly id: string }): void {
    if (!instance.alive) return
    records.push(record)
    const call = callsById.get(record.id)
    if (call === undefined || call.remainingRetries === 0 || record.kind === 'answered') return
    clock.after(int(20, 600), () => submit({ ...call, remainingRetries: call.remainingRetries - 1 }))
  }

  // Simulates the network: connecting, sending, running and answering may each fail.
  function sendAttempt (instance: _Instance, effect: Extract<RequestEffect, { kind: 'send' }>): void {
    const { request, attempt, upstream } = effect
    const name = `${request.id}.${attempt}`
    const report = (event: (nowMs: number) => RequestEvent): void => {
      if (!instance.cancelledAttempts.has(name)) receive(instance, { subject: 'requests', event: event(clock.nowMs()) })
    }
    const fail = (failure: AttemptFailure): void => report((nowMs) => ({ kind: 'attempt_failed', id: request.id, attempt, failure, nowMs, random: unit() }))
    const fallSilent = (): void => clock.after(PROGRESS_TIMEOUT_MS, () => {
      if (instance.cancelledAttempts.has(name) || clock.nowMs() > request.deadlineMs) return
      report((nowMs) => ({ kind: 'attempt_silent', id: request.id, attempt, nowMs }))
      fallSilent()
    })
    clock.after(int(1, 4), () => {
      if (!instance.alive) return
      if (hasFault(upstream, 'partition_upstream')) return clock.after(CONNECT_TIMEOUT_MS, () => fail('not_connected'))
      if (instance.cancelledAttempts.has(name)) return
      const engine = engines.get(upstream)
      const loaded = engine === undefined || engine.probe(0).holdings.some((holding) => holding.model === request.target.name && holding.phase === 'loaded')
      if (!loaded) return clock.after(int(1, 4), () => fail('refused'))
      if (hasFault(upstream, 'silent_upstream') && int(0, 1) === 0) return fallSilent()
      records.push({ kind: 'ran', id: request.id, attempt, atMs: clock.nowMs(), upstream })
      runAttempt({ request, attempt, upstream, incarnation: engine?.incarnation() ?? upstream, fail, fallSilent, report })
    })
  }

  interface _AttemptRun {
    readonly request: Extract<RequestEffect, { kind: 'send' }>['request']
    readonly attempt: number
    readonly upstream: string
    readonly incarnation: string
    fail (failure: AttemptFailure): void
    /** Reports the upstream's silence from now on; it never answers. */
    fallSilent (): void
    report (event: (nowMs: number) => RequestEvent): void
  }

  function runAttempt (job: _AttemptRun): void {
    const { request, attempt, upstream } = job
    const engine = engines.get(upstream)
    const isAlive = (): boolean => engine === undefined || engine.incarnation() === job.incarnation
    if (callsById.get(request.id)?.kind === 'poison') {
      return clock.after(int(5, 300), () => {
        if (!isAlive()) return
        records.push({ kind: 'crashed', fingerprint: request.fingerprint, upstream, atMs: clock.nowMs() })
        engine?.restart()
        job.fail('broken')
      })
    }
    if (hasFault(upstream, 'silent_upstream')) return job.fallSilent()
    const firstMs = int(5, 400)
    const totalMs = firstMs + (engine === undefined ? 0 : int(0, 2500))
    if (engine !== undefined) clock.after(firstMs, () => { if (isAlive()) job.report((nowMs) => ({ kind: 'response_started', id: request.id, attempt, nowMs })) })
    clock.after(totalMs, () => {
      if (!isAlive()) return job.fail('broken')
      if (hasFault(upstream, 'break_after_run')) return job.fail('broken')
      if (hasFault(upstream, 'truncate_answer')) return job.fail('truncated')
      if (hasFault(upstream, 'cross_answers')) return job.fail('crossed')
      records.push({ kind: 'completed', id: request.id, attempt, atMs: clock.nowMs() })
      const outcome = { status: 200, contentType: 'text/plain', body: `${request.id}.${attempt}` }
      job.report((nowMs) => ({ kind: 'response_ended', id: request.id, attempt, tokens: 10, outcome, nowMs }))
    })
  }

  function submit (call: _Call): void {
    const candidates = instances.filter((instance) => instance.alive && instance.inRotation)
    const instance = candidates[int(0, Math.max(0, candidates.length - 1))]
    // A request whose deadline is after the end of the simulation would have no outcome to check.
    if (clock.nowMs() + DEADLINE_MS + END_MARGIN_MS > activeMs + QUIET_PERIOD_MS) return
    if (instance === undefined || clock.nowMs() < instance.pausedUntilMs) return
    callCount += 1
    const id = `r${callCount}`
    const idempotent = call.kind !== 'booking'
    const target = call.kind === 'model' || call.kind === 'poison' ? { kind: 'model', name: call.model } as const : { kind: 'service', name: 'orders' } as const
    const fingerprint = `${target.name}:${call.body}`
    const request: ReceivedRequest = {
      id, customer: 'members', target, idempotent, idempotencyKey: call.key, fingerprint, prefix: call.body, receivedAtMs: clock.nowMs(), deadlineMs: clock.nowMs() + DEADLINE_MS, priority: 5, coldStartWeight: 10
    }
    callsById.set(id, call)
    records.push({ kind: 'received', id, atMs: clock.nowMs(), deadlineMs: request.deadlineMs, incarnation: instance.state.self.incarnation, fingerprint, key: call.key, idempotent })
    receive(instance, { subject: 'requests', event: { kind: 'received', request, nowMs: clock.nowMs() } })
  }

  function generateCalls (): void {
    if (clock.nowMs() >= activeMs) return
    const kind = (['model', 'model', 'lookup', 'booking'] as const)[int(0, 3)] ?? 'model'
    const model = ['base', 'adapter', 'other'][int(0, 2)] ?? 'base'
    const newCall: _Call = { kind, model, body: `body-${callCount}`, key: kind === 'booking' ? `key-${callCount}` : undefined, remainingRetries: kind === 'booking' ? int(0, 3) : 0 }
    submit(newCall)
    // A caller that receives no answer in time may repeat its booking at another instance while the first still runs.
    if (kind === 'booking' && int(0, 2) === 0) clock.after(int(0, 300), () => submit({ ...newCall, remainingRetries: 0 }))
    clock.after(int(1, 2 * callIntervalMs), generateCalls)
  }

  function applyFault (fault: RequestFault): void {
    const untilMs = clock.nowMs() + fault.durationMs
    const live = instances.filter((instance) => instance.alive && instance.inRotation)
    const instance = live[fault.index % Math.max(1, live.length)]
    const upstream = DOCUMENT.upstreams[fault.index % DOCUMENT.upstreams.length]?.name ?? ''
    switch (fault.kind) {
      case 'kill_instance': return kill(instance, fault.durationMs)
      case 'pause_instance': return pause(instance, untilMs)
      case 'drain_instance': return drain(instance)
      case 'partition_instance':
        if (instance !== undefined) instance.partitionedUntilMs = untilMs
        return
      case 'store_down':
        store.downUntilMs = untilMs
        return
      case 'store_slow':
        store.slowUntilMs = untilMs
        return
      case 'lose_write_answer':
        store.lostAnswers += 1 + fault.index % 4
        return
      case 'crash_upstream':
        engines.get(upstream)?.restart()
        return
      default:
        upstreamFaults.set(`${upstream}/${fault.kind}`, untilMs)
    }
  }

  function kill (instance: _Instance | undefined, restartMs: number): void {
    if (instance === undefined) return
    instance.alive = false
    records.push({ kind: 'down', incarnation: instance.state.self.incarnation, atMs: clock.nowMs(), untilMs: Infinity })
    clock.after(restartMs, () => startInstance(instance.name))
  }

  function pause (instance: _Instance | undefined, untilMs: number): void {
    if (instance === undefined) return
    instance.pausedUntilMs = untilMs
    records.push({ kind: 'down', incarnation: instance.state.self.incarnation, atMs: clock.nowMs(), untilMs })
    clock.at(untilMs, () => resume(instance))
  }

  // The load balancer stops sending shortly after the readiness check fails. The process ends once no request is open.
  function drain (instance: _Instance | undefined): void {
    if (instance === undefined) return
    receive(instance, { subject: 'draining', nowMs: clock.nowMs() })
    clock.after(int(100, 1000), () => { instance.inRotation = false })
  }

  for (let i = 1; i <= INSTANCES; i += 1) startInstance(`node-${i}`)
  for (const fault of options.faults) clock.at(Math.min(fault.atMs, activeMs), () => applyFault(fault))
  clock.at(2000, generateCalls)
  if (options.poison === true) clock.at(4000, () => submit({ kind: 'poison', model: 'base', body: 'poison', key: undefined, remainingRetries: 6 }))
  clock.runUntil(activeMs + QUIET_PERIOD_MS)
  return { records, storeWrites: store.writes }
}

function _retime (event: InstanceEvent, nowMs: number): InstanceEvent {
  if ('nowMs' in event) return { ...event, nowMs }
  return { ...event, event: { ...event.event, nowMs } } as InstanceEvent
}
