import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Upstream } from '@berylshed/fleet'
import test from 'ava'
import { startOpenLoad } from './_test_open_load.ts'
import { PLAIN_CONFIGURATION, plainUpstream } from './_test_fleet.ts'
import { ChangingRegistry } from './_test_registry.ts'
import { MemoryStore, pause, startInstance, TEST_GRACE_MS } from './_test_system.ts'

const LOSS_SLACK_MS = 200

test('no request is lost when upstreams and the configuration change beside a planned stop', async (t) => {
  const ids = new Set<string>()
  async function start (id: string): Promise<Upstream> {
    const server = createServer((request, response) => {
      const attempt = String(request.headers['attempt-id'])
      ids.add(attempt)
      const signed = { 'attempt-id': attempt, 'server-signature': 's' }
      if (request.url?.startsWith('/drafts/') !== true) {
        setTimeout(() => response.writeHead(200, { ...signed, 'content-length': 2 }).end('ok'), 400)
        return
      }
      response.writeHead(200, { ...signed, 'content-type': 'text/event-stream' }).write('id: 1\ndata: a\n\n')
      setTimeout(() => response.end('id: 2\ndata: b\n\n'), 900)
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    t.teardown(() => {
      server.closeAllConnections()
      server.close()
    })
    return plainUpstream(id, `127.0.0.1:${(server.address() as AddressInfo).port}`, 30)
  }
  const [u1, u2, u3] = await Promise.all([start('u1'), start('u2'), start('u3')])
  const registry = new ChangingRegistry([u1, u2])
  const { edge, callers } = await startInstance('entry-1', { store: new MemoryStore(), registry })
  const { requests, stop, ended } = startOpenLoad(callers, { paths: ['/lookups/1', '/bookings/1', '/drafts/1'], intervalMs: 20, halfAfterMs: 300, callerTimeoutMs: 4000 })
  await pause(1500)
  const signalledAtMs = performance.now()
  const stopped = edge.drain()
  await pause(500)
  registry.change({ id: 'u1', upstream: { ...u1, leaving: true } })
  registry.change({ id: 'u3', upstream: { ...u3, service: 'others', softwareVersion: 'v2' } })
  await pause(500)
  // Lookups are dropped, streams go to another service and the time limit of bookings changes.
  const moved = PLAIN_CONFIGURATION.routes.flatMap((route) => route.name === 'lookups' ? [] : route.name === 'drafts' ? [{ ...route, services: [{ service: 'others', weight: 1 }] }] : [{ ...route, timeoutMs: 2000 }])
  registry.configure({ ...PLAIN_CONFIGURATION, version: 2, routes: moved, services: new Map([...PLAIN_CONFIGURATION.services, ['others', { name: 'others', engine: undefined }]]) })
  await pause(500)
  registry.change({ id: 'u1', upstream: undefined })
  await pause(600)
  registry.configure({ ...PLAIN_CONFIGURATION, version: 3, services: new Map() })
  registry.change({ id: 'u2', upstream: { ...u2, incarnation: 2, softwareVersion: 'v2' } })
  t.is(edge.state().configuration?.version, 2)
  await stopped
  t.true(performance.now() - signalledAtMs < TEST_GRACE_MS)
  stop()
  await ended()
  const lost = requests.filter(({ id, isConnected, isComplete, bodySentAtMs, endedAtMs }) => isConnected && !isComplete && (ids.has(id) || endedAtMs - bodySentAtMs > LOSS_SLACK_MS))
  t.deepEqual(lost.map(({ path, status }) => `${path} ${status}`), [])
  t.is(edge.state().configuration?.version, 3)
  t.deepEqual([...edge.state().list?.upstreams.keys() ?? []], ['u2', 'u3'])
})
