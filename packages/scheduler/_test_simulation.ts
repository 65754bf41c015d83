import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { EngineReport, Upstream } from '@berylshed/fleet'
import { testConfiguration, testList, testModel, testUpstream } from './_test_fleet.ts'
import { leaseTimes, type Lease } from './lease.ts'
import { orderDeadline } from './_hold_lease.ts'
import { leaseGrant } from './_lease_grants.ts'
import { fleetView, reduceScheduler } from './reduce_scheduler.ts'
import type { OrderOutcome, SchedulerEvent } from './scheduler_event.ts'
import type { SchedulerEffect } from './scheduler_effect.ts'
import { newSchedulerState, type SchedulerState } from './scheduler_state.ts'

const STEP_MS = 20
const FAULTS_END_MS = 20_000
const END_MS = 34_000
const ENGINE_MB = 80
const LIST_LAG_MS = 150
const SIZES: Readonly<Record<string, number>> = { 'small-1': 16, 'small-2': 16, 'small-3': 16, 'large-1': 34, 'large-2': 34, 'large-3': 34, 'large-4': 34, 'large-5': 34 }
const MODELS = Object.entries(SIZES).map(([name, mb]) => testModel(name, mb))

/** Result of a simulation. */
export interface SimulationRun {
  /** Violated invariants; empty if all held. */
  readonly violations: readonly string[]
  /** Number of orders that engines executed. */
  readonly executed: number
  /** Number of fencing tokens that were taken. */
  readonly takeovers: number
}

/** Fault injected into the engines or the store to verify that the checker detects it. */
export type InjectedFault = 'none' | 'engines_ignore_sequence' | 'store_hides_restores' | 'grants_never_end'

/** Minimum time between the orders of two holders to one engine that does not check fencing tokens, in ms. */
const HOLDER_CHANGE_MS = 3000

/** The lease objects of a store at one moment, by era. */
interface Leases {
  readonly revision: number
  readonly byEra: ReadonlyMap<number, { readonly version: number, readonly lease: Lease }>
}

interface Instance {
  readonly name: string
  state: SchedulerState
  alive: boolean
  suspendedUntilMs: number
  partitionedUntilMs: number
  /** End of the time in which other instances do not reach this one, in ms. */
  secludedUntilMs: number
  restarts: number
}

interface Engine {
  readonly upstream: Upstream
  sequence: number
  fence: number
  busyUntilMs: number
  lastOrder: { readonly holder: string, readonly atMs: number } | undefined
  loaded: Map<string, number>
  /** Model lists of reports, with the time from which each is reported. */
  shown: ReadonlyArray<{ readonly atMs: number, readonly models: readonly string[] }>
}

/** Simulates three instances, two engines and a store with random faults, in virtual time. */
export function runSimulation (seed: number, injected: InjectedFault = 'none', enginesCheckFence = true): SimulationRun {
  const generator = xoroshiro128plus(seed)
  const random = (): number => uniformFloat64(generator)
  const violations: string[] = []
  const scheduled: Array<{ readonly atMs: number, run (): void }> = []
  const holders = new Map<number, string>()
  const engines = ['e1', 'e2'].map((id): Engine => ({
    upstream: testUpstream(id, { copies: { inMemory: [], onDisk: Object.keys(SIZES) } }),
    sequence: 0,
    fence: 0,
    busyUntilMs: 0,
    lastOrder: undefined,
    loaded: new Map(),
    shown: [{ atMs: -Infinity, models: [] }]
  }))
  const configuration = testConfiguration(MODELS)
  // Longer than a takeover in either case.
  const longestCutMs = enginesCheckFence ? 6000 : 12_000
  let now = 0
  let era = 1
  let leases: Leases = { revision: 0, byEra: new Map() }
  let copies: ReadonlyArray<{ readonly atMs: number, readonly leases: Leases }> = []
  let storeDownUntilMs = 0
  let loseOrdersUntilMs = 0
  let executed = 0

  const instances = ['a', 'b', 'c'].map((name): Instance => ({ name, state: newState(name, 0), alive: true, suspendedUntilMs: 0, partitionedUntilMs: 0, secludedUntilMs: 0, restarts: 0 }))

  function newState (name: string, restarts: number): SchedulerState {
    const state = newSchedulerState({ instance: name, incarnation: `${name}.${restarts}`, address: name }, { times: leaseTimes({ enginesCheckFence, holderChangeMs: HOLDER_CHANGE_MS }) })
    const at = { nowMs: now, clockMs: now }
    const configured = reduceScheduler(state, { kind: 'configured', configuration, ...at }).state
    return reduceScheduler(configured, { kind: 'listed', list: testList(engines.map((engine) => engine.upstream)), ...at }).state
  }

  function deliver (instance: Instance, event: SchedulerEvent): void {
    const { incarnation } = instance.state.self
    scheduled.push({
      atMs: now + 2 + random() * 6,
      run: () => {
        if (instance.alive && instance.state.self.incarnation === incarnation) apply(instance, { ...event, nowMs: now, clockMs: now })
      }
    })
  }

  function apply (instance: Instance, event: SchedulerEvent): void {
    if (now < instance.suspendedUntilMs) {
      scheduled.push({ atMs: instance.suspendedUntilMs, run: () => { if (instance.alive) apply(instance, { ...event, nowMs: now, clockMs: now }) } })
      return
    }
    const reduced = reduceScheduler(instance.state, event)
    instance.state = reduced.state
    for (const effect of reduced.effects) performEffect(instance, effect)
  }

  function performEffect (instance: Instance, effect: SchedulerEffect): void {
    const at = { nowMs: now, clockMs: now }
    const storeAvailable = now >= storeDownUntilMs && now >= instance.partitionedUntilMs
    switch (effect.kind) {
      case 'read_lease':
        return deliver(instance, storeAvailable ? { kind: 'lease_read', era, ...storedLease(era), ...at } : { kind: 'lease_read_failed', ...at })
      case 'write_lease': return writeLease(instance, effect, storeAvailable)
      case 'poll_engine': {
        const engine = engines.find(({ upstream }) => upstream.id === effect.upstream.id)
        if (engine !== undefined) deliver(instance, { kind: 'engine_reported', upstream: effect.upstream.id, polledAtMs: effect.polledAtMs, report: engineReport(engine), ...at })
        return
      }
      case 'send_order': return sendOrder(instance, effect)
      default:
    }
  }

  function writeLease (instance: Instance, effect: Extract<SchedulerEffect, { kind: 'write_lease' }>, storeAvailable: boolean): void {
    const at = { nowMs: now, clockMs: now }
    const { writeId } = effect.lease
    const lost = now < FAULTS_END_MS && random() < 0.1
    if (!storeAvailable && !lost) return deliver(instance, { kind: 'lease_write_failed', writeId, ...at })
    if (lost && random() < 0.5) {
      scheduled.push({ atMs: now + random() * 6000, run: () => { applyWrite(effect) } })
      return deliver(instance, { kind: 'lease_write_failed', writeId, ...at })
    }
    const version = applyWrite(effect)
    if (lost) return deliver(instance, { kind: 'lease_write_failed', writeId, ...at })
    if (effect.era !== era) return deliver(instance, { kind: 'store_restored', era, ...at })
    deliver(instance, version === undefined ? { kind: 'lease_conflicted', writeId, ...storedLease(era), ...at } : { kind: 'lease_written', writeId, version, ...at })
  }

  function storedLease (ofEra: number): { readonly version: number, readonly lease: Lease | undefined } {
    return leases.byEra.get(ofEra) ?? { version: 0, lease: undefined }
  }

  // Returns the new version, or undefined if the lease object has another version than expected.
  function applyWrite (effect: Extract<SchedulerEffect, { kind: 'write_lease' }>): number | undefined {
    if (storedLease(effect.era).version !== effect.expectedVersion) return undefined
    const version = leases.revision + 1
    leases = { revision: version, byEra: new Map(leases.byEra).set(effect.era, { version, lease: effect.lease }) }
    const holder = effect.lease.holder?.incarnation
    // The object of an earlier era is read by nobody any more.
    if (holder !== undefined && effect.era === era) useFence(effect.lease.fence, holder)
    return version
  }

  function useFence (fence: number, holder: string): void {
    const known = holders.get(fence)
    if (known !== undefined && known !== holder) violations.push(`fence ${fence} of ${known} and ${holder}`)
    holders.set(fence, holder)
  }

  // Continues from a copy that is up to five seconds old.
  function restoreStore (): void {
    const copiedBeforeMs = now - random() * 5000
    leases = copies.filter(({ atMs }) => atMs <= copiedBeforeMs).at(-1)?.leases ?? { revision: 0, byEra: new Map() }
    if (injected !== 'store_hides_restores') era += 1
    storeDownUntilMs = now + random() * 1500
  }

  function sendOrder (instance: Instance, effect: Extract<SchedulerEffect, { kind: 'send_order' }>): void {
    const engine = engines.find(({ upstream }) => upstream.id === effect.upstream.id)
    if (engine === undefined) return
    useFence(effect.fence, instance.state.self.incarnation)
    checkTurn(engine, instance.name)
    const answer = (outcome: OrderOutcome): void => deliver(instance, { kind: 'order_ended', upstream: effect.upstream.id, order: effect.order.id, outcome, nowMs: now, clockMs: now })
    if (now < loseOrdersUntilMs && random() < 0.5) {
      scheduled.push({ atMs: now + 300, run: () => answer('unknown') })
      scheduled.push({ atMs: now + random() * 9000, run: () => { executeOrder(engine, effect) } })
      return
    }
    answer(executeOrder(engine, effect))
  }

  function checkTurn (engine: Engine, holder: string): void {
    const { lastOrder } = engine
    if (!enginesCheckFence && lastOrder !== undefined && lastOrder.holder !== holder && now - lastOrder.atMs < HOLDER_CHANGE_MS) {
      violations.push(`turns: ${engine.upstream.id} gets orders of ${lastOrder.holder} and ${holder} within ${now - lastOrder.atMs} ms at ${now}`)
    }
    engine.lastOrder = { holder, atMs: now }
  }

  function executeOrder (engine: Engine, effect: Extract<SchedulerEffect, { kind: 'send_order' }>): OrderOutcome {
    const { planned, expectedSequence } = effect.order
    if (enginesCheckFence && effect.fence < engine.fence) return 'fenced'
    engine.fence = effect.fence
    if (now < engine.busyUntilMs) return 'conflict'
    if (injected !== 'engines_ignore_sequence' && engine.sequence !== expectedSequence) return 'conflict'
    engine.sequence += 1
    executed += 1
    const isLoad = planned.operation === 'load'
    engine.busyUntilMs = now + (isLoad ? 500 : 60)
    if (isLoad) engine.loaded.set(planned.model, SIZES[planned.model] ?? 0)
    else engine.loaded.delete(planned.model)
    const usedMb = [...engine.loaded.values()].reduce((sum, mb) => sum + mb, 0)
    if (usedMb > ENGINE_MB) violations.push(`${engine.upstream.id} holds ${usedMb} MB at ${now} after ${planned.operation} ${planned.model}`)
    engine.shown = [...engine.shown, { atMs: engine.busyUntilMs + LIST_LAG_MS, models: [...engine.loaded.keys()] }]
    return 'accepted'
  }

  function engineReport (engine: Engine): EngineReport {
    const shown = engine.shown.filter(({ atMs }) => atMs <= now).at(-1)
    return {
      incarnation: 1,
      sequence: engine.sequence,
      busy: now < engine.busyUntilMs,
      residents: (shown?.models ?? []).map((model) => ({ model, adapters: [] })),
      pendingAdapters: [],
      copies: engine.upstream.copies,
      active: 0,
      queued: 0
    }
  }

  function injectFault (): void {
    const instance = instances[Math.floor(random() * instances.length)]
    if (instance === undefined) return
    const draw = random()
    if (draw < 0.25) kill(instance)
    else if (draw < 0.45) instance.suspendedUntilMs = now + 500 + random() * 4000
    else if (draw < 0.6) cut(instance, draw)
    else if (draw < 0.65) restoreStore()
    else if (draw < 0.75) storeDownUntilMs = now + random() * 4000
    else loseOrdersUntilMs = now + random() * 4000
  }

  // Cuts an instance from the store, from the other instances or from both, but not from engines.
  function cut (instance: Instance, draw: number): void {
    const untilMs = now + random() * longestCutMs
    if (draw < 0.5 || draw >= 0.55) instance.partitionedUntilMs = untilMs
    if (draw >= 0.5) instance.secludedUntilMs = untilMs
  }

  function kill (instance: Instance): void {
    instance.alive = false
    scheduled.push({
      atMs: now + 300 + random() * 2000,
      run: () => {
        instance.restarts += 1
        instance.state = newState(instance.name, instance.restarts)
        instance.suspendedUntilMs = 0
        instance.alive = true
      }
    })
  }

  // The instance follows the holder that it knows of, which may have ended or lost the lease.
  function sendHeartbeat (instance: Instance): void {
    const known = instance.state.lease?.holder ?? undefined
    const holder = instances.find(({ name, alive, suspendedUntilMs }) => name === known?.instance && alive && now >= suspendedUntilMs)
    if (holder === undefined || holder === instance || now < Math.max(holder.secludedUntilMs, instance.secludedUntilMs)) return
    const at = { nowMs: now, clockMs: now }
    const grant = leaseGrant(instance.state)
    const report = { instance: instance.name, incarnation: instance.state.self.incarnation, unmetDemand: [], requestRates: [], loads: [], adapters: [] }
    apply(holder, { kind: 'instance_reported', report, ...grant?.holder === holder.state.self.incarnation ? { grant: injected === 'grants_never_end' ? { ...grant, isFinal: true } : grant } : {}, ...at })
    const view = fleetView(holder.state, at, { requester: instance.name, since: 0 })
    deliver(instance, { kind: 'holder_reached', fence: view.fence, validMs: view.validMs, answer: { holder: view.holder.incarnation, stamp: at }, ...at })
  }

  function reportDemand (instance: Instance): void {
    const model = Object.keys(SIZES)[Math.floor(now / 900) % MODELS.length] ?? ''
    apply(instance, {
      kind: 'instance_reported',
      nowMs: now,
      clockMs: now,
      report: {
        instance: instance.name,
        incarnation: instance.state.self.incarnation,
        unmetDemand: [{ service: 'drafts', model, adapter: undefined, waiting: 1, dueInMs: [1500] }],
        requestRates: Object.keys(SIZES).map((name) => ({ service: 'drafts', model: name, ratePerS: 0.4 })),
        loads: [],
        adapters: []
      }
    })
  }

  function checkHolders (): void {
    const entitled = instances.filter(({ alive, suspendedUntilMs, state }) => alive && now >= suspendedUntilMs && state.held !== undefined && orderDeadline(state, { nowMs: now, clockMs: now }) !== undefined)
    if (!enginesCheckFence && entitled.length > 1) violations.push(`turns: ${entitled.map(({ name }) => name).join(' and ')} may give orders at ${now}`)
  }

  for (; now < END_MS; now += STEP_MS) {
    checkHolders()
    copies = [...copies.slice(-300), { atMs: now, leases }]
    if (now < FAULTS_END_MS && random() < 0.02) injectFault()
    for (const task of scheduled.filter(({ atMs }) => atMs <= now)) {
      scheduled.splice(scheduled.indexOf(task), 1)
      task.run()
    }
    for (const instance of instances) {
      if (!instance.alive || now < instance.suspendedUntilMs) continue
      if (now % 200 === 0) sendHeartbeat(instance)
      if (now % 200 === 0 && instance.state.held !== undefined) reportDemand(instance)
      if (now % 40 === 0) apply(instance, { kind: 'ticked', nowMs: now, clockMs: now })
    }
  }
  if (!instances.some(({ state }) => state.held !== undefined)) violations.push('no instance holds the lease at the end')
  const resident = new Set(engines.flatMap((engine) => [...engine.loaded.keys()]))
  if (resident.size < 4) violations.push(`only ${[...resident].join(', ')} held at the end`)
  return { violations, executed, takeovers: holders.size }
}
