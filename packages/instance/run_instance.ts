import { randomUUID } from 'node:crypto'
import { hasPendingClaims } from '@berylshed/claims'
import { ConfigurationSchema, findProblems } from '@berylshed/configuration'
import { gossipEntries, type PeerEntry } from '@berylshed/membership'
import { ExpectedCostPolicy, type Policy } from '@berylshed/placement'
import { StoreInstanceList, type Engine, type InstanceList, type Store, type StoredObject } from '@berylshed/platform'
import { checkDocument, formatFinding, type Settings } from '@berylshed/settings'
import { Effect, Fiber, Queue } from 'effect'
import xxhash from 'xxhash-wasm'
import { createClaimsEffects } from './_claims_effects.ts'
import { pollInstanceList } from './_poll_instance_list.ts'
import type { InterpreterContext } from './_interpreter_context.ts'
import { placementShardKey, createPlacementEffects, HTTP_ENGINES, parsePlacementShard } from './_placement_effects.ts'
import { createRequestEffects } from './_request_effects.ts'
import { reportGauges } from './report_gauges.ts'
import { close as closeServer, listen } from './_servers.ts'
import { watchObject } from './_watch_object.ts'
import { createAdminServer } from './admin_server.ts'
import { createCallerServer } from './caller_server.ts'
import { buildDeployment } from './deployment.ts'
import type { InstanceEffect } from './instance_effect.ts'
import type { InstanceEvent } from './instance_event.ts'
import { newInstanceState, type InstanceState } from './instance_state.ts'
import { createLog } from './log.ts'
import { createMetrics } from './metrics.ts'
import { createPeerClient } from './peer_client.ts'
import { createPeerServer, type PeerService } from './peer_router.ts'
import { countOpenRequests, loadReports, reduceInstance } from './reduce_instance.ts'

/** Key of the configuration in the store. */
export const CONFIGURATION_KEY = 'configuration'
/** Interval between ticks while claims operations are pending, in ms. */
const CLAIMS_TICK_MS = 20
/** Interval between ticks otherwise, in ms. */
const TICK_MS = 100
/** Interval between checks whether draining is complete, in ms. */
const DRAIN_POLL_MS = 50
/** Least time for which a stop waits for callers that send or read slowly once no request is open, in ms. */
const MIN_DELIVERY_MS = 10_000
/** Interval between reports of gauges, in ms. */
const GAUGE_INTERVAL_MS = 10_000

/** Options for `runInstance`. */
export interface RunOptions {
  /** Store of the platform. */
  readonly store: Store
  /** Addresses of peers to contact before any peer is known. */
  readonly seeds?: readonly string[]
  /** Placement policy; `ExpectedCostPolicy` if omitted. */
  readonly policy?: Policy
  /** Instance list of the platform; read from the store if omitted. */
  readonly list?: InstanceList
  /** Returns a client for the engine at an address; an HTTP client if omitted. */
  engine? (address: string): Engine
}

/** Running entry instance. */
export interface RunningInstance {
  /** Port for callers. */
  readonly httpPort: number
  /** Port for peers. */
  readonly peerPort: number
  /** Port for operators. */
  readonly adminPort: number
  /** Name of the instance with a random suffix that is unique to this run. */
  readonly incarnation: string
  /** Returns the current state. */
  state (): InstanceState
  /** Reports whether the instance accepts requests. */
  isReady (): boolean
  /** Fails the readiness check, completes open requests, hands over the lease and stops. */
  drain (): Promise<void>
  /** Stops immediately; open requests are interrupted. */
  close (): Promise<void>
}

/**
 * Starts an entry instance.
 *
 * @param settings The settings of the instance.
 * @param options The store, and replacements for other dependencies.
 * @returns The running instance, whose servers are listening.
 *
 * @example
 * ```ts
 * const instance = await runInstance(settings, { store: new HttpStore(settings.store.address) })
 * await instance.drain()
 * ```
 */
export async function runInstance (settings: Settings, options: RunOptions): Promise<RunningInstance> {
  const { h32 } = await xxhash()
  const { store } = options
  const log = createLog('instance')
  const metrics = createMetrics({ host: settings.metrics.statsd_host, port: settings.metrics.statsd_port })
  const nowMs = (): number => performance.now()
  const random = (): number => Math.random()
  const incarnation = `${settings.instance.name}:${randomUUID().slice(0, 8)}`
  const queue = Effect.runSync(Queue.unbounded<InstanceEvent>())
  const fibers: Array<Fiber.Fiber<unknown, unknown>> = []
  const peers = createPeerClient({ secret: settings.peers.shared_secret, timeoutMs: settings.peers.timeout_ms, nowMs })
  let configuration: StoredObject | undefined
  let draining = false
  let state = _initialState(0)

  const context: InterpreterContext = { settings, store, peers, metrics, log, incarnation, nowMs, random, state: () => state, dispatch }
  const placement = createPlacementEffects(context, options.engine === undefined ? HTTP_ENGINES : { engine: options.engine })
  const claims = createClaimsEffects(context)
  const requests = createRequestEffects(context)

  function dispatch (event: InstanceEvent): void {
    Queue.offerUnsafe(queue, event)
  }

  function isReady (): boolean {
    return !draining && state.deployment !== undefined && state.placement.shard !== undefined
  }

  function _initialState (peerPort: number): InstanceState {
    const self: PeerEntry = {
      name: settings.instance.name,
      incarnation,
      address: `${settings.instance.address}:${peerPort}`,
      availabilityZone: settings.instance.availability_zone,
      beat: 0,
      startedAtMs: Date.now(),
      leaving: false,
      configuration: 0
    }
    return newInstanceState(self, { settings, policy: options.policy ?? new ExpectedCostPolicy(), nowMs: nowMs(), seeds: options.seeds ?? [], hash: (text) => h32(text) })
  }

  const service: PeerService = {
    nowMs,
    demand: (demand) => new Promise((resolve) => {
      const call = randomUUID()
      placement.awaitEstimate(call, resolve)
      dispatch({ subject: 'placement', event: { kind: 'demand_received', call, demand, nowMs: nowMs() } })
    }),
    heartbeat: (instance, uses) => {
      dispatch({ subject: 'placement', event: { kind: 'usage_reported', instance, uses, nowMs: nowMs() } })
      return loadReports(state)
    },
    disclaim: (orderIds) => dispatch({ subject: 'placement', event: { kind: 'orders_disclaimed', orderIds, nowMs: nowMs() } }),
    gossip: (entries) => {
      dispatch({ subject: 'membership', event: { kind: 'gossip_received', entries, nowMs: nowMs() } })
      return gossipEntries(state.membership, nowMs(), { random: random() })
    },
    operate: claims.operateForPeer,
    configuration: () => configuration,
    warn: (fingerprint) => dispatch({ subject: 'requests', event: { kind: 'fingerprint_suspected', fingerprint, nowMs: nowMs() } }),
    suspect: (upstream, forMs) => dispatch({ subject: 'requests', event: { kind: 'upstream_suspected', upstream, forMs, nowMs: nowMs() } })
  }

  const callerServer = createCallerServer({
    instance: settings.instance.name,
    maxBodyBytes: settings.requests.max_body_bytes,
    nowMs,
    state: () => state,
    isReady,
    reject: (code, id) => {
      metrics.count(`rejected.${code}`)
      log('rejected', { request: id, reason: code })
    },
    receive: (request, exchange) => {
      requests.open(exchange)
      dispatch({ subject: 'requests', event: { kind: 'received', request, nowMs: nowMs() } })
    }
  })
  const peerServer = createPeerServer(service, settings.peers.shared_secret)
  const adminServer = createAdminServer({ settings, store, state: () => state, nowMs, isReady })

  async function perform (effect: InstanceEffect): Promise<void> {
    switch (effect.subject) {
      case 'placement': return await placement.perform(effect.effect)
      case 'requests': return await requests.perform(effect.effect)
      case 'claims': return await claims.perform(effect.effect)
      case 'operate': return await claims.operate(effect.to, effect.operation)
      case 'warn':
        await peers.warn(effect.to, effect.fingerprint)
        return
      case 'membership': return await performMembership(effect.effect)
      case 'demand': return await sendDemand(effect)
      case 'heartbeat': return await sendHeartbeat(effect)
    }
  }

  async function performMembership (effect: Extract<InstanceEffect, { subject: 'membership' }>['effect']): Promise<void> {
    if (effect.kind !== 'gossip') return
    const answer = await peers.gossip(effect.to, effect.entries)
    if (answer.isErr()) return
    dispatch({ subject: 'membership', event: { kind: 'gossip_received', entries: answer.value, nowMs: nowMs() } })
    await fetchConfiguration(effect.to, Math.max(...answer.value.map((entry) => entry.configuration)))
  }

  async function sendDemand (effect: Extract<InstanceEffect, { subject: 'demand' }>): Promise<void> {
    const estimate = await peers.demand(effect.to, effect.demand)
    if (estimate.isOk()) dispatch({ subject: 'requests', event: { kind: 'estimate_received', ...estimate.value, nowMs: nowMs() } })
  }

  async function sendHeartbeat (effect: Extract<InstanceEffect, { subject: 'heartbeat' }>): Promise<void> {
    const reports = await peers.heartbeat(effect.to, settings.instance.name, effect.uses)
    if (reports.isOk()) dispatch({ subject: 'reports', reports: reports.value, nowMs: nowMs() })
  }

  // Peers with a newer configuration provide it even while the store is down.
  async function fetchConfiguration (address: string, version: number): Promise<void> {
    if (version <= (configuration?.version ?? 0)) return
    const answer = await peers.configuration(address)
    if (answer.isOk() && answer.value !== null) applyConfiguration({ key: CONFIGURATION_KEY, ...answer.value })
  }

  function applyConfiguration (object: StoredObject): void {
    if (object.version === 0 || object.version <= (configuration?.version ?? 0)) return
    const checked = checkDocument(JSON.parse(object.value), ConfigurationSchema, { source: CONFIGURATION_KEY })
    const findings = checked.match((document) => findProblems(document, CONFIGURATION_KEY), (found) => found)
    if (checked.isErr() || findings.length > 0) {
      log('configuration refused', { reason: findings.map(formatFinding).join('; '), count: object.version })
      return
    }
    const isFirst = configuration === undefined
    configuration = object
    dispatch({ subject: 'deployment', deployment: buildDeployment(checked.value, object.version), nowMs: nowMs() })
    log('configuration in force', { count: object.version })
    if (isFirst) watchPlacementShard(checked.value.cell)
  }

  function watch (key: string, changed: (object: StoredObject) => void, failed: () => void): void {
    fibers.push(Effect.runFork(watchObject(store, key, { waitMs: settings.store.watch_ms, changed, failed, random })))
  }

  function watchPlacementShard (name: string): void {
    watch(placementShardKey(name),
      (object) => dispatch({ subject: 'placement', event: { kind: 'shard_read', version: object.version, shard: parsePlacementShard(object, name), nowMs: nowMs() } }),
      () => dispatch({ subject: 'placement', event: { kind: 'shard_read_failed', nowMs: nowMs() } }))
  }

  const loop = Effect.gen(function * () {
    while (true) {
      const events = yield * Queue.takeAll(queue)
      for (const event of events) {
        const reduced = reduceInstance(state, event)
        state = reduced.state
        for (const effect of reduced.effects) perform(effect).catch((error: unknown) => log('effect failed', { error: String(error) }))
      }
    }
  })

  const ticks = Effect.gen(function * () {
    while (true) {
      yield * Effect.sleep(hasPendingClaims(state.claims) ? CLAIMS_TICK_MS : TICK_MS)
      dispatch({ subject: 'tick', nowMs: nowMs(), clockMs: Date.now(), random: random() })
    }
  })

  const gauges = Effect.gen(function * () {
    while (true) {
      yield * Effect.sleep(GAUGE_INTERVAL_MS)
      reportGauges(state, metrics)
    }
  })

  const [httpPort, peerPort, adminPort] = await Promise.all([
    listen(callerServer.server, settings.instance.http_port, settings.instance.address),
    listen(peerServer, settings.instance.peer_port, settings.instance.address),
    listen(adminServer, settings.instance.admin_port, settings.instance.address)
  ])
  // The event loop has not started yet, so the state can be replaced by one with the actual peer port.
  state = _initialState(peerPort)
  fibers.push(Effect.runFork(loop), Effect.runFork(ticks), Effect.runFork(gauges))
  watch(CONFIGURATION_KEY, applyConfiguration, () => {
    for (const address of options.seeds ?? []) fetchConfiguration(address, Infinity).catch(() => {})
  })
  fibers.push(Effect.runFork(pollInstanceList(context, options.list ?? new StoreInstanceList(store))))
  log('instance started', { count: httpPort })

  async function close (): Promise<void> {
    await Promise.all(fibers.map((fiber) => Effect.runPromise(Fiber.interrupt(fiber))))
    await Promise.all([callerServer.server, peerServer, adminServer].map(closeServer))
    metrics.close()
  }

  async function drain (): Promise<void> {
    draining = true
    log('draining', { count: countOpenRequests(state) })
    // The load balancer keeps sending requests until it notices the failed readiness check; these are still served.
    callerServer.connections.announceEnd()
    await _sleep(settings.requests.drain_ms)
    dispatch({ subject: 'draining', nowMs: nowMs() })
    callerServer.connections.stopListening()
    await untilServed()
    await close()
    log('stopped', { count: countOpenRequests(state) })
  }

  // Requests end by their deadlines, and so does the wait for callers that read slowly. The rest has a time limit: the store may be away.
  async function untilServed (): Promise<void> {
    const limitMs = Math.max(MIN_DELIVERY_MS, settings.lease.lease_ttl_ms)
    let endMs = Infinity
    while (nowMs() < Math.max(endMs, callerServer.lastDeadlineMs())) {
      callerServer.connections.closeIdle()
      const isOpen = countOpenRequests(state) > 0
      const isHolder = state.placement.shard?.holder?.incarnation === incarnation
      const isRecording = claims.isBusy() || hasPendingClaims(state.claims)
      if (!isOpen && !isHolder && !isRecording && !callerServer.connections.isBusy()) return
      endMs = isOpen ? Infinity : Math.min(endMs, nowMs() + limitMs)
      await _sleep(DRAIN_POLL_MS)
    }
    log('stop time limit reached')
  }

  return { httpPort, peerPort, adminPort, incarnation, state: () => state, isReady, drain, close }
}

function _sleep (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}
