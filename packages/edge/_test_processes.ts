import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { arePortsFree } from './_test_ports.ts'
import { pause, statusOf } from './_test_system.ts'

const ROOT = resolve(import.meta.dirname, '../..')
/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000
const PORT_BLOCKS = 1500
const PORTS_PER_INSTANCE = 5
const POLL_MS = 50
const READY_TIMEOUT_MS = 12_000
const PROBE_TIMEOUT_MS = 1000
const RESTART_DELAY_MS = 500
const STARTS = 3

/** Bounds of the platform, as in the settings of a process. */
export const BOUNDS = { ContactMs: 3000, DrainMs: 2000, GraceS: 8, LossSlackMs: 200, ConfigMs: 2000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetrySlack: 54, FencingEnforced: true, LeaseMs: 3000 }
/** Time between the signals with which the platform stops a process, in ms. */
export const GRACE_MS = BOUNDS.GraceS * 1000

/** One lifetime of a process; times are local, in ms, and Infinity before. */
export interface Lifetime {
  readonly startedAtMs: number
  /** Time of SIGTERM. */
  signalledAtMs: number
  endedAtMs: number
  code: number | null
  signal: NodeJS.Signals | null
}

/** Options of {@linkcode startProcesses}. */
export interface ProcessOptions {
  /** Time between the signals with which the platform stops a process, in seconds. */
  readonly graceS?: number
}

/** An entry instance that runs as a process. */
export interface ProcessInstance {
  readonly name: string
  /** Ports of the callers and of the readiness probe. */
  readonly callers: number
  readonly readiness: number
  readonly lifetimes: readonly Lifetime[]
  /** Lines that it has written, in all lifetimes. */
  readonly lines: readonly string[]
  start (): Promise<void>
  /** Sends SIGTERM, SIGKILL at the end of the grace period, and resolves once the process has ended. */
  terminate (): Promise<void>
  /** Starts the process again after the platform's delay. */
  restart (): Promise<void>
  /** Writes the settings again and sends SIGHUP. */
  reload (): Promise<void>
  kill (): void
}

// Adds the first of consecutive free ports.
async function addPorts (taken: Set<number>): Promise<void> {
  const first = FIRST_PORT + PORTS_PER_INSTANCE * Math.floor(Math.random() * PORT_BLOCKS)
  if (await arePortsFree(first, PORTS_PER_INSTANCE)) taken.add(first)
}

function createInstance (name: string, options: { readonly bundle: string, readonly file: string, readonly settings: object, readonly first: number, readonly graceMs: number }): ProcessInstance {
  const { bundle, file, first, graceMs } = options
  const address = (i: number): string => `127.0.0.1:${first + i}`
  const settings = JSON.stringify({ ...options.settings, NodeName: name, Listen: { Front: address(0), Ready: address(1), Control: address(2) }, InternalPorts: [first + 3, first + 4] })
  const lifetimes: Lifetime[] = []
  const lines: string[] = []
  let child: ChildProcess | undefined
  let ended = Promise.resolve()

  async function start (): Promise<void> {
    await writeFile(file, settings)
    const { PATH, HOME, LANG } = process.env
    const started = spawn(process.execPath, ['--max-old-space-size=256', bundle], { cwd: ROOT, env: { PATH, HOME, LANG, BERYLSHED_SETTINGS: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const lifetime: Lifetime = { startedAtMs: performance.now(), signalledAtMs: Infinity, endedAtMs: Infinity, code: null, signal: null }
    lifetimes.push(lifetime)
    child = started
    for (const output of [started.stdout, started.stderr]) {
      let rest = ''
      output.on('data', (chunk: Buffer) => {
        const texts = (rest + chunk.toString()).split('\n')
        rest = texts.pop() ?? ''
        lines.push(...texts)
      })
    }
    // Unlike `exit`, `close` comes after the last line.
    ended = new Promise((resolve) => started.on('close', () => resolve()))
    started.on('exit', (code, signal) => Object.assign(lifetime, { endedAtMs: performance.now(), code, signal }))
  }

  async function terminate (): Promise<void> {
    const [lifetime, running] = [lifetimes.at(-1), child]
    if (lifetime === undefined || lifetime.endedAtMs < Infinity) return
    lifetime.signalledAtMs = performance.now()
    running?.kill('SIGTERM')
    const timer = setTimeout(() => running?.kill('SIGKILL'), graceMs)
    await ended
    clearTimeout(timer)
  }

  async function restart (): Promise<void> {
    await pause(RESTART_DELAY_MS)
    await start()
  }

  async function reload (): Promise<void> {
    await writeFile(file, settings)
    child?.kill('SIGHUP')
  }

  return { name, callers: first, readiness: first + 1, lifetimes, lines, start, terminate, restart, reload, kill: () => { child?.kill('SIGKILL') } }
}

/** Reports whether an instance accepts connections of callers, as one may that is still starting. */
export function listensForCallers ({ callers }: ProcessInstance): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port: callers })
    socket.once('connect', () => {
      socket.destroy()
      resolve(true)
    })
    socket.once('error', () => resolve(false))
  })
}

/** Returns the status of the readiness probe of an instance; 0 if it does not respond within a second. */
export async function readinessOf ({ readiness }: ProcessInstance): Promise<number> {
  return await Promise.race([statusOf(readiness, '/readyz').catch(() => 0), pause(PROBE_TIMEOUT_MS).then(() => 0)])
}

/** Starts instances and waits until all are ready; `close` kills them and removes their files. */
export async function startProcesses (bundle: string, count: number, storeAddress: string, { graceS = BOUNDS.GraceS }: ProcessOptions = {}): Promise<{ readonly instances: readonly ProcessInstance[], close (): Promise<void> }> {
  const folder = await mkdtemp(join(tmpdir(), 'berylshed-'))
  for (let tries = 1; ; tries += 1) {
    const ports = new Set<number>()
    while (ports.size < count) await addPorts(ports)
    const seeds = [...ports].slice(0, 3).map((first) => `127.0.0.1:${first + 2}`)
    const settings = { Role: 'entry', Ip: '127.0.0.1', Zone: 'a', Region: 'r', Zones: { a: 'r' }, Seeds: seeds, HeartbeatMs: 1200, Bounds: { ...BOUNDS, GraceS: graceS }, Platform: { Address: storeAddress, form: 'objects', WritesPerS: 400, ReadsPerS: 2000 } }
    const instances = [...ports].map((first, i) => createInstance(`edge-${i + 1}`, { bundle, file: join(folder, `${i}.json`), settings, first, graceMs: graceS * 1000 }))
    const close = async (): Promise<void> => {
      for (const { kill } of instances) kill()
      while (instances.some(({ lifetimes }) => lifetimes.some(({ endedAtMs }) => endedAtMs === Infinity))) await pause(POLL_MS)
      await rm(folder, { recursive: true, force: true })
    }
    await Promise.all(instances.map(({ start }) => start()))
    const endMs = performance.now() + READY_TIMEOUT_MS
    while (performance.now() < endMs && (await Promise.all(instances.map(readinessOf))).some((status) => status !== 200)) await pause(POLL_MS)
    if (performance.now() < endMs) return { instances, close }
    // Another process may have taken one of the ports meanwhile.
    for (const { kill } of instances) kill()
    if (tries === STARTS) throw new Error(`The instances did not become ready: ${instances.flatMap(({ lines }) => lines.slice(-2)).join('\n')}`)
  }
}
