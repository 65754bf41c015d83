import { connect } from 'node:net'
import { HttpStore } from '@berylshed/platform'
import test from 'ava'
import { HashMap } from 'effect'
import { callInstance, EXAMPLE_KEY, startTestSystem, stopTestSystem, sumEngines, testSettings, until, type TestSystem } from './_test_system.ts'
import type { InstanceState } from './instance_state.ts'
import { runInstance } from './run_instance.ts'

const CHAT = '/v1/chat/completions'
const MODEL = 'keynote-7b'

interface ErrorBody {
  readonly error: { readonly code: string, readonly type: string, readonly outcome: string, readonly message: string }
}

async function errorOf (answer: Response): Promise<unknown> {
  const { error } = await answer.json() as ErrorBody
  return { status: answer.status, code: error.code, type: error.type, outcome: error.outcome, message: error.message }
}

function portOf (system: TestSystem, index = 0): number {
  return system.instances[index]?.httpPort ?? 0
}

test('a model requested from four instances at once is loaded once', async (t) => {
  const system = await startTestSystem(4)
  const answers = await Promise.all(system.instances.map((instance) => callInstance(instance.httpPort, CHAT, { body: { model: MODEL, stream: true } })))
  const texts = await Promise.all(answers.map((answer) => answer.text()))
  t.deepEqual(answers.map((answer) => answer.status), [200, 200, 200, 200])
  t.true(texts.every((text) => text.endsWith('data: [DONE]\n\n')))
  t.is(sumEngines(system, (engine) => engine.loads().get(MODEL) ?? 0), 1)
  await stopTestSystem(system)
})

test('a repeated call with an idempotency key receives the recorded outcome from another instance', async (t) => {
  const system = await startTestSystem(2)
  const call = { body: { speech: 7 }, headers: { 'idempotency-key': 'speech-7' } }
  const answer = await callInstance(portOf(system), '/services/approvals/approve', call)
  const text = await answer.text()
  const repeated = await callInstance(portOf(system, 1), '/services/approvals/approve', call)
  t.is(answer.status, 200)
  t.is(await repeated.text(), text)
  t.is(repeated.headers.get('x-recorded-outcome'), 'completed')
  const runs = [...system.standIns.services.values()].reduce((sum, service) => sum + (service.runs.get('{"speech":7}') ?? 0), 0)
  t.is(runs, 1)
  await stopTestSystem(system)
})

test('a non-idempotent call whose connection breaks is not retried, and its repetition receives an unknown outcome', async (t) => {
  const system = await startTestSystem(2)
  for (const service of system.standIns.services.values()) service.faults.breakAfterRun = 1
  const call = { body: { speech: 8 }, headers: { 'idempotency-key': 'speech-8' } }
  const answer = await callInstance(portOf(system), '/services/approvals/approve', call)
  const repeated = await callInstance(portOf(system, 1), '/services/approvals/approve', call)
  t.snapshot([await errorOf(answer), await errorOf(repeated)])
  const runs = [...system.standIns.services.values()].reduce((sum, service) => sum + (service.runs.get('{"speech":8}') ?? 0), 0)
  t.is(runs, 1)
  await stopTestSystem(system)
})

test('a non-idempotent call is refused as not run while the store is down, and idempotent calls still run', async (t) => {
  const system = await startTestSystem(1)
  system.standIns.store.faults.down = true
  const headers = { 'idempotency-key': 'speech-9', 'x-deadline-ms': '700' }
  const approval = await callInstance(portOf(system), '/services/approvals/approve', { body: { speech: 9 }, headers })
  const lookup = await callInstance(portOf(system), '/services/approvals/state', { body: { speech: 9 } })
  t.is((await approval.json() as ErrorBody).error.outcome, 'not run')
  t.is(lookup.status, 200)
  t.is([...system.standIns.services.values()].reduce((sum, service) => sum + service.runs.size, 0), 1)
  await stopTestSystem(system)
})

test('invalid requests receive an error in the format of the API', async (t) => {
  const system = await startTestSystem(1)
  const url = `http://127.0.0.1:${portOf(system)}`
  const authorization = `Bearer ${EXAMPLE_KEY}`
  const answers = await Promise.all([
    fetch(`${url}${CHAT}`, { method: 'POST', body: '{"model"', headers: { authorization } }),
    fetch(`${url}${CHAT}`, { method: 'POST', body: '{"model":"no-such"}', headers: { authorization } }),
    fetch(`${url}${CHAT}`, { method: 'POST', body: '{}', headers: { authorization: 'Bearer wrong' } }),
    fetch(`${url}${CHAT}`, { method: 'POST', body: 'x'.repeat(5_000_000), headers: { authorization } }),
    fetch(`${url}/v1/models`, { headers: { authorization, 'x-large': 'x'.repeat(20_000) } })
  ])
  t.snapshot(await Promise.all(answers.map(errorOf)))
  await stopTestSystem(system)
})

test('invalid bytes after a complete request are rejected and the server keeps running', async (t) => {
  const system = await startTestSystem(1)
  const text = await new Promise<string>((resolve) => {
    const socket = connect(portOf(system), '127.0.0.1', () => socket.write('GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n\u0000\u0001garbage\r\n\r\n'))
    let received = ''
    socket.on('data', (chunk) => { received += chunk.toString() })
    socket.on('close', () => resolve(received))
  })
  t.true(text.startsWith('HTTP/1.1 200'))
  t.true(text.includes('malformed_http'))
  t.is((await fetch(`http://127.0.0.1:${portOf(system)}/healthz`)).status, 200)
  await stopTestSystem(system)
})

test('a truncated stream ends with an error event and without its closing event', async (t) => {
  const system = await startTestSystem(1)
  for (const engine of system.standIns.engines.values()) engine.faults.truncateAfter = 3
  const answer = await callInstance(portOf(system), CHAT, { body: { model: MODEL, stream: true } })
  let received = ''
  const decoder = new TextDecoder()
  await t.throwsAsync(async () => {
    for await (const chunk of answer.body ?? []) received += decoder.decode(chunk as Uint8Array)
  })
  t.true(received.includes('event: error'))
  t.true(received.includes('answer_truncated'))
  t.false(received.includes('[DONE]'))
  await stopTestSystem(system)
})

test('an answer with the id of another request is not forwarded to the caller', async (t) => {
  const system = await startTestSystem(1)
  for (const engine of system.standIns.engines.values()) engine.faults.crossed = true
  const answer = await callInstance(portOf(system), CHAT, { body: { model: MODEL } })
  t.snapshot(await errorOf(answer))
  await stopTestSystem(system)
})

test('a request to an upstream that stops responding times out', async (t) => {
  const system = await startTestSystem(1, { progress_timeout_ms: 100, max_attempts: 2 })
  await (await callInstance(portOf(system), CHAT, { body: { model: MODEL } })).text()
  for (const engine of system.standIns.engines.values()) engine.faults.silent = true
  const answer = await callInstance(portOf(system), CHAT, { body: { model: MODEL }, headers: { 'x-deadline-ms': '3000' } })
  t.snapshot(await errorOf(answer))
  await stopTestSystem(system)
})

test('the request to the upstream is cancelled when the caller disconnects', async (t) => {
  const system = await startTestSystem(1)
  await (await callInstance(portOf(system), CHAT, { body: { model: MODEL } })).text()
  const abort = new AbortController()
  const answer = await callInstance(portOf(system), CHAT, { body: { model: MODEL, stream: true, max_tokens: 100_000 }, signal: abort.signal })
  const reader = answer.body?.getReader()
  await reader?.read()
  abort.abort()
  await until(() => sumEngines(system, (engine) => engine.running()) === 0)
  t.is(sumEngines(system, (engine) => engine.runs()), 2)
  await stopTestSystem(system)
})

test('a caller that reads slowly receives the complete stream', async (t) => {
  const system = await startTestSystem(1)
  const answer = await callInstance(portOf(system), CHAT, { body: { model: MODEL, stream: true, max_tokens: 400 } })
  await new Promise((resolve) => setTimeout(resolve, 300))
  const text = await answer.text()
  t.true(text.endsWith('data: [DONE]\n\n'))
  await stopTestSystem(system)
})

test('a graceful shutdown of each instance in turn interrupts no stream', async (t) => {
  const system = await startTestSystem(4)
  await (await callInstance(portOf(system), CHAT, { body: { model: MODEL } })).text()
  const answers = system.instances.flatMap((instance) => [1, 2, 3].map(async () => {
    const answer = await callInstance(instance.httpPort, CHAT, { body: { model: MODEL, stream: true, max_tokens: 150 } })
    return await answer.text()
  }))
  await until(() => sumEngines(system, (engine) => engine.running()) === answers.length)
  for (const instance of system.instances) await instance.drain()
  const texts = await Promise.all(answers)
  t.true(texts.every((text) => text.endsWith('data: [DONE]\n\n')))
  t.is(texts.length, 12)
  await system.standIns.close()
})

test('an upstream whose published status is leaving receives no new requests', async (t) => {
  const system = await startTestSystem(2)
  await (await callInstance(portOf(system), CHAT, { body: { model: MODEL } })).text()
  for (const engine of system.standIns.engines.values()) engine.faults.leaving = engine.holdings().has(MODEL)
  await until(() => system.instances.every((instance) => {
    return [...HashMap.values(instance.state().requests.upstreams)].some((load) => load.leaving)
  }))
  const before = sumEngines(system, (engine) => engine.faults.leaving ? engine.runs() : 0)
  const answers = await Promise.all([0, 1].map((index) => callInstance(portOf(system, index), CHAT, { body: { model: MODEL } })))
  t.deepEqual(answers.map((answer) => answer.status), [200, 200])
  t.is(sumEngines(system, (engine) => engine.faults.leaving ? engine.runs() : 0), before)
  await stopTestSystem(system)
})

test('an upstream listed as leaving receives no new requests, and the replicas of a removed upstream are dropped', async (t) => {
  const system = await startTestSystem(1)
  await (await callInstance(portOf(system), CHAT, { body: { model: MODEL } })).text()
  const [holding] = [...system.standIns.engines].filter(([, engine]) => engine.holdings().has(MODEL))
  if (holding === undefined) return t.fail()
  const [name, engine] = holding
  const listed = [...system.standIns.engines.keys()].map((upstream) => ({ name: upstream, role: 'upstream', address: upstream, state: 'live' }))
  const state = (): InstanceState | undefined => system.instances[0]?.state()
  system.standIns.store.put('instances', JSON.stringify(listed.map((entry) => entry.name === name ? { ...entry, state: 'leaving' } : entry)))
  await until(() => HashMap.some(state()?.requests.upstreams ?? HashMap.empty(), (load) => load.withdrawn))
  const runs = engine.runs()
  await engine.close()
  system.standIns.store.put('instances', JSON.stringify(listed.filter((entry) => entry.name !== name)))
  await until(() => state()?.placement.shard?.replicas.every((replica) => replica.upstream !== name) === true)
  t.is((await callInstance(portOf(system), CHAT, { body: { model: MODEL } })).status, 200)
  t.is(engine.runs(), runs)
  await stopTestSystem(system)
})

test('an instance that starts while the store is down fetches the configuration from a peer', async (t) => {
  const system = await startTestSystem(1)
  system.standIns.store.faults.down = true
  const seeds = [`127.0.0.1:${system.instances[0]?.peerPort ?? 0}`]
  const late = await runInstance(await testSettings('entry-9'), { store: new HttpStore(`http://${system.standIns.store.address}`), seeds })
  await until(() => late.state().deployment !== undefined)
  t.is(late.state().deployment?.version, 1)
  t.false(late.isReady())
  system.standIns.store.faults.down = false
  await until(() => late.isReady())
  t.pass()
  await late.close()
  await stopTestSystem(system)
})
