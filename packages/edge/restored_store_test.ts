import { NO_UPSTREAMS, type Configuration, type UpstreamList } from '@berylshed/fleet'
import { PlatformStore } from '@berylshed/platform'
import test, { type ExecutionContext } from 'ava'
import { Effect, Fiber } from 'effect'
import { followConfiguration, followUpstreams, type RegistryHooks } from './_follow_registry.ts'
import { startTestStore, type TestStore } from './_test_store.ts'
import { apply, at, start } from './_test_instances.ts'
import type { EdgeState } from './edge_state.ts'

const STEP_MS = 20
const WAIT_MS = 4000
/** Interval between writes that advance the store, in ms. */
const WRITE_INTERVAL_MS = 100
const REGISTRATION_TTL_MS = 600

function registration (changes: object = {}): object {
  return { Service: 'orders', Address: '10.0.0.1:80', Zone: 'a', Version: 'v1', Slots: 4, State: 'ready', Sequence: 1, born: 5, ...changes }
}

function configuration (version: number): object {
  return { Version: version, Routes: [], Services: [{ Name: 'orders' }] }
}

interface Follower {
  state (): EdgeState
  /** Waits until the state fulfils a condition; false if it does not in time. */
  reaches (condition: (state: EdgeState) => boolean): Promise<boolean>
  /** While true, the follower reads nothing from the store. */
  relayed: boolean
  close (): Promise<void>
}

// Follows a store as an instance does, with its reducer.
function follow (store: TestStore): Follower {
  let state = start('entry')
  const { registry } = new PlatformStore(store.address)
  const hooks: RegistryHooks = {
    nowMs: () => performance.now(),
    random: () => 0,
    instances: () => 1,
    registrationTtlMs: REGISTRATION_TTL_MS,
    configured: (known: Configuration) => { state = apply(state, { subject: 'configured', configuration: known, from: 'store', at: at(performance.now()) }) },
    listed: (list: UpstreamList) => { state = apply(state, { subject: 'listed', list, at: at(performance.now()) }) },
    newestList: () => state.list,
    isRelayed: () => follower.relayed,
    read: () => {},
    lost: () => {},
    regained: () => {}
  }
  const follower: Follower = {
    relayed: false,
    state: () => state,
    reaches: async (condition) => {
      for (const endMs = performance.now() + WAIT_MS; performance.now() < endMs; await pause(STEP_MS)) {
        if (condition(state)) return true
      }
      return false
    },
    close: async () => { await Promise.all(fibers.map((fiber) => Effect.runPromise(Fiber.interrupt(fiber)))) }
  }
  const fibers = [followConfiguration(registry, hooks), followUpstreams(registry, hooks)].map((run) => Effect.runFork(run))
  return follower
}

function pause (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}

async function withFollower (t: ExecutionContext, run: (store: TestStore, follower: Follower) => Promise<void>): Promise<void> {
  const store = await startTestStore()
  store.put('config', 'main', configuration(1))
  store.put('servers', 'u1', registration())
  store.put('servers', 'u2', registration({ Address: '10.0.0.2:80' }))
  const follower = follow(store)
  const writer = setInterval(() => writeMore(store, 1), WRITE_INTERVAL_MS)
  try {
    t.true(await follower.reaches(({ list, configuration: known }) => list?.upstreams.size === 2 && known?.version === 1))
    await run(store, follower)
  } finally {
    clearInterval(writer)
    await follower.close()
    store.close()
  }
}

// Writes that the store loses when it is restored from a copy taken before.
function writeMore (store: TestStore, count: number): void {
  for (let i = 0; i < count; i++) store.put('other', 'o', i)
}

test('an upstream that leaves after a restore is seen to leave although the revisions have gone back', async (t) => {
  await withFollower(t, async (store, follower) => {
    const copy = store.copy()
    writeMore(store, 50)
    store.put('servers', 'u2', registration({ Address: '10.0.0.2:80', Slots: 5 }))
    t.true(await follower.reaches(({ list }) => list?.upstreams.get('u2')?.slots === 5))
    store.restore(copy)
    store.put('servers', 'u1', registration({ State: 'draining' }))
    t.true(await follower.reaches(({ list }) => list?.upstreams.get('u1')?.leaving === true))
  })
})

test('changes are not missed if a restored store has given out the watched revisions again', async (t) => {
  await withFollower(t, async (store, follower) => {
    const copy = store.copy()
    writeMore(store, 5)
    store.put('servers', 'u2', registration({ Address: '10.0.0.2:80', Slots: 5 }))
    t.true(await follower.reaches(({ list }) => list?.upstreams.get('u2')?.slots === 5))
    follower.relayed = true
    await pause(700)
    store.restore(copy)
    store.put('config', 'main', configuration(2))
    store.put('servers', 'u1', registration({ State: 'draining' }))
    writeMore(store, 20)
    follower.relayed = false
    t.true(await follower.reaches(({ list, configuration: known }) => list?.upstreams.get('u1')?.leaving === true && known?.version === 2))
  })
})

test('a watch that spans a restore does not continue with revisions of another era', async (t) => {
  await withFollower(t, async (store, follower) => {
    const copy = store.copy()
    writeMore(store, 5)
    store.put('servers', 'u2', registration({ Address: '10.0.0.2:80', Slots: 5 }))
    t.true(await follower.reaches(({ list }) => list?.upstreams.get('u2')?.slots === 5))
    store.restore(copy)
    store.put('config', 'main', configuration(2))
    store.put('servers', 'u1', registration({ State: 'draining' }))
    writeMore(store, 20)
    t.true(await follower.reaches(({ list, configuration: known }) => list?.upstreams.get('u1')?.leaving === true && known?.version === 2))
  })
})

test('an upstream that drains or is gone does not return with the copy, and returns if its registration remains', async (t) => {
  await withFollower(t, async (store, follower) => {
    const copy = store.copy()
    store.put('servers', 'u1', registration({ State: 'draining' }))
    store.remove('servers', 'u2')
    t.true(await follower.reaches(({ list }) => list?.upstreams.get('u1')?.leaving === true && !list.upstreams.has('u2')))
    store.restore(copy)
    const restoredRevision = follower.state().list?.revision ?? 0
    t.true(await follower.reaches(({ list }) => (list?.revision ?? 0) > restoredRevision))
    t.deepEqual([follower.state().list?.upstreams.get('u1')?.leaving, follower.state().list?.upstreams.has('u2')], [true, false])
    t.true(await follower.reaches(({ list }) => list?.upstreams.has('u2') === true))
    t.true(follower.state().list?.upstreams.get('u1')?.leaving)
  })
})

test('an upstream that joined after the copy is kept until it has registered again', async (t) => {
  await withFollower(t, async (store, follower) => {
    const copy = store.copy()
    store.put('servers', 'u3', registration({ Address: '10.0.0.3:80' }))
    t.true(await follower.reaches(({ list }) => list?.upstreams.has('u3') === true))
    const restoredRevision = follower.state().list?.revision ?? 0
    store.restore(copy)
    t.true(await follower.reaches(({ list }) => (list?.revision ?? 0) > restoredRevision))
    t.true(follower.state().list?.upstreams.has('u3'))
    store.put('servers', 'u3', registration({ Address: '10.0.0.3:80' }))
    await pause(WAIT_MS)
    t.true((follower.state().list ?? NO_UPSTREAMS).upstreams.has('u3'))
  })
})

test('an older configuration from the copy does not replace the one in force', async (t) => {
  await withFollower(t, async (store, follower) => {
    const copy = store.copy()
    store.put('config', 'main', configuration(2))
    t.true(await follower.reaches(({ configuration: known }) => known?.version === 2))
    store.restore(copy)
    await pause(1200)
    t.is(follower.state().configuration?.version, 2)
    store.put('config', 'main', configuration(3))
    t.true(await follower.reaches(({ configuration: known }) => known?.version === 3))
  })
})
