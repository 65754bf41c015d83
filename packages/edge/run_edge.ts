import { randomUUID } from 'node:crypto'
import { getHeapStatistics } from 'node:v8'
import { storeRevision } from '@berylshed/fleet'
import type { EngineControl, HostSettings, Registry, Store } from '@berylshed/platform'
import { createEventLoop } from '@berylshed/reducer'
import type { Instant, Lease, OrderOutcome, SchedulerEffect } from '@berylshed/scheduler'
import { mayContinueStream, needsStoredOrigin, type ReceivedRequest, type ServingEvent } from '@berylshed/serving'
import { Effect, Fiber, HashMap } from 'effect'
import { createAdmission, type Admission } from './_admission.ts'
import { createCallerServer } from './_caller_server.ts'
import { createEdgeMetrics } from './_edge_metrics.ts'
import { createExchanges, type CallerExchange } from './_exchanges.ts'
import { followConfiguration, followUpstreams, type RegistryHooks } from './_follow_registry.ts'
import { createLimitedServer, PROBE_LIMITS } from './_limited_server.ts'
import { limitLines } from './_limit_lines.ts'
import { closeServer, listenAt, type ListenOptions } from './_listen.ts'
import { probeAddress } from './_probe_address.ts'
import { createMemoryWatch } from './_memory_watch.ts'
import { createPeerClient } from './_peer_client.ts'
import { createPeerServer } from './_peer_router.ts'
import type { EdgeEffect } from './edge_effect.ts'
import type { EdgeEvent } from './edge_event.ts'
import { isReady, newEdgeState, type EdgeState } from './edge_state.ts'
import type { HeartbeatRequest, RegistryUpdate } from './heartbeat.ts'
import { instanceLimits } from './instance_limits.ts'
import type { Logger } from './logger.ts'
import type { ArchiveEffect, ArchiveEvent } from './origin_archive.ts'
import { HISTORY_NAME } from './_archive_origins.ts'
import { answerHeartbeat, isConfigurationRelayed, isRegistryRelayed } from './_peer_heartbeat.ts'
import { reduceEdge } from './reduce_edge.ts'

/** Interval between ticks, in ms: a fraction of the shortest latency objective. */
const TICK_MS = 40
/** Kind of the objects that hold the origins of streams. */
const ARCHIVE_KIND = 'berylshed-origins'
/** Key of the lease in the store, which the era of the store completes; alone it is that of earlier builds. */
const LEASE_KEY = 'berylshed-leases/scheduler'
/**
 * Time for which a draining instance accepts new callers, in ms. The load balancer removes an instance after two failed
 * readiness probes, one second apart.
 */
const READINESS_DELAY_MS = 2600
/** Time over which the instances of a system that starts for the first time spread their attempts to take the lease, in ms; an instance reads it several times meanwhile. */
const FIRST_TAKEOVER_SPREAD_MS = 2000
/** Maximum part of the grace period reserved for the exit of the process, in ms. */
const EXIT_RESERVE_MS = 700
/** Maximum part of the grace period in which the last responses are delivered, in ms: many round trips within a region. */
const DELIVERY_RESERVE_MS = 300
/** Maximum share of the grace period for both; with ticks that are late, requests may still run until its last sixth. */
const RESERVES_SHARE = 0.125
/** Share of the grace period after which requests may be ended. */
const LAST_PART_SHARE = 5 / 6
const DRAIN_POLL_MS = 50
/** Maximum delay of a signal that is allowed for, as a share of the grace period; the rest is needed to end requests. */
const MAX_SIGNAL_DELAY_SHARE = 0.5
/** Maximum time for closing what is still open, in ms; a part of the time reserved for the exit. */
const CLOSE_TIMEOUT_MS = 300
/** The same as a share of the grace period. */
const CLOSE_TIMEOUT_SHARE = 0.0375
/** Time after the end of a registration's validity until its removal is known, in ms: one watch and some delay. */
const REMOVAL_DELAY_MS = 1000

/** Maximum number of lines per second on rejected keys of one reason; with six reasons some 12 KB, a small part of what may wait for the reader. */
const MAX_KEY_LINES_PER_S = 10
const UNAUTHORIZED = 401
/** Characters of a key's digest that are logged. */
const LOGGED_DIGEST_LENGTH = 8

/** Platform services and logger that an instance uses. */
export interface EdgeDependencies {
  readonly store: Store
  readonly registry: Registry
  readonly engines: EngineControl
  readonly logger: Logger
  /** Ends a start that waits for an address. */
  readonly stopping?: AbortSignal
  /** Returns the resident memory of the process, in bytes; that of this process by default, which is not the instance's if it shares the process. */
  readonly residentBytes?: () => number
}

/** Addresses at which an instance listens, as host and port. */
export type EdgeAddresses = Pick<HostSettings, 'callerAddress' | 'readinessAddress' | 'peerAddress' | 'relayAddress' | 'metricsAddress'>

/** A running instance. */
export interface RunningEdge {
  /** The addresses that were bound; where the settings name port 0, the system has chosen a free one. */
  readonly addresses: EdgeAddresses
  /** Returns the current state. */
  state (): EdgeState
  /** Fails readiness, completes open requests, releases the lease and stops. */
  drain (): Promise<void>
  /** Stops immediately. */
  close (): Promise<void>
}

/**
 * Runs an entry instance on the platform.
 *
 * @param settings The settings that the platform provides.
 * @param dependencies The services of the platform and the logger.
 * @returns The running instance.
 *
 * @example
 * ```ts
 * const edge = await runEdge(settings, { store, registry: store.registry, engines, logger })
 * await edge.drain()
 * ```
 */
export async function runEdge (settings: HostSettings, dependencies: EdgeDependencies): Promise<RunningEdge> {
  const { logger, store } = dependencies
  const { bounds } = settings
  const nowMs = (): number => performance.now()
  const at = (): Instant => ({ nowMs: performance.now(), clockMs: Date.now() })
  const peers = createPeerClient()
  const self = { instance: settings.instance, incarnation: randomUUID().slice(0, 8), address: '' }
  const loop = createEventLoop<EdgeState, EdgeEvent, EdgeEffect>({
    initial: newEdgeState(self, {
      availabilityZone: settings.availabilityZone,
      retryBudget: { ratio: bounds.retryBudgetRatio, minRetries: bounds.freeRetriesPerWindow, windowMs: bounds.retryWindowMs },
      leaseBounds: bounds,
      phase: Math.random(),
      startedAtMs: nowMs(),
      ...settings.firstStart ? { firstTakeoverMs: Math.random() * FIRST_TAKEOVER_SPREAD_MS } : {},
      registryDelayMs: Math.min(bounds.upstreamDrainMs, bounds.configurationMs),
      storeWritesPerS: settings.storeWritesPerS
    }),
    reduce: reduceEdge,
    perform,
    failed: (error, event) => {
      logFailure(error)
      // The event is lost, so that its request would wait for an outcome until its deadline.
      if (event.subject === 'serving') exchanges.giveUp(_requestOf(event.event))
    }
  })
  const admission = createAdmission({
    limits: instanceLimits({ memoryBytes: settings.memoryBytes, heapBytes: getHeapStatistics().heap_size_limit, maxDescriptors: settings.maxDescriptors }),
    memoryBytes: settings.memoryBytes,
    attempts: () => exchanges.running(),
    freed: (bytes) => memoryWatch.freed(bytes, nowMs())
  })
  const memoryWatch = createMemoryWatch({
    admission,
    memoryBytes: settings.memoryBytes,
    residentBytes: dependencies.residentBytes ?? process.memoryUsage.rss,
    // Only there with the option that the deploy file gives to Node.
    collect: (type) => {
      const startedMs = nowMs()
      if (type === 'major') globalThis.gc?.()
      else globalThis.gc?.({ type })
      return nowMs() - startedMs
    },
    changed: (line) => logger.write('process', line)
  })
  const metrics = createEdgeMetrics(() => _gaugeValues(loop.state(), { logger, admission, nowMs: nowMs() }))
  const exchanges = createExchanges({
    responses: admission.responses,
    nowMs,
    upstream: (id) => loop.state().list?.upstreams.get(id),
    hasCustomers: () => loop.state().customerTable !== undefined,
    isDraining: () => loop.state().draining,
    mayContinue: (id) => mayContinueStream(loop.state().serving, id, nowMs()),
    needsStoredOrigin: (id) => needsStoredOrigin(loop.state().serving, id, nowMs()),
    dispatch: (event) => loop.dispatch({ subject: 'serving', event }),
    failed: logFailure,
    undelivered: ({ callerId }) => logger.write('callers', { what: 'undelivered', request: callerId }),
    revoked: ({ callerId, identity, keyDigest = '' }) => {
      metrics.countRevoked()
      logger.write('callers', { what: 'revoked', request: callerId, customer: identity?.customer, keyDigest: keyDigest.slice(0, LOGGED_DIGEST_LENGTH), configuration: loop.state().configuration?.version ?? 0 })
    },
    unread: ({ callerId }, unread) => logger.write('callers', { what: 'unread', request: callerId, bytes: unread.bytes, unreadMs: Math.round(unread.unreadMs), unreported: unread.unreported })
  })
  const keyLines = limitLines(MAX_KEY_LINES_PER_S, nowMs)
  const callerServerOptions = {
    admission,
    nowMs,
    random: () => Math.random(),
    state: loop.state,
    receive: (request: ReceivedRequest, exchange: CallerExchange): void => {
      exchanges.open(exchange)
      loop.dispatch({ subject: 'serving', event: { kind: 'received', request, nowMs: nowMs() } })
    },
    halfClosed: (callerId: string): void => logger.write('callers', { what: 'half_closed', request: callerId }),
    rejected: (callerId: string, status: number, reason: string, keyDigest?: string): void => {
      metrics.countRejected(status, reason)
      const unreported = status === UNAUTHORIZED ? keyLines(reason) : 0
      if (unreported === undefined) return
      logger.write('callers', { what: 'rejected', request: callerId, status, reason, ...keyDigest === undefined ? {} : { keyDigest }, configuration: loop.state().configuration?.version ?? 0, ...unreported === 0 ? {} : { unreported } })
    }
  }
  const callerServer = createCallerServer({ ...callerServerOptions, forInstances: false })
  const relayServer = createCallerServer({ ...callerServerOptions, forInstances: true })
  const peerServer = createPeerServer({
    heartbeat: (request) => {
      applyUpdate(request.update)
      loop.dispatch({ subject: 'heartbeat_received', request, at: at() })
      return answerHeartbeat(loop.state(), request, at())
    }
  })
  const readinessServer = createLimitedServer(PROBE_LIMITS, (_request, response) => {
    const ready = isReady(loop.state())
    response.writeHead(ready ? 200 : 503, { 'Content-Type': 'text/plain' }).end(ready ? 'ready\n' : 'not ready\n')
  })

  function applyUpdate (update: RegistryUpdate | undefined): void {
    // One of an earlier release lacks the customers, and would let every caller in; it is read from the store instead.
    if (update?.configuration !== undefined && update.readsCustomers === true) applyConfiguration(update.configuration, 'peer')
    if (update?.upstreams !== undefined) loop.dispatch({ subject: 'upstreams_updated', update: update.upstreams, at: at() })
  }

  function applyConfiguration (configuration: NonNullable<EdgeState['configuration']>, from: 'store' | 'peer'): void {
    loop.dispatch({ subject: 'configured', configuration, from, at: at() })
    for (const server of [callerServer, relayServer]) server.configure(loop.state().configuration ?? configuration)
    if (bounds.revocationMs !== undefined) revokeRequests()
  }

  // At once, which is within any time that the platform may name.
  function revokeRequests (): void {
    const { customerTable } = loop.state()
    if (customerTable !== undefined) exchanges.revoke((keyDigest, customer) => customerTable.get(keyDigest)?.name === customer)
  }

  function perform (effect: EdgeEffect): void {
    switch (effect.subject) {
      case 'serving':
        if (effect.effect.kind === 'probe') return probe(effect.effect.upstream)
        if (effect.effect.kind !== 'record') return exchanges.perform(effect.effect)
        metrics.countRequest(effect.effect.record)
        return logger.write('requests', _roundNumbers(effect.effect.record))
      case 'scheduler': return performScheduler(effect.effect)
      case 'heartbeat':
        sendHeartbeat(effect.to, effect.request).catch(logFailure)
        return
      case 'archive':
        performArchive(effect.effect).catch(logFailure)
        return
      case 'record': return logger.write('beliefs', _roundNumbers(effect.record))
    }
  }

  function probe (upstream: string): void {
    const address = loop.state().list?.upstreams.get(upstream)?.address
    if (address === undefined) return
    probeAddress(address).then((reached) => {
      loop.dispatch({ subject: 'serving', event: { kind: 'upstream_probed', upstream, reached, nowMs: nowMs() } })
    }).catch(logFailure)
  }

  function logFailure (error: unknown): void {
    logger.write('process', { what: 'effect_failed', reason: error instanceof Error ? error.stack ?? error.message : String(error) })
  }

  function performScheduler (effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'read_lease': readLease().catch(logFailure); return
      case 'write_lease': writeLease(effect).catch(logFailure); return
      case 'poll_engine': askEngine(effect).catch(logFailure); return
      case 'send_order': sendOrder(effect).catch(logFailure); return
      case 'record':
        metrics.countOrder(effect.record)
        return logger.write('scheduler', _roundNumbers(effect.record))
      case 'placement_changed':
    }
  }

  async function readLease (): Promise<void> {
    const era = store.era()
    const read = await store.read(`${LEASE_KEY}-${era}`)
    const legacy = read.isOk() && read.value.version === 0 ? await store.read(LEASE_KEY) : undefined
    if (store.era() !== era) return await readLease()
    loop.dispatch({
      subject: 'scheduler',
      event: (legacy ?? read).match(
        ({ version, value }) => legacy === undefined || version === 0
          ? { kind: 'lease_read', era, version, lease: _parseLease(value), ...at() }
          : { kind: 'lease_read', era, version: 0, lease: _parseLease(value), legacy: true, ...at() },
        () => ({ kind: 'lease_read_failed', ...at() }))
    })
  }

  async function writeLease (effect: Extract<SchedulerEffect, { kind: 'write_lease' }>): Promise<void> {
    const { era, lease: { writeId } } = effect
    const written = store.era() === era
      ? await store.update(`${LEASE_KEY}-${era}`, { value: JSON.stringify(effect.lease), expectedVersion: effect.expectedVersion })
      : undefined
    if (written === undefined || store.era() !== era) return loop.dispatch({ subject: 'scheduler', event: { kind: 'store_restored', era: store.era(), ...at() } })
    loop.dispatch({
      subject: 'scheduler',
      event: written.match(
        (version) => ({ kind: 'lease_written', writeId, version, ...at() }),
        (failure) => failure.kind === 'conflict'
          ? { kind: 'lease_conflicted', writeId, version: failure.current.version, lease: _parseLease(failure.current.value), ...at() }
          : { kind: 'lease_write_failed', writeId, ...at() })
    })
  }

  async function performArchive (effect: ArchiveEffect): Promise<void> {
    loop.dispatch({ subject: 'archive', event: await archiveEvent(effect), at: at() })
  }

  async function archiveEvent (effect: ArchiveEffect): Promise<ArchiveEvent> {
    switch (effect.kind) {
      case 'read_history': {
        const read = await store.read(`${ARCHIVE_KIND}/${HISTORY_NAME}`)
        return read.match(({ version, value }): ArchiveEvent => ({ kind: 'history_read', version, value }), ({ message }) => archiveFailed({ kind: 'read_failed' }, message))
      }
      case 'read_segments': {
        const listed = await store.list(ARCHIVE_KIND)
        return listed.match((objects): ArchiveEvent => ({ kind: 'segments_read', values: objects.filter(({ key }) => key !== `${ARCHIVE_KIND}/${HISTORY_NAME}`).map(({ value }) => value) }), ({ message }) => archiveFailed({ kind: 'read_failed' }, message))
      }
      case 'write': {
        const { name, value, expectedVersion } = effect
        const written = await store.update(`${ARCHIVE_KIND}/${name}`, { value, expectedVersion })
        return written.match((version): ArchiveEvent => ({ kind: 'written', name, version }), (failure) => failure.kind === 'conflict'
          ? { kind: 'conflicted', name, version: failure.current.version, value: failure.current.value }
          : archiveFailed({ kind: 'write_failed', name }, failure.message))
      }
    }
  }

  function archiveFailed (event: ArchiveEvent, reason: string): ArchiveEvent {
    logger.write('dependencies', { what: 'archive_failed', name: event.kind, reason })
    return event
  }

  async function askEngine (effect: Extract<SchedulerEffect, { kind: 'poll_engine' }>): Promise<void> {
    const { id } = effect.upstream
    const report = await dependencies.engines.readReport(effect.upstream)
    loop.dispatch({
      subject: 'scheduler',
      event: report.match(
        (value) => ({ kind: 'engine_reported', upstream: id, polledAtMs: effect.polledAtMs, report: value, ...at() }),
        () => ({ kind: 'engine_report_failed', upstream: id, polledAtMs: effect.polledAtMs, ...at() }))
    })
  }

  // Checks the order's latest time right before sending it; the engine checks the fencing token.
  async function sendOrder (effect: Extract<SchedulerEffect, { kind: 'send_order' }>): Promise<void> {
    const { order, upstream, fence, notAfterMs } = effect
    const { operation, model, adapter } = order.planned
    const outcome: OrderOutcome = nowMs() >= notAfterMs
      ? 'not_sent'
      : await dependencies.engines.sendOrder(upstream, {
        operation, model, ...adapter === undefined ? {} : { adapter }, expectedSequence: order.expectedSequence, fence, holder: self.instance
      })
    loop.dispatch({ subject: 'scheduler', event: { kind: 'order_ended', upstream: upstream.id, order: order.id, outcome, ...at() } })
  }

  async function sendHeartbeat (to: string, request: HeartbeatRequest): Promise<void> {
    const answer = await peers.heartbeat(to, request)
    if (answer.isErr()) return loop.dispatch({ subject: 'heartbeat_failed', refused: answer.error.refused, at: at() })
    applyUpdate(answer.value.update)
    loop.dispatch({ subject: 'heartbeat_answered', answer: answer.value, at: at() })
  }

  const hooks: RegistryHooks = {
    nowMs,
    registrationTtlMs: bounds.registrationTtlMs + REMOVAL_DELAY_MS,
    random: () => Math.random(),
    instances: () => loop.state().serving.instances,
    configured: (configuration) => applyConfiguration(configuration, 'store'),
    listed: (list) => loop.dispatch({ subject: 'listed', list, at: at() }),
    newestList: () => loop.state().list,
    isRelayed: (what) => what === 'configuration' ? isConfigurationRelayed(loop.state(), nowMs()) : isRegistryRelayed(loop.state(), nowMs()),
    read: (what, sentAtMs) => loop.dispatch({ subject: 'registry_read', what, sentAtMs, at: at() }),
    lost: (name, reason) => {
      metrics.countDependency(name, 'lost')
      logger.write('dependencies', { what: 'lost', name, reason })
    },
    regained: (name) => {
      metrics.countDependency(name, 'regained')
      logger.write('dependencies', { what: 'regained', name })
    }
  }

  const listenOptions: ListenOptions = {
    ...dependencies.stopping === undefined ? {} : { stopping: dependencies.stopping },
    report: (what, wait) => logger.write('process', { what, ...wait }),
    failed: (error) => logger.write('process', { what: 'server_failed', reason: String(error) })
  }
  const [callerAddress, relayAddress, readinessAddress, metricsAddress] = await Promise.all([
    listenAt(callerServer.server, settings.callerAddress, listenOptions),
    listenAt(relayServer.server, settings.relayAddress, listenOptions),
    listenAt(readinessServer, settings.readinessAddress, listenOptions),
    listenAt(metrics.server, settings.metricsAddress, listenOptions)
  ])
  // Last, as other instances bring a configuration, with which callers would be served before there are ticks.
  const peerAddress = await listenAt(peerServer, settings.peerAddress, listenOptions)
  loop.dispatch({ subject: 'listening', peerAddress, relayAddress, at: at() })
  const registryFibers = [followConfiguration(dependencies.registry, hooks), followUpstreams(dependencies.registry, hooks)].map((follow) => Effect.runFork(follow))
  /** Times of the last two ticks. */
  let ticksAtMs: readonly [number, number] = [nowMs(), nowMs()]
  const tickTimer = setInterval(() => {
    ticksAtMs = [ticksAtMs[1], nowMs()]
    loop.dispatch({ subject: 'tick', at: at() })
    exchanges.expire()
    memoryWatch.tick(nowMs())
  }, TICK_MS)
  logger.write('process', { what: 'started', incarnation: self.incarnation, zone: settings.availabilityZone, callers: callerAddress })

  async function close (): Promise<void> {
    clearInterval(tickTimer)
    for (const server of [callerServer, relayServer]) attempt(() => server.refuseArriving())
    attempt(() => loop.dispatch({ subject: 'serving', event: { kind: 'closed', nowMs: nowMs() } }))
    // A call that cannot be interrupted or a connection that cannot be closed must not outlast the grace period.
    const closeTimeoutMs = Math.min(CLOSE_TIMEOUT_MS, bounds.shutdownGraceMs * CLOSE_TIMEOUT_SHARE)
    const isClosed = await Promise.race([stopAll().then(() => true), _sleep(closeTimeoutMs).then(() => false)])
    logger.write('process', { what: 'stopped', ...isClosed ? {} : { reason: 'calls or connections remained open' } })
  }

  async function stopAll (): Promise<void> {
    await Promise.all(registryFibers.map((fiber) => Effect.runPromise(Fiber.interrupt(fiber))))
    const servers = [callerServer.server, relayServer.server, readinessServer, peerServer, metrics.server]
    for (const server of servers) server.closeAllConnections()
    await Promise.all(servers.map(closeServer))
  }

  // A step that throws must not keep a drain from the steps that complete open requests.
  function attempt (step: () => void): void {
    try {
      step()
    } catch (error) {
      logFailure(error)
    }
  }

  async function drain (): Promise<void> {
    // A signal that comes while the process is short of processor time is handled late, perhaps after a tick that was late as well. It may have come
    // since that tick, so that requests end no earlier than the last sixth of the grace period allows if it has just come.
    const handledAtMs = nowMs()
    const signalledAtMs = Math.max(ticksAtMs[0], handledAtMs - bounds.shutdownGraceMs * MAX_SIGNAL_DELAY_SHARE)
    const reservesScale = Math.min(1, bounds.shutdownGraceMs * RESERVES_SHARE / (EXIT_RESERVE_MS + DELIVERY_RESERVE_MS))
    const deliveryMs = DELIVERY_RESERVE_MS * reservesScale
    const latestMs = signalledAtMs + bounds.shutdownGraceMs - EXIT_RESERVE_MS * reservesScale
    const closesAtMs = Math.min(latestMs, Math.max(latestMs - deliveryMs, handledAtMs + bounds.shutdownGraceMs * LAST_PART_SHARE))
    const endMs = closesAtMs + deliveryMs
    attempt(() => logger.write('process', { what: 'draining', open: exchanges.size(), leftMs: Math.round(closesAtMs - nowMs()) }))
    attempt(() => loop.dispatch({ subject: 'draining', newCallersUntilMs: signalledAtMs + READINESS_DELAY_MS, closesAtMs, at: at() }))
    await _sleep(Math.min(READINESS_DELAY_MS, closesAtMs - nowMs()))
    attempt(() => loop.dispatch({ subject: 'serving', event: { kind: 'shutdown_started', nowMs: nowMs() } }))
    const servers = [callerServer, relayServer]
    // After a stall this runs before connections are accepted that the kernel has taken, and would be reset.
    await new Promise((resolve) => setImmediate(resolve))
    // A request accepted later could be cut off at the end of the grace period.
    for (const { connections } of servers) attempt(() => connections.stopListening())
    const isBusy = (): boolean => exchanges.size() > 0 || servers.some(({ connections }) => connections.isBusy())
    while (nowMs() < endMs && (isBusy() || loop.state().scheduler.held !== undefined)) {
      await _sleep(DRAIN_POLL_MS)
      for (const server of servers) {
        if (nowMs() >= closesAtMs) attempt(() => server.refuseArriving())
        attempt(() => server.connections.closeIdle())
      }
    }
    await close()
  }

  return { addresses: { callerAddress, readinessAddress, peerAddress, relayAddress, metricsAddress }, state: loop.state, drain, close }
}

// Returns the id of the request that an event concerns; empty if it concerns none.
function _requestOf (event: ServingEvent): string {
  if (event.kind === 'received') return event.request.id
  return 'id' in event ? event.id : ''
}

function _parseLease (value: string): Lease | undefined {
  return value === '' ? undefined : JSON.parse(value) as Lease
}

function _gaugeValues (state: EdgeState, now: { readonly logger: Logger, readonly admission: Admission, readonly nowMs: number }) {
  return {
    waiting: [...state.serving.waiting.values()].reduce((sum, queue) => sum + queue.length, 0),
    open: HashMap.size(state.serving.requests),
    configurationVersion: state.configuration?.version ?? 0,
    listRevision: storeRevision(state.list?.revision ?? 0).revision,
    storeEra: storeRevision(state.list?.revision ?? 0).era,
    holdsLease: state.scheduler.held !== undefined,
    fence: state.scheduler.held?.fence ?? state.received?.view.fence ?? 0,
    viewAgeMs: state.scheduler.held !== undefined || state.received === undefined ? 0 : now.nowMs - state.received.receivedAtMs,
    droppedLines: now.logger.dropped(),
    bufferedBytes: now.admission.responses.usedBytes(),
    held: now.admission.held()
  }
}

/** Log fields that are rates rather than times. */
const RATE_FIELDS = ['perS']

// Logs times in whole milliseconds and rates with two decimals.
function _roundNumbers (record: object): Readonly<Record<string, string | number | boolean | undefined>> {
  return Object.fromEntries(Object.entries(record).map(([key, value]) => [key, typeof value !== 'number' ? value : RATE_FIELDS.includes(key) ? Math.round(value * 100) / 100 : Math.round(value)]))
}

function _sleep (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}
