import {
  emptyPlacementShard, newPlacementState, reducePlacement, FixedKeepAlivePolicy,
  type Catalog, type PlacementShard, type Holder, type ModelEntry, type PlacementEffect, type PlacementEvent, type PlacementState, type UpstreamEntry
} from '@berylshed/placement'
import type { Step } from '@berylshed/reducer'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { createFakeEngine, type FakeEngine } from './fake_engine.ts'
import { createFakeStore, type VersionedValue } from './fake_store.ts'
import type { Fault } from './fault.ts'
import type { PlacementRecord } from './placement_history.ts'
import { createVirtualClock } from '@berylshed/replay'

/** Reducer under test; mutants wrap the actual one. */
export type PlacementReducer = (state: PlacementState, event: PlacementEvent) => Step<PlacementState, PlacementEffect>

/** Options for {@linkcode runPlacementSimulation}. */
export interface PlacementSimulationOptions {
  readonly seed: number
  readonly faults: readonly Fault[]
  /** Reducer of every instance; the actual one by default. */
  readonly reduce?: PlacementReducer
  /** Returns the catalog that instances receive, if it differs from the actual one. */
  readonly receivedCatalog?: (catalog: Catalog) => Catalog
  /** Number of instances; 3 by default. */
  readonly instances?: number
  /** Time during which faults occur and models are requested, in ms. */
  readonly activeMs?: number
  /** Time without new faults at the end, in ms. */
  readonly quietMs?: number
}

/** Result of {@linkcode runPlacementSimulation}. */
export interface PlacementSimulationRun {
  readonly records: readonly PlacementRecord[]
  /** Memory of each engine, in MB. */
  readonly capacityMb: ReadonlyMap<string, number>
  /** Models that were requested until the end and are loaded on no engine. */
  readonly unservedModels: readonly string[]
  /** Number of loads that engines began. */
  readonly loads: number
  /** Number of replicas whose memory is still reserved by unresolved orders at the end. */
  readonly reservedReplicas: number
  /** Number of times that the lease was taken, the first time included. */
  readonly takeovers: number
}

interface _Instance {
  state: PlacementState
  readonly name: string
  alive: boolean
  pausedUntilMs: number
  /** Time until which an order that has passed its last check is not transmitted, in ms. */
  sendDelayedUntilMs: number
  partitionedUntilMs: number
  watchSilentUntilMs: number
  inbox: PlacementEvent[]
}

const TICK_MS = 200
const CALL_TIMEOUT_MS = 1000
const LOAD_MS = 2000
/** Longest lag of the platform's list of engines, in ms; a name is not reused within this time. */
const MAX_LIST_LAG_MS = 3000
const HOUR_MS = 3_600_000

/** A base model with two adapters, a large model, a replicated model and a small one. */
const MODELS: readonly ModelEntry[] = [
  { name: 'base', memoryMb: 40, maxReplicas: 1, loadMs: LOAD_MS, coldStartWeight: 1 },
  { name: 'adapter-a', memoryMb: 10, maxReplicas: 1, base: 'base', loadMs: 500, coldStartWeight: 1 },
  { name: 'adapter-b', memoryMb: 10, maxReplicas: 1, base: 'base', loadMs: 500, coldStartWeight: 1 },
  { name: 'large', memoryMb: 80, maxReplicas: 1, loadMs: 2 * LOAD_MS, coldStartWeight: 1 },
  { name: 'twice', memoryMb: 30, maxReplicas: 2, loadMs: LOAD_MS, coldStartWeight: 1 },
  { name: 'small', memoryMb: 30, maxReplicas: 1, loadMs: LOAD_MS, coldStartWeight: 1 }
]

const UPSTREAMS: readonly UpstreamEntry[] = [
  { name: 'fenced', address: 'fenced', availabilityZone: 'a', accelerators: 1, memoryMb: 100, checksFence: true, logsOrders: false },
  { name: 'logging', address: 'logging', availabilityZone: 'b', accelerators: 1, memoryMb: 100, checksFence: false, logsOrders: true },
  { name: 'plain', address: 'plain', availabilityZone: 'c', accelerators: 1, memoryMb: 100, checksFence: false, logsOrders: false }
]

/**
 * Runs several instances that compete for the lease, with a fake store and three fake engines, under a schedule of
 * faults in virtual time. The same seed and schedule give the same history.
 *
 * @param options The seed, the faults and the reducer.
 * @returns The history and its totals.
 *
 * @example
 * ```ts
 * const run = runPlacementSimulation({ seed: 1, faults: [] })
 * console.log(checkPlacement(run.records, run.capacityMb)) // []
 * ```
 */
export function runPlacementSimulation (options: PlacementSimulationOptions): PlacementSimulationRun {
  const clock = createVirtualClock()
  const random = xoroshiro128plus(options.seed)
  const reduce = options.reduce ?? reducePlacement
  const activeMs = options.activeMs ?? 40_000
  const endMs = activeMs + (options.quietMs ?? 40_000)
  const records: PlacementRecord[] = []
  let limitChanges = 0
  let loads = 0
  let takeovers = 0
  let incarnations = 0
  const faults = { storeDownUntilMs: 0, storeSlowUntilMs: 0, staleUntilMs: 0, lostAnswers: 0, weightsSlowUntilMs: 0 }
  const partitionedEngines = new Map<string, number>()
  const slowEngines = new Map<string, number>()
  const lostOrderAnswers = new Map<string, number>()
  const duplicatedOrders = new Map<string, number>()
  const requestedUntilMs = new Map<string, number>()

  const int = (min: number, max: number): number => uniformInt(random, min, max)
  const unit = (): number => int(0, 999_999) / 1_000_000

  const catalog = (): Catalog => catalogAt(limitChanges)

  function catalogAt (changes: number): Catalog {
    const models = MODELS.map((model) => ({ ...model, maxReplicas: model.name === 'twice' && changes % 2 === 1 ? 1 : model.maxReplicas }))
    return {
      version: changes + 1,
      models: new Map(models.map((model) => [model.name, model])),
      upstreams: new Map(UPSTREAMS.map((upstream) => [upstream.name, upstream])),
      weightStoreLimits: { startsPerSecond: 3, loadsInFlight: 4, adapterLoadsInFlight: 30 }
    }
  }

  // The actual limits and sizes at a version of the configuration, regardless of the catalog that instances receive.
  function actualCatalog (version: number): Catalog {
    return catalogAt(version - 1)
  }

  const receivedCatalog = (): Catalog => options.receivedCatalog?.(catalog()) ?? catalog()
  let previous: PlacementShard = emptyPlacementShard('cell')
  const store = createFakeStore<PlacementShard>(previous, (now) => {
    records.push({ kind: 'stored', atMs: clock.nowMs(), shard: now.value, previous, catalog: catalogsByWrite.get(now.value.writeId) ?? catalog() })
    if (now.value.fence !== previous.fence) takeovers += 1
    previous = now.value
    for (const instance of instances) notifyWatch(instance, now)
  })
  // A write is checked against the limits its writer knew; a limit lowered since then applies from the next write on.
  const catalogsByWrite = new Map<string, Catalog>()

  const engines = new Map<string, FakeEngine>(UPSTREAMS.map((upstream) => [upstream.name, createFakeEngine(upstream, {
    executed: ({ order, model }) => records.push({ kind: 'executed', atMs: clock.nowMs(), upstream: upstream.name, incarnation: engine(upstream.name).incarnation(), order, model }),
    changed: () => records.push({ kind: 'held', atMs: clock.nowMs(), upstream: upstream.name, models: engine(upstream.name).holdings(), shard: store.current().value }),
    loading: (model, incarnation) => {
      loads += 1
      const slowdown = clock.nowMs() < faults.weightsSlowUntilMs ? 10 : 1
      clock.after((catalog().models.get(model)?.loadMs ?? LOAD_MS) * slowdown, () => engine(upstream.name).finishLoad(model, incarnation))
    }
  })]))

  function engine (name: string): FakeEngine {
    const found = engines.get(name)
    if (found === undefined) throw new RangeError(`Cannot find engine ${name} in the simulation`)
    return found
  }

  function startInstance (name: string): _Instance {
    incarnations += 1
    const self: Holder = { instance: name, incarnation: `${name}.${incarnations}`, address: name }
    const state = newPlacementState(self, { policy: new FixedKeepAlivePolicy(4000), catalog: receivedCatalog(), nowMs: clock.nowMs() })
    const instance: _Instance = { state, name, alive: true, pausedUntilMs: 0, sendDelayedUntilMs: 0, partitionedUntilMs: 0, watchSilentUntilMs: 0, inbox: [] }
    instances.push(instance)
    clock.after(int(1, 50), () => readShard(instance))
    clock.after(int(1, TICK_MS), () => tick(instance))
    return instance
  }

  function tick (instance: _Instance): void {
    if (!instance.alive) return
    receive(instance, { kind: 'ticked', nowMs: clock.nowMs(), random: unit() })
    clock.after(TICK_MS, () => tick(instance))
  }

  // Events that reach a paused instance are queued and handled when it resumes, with the time of that moment.
  function receive (instance: _Instance, event: PlacementEvent): void {
    if (!instance.alive) return
    if (clock.nowMs() >= instance.pausedUntilMs) return process(instance, event)
    if (event.kind === 'ticked') return
    instance.inbox.push(event)
  }

  function resume (instance: _Instance): void {
    if (!instance.alive || clock.nowMs() < instance.pausedUntilMs) return
    const events = instance.inbox
    instance.inbox = []
    for (const event of events) process(instance, { ...event, nowMs: clock.nowMs() })
  }

  function process (instance: _Instance, event: PlacementEvent): void {
    const reduced = reduce(instance.state, event)
    instance.state = reduced.state
    for (const effect of reduced.effects) perform(instance, effect)
  }

  function perform (instance: _Instance, effect: PlacementEffect): void {
    switch (effect.kind) {
      case 'write_shard': return writeShard(instance, effect)
      case 'send_order': return sendOrder(instance, effect)
      case 'probe': return probe(instance, effect)
      case 'disclaim_orders': return disclaim(instance, effect)
      default:
    }
  }

  function storeDelayMs (): number {
    return clock.nowMs() < faults.storeSlowUntilMs ? int(100, 4000) : int(1, 15)
  }

  function writeShard (instance: _Instance, effect: Extract<PlacementEffect, { kind: 'write_shard' }>): void {
    const { writeId } = effect.shard
    if (!catalogsByWrite.has(writeId)) catalogsByWrite.set(writeId, actualCatalog(instance.state.catalog.version))
    const sentAtMs = clock.nowMs()
    let answered = false
    const answer = (event: (nowMs: number) => PlacementEvent): void => {
      if (answered) return
      answered = true
      receive(instance, event(clock.nowMs()))
    }
    clock.at(sentAtMs + CALL_TIMEOUT_MS, () => answer((nowMs) => ({ kind: 'write_lost', writeId, nowMs, random: unit() })))
    clock.after(storeDelayMs(), () => {
      if (clock.nowMs() < faults.storeDownUntilMs) return
      const update = store.update(effect.expectedVersion, effect.shard)
      if (faults.lostAnswers > 0) {
        faults.lostAnswers -= 1
        return
      }
      clock.after(storeDelayMs(), () => answer((nowMs) => update.kind === 'done'
        ? { kind: 'write_done', writeId, version: update.version, nowMs }
        : { kind: 'write_conflicted', writeId, version: update.current.version, shard: update.current.value, nowMs }))
    })
  }

  function notifyWatch (instance: _Instance, now: VersionedValue<PlacementShard>): void {
    clock.after(int(1, 20), () => {
      if (clock.nowMs() < instance.watchSilentUntilMs || clock.nowMs() < faults.storeDownUntilMs) return
      receive(instance, { kind: 'shard_read', version: now.version, shard: now.value, nowMs: clock.nowMs() })
    })
  }

  // Watches are bounded in time, so an instance reads the shard about every second; the read may be stale or fail.
  function readShard (instance: _Instance): void {
    if (!instance.alive) return
    const read = clock.nowMs() < faults.staleUntilMs ? store.stale(int(0, 4)) : store.current()
    if (clock.nowMs() < faults.storeDownUntilMs) receive(instance, { kind: 'shard_read_failed', nowMs: clock.nowMs() })
    else receive(instance, { kind: 'shard_read', version: read.version, shard: read.value, nowMs: clock.nowMs() })
    clock.after(int(800, 1500), () => readShard(instance))
  }

  function isPartitioned (upstream: string): boolean {
    return clock.nowMs() < (partitionedEngines.get(upstream) ?? 0)
  }

  // Connects, verifies the incarnation, checks the deadline and transmits; a pause may occur between any two steps.
  function sendOrder (instance: _Instance, effect: Extract<PlacementEffect, { kind: 'send_order' }>): void {
    const { order, upstream } = effect
    const answer = (kind: Extract<PlacementEvent, { kind: 'order_answered' }>['answer']): void => {
      receive(instance, { kind: 'order_answered', orderId: order.id, answer: kind, nowMs: clock.nowMs() })
    }
    clock.after(int(1, 10), () => whenRunning(instance, () => {
      const target = engine(upstream)
      if (isPartitioned(upstream) || target.incarnation() !== order.upstreamIncarnation) return answer('not_sent')
      if (clock.nowMs() >= effect.notAfterMs) return answer('not_sent')
      const transmit = (): void => {
        if (!instance.alive) return
        if (target.incarnation() !== order.upstreamIncarnation) return answer('unknown')
        deliver(instance, effect, answer)
      }
      if (clock.nowMs() < instance.sendDelayedUntilMs) clock.at(instance.sendDelayedUntilMs, transmit)
      else transmit()
    }))
  }

  // Runs a step as soon as the instance is not paused.
  function whenRunning (instance: _Instance, step: () => void): void {
    if (!instance.alive) return
    if (clock.nowMs() < instance.pausedUntilMs) clock.at(instance.pausedUntilMs, () => whenRunning(instance, step))
    else step()
  }

  type _Send = Extract<PlacementEffect, { kind: 'send_order' }>

  function deliver (instance: _Instance, effect: _Send, answer: (kind: 'accepted' | 'refused' | 'unknown') => void): void {
    const { order, model, upstream } = effect
    const memoryMb = catalog().models.get(model)?.memoryMb ?? 0
    let answered = false
    const once = (kind: 'accepted' | 'refused' | 'unknown'): void => {
      if (answered) return
      answered = true
      answer(kind)
    }
    const executeOrder = (): boolean | undefined => {
      const target = engine(upstream)
      return target.incarnation() === order.upstreamIncarnation ? target.execute({ order, model, memoryMb }) : undefined
    }
    const slow = clock.nowMs() < (slowEngines.get(upstream) ?? 0)
    clock.after(CALL_TIMEOUT_MS, () => once('unknown'))
    clock.after(slow ? int(500, 12_000) : int(1, 10), () => {
      const accepted = executeOrder()
      if (clock.nowMs() < (duplicatedOrders.get(upstream) ?? 0)) repeatDelivery(upstream, executeOrder)
      if (accepted === undefined || clock.nowMs() < (lostOrderAnswers.get(upstream) ?? 0)) return
      clock.after(int(1, 10), () => once(accepted ? 'accepted' : 'refused'))
    })
  }

  // An engine that logs orders may receive a repeat at any time; for others, a repeat can't outlive its connection.
  function repeatDelivery (upstream: string, executeOrder: () => void): void {
    const { checksFence, logsOrders } = engine(upstream).options
    if (logsOrders) clock.after(int(1, 8000), executeOrder)
    else if (!checksFence) executeOrder()
    else executeOrder()
  }

  function probe (instance: _Instance, effect: Extract<PlacementEffect, { kind: 'probe' }>): void {
    const slow = clock.nowMs() < (slowEngines.get(effect.upstream) ?? 0)
    clock.after(slow ? int(1, 800) : int(1, 10), () => {
      if (isPartitioned(effect.upstream)) return
      const status = engine(effect.upstream).probe(effect.fence)
      clock.after(int(1, slow ? 900 : 10), () => receive(instance, {
        kind: 'status_reported', upstream: effect.upstream, probe: effect.probe, status, nowMs: clock.nowMs()
      }))
    })
  }

  function disclaim (instance: _Instance, effect: Extract<PlacementEffect, { kind: 'disclaim_orders' }>): void {
    const target = instances.find((other) => other.alive && other.name === effect.to.address)
    if (target === undefined || clock.nowMs() < instance.partitionedUntilMs || clock.nowMs() < target.partitionedUntilMs) return
    clock.after(int(1, 10), () => receive(target, { kind: 'orders_disclaimed', orderIds: effect.orderIds, nowMs: clock.nowMs() }))
  }

  const instances: _Instance[] = []
  const names = Array.from({ length: options.instances ?? 3 }, (_, i) => `node-${i + 1}`)
  for (const name of names) startInstance(name)

  function startDemand (): void {
    const model = MODELS[int(0, MODELS.length - 1)]
    if (model !== undefined && clock.nowMs() < activeMs) requestedUntilMs.set(model.name, clock.nowMs() + int(1000, 8000))
    if (clock.nowMs() < activeMs) clock.after(int(200, 3000), startDemand)
  }

  function reportDemand (): void {
    // In the quiet period, a model that fits beside any other one is requested throughout and must be served.
    if (clock.nowMs() >= activeMs) requestedUntilMs.set('small', endMs + HOUR_MS)
    for (const [model, untilMs] of requestedUntilMs) {
      if (untilMs < clock.nowMs()) requestedUntilMs.delete(model)
      else for (const instance of instances) sendDemand(instance, model)
    }
    clock.after(500, reportDemand)
  }

  function sendDemand (instance: _Instance, model: string): void {
    receive(instance, {
      kind: 'demand_received',
      call: 'simulation',
      demand: { instance: 'simulation', model, waiting: 1, deadlineInMs: 10_000, priority: 1, coldStartWeight: 1 },
      nowMs: clock.nowMs()
    })
  }

  function aliveInstance (index: number): _Instance | undefined {
    const alive = instances.filter((instance) => instance.alive)
    return alive[index % Math.max(1, alive.length)]
  }

  function leaseHolder (index: number): _Instance | undefined {
    const current = store.current().value.holder?.incarnation
    return instances.find((instance) => instance.alive && instance.state.self.incarnation === current) ?? aliveInstance(index)
  }

  function applyFault (fault: Fault): void {
    const untilMs = clock.nowMs() + fault.durationMs
    const upstream = UPSTREAMS[fault.index % UPSTREAMS.length]?.name ?? ''
    // Half of the faults of instances hit the lease holder, where they have the most effect.
    const instance = fault.index % 2 === 0 ? leaseHolder(fault.index) : aliveInstance(fault.index)
    switch (fault.kind) {
      case 'pause_instance': return pause(instance, untilMs)
      case 'pause_before_send': return pauseBeforeSend(instance, untilMs)
      case 'kill_instance': return kill(instance, fault.durationMs)
      case 'duplicate_instance':
        if (instance !== undefined) startInstance(instance.name)
        return
      case 'partition_instance':
        if (instance !== undefined) instance.partitionedUntilMs = untilMs
        return
      case 'silent_watch':
        if (instance !== undefined) instance.watchSilentUntilMs = untilMs
        return
      case 'store_down':
        faults.storeDownUntilMs = untilMs
        return
      case 'store_slow':
        faults.storeSlowUntilMs = untilMs
        return
      case 'stale_reads':
        faults.staleUntilMs = untilMs
        return
      case 'lose_write_answer':
        faults.lostAnswers += 1 + fault.index % 3
        return
      case 'slow_weight_store':
        faults.weightsSlowUntilMs = untilMs
        return
      case 'crash_engine': return engine(upstream).restart()
      case 'partition_engine':
        partitionedEngines.set(upstream, untilMs)
        return
      case 'slow_engine':
        slowEngines.set(upstream, untilMs)
        return
      case 'lose_order_answer':
        lostOrderAnswers.set(upstream, untilMs)
        return
      case 'duplicate_order':
        duplicatedOrders.set(upstream, untilMs)
        return
      case 'change_limit': return changeReplicaLimit()
      case 'reclaim_engine': return reclaim(upstream, fault.durationMs)
    }
  }

  function pause (instance: _Instance | undefined, untilMs: number): void {
    if (instance === undefined) return
    instance.pausedUntilMs = untilMs
    clock.at(untilMs, () => resume(instance))
  }

  function pauseBeforeSend (instance: _Instance | undefined, untilMs: number): void {
    if (instance === undefined) return
    instance.sendDelayedUntilMs = untilMs
    pause(instance, untilMs)
  }

  function kill (instance: _Instance | undefined, restartMs: number): void {
    if (instance === undefined) return
    instance.alive = false
    clock.after(restartMs, () => { startInstance(instance.name) })
  }

  function changeReplicaLimit (): void {
    limitChanges += 1
    for (const instance of instances) {
      clock.after(int(1, 3000), () => receive(instance, { kind: 'catalog_changed', catalog: receivedCatalog(), nowMs: clock.nowMs() }))
    }
  }

  // A reclaimed engine is unreachable for a while and returns empty under the same address.
  function reclaim (upstream: string, goneMs: number): void {
    partitionedEngines.set(upstream, clock.nowMs() + Math.max(MAX_LIST_LAG_MS, goneMs))
    engine(upstream).restart()
    clock.after(int(500, MAX_LIST_LAG_MS), () => {
      for (const instance of instances) receive(instance, { kind: 'upstream_terminated', upstream, nowMs: clock.nowMs() })
    })
  }

  for (const fault of options.faults) clock.at(Math.min(fault.atMs, activeMs), () => applyFault(fault))
  startDemand()
  reportDemand()
  clock.runUntil(endMs)

  const loaded = new Set(store.current().value.replicas.filter((replica) => replica.phase === 'loaded').map((replica) => replica.model))
  return {
    records,
    capacityMb: new Map(UPSTREAMS.map((upstream) => [upstream.name, upstream.memoryMb])),
    unservedModels: [...requestedUntilMs.keys()].filter((model) => !loaded.has(model)),
    loads,
    reservedReplicas: store.current().value.replicas.filter((replica) => replica.orders.length > 0).length,
    takeovers
  }
}
