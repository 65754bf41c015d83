import { createServer, type IncomingHttpHeaders } from 'node:http'
import type { AddressInfo } from 'node:net'
import { PlatformStore } from '@berylshed/platform'
import type { Configuration } from '@berylshed/fleet'
import test, { type ExecutionContext } from 'ava'
import { decodeHeartbeatAnswer, encodeHeartbeat, encodeHeartbeatAnswer } from './_heartbeat_codec.ts'
import { answerHeartbeat, isConfigurationRelayed, isRegistryRelayed } from './_peer_heartbeat.ts'
import { plainUpstream } from './_test_fleet.ts'
import { apply, at, EMPTY_HEARTBEAT, startHolder } from './_test_instances.ts'
import { KEYS, startKeyedSystem, TENANTS } from './_test_keyed_system.ts'
import { startTestStore } from './_test_store.ts'
import { ask, FixedRegistry, MemoryStore, pause, startInstance, type LoggedLine } from './_test_system.ts'

const KEY_PATTERN = new RegExp(Object.values(KEYS).join('|'))
const DIGEST_PATTERN = /[0-9a-f]{9,}/

// Reads a configuration by the platform's protocol.
async function decoded (t: ExecutionContext, version = 9): Promise<Configuration> {
  const store = await startTestStore()
  t.teardown(() => store.close())
  const route = { Hostname: 'api.example', RouteKind: 'idempotent', Service: 'orders', TimeoutMs: 4000, GoalMs: 300, Attempts: 2 }
  store.put('config', 'main', { Version: version, Routes: [{ ...route, Name: 'lookups', PathPrefix: '/lookups/' }, { ...route, Name: 'open', PathPrefix: '/open/', Anonymous: true }], Services: [{ Name: 'orders' }], Tenants: TENANTS })
  const read = await new PlatformStore(store.address).registry.readConfiguration()
  const { configuration } = read._unsafeUnwrap()
  if (configuration === undefined) throw new Error('there is no configuration')
  return configuration
}

test('an instance without a path to the upstream hands requests over under the name of the customer', async (t) => {
  const arrived: IncomingHttpHeaders[] = []
  const server = createServer((request, response) => {
    arrived.push(request.headers)
    response.writeHead(200, { 'attempt-id': String(request.headers['attempt-id']), 'server-signature': 's', 'content-length': 2 }).end('ok')
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const configuration = await decoded(t)
  const [store, lines]: [MemoryStore, LoggedLine[]] = [new MemoryStore(), []]
  // Nothing listens at the address by which the second instance knows the upstream.
  const instances = []
  for (const [i, known] of [address, '127.0.0.1:1'].entries()) {
    const instance = await startInstance(`entry-${i + 1}`, { store, registry: new FixedRegistry(configuration, [plainUpstream('u1', known)]) }, { lines })
    instances.push(instance)
    t.teardown(() => instance.edge.close())
    while (i === 0 ? instance.edge.state().scheduler.held === undefined : instance.edge.state().received === undefined) await pause(20)
  }
  t.teardown(() => {
    server.closeAllConnections()
    server.close()
  })
  const cutOff = instances[1]
  if (cutOff === undefined) return t.fail()
  const call = (path: string, headers: Readonly<Record<string, string>>) => ask(cutOff.callers, path, { headers: { tenant: 'forged', 'berylshed-customer': 'second', ...headers } })
  // The first requests show that the upstream is out of reach.
  for (let i = 0; i < 100 && (await call('/lookups/1', { authorization: `Token ${KEYS.one}` })).status !== 200; i += 1) await pause(50)
  arrived.length = 0
  t.is((await call('/lookups/1', { authorization: `Token ${KEYS.one}` })).status, 200)
  t.is((await call('/open/1', { authorization: `Token ${KEYS.one}` })).status, 200)
  t.is((await call('/lookups/1', { authorization: 'Token zzz' })).status, 401)
  t.deepEqual(arrived.map(({ tenant, authorization, 'berylshed-customer': customer }) => [tenant, authorization, customer]), [['hule930', undefined, undefined], [undefined, undefined, undefined]])
  t.true(lines.some(({ what, relay }) => what === 'sent' && relay !== undefined))
  t.false(KEY_PATTERN.test(JSON.stringify(lines)))
})

test('heartbeats relay digests of keys with a configuration, and neither keys nor digests without one', async (t) => {
  const configuration = await decoded(t)
  const holder = apply(startHolder(), { subject: 'configured', configuration, from: 'store', at: at(1100) })
  const answer = encodeHeartbeatAnswer(answerHeartbeat(holder, EMPTY_HEARTBEAT, at(1200)))
  const read = decodeHeartbeatAnswer(JSON.parse(JSON.stringify(answer)))
  t.deepEqual(read.update?.configuration?.customers, configuration.customers)
  t.false(KEY_PATTERN.test(JSON.stringify(answer)))
  t.false(KEY_PATTERN.test(JSON.stringify(encodeHeartbeat({ ...EMPTY_HEARTBEAT, update: { configuration, upstreams: undefined, readsCustomers: true } }))))
  const later = encodeHeartbeatAnswer(answerHeartbeat(holder, { ...EMPTY_HEARTBEAT, configurationVersion: 9, listRevision: 9 }, at(1300)))
  t.false(DIGEST_PATTERN.test(JSON.stringify({ ...later, members: undefined })))
})

// A holder of the release before decodes no customers; its configuration of the same version would let every caller in.
test('an instance reads the configuration itself while the holder runs an earlier release', (t) => {
  const holder = startHolder()
  const follower = (answer: ReturnType<typeof answerHeartbeat>) => apply(startHolder(), { subject: 'scheduler', event: { kind: 'lease_read', era: 0, version: 9, lease: { fence: 9, holder: { instance: 'h2', incarnation: 'h2', address: 'h2' }, writeId: 'w' }, ...at(1100) } }, { subject: 'heartbeat_answered', answer, at: at(1200) })
  const { readsCustomers, ...earlier } = encodeHeartbeatAnswer(answerHeartbeat(holder, EMPTY_HEARTBEAT, at(1200)))
  t.true(readsCustomers)
  const states = [decodeHeartbeatAnswer({ ...earlier, readsCustomers: true }), decodeHeartbeatAnswer(earlier)].map(follower)
  t.deepEqual(states.map((state) => [isRegistryRelayed(state, 1250), isConfigurationRelayed(state, 1250)]), [[true, true], [true, false]])
})

test('no key appears in lines, and no more than eight characters of its digest', async (t) => {
  const { instance, lines, arrived, configure } = await startKeyedSystem(t, { revocationMs: 1000 })
  for (const key of [...Object.values(KEYS), 'unknown0key']) {
    for (const path of ['/lookups/1', '/bookings/1', '/drafts/1', '/open/1', '/none']) await ask(instance.callers, path, { headers: { authorization: `Token ${key}` } })
  }
  await configure([...TENANTS, { Name: 'third', ApiKeys: [KEYS.one, 81726354] }, KEYS.two])
  await configure([])
  const written = JSON.stringify(lines)
  t.true(lines.length > 40)
  t.false(KEY_PATTERN.test(written) || /unknown0key|81726354/.test(written))
  const digests = lines.flatMap(({ keyDigest }) => keyDigest === undefined ? [] : [String(keyDigest)])
  t.true(digests.length > 0 && digests.every((digest) => /^[0-9a-f]{8}$/.test(digest)))
  t.false(digests.some((digest) => new RegExp(`${digest}[0-9a-f]`).test(written)))
  t.false(KEY_PATTERN.test(JSON.stringify(arrived)))
  t.false(KEY_PATTERN.test((await ask(instance.metrics, '/metrics')).text))
})
