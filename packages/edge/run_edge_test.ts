import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import type { Configuration, Upstream } from '@berylshed/fleet'
import { PlatformStore, type Store } from '@berylshed/platform'
import test from 'ava'
import { startTestStore } from './_test_store.ts'
import { ask, FixedRegistry, MemoryStore, pause, startInstance, statusOf, type TestInstance } from './_test_system.ts'

interface System extends TestInstance {
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
  const instance = await startInstance('entry-1', { store, registry: new FixedRegistry(configuration, [upstream]) })
  return { ...instance, close: () => upstreamServer.close() }
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
