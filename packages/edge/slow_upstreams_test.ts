import type { Configuration, Upstream } from '@berylshed/fleet'
import test, { type ExecutionContext } from 'ava'
import { PLAIN_CONFIGURATION, plainUpstream } from './_test_fleet.ts'
import { ChangingRegistry } from './_test_registry.ts'
import { MemoryStore, outcomeOf, pause, startInstance, type CallerOutcome, type LoggedLine, type TestInstance } from './_test_system.ts'
import { startRawUpstream, startSlowUpstream } from './_test_upstream.ts'

const DEADLINE_MS = 3000
const INTERVAL_MS = 60
const SLOTS = 12
/** Address at which nothing listens. */
const NOWHERE = '127.0.0.1:1'

function configurationOf (objectiveMs: number, timeoutMs: number): Configuration {
  return { ...PLAIN_CONFIGURATION, routes: PLAIN_CONFIGURATION.routes.map((route) => ({ ...route, objectiveMs, timeoutMs })) }
}

interface System {
  readonly instances: readonly TestInstance[]
  readonly lines: readonly LoggedLine[]
  /** Removes the registration of an upstream. */
  remove (id: string): void
}

interface View {
  readonly upstreams: readonly Upstream[]
  /** Whether no connection to an upstream can be opened. */
  readonly isCut?: boolean
}

async function startSystem (t: ExecutionContext, configuration: Configuration, views: readonly View[]): Promise<System> {
  const store = new MemoryStore()
  const lines: LoggedLine[] = []
  const registries = views.map(({ upstreams, isCut }) => new ChangingRegistry(isCut === true ? upstreams.map((upstream) => ({ ...upstream, address: NOWHERE })) : upstreams, configuration))
  const instances: TestInstance[] = []
  t.teardown(() => Promise.all(instances.map(({ edge }) => edge.close())))
  for (const [i, registry] of registries.entries()) instances.push(await startInstance(`entry-${i + 1}`, { store, registry }, { lines }))
  while (instances.some(({ edge }) => edge.state().serving.instances < views.length)) await pause(20)
  return { instances, lines, remove: (id) => { for (const registry of registries) registry.change({ id, upstream: undefined }) } }
}

let sent = 0

// Sends requests at an interval, whether others end or not.
async function sendFor (instance: TestInstance | undefined, path: string, { durationMs }: { readonly durationMs: number }): Promise<readonly CallerOutcome[]> {
  const outcomes: Array<Promise<CallerOutcome>> = []
  for (const endMs = performance.now() + durationMs; performance.now() < endMs; await pause(INTERVAL_MS)) {
    outcomes.push(outcomeOf(instance?.callers ?? 0, path, { headers: { 'attempt-id': `slow-${sent += 1}`, 'deadline-ms': String(DEADLINE_MS) } }))
  }
  return await Promise.all(outcomes)
}

function failuresOf (outcomes: readonly CallerOutcome[]): readonly string[] {
  return outcomes.filter(({ status, isComplete }) => status !== 200 || !isComplete).map(({ status, text, elapsedMs }) => `${status} ${text} after ${Math.round(elapsedMs)} ms`)
}

async function startUpstreams (t: ExecutionContext, worksMs: readonly number[]): Promise<readonly Upstream[]> {
  const upstreams = await Promise.all(worksMs.map((workMs) => startSlowUpstream(t, workMs)))
  return upstreams.map(({ address }, i) => plainUpstream(`u${worksMs[i]}`, address, SLOTS))
}

// All requests of a route failed once its fast upstream had left, as sound but slower ones were given up for their silence.
test('requests are served by slow upstreams once a fast one has left', async (t) => {
  const upstreams = await startUpstreams(t, [40, 500, 1100])
  const { instances: [instance], lines, remove } = await startSystem(t, configurationOf(200, DEADLINE_MS), [{ upstreams }])
  const before = await sendFor(instance, '/lookups/1', { durationMs: 600 })
  remove('u40')
  await pause(100)
  const after = await sendFor(instance, '/lookups/1', { durationMs: 4000 })
  t.deepEqual(failuresOf([...before, ...after]), [])
  const givenUp = lines.filter((line) => 'what' in line && line.what === 'failed' && line.reason === 'silent').length
  t.log(`${givenUp} attempts of ${before.length + after.length} requests given up, the longest request ${Math.round(Math.max(...after.map(({ elapsedMs }) => elapsedMs)))} ms`)
})

test('requests are served by the only upstream, however long it takes', async (t) => {
  const upstreams = await startUpstreams(t, [1100])
  const { instances: [instance], lines } = await startSystem(t, configurationOf(200, DEADLINE_MS), [{ upstreams }])
  t.deepEqual(failuresOf(await sendFor(instance, '/lookups/1', { durationMs: 1500 })), [])
  t.true(lines.some((line) => 'what' in line && line.what === 'waits'))
})

// An instance that took requests over gave them up for the silence of its upstreams, and so did the one that had handed them over.
test('requests that are handed over are served by slow upstreams', async (t) => {
  const upstreams = await startUpstreams(t, [500, 1100])
  const { instances: [, cut] } = await startSystem(t, configurationOf(200, DEADLINE_MS), [{ upstreams }, { upstreams, isCut: true }])
  await sendFor(cut, '/lookups/1', { durationMs: 1500 })
  t.deepEqual(failuresOf(await sendFor(cut, '/lookups/1', { durationMs: 3000 })), [])
})

// Such a request was taken back after 0.6 of its time, and a third instance had too little of it left.
test('requests that are handed over to an instance that runs are not taken back for another one', async (t) => {
  const upstreams = await startUpstreams(t, [2100])
  const { instances: [, , cut] } = await startSystem(t, configurationOf(200, DEADLINE_MS), [{ upstreams }, { upstreams }, { upstreams, isCut: true }])
  while ((cut?.edge.state().serving.members.relays.length ?? 0) < 2 || cut?.edge.state().serving.unreachable.size === 0) await sendFor(cut, '/lookups/1', { durationMs: INTERVAL_MS })
  t.deepEqual(failuresOf(await sendFor(cut, '/lookups/1', { durationMs: 900 })), [])
})

test('streams are served whose first event takes long at all upstreams', async (t) => {
  const upstreams = await startUpstreams(t, [1200, 1600])
  const { instances: [instance] } = await startSystem(t, configurationOf(200, DEADLINE_MS), [{ upstreams }])
  t.deepEqual(failuresOf(await sendFor(instance, '/drafts/1', { durationMs: 3000 })), [])
})

test('an upstream that has hung is left in time for another one', async (t) => {
  const hung = await startRawUpstream(() => {})
  t.teardown(() => hung.close())
  const [sound] = await startUpstreams(t, [40])
  if (sound === undefined) throw new Error('Started no upstream')
  const { instances: [instance] } = await startSystem(t, configurationOf(200, DEADLINE_MS), [{ upstreams: [plainUpstream('hung', `127.0.0.1:${hung.port}`, SLOTS), sound] }])
  const outcomes = await sendFor(instance, '/lookups/1', { durationMs: 6000 })
  t.deepEqual(failuresOf(outcomes), [])
  t.log(`${outcomes.filter(({ elapsedMs }) => elapsedMs > 200).length} of ${outcomes.length} took more than 200 ms, the longest ${Math.round(Math.max(...outcomes.map(({ elapsedMs }) => elapsedMs)))} ms`)
})
