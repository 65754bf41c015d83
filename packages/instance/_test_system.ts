import { readFile } from 'node:fs/promises'
import { ConfigurationSchema, type ConfigurationDocument } from '@berylshed/configuration'
import { HttpStore } from '@berylshed/platform'
import { readDocument, readSettings, type Settings } from '@berylshed/settings'
import { runInstance, type RunningInstance } from './run_instance.ts'
import { startStandIns, type StandIns } from './start_stand_ins.ts'

const EXAMPLES = new URL('../../examples/', import.meta.url)
const POLL_MS = 20

/** API key of the example customer. */
export const EXAMPLE_KEY = 'example-key-0000000000'

/** Instances under test and the stand-ins that they use. */
export interface TestSystem {
  readonly standIns: StandIns
  readonly instances: readonly RunningInstance[]
}

/** Returns the example settings with the name of an instance and free ports. */
export async function testSettings (name: string, overrides: Partial<Settings['requests']> = {}): Promise<Settings> {
  const text = await readFile(new URL('redenwerk.toml', EXAMPLES), 'utf8')
  const settings = readSettings(text, { source: 'redenwerk.toml' })._unsafeUnwrap()
  const instance = { ...settings.instance, name, http_port: 0, peer_port: 0, admin_port: 0 }
  return { ...settings, instance, requests: { ...settings.requests, drain_ms: 1, ...overrides } }
}

/** Reads the example deployment. */
export async function testDocument (): Promise<ConfigurationDocument> {
  const text = await readFile(new URL('redenwerk_deployment.toml', EXAMPLES), 'utf8')
  return readDocument(text, ConfigurationSchema, { source: 'redenwerk' })._unsafeUnwrap()
}

/** Starts instances with accelerated stand-ins and waits until every instance is ready and knows the lease holder. */
export async function startTestSystem (count: number, overrides: Partial<Settings['requests']> = {}): Promise<TestSystem> {
  const standIns = await startStandIns(await testDocument(), { anyPort: true, speedUp: 100, tokenMs: 1 })
  const instances: RunningInstance[] = []
  for (let i = 0; i < count; i += 1) {
    const seeds = instances.map((instance) => `127.0.0.1:${instance.peerPort}`)
    instances.push(await runInstance(await testSettings(`entry-${i + 1}`, overrides), { store: new HttpStore(`http://${standIns.store.address}`), seeds }))
  }
  await Promise.all(instances.map((instance) => until(() => instance.isReady() && instance.state().placement.shard?.holder != null)))
  return { standIns, instances }
}

/** Stops instances and stand-ins. */
export async function stopTestSystem (system: TestSystem): Promise<void> {
  await Promise.all(system.instances.map((instance) => instance.close()))
  await system.standIns.close()
}

/** Waits until a condition holds. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, POLL_MS))
}

/** Sends a POST request to an instance as the example customer. */
export function callInstance (port: number, path: string, options: CallOptions): Promise<Response> {
  return fetch(`http://127.0.0.1:${port}${path}`, {
    method: 'POST',
    body: JSON.stringify(options.body),
    headers: { authorization: `Bearer ${EXAMPLE_KEY}`, ...options.headers },
    ...options.signal === undefined ? {} : { signal: options.signal }
  })
}

/** Options for `callInstance`. */
export interface CallOptions {
  readonly body: unknown
  readonly headers?: Readonly<Record<string, string>>
  readonly signal?: AbortSignal
}

/** Returns the sum of a value over all engines of a system. */
export function sumEngines (system: TestSystem, select: (engine: StandIns['engines'] extends ReadonlyMap<string, infer E> ? E : never) => number): number {
  return [...system.standIns.engines.values()].reduce((sum, engine) => sum + select(engine), 0)
}
