import test from 'ava'
import { plainUpstream, startInstances } from './_test_fleet.ts'
import { outcomeOf } from './_test_system.ts'
import { startAnsweringUpstream } from './_test_upstream.ts'

const BEGUN = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
const REST = 'id: 3\ndata: c\n\n'
const STREAM = 'Content-Type: text/event-stream\r\n'

function respond (id: string, status: number, response: { readonly headers?: string, readonly body?: string } = {}): string {
  const { headers = '', body = '' } = response
  return `HTTP/1.1 ${status} X\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`
}

// Responses with which an upstream can answer the continuation of a stream without continuing it.
const NO_CONTINUATIONS: Readonly<Record<string, (id: string) => string>> = {
  'a redirect': (id) => respond(id, 300, { headers: STREAM, body: REST }),
  'a redirect without a body': (id) => respond(id, 304),
  'an unsigned failure of the request': (id) => `HTTP/1.1 404 X\r\nAttempt-Id: ${id}\r\nContent-Length: 4\r\n\r\ngone`,
  'a failure of the request': (id) => respond(id, 404, { body: 'gone' }),
  'a failure of the upstream': (id) => respond(id, 500, { body: 'oops' }),
  'a signed refusal': (id) => respond(id, 429, { body: 'busy' }),
  'a success without events': (id) => respond(id, 204),
  'a success that is no stream': (id) => respond(id, 200, { body: 'done' }),
  'an empty stream': (id) => respond(id, 200, { headers: STREAM }),
  'a stream from its beginning': (id) => respond(id, 200, { headers: STREAM, body: BEGUN + REST }),
  'a stream that repeats its last event': (id) => respond(id, 200, { headers: STREAM, body: `id: 2\ndata: b\n\n${REST}` }),
  'a head inside the stream': (id) => `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n${STREAM}Transfer-Encoding: chunked\r\n\r\nHTTP/1.1 500 X\r\n\r\noops`
}

// A stream that had begun ended as complete when the upstream at which it went on gave an answer that is no stream.
for (const [what, answer] of Object.entries(NO_CONTINUATIONS)) {
  test(`a stream that goes on at an upstream with ${what} does not look complete`, async (t) => {
    const address = await startAnsweringUpstream(t, ({ id, lastEventId }) => lastEventId === undefined
      ? `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n${STREAM}Content-Length: 999\r\n\r\n${BEGUN}`
      : answer(id))
    const [instance] = await startInstances(t, [[plainUpstream('u1', address), plainUpstream('u2', address)]])
    const { status, text, isComplete } = await outcomeOf(instance?.callers ?? 0, '/drafts/1')
    t.deepEqual({ status, text, isComplete }, { status: 200, text: BEGUN, isComplete: false })
  })
}

test('a stream goes on at the event after the last one', async (t) => {
  const address = await startAnsweringUpstream(t, ({ id, lastEventId }) => lastEventId === '2'
    ? respond(id, 200, { headers: STREAM, body: REST })
    : `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n${STREAM}Content-Length: 999\r\n\r\n${BEGUN}`)
  const [instance] = await startInstances(t, [[plainUpstream('u1', address), plainUpstream('u2', address)]])
  const { status, text, isComplete } = await outcomeOf(instance?.callers ?? 0, '/drafts/1')
  t.deepEqual({ status, text, isComplete }, { status: 200, text: BEGUN + REST, isComplete: true })
})

test('a response with events on a plain route is passed on whole or not at all', async (t) => {
  let sent = 0
  const address = await startAnsweringUpstream(t, ({ id }) => {
    sent += 1
    return sent === 1
      ? `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\n${STREAM}Content-Length: 999\r\n\r\n${BEGUN}`
      : respond(id, 200, { headers: STREAM, body: BEGUN + REST })
  })
  const [instance] = await startInstances(t, [[plainUpstream('u1', address), plainUpstream('u2', address)]])
  const { status, text, isComplete } = await outcomeOf(instance?.callers ?? 0, '/lookups/1')
  t.deepEqual({ status, text, isComplete }, { status: 200, text: BEGUN + REST, isComplete: true })
  sent = 0
  t.like(await outcomeOf(instance?.callers ?? 0, '/bookings/1'), { status: 502, isComplete: true })
})

test('a response to a new stream that is none is not passed on as a success', async (t) => {
  const address = await startAnsweringUpstream(t, ({ id }) => respond(id, 200, { body: 'done' }))
  const [instance] = await startInstances(t, [[plainUpstream('u1', address)]])
  t.like(await outcomeOf(instance?.callers ?? 0, '/drafts/1'), { status: 502, isComplete: true })
})
