import type { AddressInfo } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { HashMap } from 'effect'
import { createAdmission } from './_admission.ts'
import { createCallerServer } from './_caller_server.ts'
import { start } from './_test_instances.ts'
import { KEYS, startKeyedSystem, TENANTS, type KeyedSystem } from './_test_keyed_system.ts'
import { ask, outcomeOf, pause, type CallerOutcome } from './_test_system.ts'
import { instanceLimits } from './instance_limits.ts'

const [ONE, TWO] = TENANTS as [Readonly<Record<string, unknown>>, Readonly<Record<string, unknown>>]
const WORK_MS = 600
const HEADERS = { authorization: `Token ${KEYS.one}` }

async function whileRunning (t: ExecutionContext, path: string, act: (system: KeyedSystem) => Promise<void>, revocationMs?: number): Promise<{ readonly outcome: CallerOutcome, readonly system: KeyedSystem }> {
  const system = await startKeyedSystem(t, { workMs: WORK_MS, ...revocationMs === undefined ? {} : { revocationMs } })
  const running = outcomeOf(system.instance.callers, path, { headers: HEADERS })
  while (system.arrived.length === 0) await pause(5)
  // A stream has to have begun.
  await pause(50)
  await act(system)
  return { outcome: await running, system }
}

test('running requests of a removed key continue if the platform does not revoke strictly', async (t) => {
  for (const path of ['/lookups/1', '/drafts/1']) {
    const { outcome } = await whileRunning(t, path, ({ configure }) => configure([{ ...ONE, ApiKeys: [KEYS.another] }, TWO]))
    t.like(outcome, { status: 200, isComplete: true }, path)
  }
})

test('with strict revocation, running requests of a removed or moved key end, and others continue', async (t) => {
  const ended: unknown[] = []
  for (const path of ['/lookups/1', '/bookings/1', '/drafts/1']) {
    const { outcome, system } = await whileRunning(t, path, ({ configure }) => configure([{ ...ONE, ApiKeys: [] }, { ...TWO, ApiKeys: [KEYS.one, KEYS.two] }]), 1000)
    ended.push([outcome.status, outcome.isComplete, /"(?:reason|outcome)":"[^"]*"/g[Symbol.match](outcome.text)?.join()])
    t.true(outcome.elapsedMs < WORK_MS + 1000)
    t.like(system.lines.find(({ what }) => what === 'revoked'), { request: 'a1', customer: 'hule930', keyDigest: '82c45760' })
    // What may run only once goes on at its upstream and is no longer counted afterwards.
    while (HashMap.size(system.instance.edge.state().serving.requests) > 0) await pause(20)
  }
  t.deepEqual(ended, [[502, true, '"reason":"key_revoked","outcome":"outcome unknown"'], [502, true, '"reason":"key_revoked","outcome":"outcome unknown"'], [200, false, undefined]])
  const { outcome } = await whileRunning(t, '/drafts/1', ({ configure }) => configure([{ ...ONE, ApiKeys: [KEYS.one] }, TWO]), 1000)
  t.like(outcome, { status: 200, isComplete: true })
})

// Callers with wrong keys could fill the log, and crowd out the lines of others.
test('lines on rejected keys are bounded, and the counter has all of them', async (t) => {
  const { instance, lines } = await startKeyedSystem(t)
  const statuses = await Promise.all(Array.from({ length: 60 }, async () => (await ask(instance.callers, '/lookups/1')).status))
  t.deepEqual(new Set(statuses), new Set([401]))
  const early = lines.filter(({ reason }) => reason === 'key_missing')
  t.true(early.length >= 10 && early.length < 60, `${early.length} lines`)
  await pause(1100)
  await ask(instance.callers, '/lookups/1')
  const reported = lines.filter(({ reason }) => reason === 'key_missing').reduce((sum, { unreported = 0 }) => sum + 1 + Number(unreported), 0)
  t.is(reported, 61)
  t.regex((await ask(instance.metrics, '/metrics')).text, /berylshed_rejected_total\{status="401",reason="key_missing"\} 61/)
})

test('without a configuration no key is judged, and callers are asked to retry', async (t) => {
  const limits = instanceLimits({ memoryBytes: 480 * 1024 * 1024, heapBytes: 240 * 1024 * 1024, maxDescriptors: 6300 })
  const admission = createAdmission({ limits, memoryBytes: 480 * 1024 * 1024, attempts: () => 0, freed: () => {} })
  const { server } = createCallerServer({ forInstances: false, admission, nowMs: () => performance.now(), random: () => 0, state: () => start('entry-1'), receive: () => {}, rejected: () => {}, halfClosed: () => {} })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const { status, text } = await ask((server.address() as AddressInfo).port, '/lookups/1')
  t.deepEqual([status, JSON.parse(text)], [503, { error: { reason: 'not_configured', outcome: 'not run' } }])
})

test('callers need keys from the first version with customers on', async (t) => {
  const { instance, configure } = await startKeyedSystem(t, { tenants: [] })
  t.is((await ask(instance.callers, '/lookups/1')).status, 200)
  await configure(TENANTS)
  t.is((await ask(instance.callers, '/lookups/1')).status, 401)
})
