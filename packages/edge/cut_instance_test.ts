import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { startTestLink, type Cut, type TestLink } from './_test_link.ts'
import { plainUpstream, startInstances } from './_test_fleet.ts'
import { ask, pause, type TestInstance } from './_test_system.ts'

const UPSTREAMS = 3
const REQUESTS = 24
/** Time after which an instance that is cut off has to serve its callers, in ms: `ContactMs` of the current deployments. */
const CONTACT_MS = 3000

interface System {
  readonly cut: TestInstance
  readonly links: readonly TestLink[]
  /** Paths of all requests that reached an upstream. */
  readonly arrivals: readonly string[]
}

function startUpstream (arrivals: string[]): Promise<Server> {
  const server = createServer((request, response) => {
    arrivals.push(request.url ?? '')
    const head = { 'attempt-id': request.headers['attempt-id'], 'server-signature': 's' }
    if (request.url?.startsWith('/drafts/') === true) response.writeHead(200, { ...head, 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\nid: 2\ndata: b\n\n')
    else response.writeHead(200, { ...head, 'content-length': 2 }).end('ok')
  })
  return new Promise((resolve) => server.listen(0, '127.0.0.1', () => resolve(server)))
}

// Two instances reach the same upstreams, the second one over links that can be cut.
async function startSystem (t: ExecutionContext): Promise<System> {
  const arrivals: string[] = []
  const servers = await Promise.all(Array.from({ length: UPSTREAMS }, () => startUpstream(arrivals)))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  const links = await Promise.all(ports.map(startTestLink))
  t.teardown(() => {
    for (const link of links) link.close()
    for (const server of servers) server.close()
  })
  const whole = ports.map((port, i) => plainUpstream(`u${i}`, `127.0.0.1:${port}`))
  const [, cut] = await startInstances(t, [whole, whole.map((upstream, i) => ({ ...upstream, address: links[i]?.address ?? '' }))])
  if (cut === undefined) throw new Error('Started fewer than two instances')
  return { cut, links, arrivals }
}

let requestCount = 0

async function askAll (system: System, prefix: string, method = 'GET'): Promise<readonly number[]> {
  const paths = Array.from({ length: REQUESTS }, (_, i) => `${prefix}${i}`)
  const statuses: number[] = []
  for (const path of paths) {
    requestCount += 1
    const answer = ask(system.cut.callers, path, { method, headers: { 'attempt-id': `a${requestCount}`, 'deadline-ms': '4000' } })
    statuses.push(await answer.then(({ status }) => status, () => 0))
  }
  return statuses
}

async function serveWhileCut (t: ExecutionContext, how: Cut): Promise<void> {
  const system = await startSystem(t)
  await askAll(system, '/lookups/before')
  await Promise.all(system.links.map((link) => link.cut(how)))
  const cutAtMs = Date.now()
  while (Date.now() - cutAtMs < CONTACT_MS) await ask(system.cut.callers, '/lookups/at-once', { headers: { 'attempt-id': `a${requestCount += 1}`, 'deadline-ms': '1000' } }).catch(() => undefined)
  const lookups = await askAll(system, '/lookups/cut')
  const drafts = await askAll(system, '/drafts/cut')
  const bookings = await askAll(system, '/bookings/cut', 'POST')
  t.deepEqual([lookups, drafts, bookings].map((statuses) => statuses.filter((status) => status === 200).length), [REQUESTS, REQUESTS, REQUESTS])
  const booked = system.arrivals.filter((path) => path.startsWith('/bookings/'))
  t.is(new Set(booked).size, booked.length, 'a booking ran twice')
  await Promise.all(system.links.map((link) => link.heal()))
  await pause(1500)
  await askAll(system, '/lookups/healed')
  t.deepEqual(await askAll(system, '/lookups/again').then((statuses) => new Set(statuses)), new Set([200]))
}

test('an instance whose connections to all upstreams are reset goes on serving its callers', (t) => serveWhileCut(t, 'reset'))

test('an instance that opens no new connection to any upstream goes on serving its callers', (t) => serveWhileCut(t, 'refused'))
