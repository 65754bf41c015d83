import { fork, spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, readdir, readFile, readlink, rm, writeFile } from 'node:fs/promises'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { parse } from 'smol-toml'
import type { Load, LoadOrder, LoadReport } from './_test_load_callers.ts'
import { bundleProgram } from './_test_bundle.ts'
import { arePortsFree } from './_test_ports.ts'
import { BOUNDS } from './_test_processes.ts'
import { startTestStore, type TestStore } from './_test_store.ts'
import { pause, statusOf } from './_test_system.ts'

const DEPLOY_FILE = resolve(import.meta.dirname, '../../deploy/system.toml')
const CALLERS_FILE = resolve(import.meta.dirname, '_test_load_callers.ts')
/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000
const PORT_BLOCKS = 2300
const PORTS_PER_INSTANCE = 5
const HEARTBEAT_MS = 1200
const SAMPLE_MS = 20
const PROBE_INTERVAL_MS = 200
const READY_TIMEOUT_MS = 12_000
/** Time after which a probe of readiness counts as unanswered, in ms; the platform's balancer probes every second. */
const PROBE_TIMEOUT_MS = 1000
/** Time within which requests after a load have to be served, in ms. */
const CALM_TIMEOUT_MS = 6000
/** Descriptors for files, which the platform takes off `MaxFds`. */
const RESERVED_FDS = 200
const REQUESTS_AFTER = 20
/** Upstreams of these. */
const CALM = { slots: 60, workMs: 40 }
/** Loads whose callers wait for their responses. */
const WAITING_KINDS: readonly Load['kind'][] = ['unread', 'uploads', 'sequence']
const KB_PER_MB = 1024
const ROUTES = ['lookups', 'bookings']

/** Body limit of the configuration, in bytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024

/** What the settings allow a process. */
export interface Limits {
  readonly MemoryMb: number
  readonly MaxFds: number
}

/** The upstreams beside a process. */
export interface LoadUpstreams {
  readonly count: number
  readonly slots: number
  /** Time for a response, in ms. */
  readonly workMs: number
}

/** Options of {@linkcode playLoads}. */
export interface LoadPlay {
  readonly limits: Limits
  readonly upstreams: LoadUpstreams
  readonly loads: readonly Load[]
  /** Whether the lines of the process are read; true by default. */
  readonly readsOutput?: boolean
  /** Part of the requests of loads that wait for their responses that has to be served; 0 by default. */
  readonly minServed?: number
  /** Arguments for Node beside those of the deploy file. */
  readonly nodeArguments?: readonly string[]
  /** Signal sent while the load runs, and its time after the beginning, in ms. */
  readonly signal?: { readonly name: NodeJS.Signals, readonly afterMs: number }
}

/** What was seen of a process under load. */
export interface LoadFigures {
  /** How the process ended by itself; undefined if it runs. */
  readonly ended: string | undefined
  readonly endedAfterMs: number
  /** Largest resident memory, and that before the load, in MB. */
  readonly peakMb: number
  readonly restMb: number
  /** Largest number of open sockets and pipes, and of other descriptors if they are few. */
  readonly sockets: number
  /** Longest time to an answer of the readiness probe, in ms; Infinity if one was not answered within a second. */
  readonly slowestProbeMs: number
  readonly reports: readonly LoadReport[]
  /** Ids of requests that were refused, or not answered, though an upstream ran them. */
  readonly runUnserved: readonly string[]
  /** Requests that were sent and served after the load. */
  readonly servedAfter: number
  readonly errorText: string
}

/** A folder with the program, bundled as the deploy file names it. */
export interface LoadProgram {
  readonly folder: string
  /** Arguments for Node, of the deploy file's command line. */
  readonly args: readonly string[]
  remove (): Promise<void>
}

/** Bundles the program and reads the command line with which the platform starts it. */
export async function bundleDeployed (): Promise<LoadProgram> {
  const folder = await mkdtemp(join(tmpdir(), 'edge-limits-'))
  await bundleProgram(join(folder, 'target'))
  const { roles } = parse(await readFile(DEPLOY_FILE, 'utf8')) as unknown as { readonly roles: { readonly entry: { readonly run: string } } }
  const [, ...args] = roles.entry.run.split(' ')
  return { folder, args, remove: () => rm(folder, { recursive: true, force: true }) }
}

/** Callers in a process of their own, so that they get processor time. */
export interface LoadCallers {
  run (order: LoadOrder): Promise<readonly LoadReport[]>
  close (): void
}

/** Starts the process of the callers. */
export function startLoadCallers (): LoadCallers {
  // Numbers may be infinite.
  const child = fork(CALLERS_FILE, { serialization: 'advanced' })
  let settle: (reports: readonly LoadReport[]) => void = () => {}
  let fail: (error: Error) => void = () => {}
  child.on('message', (reports) => settle(reports as readonly LoadReport[]))
  child.on('exit', (code, signal) => fail(new Error(`The process of the callers ended with ${code ?? signal}`)))
  return {
    run: (order) => new Promise((resolve, reject) => {
      [settle, fail] = [resolve, reject]
      child.send(order)
    }),
    close: () => { child.kill('SIGKILL') }
  }
}

function writeManifest (store: TestStore): void {
  const routes = ROUTES.map((Name) => ({
    Name, Hostname: 'api.example', PathPrefix: `/${Name}/`, RouteKind: Name === 'lookups' ? 'idempotent' : 'non_idempotent', TimeoutMs: 9000, GoalMs: 4000, Priority: 1, Service: 'plain', Attempts: 2
  }))
  store.put('config', 'main', { Version: 1, Routes: routes, Services: [{ Name: 'plain' }], Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: MAX_BODY_BYTES, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 } })
}

interface _Upstream {
  /** Is quick and has room from now on. */
  relax (): void
  close (): void
}

/** Starts an upstream that registers itself; the ids of the requests that it runs are added to `runs`. */
async function startUpstream (id: string, store: TestStore, { slots, workMs }: LoadUpstreams, runs: Set<string>): Promise<_Upstream> {
  let [running, beats, current] = [0, 0, { slots, workMs }]
  const filler = Buffer.alloc(64 * 1024, 'x')
  const answer = (response: ServerResponse, attempt: string, bytes: number): void => {
    running -= 1
    const start = `${attempt}:`.padEnd(Math.min(bytes, filler.length), 'x')
    response.writeHead(200, { 'Attempt-Id': attempt, 'Server-Signature': `${id}.${attempt}`, 'Content-Length': bytes })
    const write = (left: number): void => {
      if (response.destroyed) return
      if (left === 0) response.end()
      else response.write(filler.subarray(0, left), () => write(left - Math.min(left, filler.length)))
    }
    response.write(start, () => write(bytes - start.length))
  }
  const server = createServer((request, response) => {
    let received = 0
    request.on('error', () => {})
    request.on('data', (chunk: Buffer) => { received += chunk.length })
    request.on('end', () => {
      const attempt = String(request.headers['attempt-id'])
      if (running >= current.slots) return response.writeHead(503, { 'Attempt-Id': attempt, 'Not-Executed': '1', 'Content-Length': 0 }).end()
      if (received !== Number(request.headers['load-body-bytes'])) return response.writeHead(400, { 'Attempt-Id': attempt, 'Content-Length': 0 }).end()
      running += 1
      runs.add(attempt)
      setTimeout(answer, current.workMs, response, attempt, Number(request.headers['load-response-bytes']))
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  const beat = (): void => {
    beats += 1
    store.put('servers', id, { Service: 'plain', Address: `127.0.0.1:${port}`, Zone: 'a', Version: 'v1', Slots: current.slots, State: 'ready', ColdRemainingMs: 0, Sequence: beats, born: 1 })
  }
  beat()
  const beating = setInterval(beat, HEARTBEAT_MS)
  return {
    relax: () => {
      current = CALM
      beat()
    },
    close: () => {
      clearInterval(beating)
      server.close()
      server.closeAllConnections()
    }
  }
}

async function findPorts (): Promise<number> {
  for (;;) {
    const first = FIRST_PORT + PORTS_PER_INSTANCE * Math.floor(Math.random() * PORT_BLOCKS)
    if (await arePortsFree(first, PORTS_PER_INSTANCE)) return first
  }
}

async function memoryMb ({ pid }: ChildProcess, name: 'VmHWM' | 'VmRSS'): Promise<number> {
  const text = await readFile(`/proc/${pid}/status`, 'utf8').catch(() => '')
  return Number(new RegExp(`${name}:\\s+(\\d+) kB`).exec(text)?.[1] ?? 0) / KB_PER_MB
}

// Counts the descriptors that share what the settings leave for sockets and pipes.
async function socketsOf ({ pid }: ChildProcess, limit: number): Promise<number> {
  const folder = `/proc/${pid}/fd`
  const names = await readdir(folder).catch(() => [])
  // What the others are matters only then.
  if (names.length <= limit) return names.length
  const links = await Promise.all(names.map((name) => readlink(join(folder, name)).catch(() => '')))
  return links.filter((link) => /^(?:socket|pipe):/.test(link)).length
}

/** Starts the program with settings that limit it, plays loads, and returns what was seen; ends it afterwards. */
export async function playLoads (program: LoadProgram, callers: LoadCallers, play: LoadPlay): Promise<LoadFigures> {
  const store = await startTestStore()
  writeManifest(store)
  const runs = new Set<string>()
  const upstreams = await Promise.all(Array.from({ length: play.upstreams.count }, (_, i) => startUpstream(`u${i + 1}`, store, play.upstreams, runs)))
  const first = await findPorts()
  const address = (i: number): string => `127.0.0.1:${first + i}`
  const file = join(program.folder, `${first}.json`)
  await writeFile(file, JSON.stringify({
    Role: 'entry', NodeName: 'edge-1', Ip: '127.0.0.1', Zone: 'a', Region: 'r', Zones: { a: 'r' }, Listen: { Front: address(0), Ready: address(1), Control: address(2) }, InternalPorts: [first + 3, first + 4], Seeds: [address(2)], HeartbeatMs: HEARTBEAT_MS, Limits: { CpuShare: 1, Cores: 2, ...play.limits }, Bounds: BOUNDS, Platform: { Address: store.address, form: 'objects', WritesPerS: 400, ReadsPerS: 2000 }
  }))
  const { PATH, HOME, LANG } = process.env
  const child = spawn(process.execPath, [...play.nodeArguments ?? [], ...program.args], { cwd: program.folder, env: { PATH, HOME, LANG, BERYLSHED_SETTINGS: file }, stdio: ['ignore', 'pipe', 'pipe'] })
  const startedAtMs = performance.now()
  let [ended, endedAtMs, errorText] = ['', Infinity, '']
  const exited = new Promise<void>((resolve) => child.once('close', () => resolve()))
  child.once('exit', (code, signal) => { [ended, endedAtMs] = [signal ?? `code ${code}`, performance.now()] })
  child.stderr.on('data', (chunk: Buffer) => { errorText += chunk.toString() })
  if (play.readsOutput !== false) child.stdout.resume()
  try {
    while (await statusOf(first + 1, '/readyz').catch(() => 0) !== 200) {
      if (performance.now() - startedAtMs > READY_TIMEOUT_MS || ended !== '') throw new Error(`The process did not become ready: ${ended} ${errorText}`)
      await pause(SAMPLE_MS)
    }
    const restMb = await memoryMb(child, 'VmRSS')
    let [peakMb, slowestProbeMs, sockets] = [0, 0, 0]
    const over = new AbortController()
    exited.then(() => over.abort(), () => {})
    const sample = async (): Promise<void> => {
      while (!over.signal.aborted) {
        peakMb = Math.max(peakMb, await memoryMb(child, 'VmHWM'))
        await pause(SAMPLE_MS)
      }
    }
    const probe = async (): Promise<void> => {
      while (!over.signal.aborted) {
        const askedAtMs = performance.now()
        const status = await Promise.race([statusOf(first + 1, '/readyz').catch(() => 0), pause(PROBE_TIMEOUT_MS).then(() => 0)])
        slowestProbeMs = Math.max(slowestProbeMs, status === 200 ? performance.now() - askedAtMs : Infinity)
        sockets = Math.max(sockets, await socketsOf(child, play.limits.MaxFds - RESERVED_FDS))
        await pause(PROBE_INTERVAL_MS)
      }
    }
    const watched = Promise.all([sample(), probe()])
    const loadedAtMs = performance.now()
    const { signal } = play
    const signalTimer = signal === undefined ? undefined : setTimeout(() => child.kill(signal.name), signal.afterMs)
    const reports = await callers.run({ port: first, loads: play.loads })
    clearTimeout(signalTimer)
    for (const { relax } of upstreams) relax()
    const servedAfter = ended === '' ? await serveAfter(callers, first) : 0
    over.abort()
    await watched
    if (ended === '') peakMb = await memoryMb(child, 'VmHWM')
    const runUnserved = reports.flatMap(({ unserved }) => unserved.filter((id) => runs.has(id)))
    return { ended: ended === '' ? undefined : ended, endedAfterMs: endedAtMs - loadedAtMs, peakMb, restMb, sockets, slowestProbeMs, reports, runUnserved, servedAfter, errorText }
  } finally {
    if (ended === '') child.kill('SIGKILL')
    child.stdout.resume()
    await exited
    for (const platform of [...upstreams, store]) platform.close()
  }
}

// Returns how many of some requests are served, as soon as all are or the time for it is over.
async function serveAfter (callers: LoadCallers, port: number): Promise<number> {
  const untilMs = performance.now() + CALM_TIMEOUT_MS
  for (;;) {
    const [report] = await callers.run({ port, loads: [{ kind: 'sequence', connections: REQUESTS_AFTER, requests: 1, gapMs: 0, durationMs: 0 }] })
    const served = report?.outcomes['served'] ?? 0
    if (served === REQUESTS_AFTER || performance.now() > untilMs) return served
    await pause(PROBE_INTERVAL_MS)
  }
}

/**
 * Returns what is wrong with what was seen of a process, if anything; all limits come from its settings. Responses that nobody reads may be
 * broken off, visibly, as others need their memory.
 */
export function loadFaults ({ ended, endedAfterMs, peakMb, slowestProbeMs, reports, runUnserved, servedAfter, errorText, sockets }: LoadFigures, { limits: { MemoryMb, MaxFds }, minServed = 0 }: Pick<LoadPlay, 'limits' | 'minServed'>): readonly string[] {
  const waited = reports.filter(({ kind }) => WAITING_KINDS.includes(kind)).map(({ outcomes }) => outcomes)
  const sent = waited.reduce((sum, outcomes) => sum + Object.values(outcomes).reduce((part, count) => part + count, 0), 0)
  const served = waited.reduce((sum, outcomes) => sum + (outcomes['served'] ?? 0), 0)
  return [
    ...ended === undefined ? [] : [`the process ended by itself with ${ended} after ${Math.round(endedAfterMs)} ms: ${/^(?:FATAL ERROR|\w*Error).*/m.exec(errorText)?.[0] ?? errorText.slice(0, 200)}`],
    ...peakMb <= MemoryMb ? [] : [`${Math.round(peakMb)} MB were resident, of ${MemoryMb} allowed`],
    ...sockets <= MaxFds - RESERVED_FDS ? [] : [`${sockets} sockets and pipes were open, of ${MaxFds - RESERVED_FDS} allowed`],
    ...slowestProbeMs <= PROBE_TIMEOUT_MS ? [] : [`readiness was not answered within ${PROBE_TIMEOUT_MS} ms`],
    ...reports.flatMap(({ kind, outcomes, faults }) => ['cut', 'silent', 'odd'].flatMap((outcome) => (outcomes[outcome] ?? 0) === 0 || (kind === 'unread' && outcome === 'cut') ? [] : [`${outcomes[outcome]} requests of ${kind} were ${outcome}: ${faults[0] ?? ''}`])),
    ...served >= sent * minServed ? [] : [`${served} of ${sent} requests were served, less than ${minServed}`],
    ...runUnserved.length === 0 ? [] : [`${runUnserved.length} requests ran though their callers were refused or got no response, as ${runUnserved[0]}`],
    ...servedAfter === REQUESTS_AFTER ? [] : [`${servedAfter} of ${REQUESTS_AFTER} requests after the load were served`]
  ]
}

/** Returns figures as one line. */
export function figureLine ({ ended, endedAfterMs, peakMb, restMb, slowestProbeMs, sockets, reports, servedAfter }: LoadFigures): string {
  const counts = reports.map(({ kind, outcomes }) => `${kind} ${Object.entries(outcomes).map(([outcome, count]) => `${count} ${outcome}`).join(', ')}`).join('; ')
  return `${Math.round(peakMb)} MB at most (${Math.round(restMb)} before), ${ended === undefined ? 'runs' : `${ended} after ${Math.round(endedAfterMs)} ms`}, ${sockets} sockets, slowest probe ${Math.round(slowestProbeMs)} ms; ${counts}; ${servedAfter} served after`
}
