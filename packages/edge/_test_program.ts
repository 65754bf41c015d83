import { spawn, type ChildProcessByStdio } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { get } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { Readable } from 'node:stream'
import type { ExecutionContext } from 'ava'
import { bundleProgram, NODE_OPTIONS } from './_test_bundle.ts'
import { arePortsFree } from './_test_ports.ts'

/** Ports below those that the system gives to outgoing connections; each test process has its own part of them. */
const FIRST_PORT = 20_000
const PORTS_PER_PROCESS = 50
const PORTS_PER_PROGRAM = 5
const PORT_PARTS = 240
const POLL_MS = 20
const WAIT_MS = 15_000

let nextPort = 0

/** A line that the program has written. */
export type ProgramLine = Readonly<Record<string, unknown>>

/** How the program ended. */
export interface ProgramEnd {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
  /** Time from its start, in ms. */
  readonly afterMs: number
}

/** The program as a process of its own. */
export interface Program {
  readonly child: ChildProcessByStdio<null, Readable, Readable>
  readonly ended: Promise<ProgramEnd>
  lines (): readonly ProgramLine[]
  errorText (): string
  /** Returns whether the process is running. */
  isRunning (): boolean
  /** Returns the first line with this `what`, or undefined if the process ends or some seconds pass without it. */
  line (what: string): Promise<ProgramLine | undefined>
}

/** The bundle as the deploy file runs it, and a settings file. */
export interface ProgramFiles {
  readonly bundle: string
  readonly settings: string
  readonly folder: string
}

/** Options of {@linkcode startProgram}. */
export interface ProgramOptions {
  readonly nodeArguments?: readonly string[]
  /** Whether the test reads the lines of the program; true by default. */
  readonly readsOutput?: boolean
}

/** Ports of one instance. */
export interface ProgramPorts {
  readonly front: number
  readonly ready: number
  readonly control: number
  readonly internal: number
}

/** Returns free ports that no other test process asks for; tests of one process get different ones. */
export async function freePorts (): Promise<ProgramPorts> {
  for (;;) {
    const first = FIRST_PORT + (process.pid % PORT_PARTS) * PORTS_PER_PROCESS + nextPort
    // Taken before anything is awaited, as tests of one process run at once.
    nextPort = (nextPort + PORTS_PER_PROGRAM) % PORTS_PER_PROCESS
    if (await arePortsFree(first, PORTS_PER_PROGRAM)) return { front: first, ready: first + 1, control: first + 2, internal: first + 3 }
  }
}

/** Returns the text of a settings file. */
export function settingsText (ports: ProgramPorts, storeAddress: string, bounds: Readonly<Record<string, unknown>> = {}): string {
  return JSON.stringify({
    NodeName: 'edge-1',
    Ip: '127.0.0.1',
    Zone: 'bayern-a',
    Listen: { Front: `127.0.0.1:${ports.front}`, Ready: `127.0.0.1:${ports.ready}`, Control: `127.0.0.1:${ports.control}` },
    InternalPorts: [ports.internal, ports.internal + 1],
    HeartbeatMs: 1200,
    Bounds: { DrainMs: 2000, ConfigMs: 2000, GraceS: 8, RetryBudgetRatio: 0.2, RetrySlack: 54, BudgetWindowS: 10, FencingEnforced: true, LeaseMs: 3000, ...bounds },
    Platform: { Address: storeAddress, WritesPerS: 400 }
  })
}

/** Bundles the program as the deploy file does, in a folder that the test removes. */
export async function buildProgram (t: Pick<ExecutionContext, 'teardown'>, settings?: string): Promise<ProgramFiles> {
  const folder = await mkdtemp(join(tmpdir(), 'edge-program-'))
  t.teardown(() => rm(folder, { recursive: true, force: true }))
  const bundle = await bundleProgram(folder)
  const file = join(folder, 'settings.json')
  if (settings !== undefined) await writeFile(file, settings)
  return { bundle, settings: file, folder }
}

/** Starts the program; the test ends it. */
export function startProgram (t: Pick<ExecutionContext, 'teardown'>, files: ProgramFiles, options: ProgramOptions = {}): Program {
  const startedAtMs = performance.now()
  const child = spawn(process.execPath, [...NODE_OPTIONS, ...options.nodeArguments ?? [], files.bundle], { cwd: files.folder, env: { PATH: process.env['PATH'], BERYLSHED_SETTINGS: files.settings }, stdio: ['ignore', 'pipe', 'pipe'] })
  const text = { out: '', error: '' }
  if (options.readsOutput !== false) child.stdout.on('data', (chunk: Buffer) => { text.out += chunk.toString() })
  child.stderr.on('data', (chunk: Buffer) => { text.error += chunk.toString() })
  const ended = new Promise<ProgramEnd>((resolve) => {
    child.once('exit', (code, signal) => resolve({ code, signal, afterMs: performance.now() - startedAtMs }))
  })
  const isRunning = (): boolean => child.exitCode === null && child.signalCode === null
  t.teardown(async () => {
    if (isRunning()) child.kill('SIGKILL')
    await ended
  })
  const lines = (): readonly ProgramLine[] => text.out.split('\n').slice(0, -1).map((line) => JSON.parse(line) as ProgramLine)

  async function line (what: string): Promise<ProgramLine | undefined> {
    const untilMs = performance.now() + WAIT_MS
    for (;;) {
      const isOver = !isRunning() || performance.now() > untilMs
      if (isOver) await sleep(POLL_MS)
      const found = lines().find((written) => written['what'] === what)
      if (found !== undefined || isOver) return found
      await sleep(POLL_MS)
    }
  }

  return { child, ended, lines, errorText: () => text.error, isRunning, line }
}

/** Returns the status of a GET request; 0 without a response. */
export function statusOf (port: number, path = '/'): Promise<number> {
  return new Promise((resolve) => {
    const request = get({ host: '127.0.0.1', port, path, timeout: 2000, agent: false }, (response) => {
      response.resume()
      response.once('close', () => resolve(response.statusCode ?? 0))
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(0))
  })
}

/** Waits until a GET request has a status; returns the last one met. */
export async function awaitStatus (port: number, expected: number): Promise<number> {
  const untilMs = performance.now() + WAIT_MS
  for (;;) {
    const status = await statusOf(port)
    if (status === expected || performance.now() > untilMs) return status
    await sleep(POLL_MS)
  }
}

/** Waits. */
export function sleep (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}
