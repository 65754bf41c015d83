import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { plainUpstream, startInstances } from './_test_fleet.ts'
import { ask, pause } from './_test_system.ts'

const UPSTREAMS = 12
const CALLERS = 6
/** Crashes after which a request is quarantined, and one more for an attempt that is under way. */
const ALLOWED = 4

test('a lookup that crashes plain upstreams is refused to all callers after the crashes of the first ones', async (t) => {
  let crashes = 0
  const servers = Array.from({ length: UPSTREAMS }, () => createServer((request, response) => {
    if (request.url === '/lookups/deadly') {
      crashes += 1
      setTimeout(() => request.socket.destroy(), 20)
      return
    }
    response.writeHead(200, { 'attempt-id': request.headers['attempt-id'], 'server-signature': 's', 'content-length': 2 }).end('ok')
  }))
  await Promise.all(servers.map((server) => new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))))
  t.teardown(() => { for (const server of servers) server.close() })
  const view = servers.map((server, i) => plainUpstream(`u${i}`, `127.0.0.1:${(server.address() as AddressInfo).port}`))
  const [instance] = await startInstances(t, [view])
  if (instance === undefined) return t.fail('started no instance')
  for (let i = 0; i < CALLERS; i += 1) {
    await ask(instance.callers, '/lookups/deadly', { from: `127.0.0.${10 + i}`, headers: { 'attempt-id': `a${i}` } })
    await pause(300)
  }
  t.true(crashes <= ALLOWED, `${crashes} crashes`)
  t.is((await ask(instance.callers, '/lookups/sound', { headers: { 'attempt-id': 'sound' } })).status, 200)
})
