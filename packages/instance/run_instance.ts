import { randomUUID } from 'node:crypto'
import type { Server } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { EMPTY_SHARD, hasClaimsWork, type Operation, type OperationAnswer, type Shard } from '@berylshed/claims'
import { DocumentSchema, findProblems } from '@berylshed/configuration'
import { gossipEntries, liveEntries } from '@berylshed/membership'
import { emptyCell, ExpectedCostPolicy, type Cell, type Demand, type Outlook, type PlacementEffect, type Policy } from '@berylshed/placement'
import { HttpEngine, type Engine, type Store, type StoredObject } from '@berylshed/platform'
import type { RequestEffect } from '@berylshed/requests'
import { checkDocument, formatFinding, type Settings } from '@berylshed/settings'
import { Effect, Fiber, Queue } from 'effect'
import xxhash from 'xxhash-wasm'
import { createAdminServer } from './admin_server.ts'
import { createCallerExchanges } from './caller_exchanges.ts'
import { createCallerServer } from './caller_server.ts'
import { buildDeployment } from './deployment.ts'
import type { InstanceEffect } from './instance_effect.ts'
import type { InstanceEvent } from './instance_event.ts'
import { newInstanceState, type InstanceState } from './instance_state.ts'
import { createLog } from './log.ts'
import { createMetrics } from './metrics.ts'
import { createPeerClient } from './peer_client.ts'
import { createPeerServer, type PeerService } from './peer_router.ts'
import { countOpenRequests, loadReports, operationEvent, reduceInstance } from './reduce_instance.ts'
import { watchObject } from './_watch_object.ts'

/** Key of the configuration in the platform's store. */
export const CONFIGURATION_KEY = 'configuration'
/** Time between ticks while claims wait to be written, in ms. */
const CLAIMS_TICK_MS = 20
/** Time between ticks otherwise, in ms. */
const TICK_MS = 100
const SUSPICION_MS = 5000
const POLL_DRAIN_MS = 50

/** What an instance runs with besides its settings. */
export interface RunOptions {
  readonly store: Store
  /** Peer addresses that are tried before any peer is known. */
  readonly seeds?: readonly string[]
  readonly policy?: Policy
  engine? (address: string): Engine
}

/** A running entry instance. */
export interface RunningInstance {
  readonly httpPort: number
  readonly peerPort: number
  readonly adminPort: number
  readonly incarnation: string
  state (): InstanceState
  isReady (): boolean
  /** Fails readiness, finishes what runs, hands over the lease and stops. */
  drain (): Promise<void>
  /** Stops at once. */
  close (): Promise<void>
}

/**
 * Runs an entry instance.
 *
 * @param settings The instance's settings.
 * @param options The platform's store, and what tests replace.
 * @returns The running instance.
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
  const requestLog = createLog('requests')
  const metrics = createMetrics({ host: settings.metrics.statsd_host, port: settings.metrics.statsd_port })
  const nowMs = (): number => performance.now()
  const random = (): number => Math.random()
  const incarnation = `${settings.instance.name}:${randomUUID().slice(0, 8)}`
  const queue = Effect.runSync(Queue.unbounded<InstanceEvent>())
  const engines = new Map<string, Engine>()
  const outlooks = new Map<string, (outlook: Outlook) => void>()
  const operations = new Map<string, (answer: OperationAnswer) => void>()
  const fibers: Array<Fiber.Fiber<unknown, unknown>> = []
  let configuration: StoredObject | undefined
  let draining = false

  const peers = createPeerClient({ secret: settings.peers.shared_secret, timeoutMs: settings.peers.timeout_ms, nowMs })
  const exchanges = createCallerExchanges({
    connectTimeoutMs: settings.requests.connect_timeout_ms,
    progressTimeoutMs: settings.requests.progress_timeout_ms,
    nowMs,
    random,
    addressOf: (upstream) => state.deployment?.addresses.get(upstream),
    dispatch: (event) => dispatch({ subject: 'requests', event })
  })

  function dispatch (event: InstanceEvent): void {
    Queue.offerUnsafe(queue, event)
  }

  function engineFor (upstream: string): Engine | undefined {
    const address = state.deployment?.addresses.get(upstream)
    if (address === undefined) return undefined
    const known = engines.get(address)
    if (known !== undefined) return known
    const engine = options.engine?.(address) ?? new HttpEngine(address)
    engines.set(address, engine)
    return engine
  }

  function isReady (): boolean {
    return !draining && state.deployment !== undefined && state.placement.cell !== undefined
  }

  const callerServer = createCallerServer({
    instance: settings.instance.name,
    maxBodyBytes: settings.requests.max_body_bytes,
    nowMs,
    state: () => state,
    isReady,
    reject: (code) => metrics.count(`rejected.${code}`),
    receive: (request, exchange) => {
      exchanges.open(exchange)
      dispatch({ subject: 'requests', event: { kind: 'received', request, nowMs: nowMs() } })
    }
  })

  const service: PeerService = {
    nowMs,
    demand: (demand: Demand) => new Promise((resolve) => {
      const call = randomUUID()
      outlooks.set(call, resolve)
      dispatch({ subject: 'placement', event: { kind: 'demanded', call, demand, nowMs: nowMs() } })
    }),
    exchange: (instance, uses) => {
      dispatch({ subject: 'placement', event: { kind: 'used', instance, uses, nowMs: nowMs() } })
      return loadReports(state)
    },
    disclaim: (orderIds) => dispatch({ subject: 'placement', event: { kind: 'orders_disclaimed', orderIds, nowMs: nowMs() } }),
    gossip: (entries) => {
      dispatch({ subject: 'membership', event: { kind: 'gossip_received', entries, nowMs: nowMs() } })
      return gossipEntries(state.membership, nowMs(), { random: random() })
    },
    operate: (operation) => new Promise((resolve) => {
      operations.set(operation.id, resolve)
      dispatch({ subject: 'claims', event: { kind: 'operation_asked', operation, nowMs: nowMs(), clockMs: Date.now() } })
    }),
    configuration: () => configuration,
    warn: (fingerprint) => dispatch({ subject: 'requests', event: { kind: 'fingerprint_suspected', fingerprint, nowMs: nowMs() } }),
    suspect: (upstream, forMs) => dispatch({ subject: 'requests', event: { kind: 'upstream_suspected', upstream, forMs, nowMs: nowMs() } })
  }

  const peerServer = createPeerServer(service, settings.peers.shared_secret)
  const adminServer = createAdminServer({ settings, store, state: () => state, nowMs, isReady })
  const [httpPort, peerPort, adminPort] = await Promise.all([
    _listen(callerServer, settings.instance.http_port, settings.instance.address),
    _listen(peerServer, settings.instance.peer_port, settings.instance.address),
    _listen(adminServer, settings.instance.admin_port, settings.instance.address)
  ])

  const self = {
    name: settings.instance.name,
    incarnation,
    address: `${settings.instance.address}:${peerPort}`,
    availabilityZone: settings.instance.availability_zone,
    beat: 0,
    startedAtMs: Date.now(),
    leaving: false,
    configuration: 0
  }
  let state = newInstanceState(self, {
    settings, policy: options.policy ?? new ExpectedCostPolicy(), nowMs: nowMs(), seeds: options.seeds ?? [], hash: (text) => h32(text)
  })

  async function writeCell (effect: Extract<PlacementEffect, { kind: 'write_cell' }>): Promise<void> {
    const { writeId } = effect.cell
    const answer = await store.update(_cellKey(effect.cell.name), { value: JSON.stringify(effect.cell), expectedVersion: effect.expectedVersion })
    dispatch({
      subject: 'placement',
      event: answer.match(
        (version) => ({ kind: 'write_done', writeId, version, nowMs: nowMs() }),
        (failure) => failure.kind === 'conflict'
          ? { kind: 'write_conflicted', writeId, version: failure.current.version, cell: _parseCell(failure.current, effect.cell.name), nowMs: nowMs() }
          : { kind: 'write_lost', writeId, nowMs: nowMs(), random: random() })
    })
  }

  async function sendOrder (effect: Extract<PlacementEffect, { kind: 'send_order' }>): Promise<void> {
    const { order, model, memoryMb, upstream, notAfterMs } = effect
    const engine = engineFor(upstream)
    const answer = engine === undefined ? 'not_sent' : await engine.send({ order, model, memoryMb, mayLeave: () => nowMs() < notAfterMs })
    log(`order ${answer}`, { model, upstream, fence: order.fence, reason: order.kind })
    dispatch({ subject: 'placement', event: { kind: 'order_answered', orderId: order.id, answer, nowMs: nowMs() } })
  }

  async function probe (effect: Extract<PlacementEffect, { kind: 'probe' }>): Promise<void> {
    const status = await engineFor(effect.upstream)?.probe(effect.fence)
    if (status === undefined || status.isErr()) return
    dispatch({ subject: 'placement', event: { kind: 'status_reported', upstream: effect.upstream, probe: effect.probe, status: status.value, nowMs: nowMs() } })
  }

  async function performPlacement (effect: PlacementEffect): Promise<void> {
    switch (effect.kind) {
      case 'write_cell': return await writeCell(effect)
      case 'send_order': return await sendOrder(effect)
      case 'probe': return await probe(effect)
      case 'disclaim_orders':
        await peers.disclaim(effect.to.address, effect.orderIds)
        return
      case 'answer_demand':
        outlooks.get(effect.call)?.(effect.outlook)
        outlooks.delete(effect.call)
        return
      case 'count':
        log(effect.metric, effect.model === undefined ? {} : { model: effect.model })
        return metrics.count(`placement.${effect.metric}`)
      default:
    }
  }

  async function wake (effect: Extract<RequestEffect, { kind: 'wake' }>): Promise<void> {
    await Effect.runPromise(Effect.sleep(Math.max(0, effect.atMs - nowMs())))
    const kind = effect.why === 'deadline' ? 'deadline_passed' : 'retry_due'
    dispatch({ subject: 'requests', event: { kind, id: effect.id, nowMs: nowMs() } })
  }

  // A check on a new connection tells a broken connection from a broken upstream; peers learn of the latter.
  async function checkUpstream (upstream: string): Promise<void> {
    const address = state.deployment?.addresses.get(upstream)
    const reachable = address !== undefined && await _canConnect(address, settings.requests.connect_timeout_ms)
    const event = reachable
      ? { kind: 'upstream_cleared', upstream, nowMs: nowMs() } as const
      : { kind: 'upstream_suspected', upstream, forMs: SUSPICION_MS, nowMs: nowMs() } as const
    dispatch({ subject: 'requests', event })
    if (reachable) return
    await Promise.all(_otherPeers().map((address) => peers.suspect(address, upstream, SUSPICION_MS)))
  }

  function _otherPeers (): readonly string[] {
    return liveEntries(state.membership, nowMs()).filter((entry) => entry.incarnation !== incarnation).map((entry) => entry.address)
  }

  async function performRequests (effect: RequestEffect): Promise<void> {
    switch (effect.kind) {
      case 'wake': return await wake(effect)
      case 'check_upstream': return await checkUpstream(effect.upstream)
      case 'count': {
        const { request } = effect
        metrics.count(effect.metric)
        metrics.time('request.ms', nowMs() - request.receivedAtMs)
        requestLog(effect.metric, { request: request.id, customer: request.customer, model: request.target.name })
        return
      }
      default: exchanges.perform(effect)
    }
  }

  function answerOperation (operation: Operation, answer: OperationAnswer): void {
    const remote = operations.get(operation.id)
    operations.delete(operation.id)
    if (remote !== undefined) return remote(answer)
    const live = liveEntries(state.membership, nowMs())
    const event = operationEvent(operation, answer, {
      nowMs: nowMs(), random: random(), isLive: (holder) => live.some((entry) => entry.incarnation === holder)
    })
    if (event !== undefined) dispatch({ subject: 'requests', event })
  }

  async function operate (to: string, operation: Operation): Promise<void> {
    const answer = to === '' ? undefined : await peers.operate(to, operation)
    if (answer?.isOk() === true) return answerOperation(operation, answer.value)
    dispatch({ subject: 'claims', event: { kind: 'operation_asked', operation, nowMs: nowMs(), clockMs: Date.now() } })
  }

  async function readShard (shard: number): Promise<void> {
    const answer = await store.read(_shardKey(shard))
    const times = { nowMs: nowMs(), clockMs: Date.now() }
    dispatch({
      subject: 'claims',
      event: answer.match(
        (object) => ({ kind: 'shard_read', shard, version: object.version, value: _parseShard(object), ...times }),
        () => ({ kind: 'read_failed', shard, ...times }))
    })
  }

  async function writeShard (shard: number, expectedVersion: number, value: Shard): Promise<void> {
    const { writeId } = value
    const answer = await store.update(_shardKey(shard), { value: JSON.stringify(value), expectedVersion })
    const times = { nowMs: nowMs(), clockMs: Date.now() }
    dispatch({
      subject: 'claims',
      event: answer.match(
        (version) => ({ kind: 'write_done', shard, writeId, version, ...times }),
        (failure) => failure.kind === 'conflict'
          ? { kind: 'write_conflicted', shard, writeId, version: failure.current.version, value: _parseShard(failure.current), ...times }
          : { kind: 'write_lost', shard, writeId, ...times })
    })
  }

  async function perform (effect: InstanceEffect): Promise<void> {
    switch (effect.subject) {
      case 'placement': return await performPlacement(effect.effect)
      case 'requests': return await performRequests(effect.effect)
      case 'operate': return await operate(effect.to, effect.operation)
      case 'claims':
        if (effect.effect.kind === 'read_shard') return await readShard(effect.effect.shard)
        if (effect.effect.kind === 'write_shard') return await writeShard(effect.effect.shard, effect.effect.expectedVersion, effect.effect.value)
        return answerOperation(effect.effect.operation, effect.effect.answer)
      case 'warn':
        await peers.warn(effect.to, effect.fingerprint)
        return
      case 'membership': return await performMembership(effect.effect)
      case 'demand': return await demand(effect.to, effect.demand)
      case 'exchange': return await exchange(effect)
    }
  }

  async function performMembership (effect: Extract<InstanceEffect, { subject: 'membership' }>['effect']): Promise<void> {
    if (effect.kind !== 'gossip') return
    const answer = await peers.gossip(effect.to, effect.entries)
    if (answer.isErr()) return
    dispatch({ subject: 'membership', event: { kind: 'gossip_received', entries: answer.value, nowMs: nowMs() } })
    await learnFrom(effect.to, Math.max(...answer.value.map((entry) => entry.configuration)))
  }

  async function demand (to: string, wanted: Demand): Promise<void> {
    const outlook = await peers.demand(to, wanted)
    if (outlook.isOk()) dispatch({ subject: 'requests', event: { kind: 'outlook_known', ...outlook.value, nowMs: nowMs() } })
  }

  async function exchange (effect: Extract<InstanceEffect, { subject: 'exchange' }>): Promise<void> {
    const reports = await peers.exchange(effect.to, settings.instance.name, effect.uses)
    if (reports.isOk()) dispatch({ subject: 'reports', reports: reports.value, nowMs: nowMs() })
  }

  // A peer that has a newer configuration in force passes it on, also while the store is down.
  async function learnFrom (address: string, version: number): Promise<void> {
    if (version <= (configuration?.version ?? 0)) return
    const answer = await peers.configuration(address)
    if (answer.isOk() && answer.value !== null) learn({ key: CONFIGURATION_KEY, ...answer.value })
  }

  function learn (object: StoredObject): void {
    if (object.version === 0 || object.version <= (configuration?.version ?? 0)) return
    const checked = checkDocument(JSON.parse(object.value), DocumentSchema, { source: CONFIGURATION_KEY })
    const findings = checked.match((document) => findProblems(document, CONFIGURATION_KEY), (found) => found)
    if (checked.isErr() || findings.length > 0) {
      log('configuration refused', { reason: findings.map(formatFinding).join('; '), count: object.version })
      return
    }
    const first = configuration === undefined
    configuration = object
    dispatch({ subject: 'deployment', deployment: buildDeployment(checked.value, object.version), nowMs: nowMs() })
    log('configuration in force', { count: object.version })
    if (first) followCell(checked.value.cell)
  }

  function follow (key: string, seen: (object: StoredObject) => void, failed: () => void): void {
    fibers.push(Effect.runFork(watchObject(store, key, { waitMs: settings.store.watch_ms, seen, failed, random })))
  }

  function followCell (name: string): void {
    follow(_cellKey(name),
      (object) => dispatch({ subject: 'placement', event: { kind: 'cell_seen', version: object.version, cell: _parseCell(object, name), nowMs: nowMs() } }),
      () => dispatch({ subject: 'placement', event: { kind: 'cell_unseen', nowMs: nowMs() } }))
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
      yield * Effect.sleep(hasClaimsWork(state.claims) ? CLAIMS_TICK_MS : TICK_MS)
      dispatch({ subject: 'tick', nowMs: nowMs(), clockMs: Date.now(), random: random() })
    }
  })

  fibers.push(Effect.runFork(loop), Effect.runFork(ticks))
  follow(CONFIGURATION_KEY, learn, () => {
    for (const address of options.seeds ?? []) learnFrom(address, Infinity).catch(() => {})
  })
  log('instance started', { count: httpPort })

  async function close (): Promise<void> {
    await Promise.all(fibers.map((fiber) => Effect.runPromise(Fiber.interrupt(fiber))))
    await Promise.all([callerServer, peerServer, adminServer].map(_close))
    metrics.close()
  }

  async function drain (): Promise<void> {
    draining = true
    log('draining')
    // Callers keep coming until the balancer has seen the failed readiness, and are still served.
    await _pause(settings.requests.drain_ms)
    dispatch({ subject: 'draining', nowMs: nowMs() })
    while (countOpenRequests(state) > 0 || state.placement.cell?.holder?.incarnation === incarnation) await _pause(POLL_DRAIN_MS)
    await close()
  }

  return { httpPort, peerPort, adminPort, incarnation, state: () => state, isReady, drain, close }
}

function _cellKey (name: string): string {
  return `cells/${name}`
}

function _shardKey (shard: number): string {
  return `claims/${shard}`
}

function _parseCell (object: StoredObject, name: string): Cell {
  return object.version === 0 ? emptyCell(name) : JSON.parse(object.value) as Cell
}

function _parseShard (object: StoredObject): Shard {
  return object.version === 0 ? EMPTY_SHARD : JSON.parse(object.value) as Shard
}

function _listen (server: Server, port: number, address: string): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, address, () => resolve((server.address() as AddressInfo).port))
  })
}

function _close (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

function _pause (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}

function _canConnect (address: string, timeoutMs: number): Promise<boolean> {
  return new Promise((resolve) => {
    const [host, port] = address.split(':')
    const socket = connect({ host: host ?? '', port: Number(port), timeout: timeoutMs })
    const finish = (reachable: boolean): void => {
      socket.destroy()
      resolve(reachable)
    }
    socket.once('connect', () => finish(true))
    socket.once('error', () => finish(false))
    socket.once('timeout', () => finish(false))
  })
}
