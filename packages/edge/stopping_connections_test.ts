import { connect, type Socket } from 'node:net'
import test from 'ava'
import { plainUpstream, startInstances } from './_test_fleet.ts'
import { pause } from './_test_system.ts'
import { startAnsweringUpstream } from './_test_upstream.ts'

/** Time after the signal at which a new connection is opened, in ms; shortly before the listener closes. */
const LATE_MS = 2450

interface Connection {
  readonly socket: Socket
  /** Resolves to all bytes that arrive until the connection has ended. */
  readonly received: Promise<string>
}

function open (port: number, bytes: string): Connection {
  const socket = connect(port, '127.0.0.1')
  const received = new Promise<string>((resolve) => {
    let text = ''
    socket.on('data', (chunk) => { text += chunk.toString() })
    socket.on('error', () => {})
    socket.on('close', () => resolve(text))
  })
  socket.write(bytes)
  return { socket, received }
}

const HEAD = 'POST /bookings/1 HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: a1\r\nDeadline-Ms: 3000\r\nContent-Length: 4\r\n\r\n'

// Connections were closed with their request unread once no request was being handled.
test('a request that is still arriving while an instance stops is answered', async (t) => {
  const address = await startAnsweringUpstream(t, ({ id }) => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok`)
  const [instance] = await startInstances(t, [[plainUpstream('u1', address)]])
  const { callers = 0, edge } = instance ?? {}
  const stopped = edge?.drain()
  await pause(LATE_MS)
  const [bodyLater, headLater, nothingYet, never] = [open(callers, HEAD), open(callers, HEAD.slice(0, 30)), open(callers, ''), open(callers, HEAD)]
  await pause(600)
  bodyLater.socket.write('body')
  headLater.socket.write(`${HEAD.slice(30)}body`)
  nothingYet.socket.write(`${HEAD}body`)
  const statusLines = (await Promise.all([bodyLater, headLater, nothingYet, never].map(({ received }) => received))).map((text) => text.split('\r\n')[0])
  t.deepEqual(statusLines, ['HTTP/1.1 200 OK', 'HTTP/1.1 200 OK', 'HTTP/1.1 200 OK', 'HTTP/1.1 503 Service Unavailable'])
  await stopped
})
