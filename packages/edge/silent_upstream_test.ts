import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { plainUpstream, startInstances } from './_test_fleet.ts'
import { ask } from './_test_system.ts'

test('a stream whose upstream falls silent for more than a second goes on there', async (t) => {
  let arrivals = 0
  const server = createServer((request, response) => {
    arrivals += 1
    response.writeHead(200, { 'attempt-id': request.headers['attempt-id'], 'server-signature': 's', 'content-type': 'text/event-stream' }).write('id: 1\ndata: a\n\n')
    setTimeout(() => response.end('id: 2\ndata: b\n\n'), 1400)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const [instance] = await startInstances(t, [[plainUpstream('u', `127.0.0.1:${(server.address() as AddressInfo).port}`)]])
  const { text } = await ask(instance?.callers ?? 0, '/drafts/1', { headers: { 'attempt-id': 'stream', 'deadline-ms': '4000' } })
  t.is(text, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
  t.is(arrivals, 1)
})
