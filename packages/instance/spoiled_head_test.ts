import { createServer, type AddressInfo } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { forwardRequest } from './_forward_request.ts'

const PROGRESS_TIMEOUT_MS = 3000
const SOON_MS = 1000

// Returns how an attempt ends at an upstream that writes `bytes`, and after how long.
async function outcomeOf (t: ExecutionContext, bytes: string, stream: boolean): Promise<{ readonly outcome: string, readonly elapsedMs: number }> {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => socket.end(bytes))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const startedMs = performance.now()
  return await new Promise((resolve) => {
    const end = (outcome: string): void => resolve({ outcome, elapsedMs: performance.now() - startedMs })
    forwardRequest({
      id: 'r1', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'POST', path: '/', headers: {}, body: Buffer.from('{}'), stream, reuseConnection: false, connectTimeoutMs: 1000, progressTimeoutMs: PROGRESS_TIMEOUT_MS
    }, {
      started: ({ status }) => end(`started ${status}`),
      chunk: () => true,
      silent: () => end('silent'),
      ended: ({ status }) => end(`ended ${status}`),
      failed: (failure) => end(failure)
    })
  })
}

const HEADERS = 'X-Request-Id: r1\r\nContent-Type: text/event-stream\r\n'
const BODY = 'Content-Length: 14\r\n\r\ndata: [DONE]\n\n'

const WHOLE_HEAD = `HTTP/1.1 200 OK\r\n${HEADERS}Content-Length: 14\r\n\r\n`

test('an attempt fails at once on a response that stops at any byte of its head', async (t) => {
  for (let length = 0; length < WHOLE_HEAD.length; length += 1) {
    for (const stream of [false, true]) {
      const { outcome, elapsedMs } = await outcomeOf(t, WHOLE_HEAD.slice(0, length), stream)
      t.is(outcome, 'broken', `after ${length} bytes`)
      t.true(elapsedMs < SOON_MS, `${elapsedMs} ms`)
    }
  }
})

// A status that Node's writer refuses ended the process or left the request without an answer.
for (const [what, head] of Object.entries({
  'status 000': `HTTP/1.1 000 OK\r\n${HEADERS}`,
  'status 000 without a reason': `HTTP/1.1 000 \r\n${HEADERS}`,
  'a status of two digits': `HTTP/1.1 20 OK\r\n${HEADERS}`,
  'a status of four digits': `HTTP/1.1 2000 OK\r\n${HEADERS}`,
  'status 099': `HTTP/1.1 099 OK\r\n${HEADERS}`,
  'status 101': `HTTP/1.1 101 OK\r\n${HEADERS}`,
  'a switch of protocols': `HTTP/1.1 101 OK\r\nUpgrade: h2c\r\nConnection: upgrade\r\n${HEADERS}`,
  'status 999': `HTTP/1.1 999 OK\r\n${HEADERS}`,
  'a space in a header name': `HTTP/1.1 200 OK\r\n${HEADERS}X A: 1\r\n`,
  'a coding that is not undone': `HTTP/1.1 200 OK\r\n${HEADERS}Transfer-Encoding: xchunked\r\n`
})) {
  test(`an attempt fails at once on a response with ${what}`, async (t) => {
    for (const stream of [false, true]) {
      const { outcome, elapsedMs } = await outcomeOf(t, head + (head.includes('Transfer') ? BODY.replace(/.*\r\n\r\n/, '\r\n') : BODY), stream)
      t.is(outcome, 'broken')
      t.true(elapsedMs < SOON_MS, `${elapsedMs} ms`)
    }
  })
}
