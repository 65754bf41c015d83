import { createServer } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import test from 'ava'
import { PLAIN_CONFIGURATION, plainUpstream } from './_test_fleet.ts'
import { FixedRegistry, MemoryStore, startInstance } from './_test_system.ts'

/** Tests of open faults, see KNOWN-RED.txt. */
const knownRed = process.env.KNOWN_RED === '1' ? test : test.skip

const PAUSE_MS = 500
const EVENTS = 5

// Seen: the connection is destroyed 300 ms after the caller has ended its sending side, after 1 or 2 of 5 events. `_connections.ts` is as on a47ec66.
knownRed('a caller that ends its sending side after the first event gets the whole stream, whatever its pauses', async (t) => {
  const upstream = createServer((request, response) => {
    response.writeHead(200, { 'attempt-id': request.headers['attempt-id'], 'server-signature': 's', 'content-type': 'text/event-stream' })
    for (let n = 1; n <= EVENTS; n += 1) {
      setTimeout(() => {
        response.write(`id: ${n}\ndata: ${n}\n\n`)
        if (n === EVENTS) response.end()
      }, (n - 1) * PAUSE_MS)
    }
  })
  await new Promise<void>((resolve) => upstream.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    upstream.closeAllConnections()
    upstream.close()
  })
  const address = `127.0.0.1:${(upstream.address() as AddressInfo).port}`
  const { edge, callers } = await startInstance('entry-1', { store: new MemoryStore(), registry: new FixedRegistry(PLAIN_CONFIGURATION, [plainUpstream('u1', address)]) })
  t.teardown(() => edge.close())
  const text = await new Promise<string>((resolve) => {
    let received = ''
    const socket = connect({ port: callers, host: '127.0.0.1', allowHalfOpen: true }, () => {
      socket.write('GET /drafts/1 HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: half-1\r\nDeadline-Ms: 9000\r\n\r\n')
    })
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString()
      if (received.includes('id: 1') && !socket.writableEnded) socket.end()
    })
    socket.on('error', () => {})
    socket.on('close', () => resolve(received))
    socket.on('end', () => resolve(received))
  })
  t.is(text.match(/^id: /gm)?.length, EVENTS)
})
