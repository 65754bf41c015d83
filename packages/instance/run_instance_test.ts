import { readFile } from 'node:fs/promises'
import { DocumentSchema } from '@berylshed/configuration'
import { HttpStore } from '@berylshed/platform'
import { readDocument, readSettings, type Settings } from '@berylshed/settings'
import test from 'ava'
import { runInstance, type RunningInstance } from './run_instance.ts'
import { startStandIns, type StandIns } from './start_stand_ins.ts'

const KEY = 'example-key-0000000000'
const EXAMPLES = new URL('../../examples/', import.meta.url)

interface System {
  readonly standIns: StandIns
  readonly instances: readonly RunningInstance[]
}

async function settingsFor (name: string): Promise<Settings> {
  const text = await readFile(new URL('redenwerk.toml', EXAMPLES), 'utf8')
  const settings = readSettings(text, { source: 'redenwerk.toml' })._unsafeUnwrap()
  const instance = { ...settings.instance, name, http_port: 0, peer_port: 0, admin_port: 0 }
  return { ...settings, instance, requests: { ...settings.requests, drain_ms: 1 } }
}

async function startSystem (count: number): Promise<System> {
  const text = await readFile(new URL('redenwerk_deployment.toml', EXAMPLES), 'utf8')
  const document = readDocument(text, DocumentSchema, { source: 'redenwerk' })._unsafeUnwrap()
  const standIns = await startStandIns(document, { anyPort: true, speedUp: 100, tokenMs: 1 })
  const instances: RunningInstance[] = []
  for (let i = 0; i < count; i += 1) {
    const seeds = instances.map((instance) => `127.0.0.1:${instance.peerPort}`)
    instances.push(await runInstance(await settingsFor(`entry-${i + 1}`), { store: new HttpStore(`http://${standIns.store.address}`), seeds }))
  }
  await Promise.all(instances.map(untilReady))
  return { standIns, instances }
}

async function untilReady (instance: RunningInstance): Promise<void> {
  while (!instance.isReady() || instance.state().placement.cell?.holder == null) await new Promise((resolve) => setTimeout(resolve, 20))
}

async function stop (system: System): Promise<void> {
  await Promise.all(system.instances.map((instance) => instance.close()))
  await system.standIns.close()
}

function call (instance: RunningInstance, path: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
  return fetch(`http://127.0.0.1:${instance.httpPort}${path}`, {
    method: 'POST', body: JSON.stringify(body), headers: { authorization: `Bearer ${KEY}`, ...headers }
  })
}

test('a model called at four instances at once is loaded once', async (t) => {
  const system = await startSystem(4)
  const answers = await Promise.all(system.instances.map((instance) => call(instance, '/v1/chat/completions', { model: 'keynote-7b', stream: true })))
  const texts = await Promise.all(answers.map((answer) => answer.text()))
  const loads = [...system.standIns.engines.values()].reduce((sum, engine) => sum + (engine.loads().get('keynote-7b') ?? 0), 0)
  t.deepEqual(answers.map((answer) => answer.status), [200, 200, 200, 200])
  t.true(texts.every((text) => text.endsWith('data: [DONE]\n\n')))
  t.is(loads, 1)
  await stop(system)
})

test('a booking repeated at another instance is told the recorded outcome', async (t) => {
  const system = await startSystem(2)
  const [first, second] = system.instances
  if (first === undefined || second === undefined) return t.fail()
  const headers = { 'idempotency-key': 'speech-7' }
  const answer = await call(first, '/services/approvals/approve', { speech: 7 }, headers)
  const text = await answer.text()
  const repeated = await call(second, '/services/approvals/approve', { speech: 7 }, headers)
  t.is(answer.status, 200)
  t.is(await repeated.text(), text)
  t.is(repeated.headers.get('x-recorded-outcome'), 'completed')
  const runs = [...system.standIns.services.values()].reduce((sum, service) => sum + (service.runs.get('{"speech":7}') ?? 0), 0)
  t.is(runs, 1)
  await stop(system)
})

test('bad input gets an error in the usual form', async (t) => {
  const system = await startSystem(1)
  const [instance] = system.instances
  if (instance === undefined) return t.fail()
  const url = `http://127.0.0.1:${instance.httpPort}`
  const authorization = `Bearer ${KEY}`
  const answers = await Promise.all([
    fetch(`${url}/v1/chat/completions`, { method: 'POST', body: '{"model"', headers: { authorization } }),
    fetch(`${url}/v1/chat/completions`, { method: 'POST', body: '{"model":"no-such"}', headers: { authorization } }),
    fetch(`${url}/v1/chat/completions`, { method: 'POST', body: '{}', headers: { authorization: 'Bearer wrong' } }),
    fetch(`${url}/v1/chat/completions`, { method: 'POST', body: 'x'.repeat(5_000_000), headers: { authorization } }),
    fetch(`${url}/v1/models`, { headers: { authorization, 'x-large': 'x'.repeat(20_000) } })
  ])
  const errors = await Promise.all(answers.map(async (answer) => {
    const { error } = await answer.json() as { error: Record<string, unknown> }
    return { status: answer.status, code: error.code, type: error.type, outcome: error.outcome, message: error.message }
  }))
  t.snapshot(errors)
  await stop(system)
})
