import { setTimeout as pause } from 'node:timers/promises'
import { startServiceStandIn } from '@berylshed/standins'
import test, { type ExecutionContext } from 'ava'
import { HashMap } from 'effect'
import { callInstance, startTestSystem, stopTestSystem, until, type TestSystem } from './_test_system.ts'

const STATE = '/services/approvals/state'
const APPROVE = '/services/approvals/approve'
const PROGRESS_TIMEOUT_MS = 400
const TIME_LIMIT_MS = 3000
const TIMEOUT_MS = 60_000
/** Time that each upstream needs for an answer, in ms; the first one leaves. */
const DELAYS_MS = [40, 500, 1100]
const INTERVAL_MS = 30

async function start (t: ExecutionContext): Promise<TestSystem> {
  t.timeout(TIMEOUT_MS)
  const system = await startTestSystem(1, { progress_timeout_ms: PROGRESS_TIMEOUT_MS, max_attempts: 2 })
  const services = [...system.standIns.services.values()]
  t.teardown(() => stopTestSystem(system))
  services.forEach((service, i) => { service.faults.delayMs = DELAYS_MS[i] ?? 0 })
  return system
}

async function statusOf (system: TestSystem, path: string, speech: number): Promise<number> {
  const answer = await callInstance(system.instances[0]?.httpPort ?? 0, path, { body: { speech }, headers: { 'x-deadline-ms': String(TIME_LIMIT_MS) } })
  await answer.text()
  return answer.status
}

async function statusesOf (system: TestSystem, path: string, count: number): Promise<readonly number[]> {
  const statuses: Array<Promise<number>> = []
  for (let i = 0; i < count; i += 1) {
    statuses.push(statusOf(system, path, i))
    await pause(INTERVAL_MS)
  }
  return await Promise.all(statuses)
}

// Withdraws the first upstreams of the service.
async function withdraw (system: TestSystem, count: number): Promise<void> {
  const names = [...system.standIns.engines.keys(), ...system.standIns.services.keys()]
  const left = [...system.standIns.services.keys()].slice(0, count)
  system.standIns.store.put('instances', JSON.stringify(names.map((name) => ({ name, role: 'upstream', address: name, state: left.includes(name) ? 'leaving' : 'live' }))))
  await until(() => HashMap.filter(system.instances[0]?.state().requests.upstreams ?? HashMap.empty(), (load) => load.withdrawn).pipe(HashMap.size) === count)
}

test('repeatable requests are answered by slow upstreams after the fast one has left', async (t) => {
  const system = await start(t)
  const before = await statusesOf(system, STATE, 20)
  await withdraw(system, 1)
  const after = await statusesOf(system, STATE, 150)
  t.deepEqual([before, after].map((statuses) => statuses.filter((status) => status !== 200).length), [0, 0])
})

test('requests that may run once are answered by upstreams slower than the progress timeout', async (t) => {
  const system = await start(t)
  await withdraw(system, 1)
  const statuses = await statusesOf(system, APPROVE, 20)
  t.is(statuses.filter((status) => status !== 200).length, 0)
})

test('a request to the only upstream is answered although it needs longer than the progress timeout', async (t) => {
  const system = await start(t)
  await withdraw(system, 2)
  t.is(await statusOf(system, STATE, 1), 200)
})

test('requests that wait for the only upstream are answered once it accepts connections again', async (t) => {
  const system = await start(t)
  await withdraw(system, 2)
  const service = [...system.standIns.services.values()].at(-1)
  if (service === undefined) return t.fail()
  await service.close()
  const waiting = statusesOf(system, STATE, 10)
  await pause(600)
  const returned = await startServiceStandIn(Number(service.address.split(':')[1]))
  t.teardown(() => returned.close())
  const statuses = await waiting
  t.is(statuses.filter((status) => status !== 200).length, 0)
})
