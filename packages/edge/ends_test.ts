import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { Registry, type HostSettings } from '@berylshed/platform'
import test from 'ava'
import { MemoryStore, NoEngines, portOf, statusOf } from './_test_system.ts'
import type { Line } from './logger.ts'
import { runEdge, type RunningEdge } from './run_edge.ts'

const ANY_PORT = '127.0.0.1:0'
const GRACE_MS = 4000
const CLOSE_MS = 2000

/** A registry that never answers. */
class SilentRegistry extends Registry {
  readonly #never = new Promise<never>(() => {})

  override async readConfiguration () {
    return await this.#never
  }

  override async watchConfiguration () {
    return await this.#never
  }

  override async listUpstreams () {
    return await this.#never
  }

  override async watchUpstreams () {
    return await this.#never
  }
}

async function startEdge (write: (subject: string, line: Line) => void = () => {}): Promise<RunningEdge> {
  const settings: HostSettings = {
    instance: 'edge-1',
    availabilityZone: 'a',
    callerAddress: ANY_PORT,
    readinessAddress: ANY_PORT,
    peerAddress: ANY_PORT,
    relayAddress: ANY_PORT,
    metricsAddress: ANY_PORT,
    storeAddress: '',
    storeWritesPerS: 400,
    firstStart: false,
    memoryBytes: 480 * 1024 * 1024,
    maxDescriptors: 6300,
    bounds: { upstreamDrainMs: 2000, registrationTtlMs: 3600, configurationMs: 2000, shutdownGraceMs: GRACE_MS, retryBudgetRatio: 0.2, freeRetriesPerWindow: 40, retryWindowMs: 10_000, enginesCheckFence: true, holderChangeMs: 3000 }
  }
  return await runEdge(settings, { store: new MemoryStore(), registry: new SilentRegistry(), engines: new NoEngines(), logger: { write, dropped: () => 0, end: async () => {} }, residentBytes: () => 0 })
}

async function openConnection (port: number, text: string): Promise<Socket> {
  const socket = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  socket.on('error', () => {})
  await once(socket, 'connect')
  socket.write(text)
  return socket
}

const HEADS = {
  'no bytes': '',
  'half a head': 'GET / HTTP/1.1\r\nHost',
  'a tunnel': 'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n',
  'an upgrade': 'GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n',
  'half a body': 'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{',
  'no HTTP': '\u0000\u0001\u0002'
}

// Node counts a tunnel among the connections of its server, and does not close it with the others: the process outlasted its grace.
for (const [name, head] of Object.entries(HEADS)) {
  test(`an instance whose store hangs and whose connections sent ${name} closes in time`, async (t) => {
    const edge = await startEdge()
    const sockets = await Promise.all(Object.values(edge.addresses).map((address) => openConnection(portOf(address), head)))
    t.teardown(() => { for (const socket of sockets) socket.destroy() })
    await new Promise((resolve) => setTimeout(resolve, 100))
    const startedAtMs = performance.now()
    await edge.close()
    t.true(performance.now() - startedAtMs < CLOSE_MS)
  })
}

// A step of a drain that threw ended the drain, and with it the process and all its open requests.
test('a drain with a step that throws goes on to its end', async (t) => {
  const lines: unknown[] = []
  const edge = await startEdge((subject, line) => {
    if (subject === 'process') lines.push(line['what'])
    if (line['what'] === 'draining') throw new Error('odd')
  })
  const drained = edge.drain()
  await new Promise((resolve) => setTimeout(resolve, 300))
  t.is(await statusOf(portOf(edge.addresses.callerAddress), '/'), 503)
  t.is(await statusOf(portOf(edge.addresses.readinessAddress), '/'), 503)
  await t.notThrowsAsync(drained)
  t.deepEqual(lines, ['started', 'draining', 'effect_failed', 'stopped'])
})
