import { request as httpRequest } from 'node:http'
import type { Configuration, Upstream } from '@berylshed/fleet'
import { EngineControl, Registry, Store, type HostSettings, type RegistryWatch, type StoredObject, type UpstreamListing } from '@berylshed/platform'
import { err, ok } from 'neverthrow'
import type { Logger } from './logger.ts'
import { runEdge, type RunningEdge } from './run_edge.ts'

const HOLD_MS = 60_000

/** A registry with a fixed configuration and list of upstreams. */
export class FixedRegistry extends Registry {
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

  override async watchUpstreams ({ waitMs }: RegistryWatch) {
    await pause(waitMs)
    return ok({ revision: 1, changes: [] })
  }
}

/** A store in memory. */
export class MemoryStore extends Store {
  readonly #objects = new Map<string, StoredObject>()

  override async read (key: string) {
    return ok(this.#read(key))
  }

  override async list (kind: string) {
    return ok([...this.#objects.values()].filter(({ key }) => key.startsWith(`${kind}/`)))
  }

  override async update (key: string, update: { readonly value: string, readonly expectedVersion: number }) {
    const current = this.#read(key)
    if (update.expectedVersion !== current.version) return err({ kind: 'conflict' as const, current })
    this.#objects.set(key, { key, version: current.version + 1, value: update.value })
    return ok(current.version + 1)
  }

  #read (key: string): StoredObject {
    return this.#objects.get(key) ?? { key, version: 0, value: '' }
  }

  override async watch () {
    return ok(undefined)
  }
}

/** Engines that cannot be reached. */
export class NoEngines extends EngineControl {
  override async readReport () {
    return err({ kind: 'unreachable' as const, message: '' })
  }

  override async sendOrder () {
    return 'not_sent' as const
  }
}

/** Waits without keeping the process alive. */
export function pause (durationMs: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, durationMs).unref() })
}

/** Returns the port of an address of the form `host:port`. */
export function portOf (address: string): number {
  return Number(address.slice(address.lastIndexOf(':') + 1))
}

/** A running instance and its ports. */
export interface TestInstance {
  readonly edge: RunningEdge
  readonly callers: number
  readonly readiness: number
  readonly metrics: number
}

/** What a test instance knows of the platform. */
export interface TestPlatform {
  readonly store: Store
  readonly registry: Registry
}

/** Grace period of test instances, in ms. */
export const TEST_GRACE_MS = 8000

/** A line that a test instance logs. */
export type LoggedLine = Parameters<Logger['write']>[1]

/** Starts an instance and waits until it is ready; its lines are added to `lines`. */
export async function startInstance (instance: string, platform: TestPlatform, { lines = [], revocationMs }: { readonly lines?: LoggedLine[], readonly revocationMs?: number } = {}): Promise<TestInstance> {
  // The listener binds a free port itself, as one picked ahead may be taken before it listens.
  const anyPort = '127.0.0.1:0'
  const settings: HostSettings = {
    instance,
    availabilityZone: 'a',
    callerAddress: anyPort,
    readinessAddress: anyPort,
    peerAddress: anyPort,
    relayAddress: anyPort,
    metricsAddress: anyPort,
    storeAddress: '',
    storeWritesPerS: 400,
    firstStart: false,
    memoryBytes: 480 * 1024 * 1024,
    maxDescriptors: 6300,
    bounds: {
      upstreamDrainMs: 2000, registrationTtlMs: 3600, configurationMs: 2000, shutdownGraceMs: TEST_GRACE_MS, retryBudgetRatio: 0.2, freeRetriesPerWindow: 40, retryWindowMs: 10_000, enginesCheckFence: true, holderChangeMs: 3000, ...revocationMs === undefined ? {} : { revocationMs }
    }
  }
  const logger: Logger = { write: (_topic, line) => { lines.push(line) }, dropped: () => 0, end: async () => {} }
  const edge = await runEdge(settings, { ...platform, engines: new NoEngines(), logger, residentBytes: () => 0 })
  const { callerAddress, readinessAddress, metricsAddress } = edge.addresses
  const readiness = portOf(readinessAddress)
  while (await statusOf(readiness, '/readyz') !== 200) await pause(20)
  return { edge, callers: portOf(callerAddress), readiness, metrics: portOf(metricsAddress) }
}

/** A request to an instance. */
export interface RequestOptions {
  readonly method?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
  /** Loopback address of the caller. */
  readonly from?: string
}

/** Sends a request and returns the whole response. */
export function ask (port: number, path: string, options: RequestOptions = {}): Promise<{ readonly status: number, readonly text: string }> {
  return new Promise((resolve, reject) => {
    const headers = { host: 'api.example', 'attempt-id': 'a1', 'deadline-ms': '8000', ...options.headers }
    const request = httpRequest({ port, host: '127.0.0.1', path, method: options.method ?? 'GET', headers, agent: false, ...options.from === undefined ? {} : { localAddress: options.from } }, (response) => {
      let text = ''
      response.on('data', (chunk: Buffer) => { text += chunk.toString() })
      response.on('end', () => resolve({ status: response.statusCode ?? 0, text }))
      response.on('error', reject)
    })
    request.on('error', reject)
    request.end(options.body)
  })
}

/** Sends a request and returns its status. */
export async function statusOf (port: number, path: string, options?: RequestOptions): Promise<number> {
  return (await ask(port, path, options)).status
}

/** What a caller gets. */
export interface CallerOutcome {
  /** Status of the response; 0 if the connection ended without one. */
  readonly status: number
  readonly text: string
  /** Whether the response ended as a complete one. */
  readonly isComplete: boolean
  /** Whether the response names the length of its body. */
  readonly hasLength: boolean
  readonly elapsedMs: number
}

/** Time after which a caller gives up, in ms; beyond the deadlines of tests. */
const GIVE_UP_MS = 10_000

/** Sends a request and returns what the caller gets, also if the response is broken off or never comes. */
export function outcomeOf (port: number, path: string, options: RequestOptions = {}): Promise<CallerOutcome> {
  return new Promise((resolve) => {
    const startedMs = performance.now()
    const headers = { host: 'api.example', 'attempt-id': 'a1', 'deadline-ms': '3000', ...options.headers }
    let [status, text, hasLength] = [0, '', false]
    const end = (isComplete: boolean): void => {
      clearTimeout(timer)
      resolve({ status, text, isComplete, hasLength, elapsedMs: performance.now() - startedMs })
    }
    const request = httpRequest({ port, host: '127.0.0.1', path, method: options.method ?? 'GET', headers, agent: false }, (response) => {
      status = response.statusCode ?? 0
      hasLength = response.headers['content-length'] !== undefined
      response.on('data', (chunk: Buffer) => { text += chunk.toString() })
      response.on('error', () => {})
      response.on('close', () => end(response.complete))
    })
    request.on('error', () => end(false))
    request.end(options.body)
    const timer = setTimeout(() => request.destroy(new Error(`no response within ${GIVE_UP_MS} ms`)), GIVE_UP_MS)
  })
}
