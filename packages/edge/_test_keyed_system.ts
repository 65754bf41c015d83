import { createServer, type IncomingHttpHeaders } from 'node:http'
import type { AddressInfo } from 'node:net'
import { PlatformStore } from '@berylshed/platform'
import type { ExecutionContext } from 'ava'
import { startTestStore } from './_test_store.ts'
import { pause, startInstance, type LoggedLine, type TestInstance } from './_test_system.ts'

/** Keys that no line, heartbeat or upstream may contain. */
export const KEYS = { one: 'asnmgkcuyj8pjbvk9m68', another: 'k7b2ex5wa5xwyhks8nbk', two: 'q2w8m4zt6vx1c9rp5h3d', shared: 'shared0key0of0two0cust' }

/** A customer as the operator writes it. */
export type WireTenant = Readonly<Record<string, unknown>>

/** Customers with a key each, and one key that both hold. */
export const TENANTS: readonly WireTenant[] = [
  { Name: 'hule930', ApiKeys: [KEYS.one, KEYS.another, KEYS.shared], Priority: 1, Unit: 'token_based', PlainTokens: 200, RatePerS: 225540, Burst: 225540 },
  { Name: 'second', ApiKeys: [KEYS.two, KEYS.shared], Priority: 0 }
]

/** A request as it reached an upstream. */
export interface ArrivedCall {
  readonly id: string
  readonly path: string
  readonly upstream: string
  readonly headers: IncomingHttpHeaders
}

/** An instance with its store and upstreams, which run on the platform's protocols. */
export interface KeyedSystem {
  readonly instance: TestInstance
  readonly lines: readonly LoggedLine[]
  /** Requests that reached upstreams, in order. */
  readonly arrived: readonly ArrivedCall[]
  /** Writes a new version of the configuration, and waits until it is in force. */
  configure (tenants: readonly unknown[] | undefined): Promise<void>
}

/** Options of {@linkcode startKeyedSystem}. */
export interface KeyedOptions {
  readonly tenants?: readonly WireTenant[] | undefined
  /** Ids of requests whose first call is broken off. */
  readonly brokenOff?: readonly string[]
  /** Time between the two events of a stream and before other answers, in ms. */
  readonly workMs?: number
  readonly revocationMs?: number
}

const UPSTREAMS = ['u1', 'u2']
const POLL_MS = 10

function configurationOf (version: number, tenants: readonly unknown[] | undefined): unknown {
  const route = { Hostname: 'api.example', Priority: 2, Service: 'orders', TimeoutMs: 4000, GoalMs: 300, Attempts: 2 }
  return {
    Version: version,
    Routes: [
      { ...route, Name: 'lookups', PathPrefix: '/lookups/', RouteKind: 'idempotent', Anonymous: false },
      { ...route, Name: 'bookings', PathPrefix: '/bookings/', RouteKind: 'non_idempotent' },
      { ...route, Name: 'drafts', PathPrefix: '/drafts/', RouteKind: 'streaming', Resumable: true },
      { ...route, Name: 'open', PathPrefix: '/open/', RouteKind: 'idempotent', Anonymous: true }
    ],
    Services: [{ Name: 'orders' }],
    ...tenants === undefined ? {} : { Tenants: tenants }
  }
}

async function startUpstream (t: ExecutionContext, name: string, { arrived, brokenOff, workMs }: { readonly arrived: ArrivedCall[], readonly brokenOff: readonly string[], readonly workMs: number }): Promise<string> {
  const server = createServer((request, response) => {
    const id = String(request.headers['attempt-id'])
    const isBroken = brokenOff.includes(id) && !arrived.some((call) => call.id === id)
    arrived.push({ id, path: request.url ?? '', upstream: name, headers: request.headers })
    const isStream = request.url?.startsWith('/drafts/') === true
    const signed = { 'attempt-id': id, 'server-signature': 's' }
    if (!isStream) {
      if (isBroken) response.destroy()
      else setTimeout(() => response.writeHead(200, { ...signed, 'content-length': 2 }).end('ok'), workMs)
      return
    }
    response.writeHead(200, { ...signed, 'content-type': 'text/event-stream' })
    if (request.headers['last-event-id'] === undefined) response.write('id: 1\ndata: a\n\n')
    setTimeout(() => isBroken ? response.destroy() : response.end('id: 2\ndata: b\n\n'), workMs)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Starts an instance that reads its configuration by the platform's protocol. */
export async function startKeyedSystem (t: ExecutionContext, options: KeyedOptions = {}): Promise<KeyedSystem> {
  const [arrived, lines]: [ArrivedCall[], LoggedLine[]] = [[], []]
  const testStore = await startTestStore()
  t.teardown(() => testStore.close())
  let version = 1
  testStore.put('config', 'main', configurationOf(version, 'tenants' in options ? options.tenants : TENANTS))
  for (const name of UPSTREAMS) {
    const address = await startUpstream(t, name, { arrived, brokenOff: options.brokenOff ?? [], workMs: options.workMs ?? 0 })
    testStore.put('servers', name, { Service: 'orders', Address: address, Zone: 'a', Version: 'v1', Slots: 8, State: 'ready', born: 1 })
  }
  const store = new PlatformStore(testStore.address, { onUnreadableEntry: (findings) => lines.push({ what: 'entry_skipped', reason: findings.join('; ') }) })
  const instance = await startInstance('entry-1', { store, registry: store.registry }, { lines, ...options.revocationMs === undefined ? {} : { revocationMs: options.revocationMs } })
  t.teardown(() => instance.edge.close())
  while (instance.edge.state().serving.targets.size < UPSTREAMS.length || instance.edge.state().configuration === undefined) await pause(POLL_MS)
  // Until the lease is taken, an instance admits only its part of the quotas.
  while (instance.edge.state().serving.quotas.quotas.size > 0 && instance.edge.state().serving.quotas.answeredAtMs === -Infinity) await pause(POLL_MS)

  async function configure (tenants: readonly unknown[] | undefined): Promise<void> {
    version += 1
    testStore.put('config', 'main', configurationOf(version, tenants))
    while (instance.edge.state().configuration?.version !== version) await pause(POLL_MS)
  }

  return { instance, lines, arrived, configure }
}
