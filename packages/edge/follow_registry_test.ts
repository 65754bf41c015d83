import { NO_UPSTREAMS, type Upstream, type UpstreamList } from '@berylshed/fleet'
import { Registry, type RegistryFailure, type UpstreamListing } from '@berylshed/platform'
import test from 'ava'
import { Effect, Fiber } from 'effect'
import { err, ok } from 'neverthrow'
import { followConfiguration, followUpstreams, deferRemovals, type RegistryHooks } from './_follow_registry.ts'

const upstream: Upstream = {
  id: 'u', service: 's', address: '10.0.0.1:80', availabilityZone: 'a', incarnation: 1, softwareVersion: 'v1', slots: 1, leaving: false, residents: [], copies: { inMemory: [], onDisk: [] }
}
const gone = { id: 'u', upstream: undefined }

test('a removal right after an outage is deferred until the registration may be renewed', (t) => {
  const removal = deferRemovals(undefined, { changes: [gone], revision: 2 }, { nowMs: 100, outageEndedAtMs: 50 })
  t.deepEqual(removal.changes, [])
  t.deepEqual(deferRemovals(removal, { changes: [{ id: 'u', upstream }], revision: 3 }, { nowMs: 900, outageEndedAtMs: 50 }).lapsed.size, 0)
  t.deepEqual(deferRemovals(removal, { changes: [], revision: 3 }, { nowMs: 2400, outageEndedAtMs: 50 }).changes, [gone])
  t.deepEqual(deferRemovals(undefined, { changes: [gone], revision: 2 }, { nowMs: 9000, outageEndedAtMs: 50 }).changes, [gone])
})

class ScriptedRegistry extends Registry {
  readonly #answers: ReadonlyArray<UpstreamListing | RegistryFailure>
  #calls = 0

  constructor (answers: ReadonlyArray<UpstreamListing | RegistryFailure>) {
    super()
    this.#answers = answers
  }

  override async readConfiguration () {
    return ok({ revision: 1, configuration: undefined })
  }

  override async watchConfiguration () {
    return ok({ revision: 1, configuration: undefined })
  }

  override async listUpstreams () {
    const answer = this.#answers[Math.min(this.#calls, this.#answers.length - 1)]
    this.#calls += 1
    if (answer === undefined || 'kind' in answer) return err(answer ?? { kind: 'unavailable' as const, message: '' })
    return ok(answer)
  }

  override async watchUpstreams () {
    return err({ kind: 'unavailable' as const, message: 'rejected' })
  }
}

// Lists the upstreams after the store rejected an instance for a while, with or without updates from peers in the meantime.
async function listAfterOutage (peersUpdated: boolean): Promise<readonly string[]> {
  const before: UpstreamListing = { revision: 5, upstreams: new Map([['u', upstream]]) }
  const registry = new ScriptedRegistry([before, { kind: 'unavailable', message: 'rejected' }, { kind: 'unavailable', message: 'rejected' }, { revision: 9, upstreams: new Map() }])
  let now = 0
  let newest: UpstreamList = NO_UPSTREAMS
  const fiber = Effect.runFork(followUpstreams(registry, {
    nowMs: () => now,
    random: () => 0,
    instances: () => 1,
    configured: () => {},
    listed: (list) => { newest = list },
    newestList: () => newest,
    isRelayed: () => false,
    read: () => {},
    lost: () => {
      now += 5000
      if (peersUpdated) newest = { ...newest, revision: 7 }
    },
    regained: () => {},
    registrationTtlMs: 3600
  }))
  await new Promise((resolve) => setTimeout(resolve, 1800))
  await Effect.runPromise(Fiber.interrupt(fiber))
  return [...newest.upstreams.keys()]
}

test('a removal is applied immediately if peers received updates while the store rejected this instance', async (t) => {
  t.deepEqual(await Promise.all([listAfterOutage(true), listAfterOutage(false)]), [[], ['u']])
})

class ThrowingRegistry extends ScriptedRegistry {
  #failures = 2

  override async readConfiguration (): ReturnType<ScriptedRegistry['readConfiguration']> {
    this.#fail()
    return await super.readConfiguration()
  }

  override async listUpstreams () {
    this.#fail()
    return await super.listUpstreams()
  }

  #fail (): void {
    this.#failures -= 1
    if (this.#failures >= 0) throw new RangeError('Maximum call stack size exceeded')
  }
}

// The fiber ended, so that the instance kept its list and its configuration for good.
test('a call that throws does not end the following of the store', async (t) => {
  const listed: number[] = []
  const [reads, losses]: [string[], string[]] = [[], []]
  const hooks: RegistryHooks = {
    nowMs: () => performance.now(),
    random: () => 0,
    instances: () => 1,
    configured: () => {},
    listed: (list) => {
      listed.push(list.upstreams.size)
      if (listed.length === 1) throw new Error('the list cannot be applied')
    },
    newestList: () => undefined,
    isRelayed: () => false,
    read: (what) => { reads.push(what) },
    lost: (what) => { losses.push(what) },
    regained: () => {},
    registrationTtlMs: 3600
  }
  const registry = new ThrowingRegistry([{ revision: 5, upstreams: new Map([['u', upstream]]) }])
  const fibers = [followConfiguration(registry, hooks), followUpstreams(registry, hooks)].map((follow) => Effect.runFork(follow))
  await new Promise((resolve) => setTimeout(resolve, 1200))
  await Promise.all(fibers.map((fiber) => Effect.runPromise(Fiber.interrupt(fiber))))
  t.deepEqual(listed.slice(0, 2), [1, 1])
  t.deepEqual(new Set(reads), new Set(['configuration', 'upstreams']))
  // Watches of this registry fail, too.
  t.deepEqual(losses.slice(0, 3), ['configuration', 'registrations', 'registrations'])
})

class ForgetfulRegistry extends Registry {
  reads = 0

  override async readConfiguration () {
    await new Promise((resolve) => setTimeout(resolve, 2))
    this.reads += 1
    return ok({ revision: 1, configuration: undefined })
  }

  override async watchConfiguration (): ReturnType<Registry['watchConfiguration']> {
    return err({ kind: 'history_gone', message: '' })
  }

  override async listUpstreams () {
    await new Promise((resolve) => setTimeout(resolve, 2))
    this.reads += 1
    return ok({ revision: 1, upstreams: new Map() })
  }

  override async watchUpstreams (): ReturnType<Registry['watchUpstreams']> {
    return err({ kind: 'history_gone', message: '' })
  }
}

class HastyRegistry extends ForgetfulRegistry {
  override async watchConfiguration (): ReturnType<Registry['watchConfiguration']> {
    return await this.readConfiguration()
  }

  override async watchUpstreams (): ReturnType<Registry['watchUpstreams']> {
    await new Promise((resolve) => setTimeout(resolve, 2))
    this.reads += 1
    return ok({ revision: 1, changes: [] })
  }
}

const PACED: ReadonlyArray<readonly [name: string, create: () => ForgetfulRegistry, maxReads: number]> = [
  ['has no history for any watch', () => new ForgetfulRegistry(), 20],
  ['answers each watch at once', () => new HastyRegistry(), 70]
]

for (const [name, create, maxReads] of PACED) {
  // Each answer was followed by the next call at once.
  test(`a store that ${name} is not called without a pause`, async (t) => {
    const registry = create()
    const hooks: RegistryHooks = {
      nowMs: () => performance.now(), random: () => 0, instances: () => 1, configured: () => {}, listed: () => {}, newestList: () => undefined, isRelayed: () => false, read: () => {}, lost: () => {}, regained: () => {}, registrationTtlMs: 3600
    }
    const fibers = [followConfiguration(registry, hooks), followUpstreams(registry, hooks)].map((follow) => Effect.runFork(follow))
    await new Promise((resolve) => setTimeout(resolve, 1500))
    await Promise.all(fibers.map((fiber) => Effect.runPromise(Fiber.interrupt(fiber))))
    t.true(registry.reads < maxReads, `${registry.reads} reads`)
  })
}
