import test from 'ava'
import { plainUpstream, startInstances } from './_test_fleet.ts'
import { outcomeOf } from './_test_system.ts'
import { startAnsweringUpstream } from './_test_upstream.ts'

const EVENTS = 'id: 1\ndata: a\n\n'
/** Time within which a spoiled response is answered, in ms; far below the deadline of 3,000 ms. */
const SOON_MS = 1500

const SPOILED_HEADERS: Readonly<Record<string, string>> = {
  'space in a name': 'Weight Versions: 1',
  'empty name': ': 1',
  'space after a name': 'X-A : 1',
  'coding before the chunks': 'Transfer-Encoding: gzip, chunked',
  'spoiled coding': 'Transfer-Encoding: xchunked'
}

function respond (id: string, statusLine: string, header: string): string {
  return `${statusLine}\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\nContent-Type: text/event-stream\r\n${header}\r\n\r\n${EVENTS}`
}

// A header that Node's parser accepts and its writer refuses ended the process or left the request without an answer.
for (const [what, header] of Object.entries(SPOILED_HEADERS)) {
  test(`a response with a spoiled header (${what}) costs one request`, async (t) => {
    const address = await startAnsweringUpstream(t, ({ id }) => respond(id, 'HTTP/1.1 200 OK', header))
    const [instance] = await startInstances(t, [[plainUpstream('u1', address)]])
    for (const path of ['/lookups/1', '/bookings/1', '/drafts/1']) {
      const { status, elapsedMs } = await outcomeOf(instance?.callers ?? 0, path)
      t.is(status, 502, path)
      t.true(elapsedMs < SOON_MS, `${path}: ${elapsedMs} ms`)
    }
  })
}

const SPOILED_STATUS_LINES: Readonly<Record<string, string>> = {
  'status 000': 'HTTP/1.1 000 OK',
  'status 099': 'HTTP/1.1 099 OK',
  'status 101': 'HTTP/1.1 101 OK',
  'status 101 with an upgrade': 'HTTP/1.1 101 OK\r\nUpgrade: h2c\r\nConnection: upgrade',
  'status 600': 'HTTP/1.1 600 OK',
  'status 999': 'HTTP/1.1 999 OK'
}

// A status that Node's parser accepts and its writer refuses left the request without an answer; others are no final ones.
for (const [what, statusLine] of Object.entries(SPOILED_STATUS_LINES)) {
  test(`a response with a spoiled status (${what}) is answered`, async (t) => {
    const address = await startAnsweringUpstream(t, ({ id }) => respond(id, statusLine, `Content-Length: ${EVENTS.length}`))
    const [instance] = await startInstances(t, [[plainUpstream('u1', address)]])
    for (const path of ['/lookups/1', '/bookings/1', '/drafts/1']) {
      const { status, elapsedMs } = await outcomeOf(instance?.callers ?? 0, path)
      t.is(status, 502, path)
      t.true(elapsedMs < SOON_MS, `${path}: ${elapsedMs} ms`)
    }
  })

  test(`a stream that goes on at a response with a spoiled status (${what}) is broken off`, async (t) => {
    const address = await startAnsweringUpstream(t, ({ id, lastEventId }) => lastEventId === undefined
      ? respond(id, 'HTTP/1.1 200 OK', 'Content-Length: 99')
      : respond(id, statusLine, `Content-Length: ${EVENTS.length}`))
    const [instance] = await startInstances(t, [[plainUpstream('u1', address), plainUpstream('u2', address)]])
    const { text, isComplete, elapsedMs } = await outcomeOf(instance?.callers ?? 0, '/drafts/1')
    t.deepEqual({ text, isComplete }, { text: EVENTS, isComplete: false })
    t.true(elapsedMs < SOON_MS, `${elapsedMs} ms`)
  })
}

test('a response whose status excludes a body is passed on without one, or not at all', async (t) => {
  const head = (id: string, status: number): string => `HTTP/1.1 ${status} X\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n`
  const sound = await startAnsweringUpstream(t, ({ id }) => `${head(id, 204)}\r\n`)
  const spoiled = await startAnsweringUpstream(t, ({ id }) => `${head(id, 204)}Content-Length: 2\r\n\r\nok`)
  const [instance, other] = await Promise.all([sound, spoiled].map(async (address) => (await startInstances(t, [[plainUpstream('u1', address)]]))[0]))
  t.like(await outcomeOf(instance?.callers ?? 0, '/bookings/1'), { status: 204, hasLength: false, isComplete: true })
  t.like(await outcomeOf(other?.callers ?? 0, '/bookings/1'), { status: 502, isComplete: true })
})

test('a stream that goes on at a response with a spoiled header is broken off', async (t) => {
  const address = await startAnsweringUpstream(t, ({ id, lastEventId }) => respond(id, 'HTTP/1.1 200 OK', lastEventId === undefined ? 'Content-Length: 99' : 'Weight Versions: 1'))
  const [instance] = await startInstances(t, [[plainUpstream('u1', address), plainUpstream('u2', address)]])
  const { status, text, isComplete } = await outcomeOf(instance?.callers ?? 0, '/drafts/1')
  t.deepEqual({ status, text, isComplete }, { status: 200, text: EVENTS, isComplete: false })
})
