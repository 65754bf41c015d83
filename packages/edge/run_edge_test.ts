import { createServer, request as httpRequest } from 'node:http'
import { connect, createServer as createTcpServer, type AddressInfo } from 'node:net'
import type { Configuration, Upstream } from '@berylshed/fleet'
import { EngineControl, PlatformStore, Registry, Store, type HostSettings, type UpstreamListing } from '@berylshed/platform'
import test from 'ava'
import { err, ok } from 'neverthrow'
import { startTestStore } from './_test_store.ts'
import { runEdge, type RunningEdge } from './run_edge.ts'

const HOLD_MS = 60_000

class FixedRegistry extends Registry {
  readonly #configuration: Configuration
  readonly #list: UpstreamListing

  constructor (configuration: Configuration, upstreams: readonly Upstream[]) {
    super()
    this.#configuration = configuration
    this.#list = { revision: 1, upstreams: new Map(upstreams.map((upstream) => [upstream.id, upstream])) }
  }

  override async readConfiguration () {
    return ok({ revision: 1, configuration: this.#configuration })
  }

  override async watchConfiguration () {
    await pause(HOLD_MS)
    return ok({ revision: 1, configuration: undefined })
  }

  override async listUpstreams () {
    return ok(this.#list)
  }

  override async watchUpstreams () {
    await pause(HOLD_MS)
    return ok({ revision: 1, changes: [] })
  }
}

class MemoryStore extends Store {
  #version = 0
  #value = ''

  override async read (key: string) {
    return ok({ key, version: this.#version, value: this.#value })
  }

  override async update (key: string, update: { readonly value: string, readonly expectedVersion: number }) {
    if (update.expectedVersion !== this.#version) return err({ kind: 'conflict' as const, current: { key, version: this.#version, value: this.#value } })
    this.#version += 1
    this.#value = update.value
    return ok(this.#version)
  }

  override async watch () {
    return ok(undefined)
  }
}

class NoEngines extends EngineControl {
  override async readReport () {
    return err({ kind: 'unreachable' as const, message: '' })
  }

  override async sendOrder () {
    return 'not_sent' as const
  }
}

function pause (durationMs: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, durationMs).unref() })
}

function freePort (): Promise<number> {
  return new Promise((resolve) => {
    const server = createTcpServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo
      server.close(() => resolve(port))
    })
  })
}

interface System {
  readonly edge: RunningEdge
  readonly callers: number
  readonly readiness: number
  readonly metrics: number
  close (): void
}

async function startSystem (answerAfterMs: number, store: Store = new MemoryStore()): Promise<System> {
  const upstreamServer = createServer((request, response) => {
    setTimeout(() => response.writeHead(200, { 'attempt-id': request.headers['attempt-id'], 'server-signature': 's', 'content-length': 2 }).end('ok'), answerAfterMs)
  })
  await new Promise<void>((resolve) => upstreamServer.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(upstreamServer.address() as AddressInfo).port}`
  const upstream: Upstream = {
    id: 'u1', service: 'orders', address, availabilityZone: 'a', incarnation: 1, softwareVersion: 'v1', slots: 4, leaving: false, residents: [], copies: { inMemory: [], onDisk: [] }
  }
  const configuration: Configuration = {
    version: 1,
    routes: [{
      name: 'lookups', host: 'api.example', pathPrefix: '/lookups/', repetition: 'idempotent', timeoutMs: 9000, objectiveMs: 5000, rank: 0, maxAttempts: 1, resumable: false, services: [{ service: 'orders', weight: 1 }]
    }],
    services: new Map([['orders', { name: 'orders', engine: undefined }]]),
    limits: { maxBodyBytes: 100, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
  }
  const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await Promise.all([freePort(), freePort(), freePort(), freePort()])
  const settings: HostSettings = {
    instance: 'entry-1',
    availabilityZone: 'a',
    callerAddress: `127.0.0.1:${callers}`,
    readinessAddress: `127.0.0.1:${readiness}`,
    peerAddress: `127.0.0.1:${peers}`,
    metricsAddress: `127.0.0.1:${metrics}`,
    storeAddress: '',
    bounds: {
      upstreamDrainMs: 2000, registrationTtlMs: 3600, configurationMs: 2000, shutdownGraceMs: 8000, retryBudgetRatio: 0.2, freeRetriesPerWindow: 40, retryWindowMs: 10_000, enginesCheckFence: true, holderChangeMs: 3000
    }
  }
  const logger = { write: () => {}, dropped: () => 0, end: async () => {} }
  const edge = await runEdge(settings, { store, registry: new FixedRegistry(configuration, [upstream]), engines: new NoEngines(), logger })
  while (await statusOf(readiness, '/readyz') !== 200) await pause(20)
  return { edge, callers, readiness, metrics, close: () => upstreamServer.close() }
}

interface RequestOptions {
  readonly method?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
}

function ask (port: number, path: string, options: RequestOptions = {}): Promise<{ readonly status: number, readonly text: string }> {
  return new Promise((resolve, reject) => {
    const headers = { host: 'api.example', 'attempt-id': 'a1', 'deadline-ms': '8000', ...options.headers }
    const request = httpRequest({ port, host: '127.0.0.1', path, method: options.method ?? 'GET', headers, agent: false }, (response) => {
      let text = ''
      response.on('data', (chunk: Buffer) => { text += chunk.toString() })
      response.on('end', () => resolve({ status: response.statusCode ?? 0, text }))
    })
    request.on('error', reject)
    request.end(options.body)
  })
}

async function statusOf (port: number, path: string, options?: RequestOptions): Promise<number> {
  return (await ask(port, path, options)).status
}

function canConnect (port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.destroy()
      resolve(true)
    })
    socket.on('error', () => resolve(false))
  })
}

test('requests are routed and answered, and invalid requests are rejected with a status', async (t) => {
  const system = await startSystem(0)
  const answers = {
    answered: await ask(system.callers, '/lookups/1'),
    noRoute: await statusOf(system.callers, '/other'),
    tooLarge: await statusOf(system.callers, '/lookups/1', { method: 'POST', body: 'x'.repeat(101) }),
    noId: await statusOf(system.callers, '/lookups/1', { headers: { 'attempt-id': '' } }),
    largeHeaders: await statusOf(system.callers, '/lookups/1', { headers: { 'x-large': 'x'.repeat(40_000) } })
  }
  t.deepEqual(answers, { answered: { status: 200, text: 'ok' }, noRoute: 404, tooLarge: 413, noId: 400, largeHeaders: 431 })
  const { text } = await ask(system.metrics, '/metrics')
  t.true(text.includes('berylshed_answered_total{route="lookups",status="200"} 1'))
  t.true(text.includes('berylshed_configuration_version 1'))
  await system.edge.close()
  system.close()
})

test('a draining instance fails readiness, accepts late requests for a while and completes all of them', async (t) => {
  const system = await startSystem(1200)
  const running = ask(system.callers, '/lookups/1')
  const drained = system.edge.drain()
  t.is(await statusOf(system.readiness, '/readyz'), 503)
  await pause(2000)
  const late = ask(system.callers, '/lookups/2')
  await pause(900)
  t.false(await canConnect(system.callers))
  t.deepEqual([(await running).status, (await late).status], [200, 200])
  await drained
  system.close()
})

test('the holder takes the lease of a restored store at once, with a fence that no earlier holder had', async (t) => {
  const store = await startTestStore()
  const copy = store.copy()
  const system = await startSystem(0, new PlatformStore(store.address))
  while (system.edge.state().scheduler.held === undefined) await pause(20)
  const before = system.edge.state().scheduler.held?.fence ?? 0
  store.restore(copy)
  while (store.names('berylshed-leases').length === 0) await pause(20)
  await pause(100)
  t.true((system.edge.state().scheduler.held?.fence ?? 0) > before)
  t.deepEqual(store.names('berylshed-leases'), ['scheduler-2'])
  await system.edge.close()
  system.close()
  store.close()
})
