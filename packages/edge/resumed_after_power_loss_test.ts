import { createServer, request as httpRequest, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Configuration, Upstream } from '@berylshed/fleet'
import { PlatformStore } from '@berylshed/platform'
import test, { type ExecutionContext } from 'ava'
import { startTestStore, type TestStore } from './_test_store.ts'
import { ask, FixedRegistry, pause, startInstance, type TestInstance } from './_test_system.ts'

const STREAMS = 12
const configuration: Configuration = {
  version: 1,
  routes: [{ name: 'drafts', host: 'api.example', pathPrefix: '/drafts/', repetition: 'streaming', timeoutMs: 12_000, objectiveMs: 500, rank: 0, maxAttempts: 2, resumable: true, services: [{ service: 'drafts', weight: 1 }] }],
  services: new Map([['drafts', { name: 'drafts', engine: undefined }]]),
  limits: { maxBodyBytes: 100, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}

interface Version {
  readonly upstream: Upstream
  readonly server: Server
}

// An upstream whose streams name its software version in each event and do not end.
async function startVersion (id: string, softwareVersion: string): Promise<Version> {
  const server = createServer((request, response) => {
    response.writeHead(200, { 'attempt-id': request.headers['attempt-id'], 'server-signature': 's', 'content-type': 'text/event-stream' })
    const event = `id: 1\ndata: ${softwareVersion}\n\n`
    if (request.url === SHORT) response.end(event)
    else if (request.url === PAIRS) setTimeout(() => response.end(event.replace('1', '2')), response.write(event) ? 60 : 0)
    else response.write(event)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  return { server, upstream: { id, service: 'drafts', address, availabilityZone: 'a', incarnation: 1, softwareVersion, slots: 64, leaving: false, residents: [], copies: { inMemory: [], onDisk: [] } } }
}

/** Path at which the upstreams of the test send a stream with one event only. */
const SHORT = '/drafts/short'
/** Path at which they send two events, one after the other. */
const PAIRS = '/drafts/pairs'

// Returns the status of a stream and the software version in its first event; the stream goes on until its server ends.
function beginStream (instance: TestInstance, attempt: string, resumes?: string): Promise<string> {
  return new Promise((resolve) => {
    const resumed = resumes === undefined ? {} : { 'last-event-id': '1', resumes }
    const request = httpRequest({ port: instance.callers, host: '127.0.0.1', path: '/drafts/1', headers: { host: 'api.example', 'attempt-id': attempt, 'deadline-ms': '12000', ...resumed }, agent: false }, (response) => {
      if (response.statusCode !== 200) resolve(`${response.statusCode}`)
      response.once('data', (chunk: Buffer) => resolve(/data: (.*)/.exec(chunk.toString())?.[1] ?? 'no event'))
      response.on('error', () => {})
      response.resume()
    })
    request.on('error', () => resolve('no connection'))
    request.end()
  })
}

interface System {
  readonly old: Version
  readonly newer: Version
  readonly store: TestStore
  start (name: string, upstreams: readonly Version[]): Promise<TestInstance>
}

async function startSystem (t: ExecutionContext): Promise<System> {
  const [old, newer, store] = await Promise.all([startVersion('old', 'v1'), startVersion('newer', 'v1.1'), startTestStore()])
  const running: TestInstance[] = []
  t.teardown(async () => {
    await Promise.all(running.map(({ edge }) => edge.close()))
    for (const { server } of [old, newer]) {
      server.closeAllConnections()
      server.close()
    }
    store.close()
  })
  return {
    old,
    newer,
    store,
    start: async (name, versions) => {
      const instance = await startInstance(name, { store: new PlatformStore(store.address), registry: new FixedRegistry(configuration, versions.map(({ upstream }) => upstream)) })
      running.push(instance)
      return instance
    }
  }
}

// Begins streams at two instances and kills both; returns the software version of each stream by attempt.
async function beginAndKill (system: System): Promise<ReadonlyMap<string, string>> {
  const instances = [await system.start('entry-1', [system.old, system.newer]), await system.start('entry-2', [system.old, system.newer])]
  while (!instances.some(({ edge }) => edge.state().scheduler.held !== undefined)) await pause(20)
  while (!instances.some(({ edge }) => edge.state().received !== undefined)) await pause(20)
  const begun = new Map<string, string>()
  for (let i = 0; i < STREAMS; i += 1) {
    const instance = instances[i % 2]
    if (instance !== undefined) begun.set(`a${i}`, await beginStream(instance, `a${i}`))
  }
  await Promise.all(instances.map(({ edge }) => edge.close()))
  return begun
}

async function resumeAll (instance: TestInstance, begun: ReadonlyMap<string, string>): Promise<ReadonlyMap<string, string>> {
  return new Map(await Promise.all([...begun.keys()].map(async (attempt) => [attempt, await beginStream(instance, `again-${attempt}`, attempt)] as const)))
}

test('streams go on at the version that began them after all instances died', async (t) => {
  const system = await startSystem(t)
  const begun = await beginAndKill(system)
  t.deepEqual([...new Set(begun.values())].sort(), ['v1', 'v1.1'])
  const next = await system.start('entry-1', [system.old, system.newer])
  t.deepEqual(await resumeAll(next, begun), begun)
  t.is(await beginStream(next, 'again', 'nobody-knows'), '503')
})

test('a stream is not joined from two versions if the old one left before all instances died', async (t) => {
  const system = await startSystem(t)
  const begun = await beginAndKill(system)
  const next = await system.start('entry-1', [system.newer])
  const expected = new Map([...begun].map(([attempt, version]) => [attempt, version === 'v1' ? '503' : version]))
  t.deepEqual(await resumeAll(next, begun), expected)
})

test('a service with one version only resumes streams of an unknown origin after all instances died', async (t) => {
  const system = await startSystem(t)
  const first = await system.start('entry-1', [system.old])
  while (first.edge.state().scheduler.held === undefined) await pause(20)
  await beginStream(first, 'a')
  await first.edge.close()
  const next = await system.start('entry-1', [system.old])
  t.is(await beginStream(next, 'again', 'a'), 'v1')
})

test('a stream that ends before its origin is stored is delivered whole', async (t) => {
  const system = await startSystem(t)
  const instance = await system.start('entry-1', [system.old, system.newer])
  while (!instance.edge.state().archive.historyKnown) await pause(20)
  const answers = await Promise.all(Array.from({ length: 8 }, (_, i) => ask(instance.callers, SHORT, { headers: { 'attempt-id': `short-${i}`, 'deadline-ms': '4000' } })))
  t.true(answers.every(({ status, text }) => status === 200 && /^id: 1\ndata: v1(.1)?\n\n$/.test(text)), JSON.stringify(answers))
})

test('streams are delivered whole while the store does not take their origins', async (t) => {
  const system = await startSystem(t)
  const instance = await system.start('entry-1', [system.old, system.newer])
  while (!instance.edge.state().archive.historyKnown) await pause(20)
  system.store.close()
  for (let i = 0; i < 6; i += 1) {
    const { status, text } = await ask(instance.callers, PAIRS, { headers: { 'attempt-id': `pair-${i}`, 'deadline-ms': '4000' } })
    t.deepEqual([status, text.split('data: ').length], [200, 3])
  }
})
