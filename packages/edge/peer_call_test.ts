import { connect, createServer, type AddressInfo } from 'node:net'
import { createTRPCClient, httpLink } from '@trpc/client'
import { createHTTPServer } from '@trpc/server/adapters/standalone'
import test, { type ExecutionContext } from 'ava'
import { answerHeartbeat } from './_peer_heartbeat.ts'
import { decodeHeartbeatAnswer, encodeHeartbeat } from './_heartbeat_codec.ts'
import { closeServer, listenAt } from './_listen.ts'
import { createPeerClient } from './_peer_client.ts'
import { createPeerRouter, createPeerServer, type PeerRouter, type PeerService } from './_peer_router.ts'
import { at, EMPTY_HEARTBEAT, startHolder } from './_test_instances.ts'

const ANY_PORT = '127.0.0.1:0'
const SERVICE: PeerService = { heartbeat: (request) => answerHeartbeat(startHolder(), request, at(1200)) }

async function startServer (t: ExecutionContext): Promise<string> {
  const server = createPeerServer(SERVICE)
  const address = await listenAt(server, ANY_PORT)
  t.teardown(() => {
    server.closeAllConnections()
    return closeServer(server)
  })
  return address
}

test('a heartbeat is answered over a connection', async (t) => {
  const address = await startServer(t)
  const client = createPeerClient()
  t.deepEqual((await client.heartbeat(address, EMPTY_HEARTBEAT))._unsafeUnwrap(), SERVICE.heartbeat(EMPTY_HEARTBEAT))
  t.deepEqual((await client.heartbeat(address, EMPTY_HEARTBEAT))._unsafeUnwrap(), SERVICE.heartbeat(EMPTY_HEARTBEAT))
})

test('the client of the build before is answered', async (t) => {
  const address = await startServer(t)
  const client = createTRPCClient<PeerRouter>({ links: [httpLink({ url: `http://${address}` })] })
  t.deepEqual(decodeHeartbeatAnswer(await client.exchange.mutate(encodeHeartbeat(EMPTY_HEARTBEAT))), SERVICE.heartbeat(EMPTY_HEARTBEAT))
  await t.throwsAsync(client.exchange.mutate({ ...encodeHeartbeat(EMPTY_HEARTBEAT), listRevision: 'x' } as never))
})

test('the server of the build before is understood', async (t) => {
  const server = createHTTPServer({ router: createPeerRouter(SERVICE) })
  const address = await listenAt(server, ANY_PORT)
  t.teardown(() => {
    server.closeAllConnections()
    return closeServer(server)
  })
  t.deepEqual((await createPeerClient().heartbeat(address, EMPTY_HEARTBEAT))._unsafeUnwrap(), SERVICE.heartbeat(EMPTY_HEARTBEAT))
})

test('a call that is malformed, too large or of no procedure costs that call alone', async (t) => {
  const address = await startServer(t)
  const post = async (path: string, body: string) => (await fetch(`http://${address}${path}`, { method: 'POST', body, headers: { 'content-type': 'application/json' } })).status
  t.deepEqual(await Promise.all([post('/exchange', '{'), post('/exchange', '{}'), post('/exchange', 'null'), post('/absent', '{}')]), [400, 400, 400, 404])
  t.is(await post('/exchange', `"${'x'.repeat(5 * 1024 * 1024)}"`).catch(() => 413), 413)
  t.true((await createPeerClient().heartbeat(address, EMPTY_HEARTBEAT)).isOk())
})

// A holder that was behind went on to answer heartbeats whose senders had given up and sent others, and never caught up.
test('a heartbeat whose sender has given up is not handled', async (t) => {
  let handled = 0
  const server = createPeerServer({
    heartbeat: (request) => {
      handled += 1
      return SERVICE.heartbeat(request)
    }
  })
  const address = await listenAt(server, ANY_PORT)
  t.teardown(() => closeServer(server))
  const body = JSON.stringify(encodeHeartbeat(EMPTY_HEARTBEAT))
  const send = (givesUp: boolean) => new Promise<void>((resolve) => {
    const socket = connect({ host: '127.0.0.1', port: Number(address.split(':')[1]) }, () => {
      socket.write(`POST /exchange HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`, () => {
        if (givesUp) socket.destroy()
        // The process is behind: it reads what has arrived only after the sender has left.
        for (const untilMs = performance.now() + 20; performance.now() < untilMs;);
      })
    })
    socket.once('data', () => socket.destroy())
    socket.once('close', () => resolve())
  })
  await send(true)
  await new Promise((resolve) => setTimeout(resolve, 100))
  t.is(handled, 0)
  await send(false)
  t.is(handled, 1)
})

test('a call to an address where nobody listens is refused, and one without an answer ends', async (t) => {
  const silent = createServer((socket) => { socket.on('error', () => {}).resume() })
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(silent.address() as AddressInfo).port}`
  const unanswered = (await createPeerClient().heartbeat(address, EMPTY_HEARTBEAT))._unsafeUnwrapErr()
  t.false(unanswered.refused)
  await new Promise((resolve) => silent.close(resolve))
  const refused = (await createPeerClient().heartbeat(address, EMPTY_HEARTBEAT))._unsafeUnwrapErr()
  t.true(refused.refused)
})

test('an answer that is cut off or no answer fails the call', async (t) => {
  for (const bytes of ['HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"result":', 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno', 'nonsense\r\n\r\n']) {
    const server = createServer((socket) => {
      socket.on('error', () => {})
      socket.once('data', () => socket.end(bytes))
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const failure = (await createPeerClient().heartbeat(`127.0.0.1:${(server.address() as AddressInfo).port}`, EMPTY_HEARTBEAT))._unsafeUnwrapErr()
    t.false(failure.refused, bytes)
    server.close()
  }
})
