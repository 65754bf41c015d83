import test from 'ava'
import { plainUpstream, startInstances } from './_test_fleet.ts'
import { outcomeOf } from './_test_system.ts'
import { startAnsweringUpstream } from './_test_upstream.ts'

const EVENTS = 'id: 1\ndata: a\n\n'
const NEXT_EVENTS = 'id: 2\ndata: b\n\n'
const STATUS_LINES = ['HTTP/1.1 000 ', 'HTTP/1.1 000', 'HTTP/1.1 000 OK', 'HTTP/1.1 00 ', 'HTTP/1.1 0000 ', 'HTTP/1.1 20 OK', 'HTTP/1.1 2000 OK', 'HTTP/1.1 abc ', 'HTTP/1.1 -20 ', 'HTTP/1.1 099 ', 'HTTP/1.1 600 ', 'HTTP/1.1  ']
const SIGNATURES = { 'with a signature': 'Server-Signature: s\r\n', 'without a signature': '' }

function respond (id: string, statusLine: string, signature: string, body: string): string {
  return `${statusLine}\r\nAttempt-Id: ${id}\r\n${signature}Content-Type: text/event-stream\r\nContent-Length: ${body.length}\r\n\r\n${body}`
}

// A response with status 000 was reported as an answer to a caller.
for (const [what, signature] of Object.entries(SIGNATURES)) {
  test(`a status that is none is not passed on as an answer, whole or as a stream, ${what}`, async (t) => {
    for (const statusLine of STATUS_LINES) {
      const address = await startAnsweringUpstream(t, ({ id }) => respond(id, statusLine, signature, EVENTS))
      const [instance] = await startInstances(t, [[plainUpstream('u1', address)]])
      for (const path of ['/lookups/1', '/bookings/1', '/drafts/1']) {
        const { status, text } = await outcomeOf(instance?.callers ?? 0, path)
        t.is(status, 502, `${JSON.stringify(statusLine)} ${path}`)
        t.false(text.includes('data: a'))
      }
    }
  })

  test(`a status that is none does not end a stream as complete, ${what}`, async (t) => {
    for (const statusLine of STATUS_LINES) {
      const address = await startAnsweringUpstream(t, ({ id, lastEventId }) => lastEventId === undefined
        ? respond(id, 'HTTP/1.1 200 OK', 'Server-Signature: s\r\n', EVENTS).replace(/Content-Length: \d+/, 'Content-Length: 99')
        : respond(id, statusLine, signature, NEXT_EVENTS))
      const [instance] = await startInstances(t, [[plainUpstream('u1', address), plainUpstream('u2', address)]])
      const { text, isComplete } = await outcomeOf(instance?.callers ?? 0, '/drafts/1')
      t.deepEqual({ text, isComplete }, { text: EVENTS, isComplete: false }, JSON.stringify(statusLine))
    }
  })
}
