import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { connect } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { arePortsFree } from './_test_ports.ts'
import { handlesHangup, watchProcess, type ProcessLimits, type ProcessPeaks } from './_test_process_watch.ts'
import { readRunCommand } from './_test_run_command.ts'
import { pause, statusOf } from './_test_system.ts'

const ROOT = resolve(import.meta.dirname, '../..')
/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000
const PORT_BLOCKS = 1500
const PORTS_PER_INSTANCE = 5
const POLL_MS = 50
const HANDLER_POLL_MS = 2
const READY_TIMEOUT_MS = 12_000
const PROBE_TIMEOUT_MS = 1000
const RESTART_DELAY_MS = 500
const STARTS = 3

/** Bounds of the platform, as in the settings of a process. */
export const BOUNDS = { ContactMs: 3000, DrainMs: 2000, GraceS: 8, LossSlackMs: 200, ConfigMs: 2000, RecoveryS: 12, RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetrySlack: 54, FencingEnforced: true, LeaseMs: 3000 }
/** Time between the signals with which the platform stops a process, in ms. */
export const GRACE_MS = BOUNDS.GraceS * 1000

/** Limits of an instance of the usual size. */
const LIMITS: ProcessLimits = { MemoryMb: 480, MaxFds: 6300 }

/** One lifetime of a process; times are local, in ms, and Infinity before. */
export interface Lifetime extends ProcessPeaks {
  readonly pid: number
  readonly startedAtMs: number
  /** Time of its first response that says ready. */
  readyAtMs: number
  /** Time of SIGTERM. */
  signalledAtMs: number
  /** Time at which a test killed it, as an unplanned disruption. */
  killedAtMs: number
  /** Time at which it was killed for more memory than it may hold. */
  exceededAtMs: number
  /** Times of SIGHUP. */
  readonly hangupsAtMs: number[]
  /** Time from a start in which Node programs of one line had no handler at that moment, in ms; 0 if it was not measured. */
  unhandledMs: number
  endedAtMs: number
  code: number | null
  signal: NodeJS.Signals | null
}

/** Options of {@linkcode startProcesses}. */
export interface ProcessOptions {
  /** Time between the signals with which the platform stops a process, in seconds. */
  readonly graceS?: number
  readonly limits?: ProcessLimits
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
  readonly limits: ProcessLimits
  /** Starts the process unless it runs or has been retired. */
  start (): Promise<void>
  /** Keeps the process from being started again. */
  retire (): void
  /** Sends SIGTERM, SIGKILL at the end of the grace period, and resolves once the process has ended. */
  terminate (): Promise<void>
  /** Starts the process again after the platform's delay. */
  restart (): Promise<void>
  /** Writes the settings again and sends SIGHUP. */
  reload (): Promise<void>
  /** Sends SIGHUP at once. */
  hangUp (): void
  /** Resolves once the process handles SIGHUP, or has ended. */
  handled (): Promise<void>
  kill (): void
  /** Reads no output for a time in ms. */
  stallOutput (durationMs: number): Promise<void>
}

// Adds the first of consecutive free ports.
async function addPorts (taken: Set<number>): Promise<void> {
  const first = FIRST_PORT + PORTS_PER_INSTANCE * Math.floor(Math.random() * PORT_BLOCKS)
  if (await arePortsFree(first, PORTS_PER_INSTANCE)) taken.add(first)
}

function createInstance (name: string, options: { readonly bundle: string, readonly file: string, readonly settings: object, readonly limits: ProcessLimits, readonly first: number, readonly graceMs: number }): ProcessInstance {
  const { bundle, file, limits, first, graceMs } = options
  const address = (i: number): string => `127.0.0.1:${first + i}`
  const fields = { ...options.settings, NodeName: name, Limits: limits, Listen: { Front: address(0), Ready: address(1), Control: address(2) }, InternalPorts: [first + 3, first + 4] }
  const settings = JSON.stringify(fields)
  const lifetimes: Lifetime[] = []
  const lines: string[] = []
  let child: ChildProcess | undefined
  let ended = Promise.resolve()

  let isStarting = false
  let isRetired = false

  async function start (): Promise<void> {
    if (isStarting || isRetired || lifetimes.at(-1)?.endedAtMs === Infinity) return
    isStarting = true
    await writeFile(file, settings)
    const { program, args, env } = await readRunCommand(dirname(bundle), fields)
    isStarting = false
    if (isRetired) return
    const { PATH, HOME, LANG } = process.env
    const started = spawn(program, args, { cwd: ROOT, env: { PATH, HOME, LANG, ...env, BERYLSHED_SETTINGS: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const lifetime: Lifetime = { pid: started.pid ?? 0, startedAtMs: performance.now(), readyAtMs: Infinity, signalledAtMs: Infinity, killedAtMs: Infinity, exceededAtMs: Infinity, hangupsAtMs: [], unhandledMs: 0, endedAtMs: Infinity, code: null, signal: null, peakMb: 0, descriptors: 0, channels: 0 }
    lifetimes.push(lifetime)
    const unwatch = watchProcess(lifetime.pid, limits, {
      peaks: lifetime,
      exceeded: () => {
        lifetime.exceededAtMs = performance.now()
        started.kill('SIGKILL')
      }
    })
    started.once('exit', unwatch)
    noteReady(lifetime).catch(() => {})
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

  async function noteReady (lifetime: Lifetime): Promise<void> {
    while (lifetime.endedAtMs === Infinity && await readinessOf({ readiness: first + 1 }) !== 200) await pause(POLL_MS)
    if (lifetime.endedAtMs === Infinity) lifetime.readyAtMs = performance.now()
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
    hangUp()
  }

  function hangUp (): void {
    const lifetime = lifetimes.at(-1)
    if (lifetime !== undefined && child?.kill('SIGHUP') === true) lifetime.hangupsAtMs.push(performance.now())
  }

  async function handled (): Promise<void> {
    const lifetime = lifetimes.at(-1)
    while (lifetime?.endedAtMs === Infinity && !handlesHangup(lifetime.pid)) await pause(HANDLER_POLL_MS)
  }

  function kill (): void {
    const lifetime = lifetimes.at(-1)
    if (lifetime !== undefined && lifetime.endedAtMs === Infinity) lifetime.killedAtMs = Math.min(lifetime.killedAtMs, performance.now())
    child?.kill('SIGKILL')
  }

  async function stallOutput (durationMs: number): Promise<void> {
    const output = child?.stdout
    output?.pause()
    await pause(durationMs)
    output?.resume()
  }

  return { name, callers: first, readiness: first + 1, lifetimes, lines, limits, start, retire: () => { isRetired = true }, terminate, restart, reload, hangUp, handled, kill, stallOutput }
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
export async function readinessOf ({ readiness }: Pick<ProcessInstance, 'readiness'>): Promise<number> {
  return await Promise.race([statusOf(readiness, '/readyz').catch(() => 0), pause(PROBE_TIMEOUT_MS).then(() => 0)])
}

/** Starts instances and waits until all are ready; `close` kills them and removes their files. */
export async function startProcesses (bundle: string, count: number, storeAddress: string, { graceS = BOUNDS.GraceS, limits = LIMITS }: ProcessOptions = {}): Promise<{ readonly instances: readonly ProcessInstance[], close (): Promise<void> }> {
  const folder = await mkdtemp(join(tmpdir(), 'berylshed-'))
  for (let tries = 1; ; tries += 1) {
    const ports = new Set<number>()
    while (ports.size < count) await addPorts(ports)
    const seeds = [...ports].slice(0, 3).map((first) => `127.0.0.1:${first + 2}`)
    const settings = { Role: 'entry', Ip: '127.0.0.1', Zone: 'a', Region: 'r', Zones: { a: 'r' }, Seeds: seeds, HeartbeatMs: 1200, Bounds: { ...BOUNDS, GraceS: graceS }, Platform: { Address: storeAddress, form: 'objects', WritesPerS: 400, ReadsPerS: 2000 } }
    const instances = [...ports].map((first, i) => createInstance(`edge-${i + 1}`, { bundle, file: join(folder, `${i}.json`), settings, limits, first, graceMs: graceS * 1000 }))
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
