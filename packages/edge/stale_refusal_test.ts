import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { plainUpstream, startInstances } from './_test_fleet.ts'
import { ask } from './_test_system.ts'

const WORK_MS = 150

function refusal (id: string | undefined): string {
  return `HTTP/1.1 503 Busy\r\n${id === undefined ? '' : `Attempt-Id: ${id}\r\n`}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`
}

function idOf (request: string): string {
  return /^attempt-id: (.*)$/im.exec(request)?.[1]?.trim() ?? ''
}

interface FaultyUpstream {
  readonly port: number
  /** Number of times that each request ran, by id. */
  readonly runs: ReadonlyMap<string, number>
}

// Refuses a number of requests; while it runs a later one, it writes the last refusal again.
async function startFaulty (t: ExecutionContext, options: { readonly refuses: number, readonly withId: boolean }): Promise<FaultyUpstream> {
  const runs = new Map<string, number>()
  let refused = 0
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (chunk) => {
      const id = idOf(chunk.toString('latin1'))
      if (refused < options.refuses) {
        refused += 1
        socket.write(refusal(id))
        return
      }
      runs.set(id, (runs.get(id) ?? 0) + 1)
      setTimeout(() => { if (!socket.destroyed) socket.write(refusal(options.withId ? id : undefined)) }, WORK_MS / 3)
      setTimeout(() => { if (!socket.destroyed) socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Signature: s\r\nContent-Length: 2\r\n\r\nok`) }, WORK_MS)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return { port: (server.address() as AddressInfo).port, runs }
}

async function book (t: ExecutionContext, upstreams: readonly FaultyUpstream[], id: string): Promise<number> {
  const [instance] = await startInstances(t, [upstreams.map(({ port }, i) => plainUpstream(`u${i}`, `127.0.0.1:${port}`))])
  if (instance === undefined) return 0
  return (await ask(instance.callers, '/bookings/1', { method: 'POST', headers: { 'attempt-id': id, 'deadline-ms': '3000' } })).status
}

function totalRuns (upstreams: readonly FaultyUpstream[]): number {
  return upstreams.reduce((sum, { runs }) => sum + [...runs.values()].reduce((all, count) => all + count, 0), 0)
}

test('a booking that runs while its upstream writes a refusal without an id is not reported as not run, nor run again', async (t) => {
  const upstreams = await Promise.all([startFaulty(t, { refuses: 0, withId: false }), startFaulty(t, { refuses: 0, withId: false })])
  t.is(await book(t, upstreams, 'b1'), 502)
  t.is(totalRuns(upstreams), 1)
})

test('a booking is not sent again to an upstream that has refused it, as the refusal may be written once more', async (t) => {
  const upstreams = [await startFaulty(t, { refuses: 1, withId: true })]
  t.is(await book(t, upstreams, 'b2'), 503)
  t.is(totalRuns(upstreams), 0)
})

test('a booking that each upstream refused once is refused as not run', async (t) => {
  const upstreams = await Promise.all([startFaulty(t, { refuses: 1, withId: false }), startFaulty(t, { refuses: 1, withId: false })])
  t.is(await book(t, upstreams, 'b3'), 503)
  t.is(totalRuns(upstreams), 0)
})
