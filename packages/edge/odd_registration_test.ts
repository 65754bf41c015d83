import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { PlatformStore } from '@berylshed/platform'
import test from 'ava'
import { startTestStore } from './_test_store.ts'
import { ask, pause, startInstance } from './_test_system.ts'

const LOOKUPS = 30
const CONFIGURATION = {
  Version: 1,
  Routes: [{ Name: 'lookups', Hostname: 'api.example', PathPrefix: '/lookups/', RouteKind: 'idempotent', Split: [{ Service: 'orders', Weight: 100 }], Attempts: 2, TimeoutMs: 2000, GoalMs: 300 }],
  Services: [{ Name: 'orders' }]
}
/** Entries of another writer, by name. */
const ODD: Readonly<Record<string, object>> = {
  'port-too-large': { Address: '127.0.0.1:99999' },
  'port-negative': { Address: '127.0.0.1:-1' },
  'port-missing': { Address: '127.0.0.1' },
  'no\nheader': {},
  'slots-negative': { Slots: -4 },
  'slots-too-large': { Slots: 1e300 },
  'born-too-large': { born: 1e300 },
  'deeply-nested': { Models: deep(2000), Available: { OnDisk: deep(2000) } }
}

function deep (levels: number): unknown {
  let value: unknown = []
  for (let i = 0; i < levels; i += 1) value = [value]
  return value
}

test('odd entries among the registrations neither break requests nor stop an instance from following later ones', async (t) => {
  const server = createServer((request, response) => {
    response.writeHead(200, { 'attempt-id': request.headers['attempt-id'], 'server-signature': 's', 'content-length': 2 }).end('ok')
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const registration = { Service: 'orders', Address: address, Zone: 'a', Version: 'v1', Slots: 4, State: 'ready', Sequence: 1, born: 5 }
  const platform = await startTestStore()
  platform.put('config', 'main', CONFIGURATION)
  platform.put('servers', 'sound', registration)
  for (const [name, changes] of Object.entries(ODD)) platform.put('servers', name, { ...registration, ...changes })
  const store = new PlatformStore(platform.address)
  const instance = await startInstance('entry-1', { store, registry: store.registry })
  t.teardown(async () => {
    await instance.edge.close()
    platform.close()
    server.close()
  })
  const statuses = await Promise.all(Array.from({ length: LOOKUPS }, (_, i) => ask(instance.callers, `/lookups/${i}`, { headers: { 'attempt-id': `a${i}` } }).then(({ status }) => status, () => 0)))
  t.deepEqual(statuses, statuses.map(() => 200))
  for (const [name, changes] of Object.entries(ODD)) platform.put('servers', name, { ...registration, ...changes, Sequence: 2 })
  platform.put('servers', 'later', registration)
  for (const untilMs = Date.now() + 5000; Date.now() < untilMs && instance.edge.state().list?.upstreams.has('later') !== true;) await pause(50)
  t.deepEqual([...instance.edge.state().list?.upstreams.keys() ?? []].sort(), ['later', 'sound'])
})
