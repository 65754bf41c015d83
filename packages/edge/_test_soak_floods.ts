import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'
import type { ProcessInstance } from './_test_processes.ts'
import { pick, type Random } from './_test_random.ts'
import type { TestStore } from './_test_store.ts'

/** Kinds of floods. */
export const FLOOD_KINDS = ['impatient', 'kept', 'unread', 'stalled_uploads', 'waiting_uploads', 'burst', 'half_heads'] as const

/** What callers do to an instance, all at once; the flood's process is asked for it. */
export interface Flood {
  readonly id: number
  readonly kind: typeof FLOOD_KINDS[number]
  readonly port: number
  readonly connections: number
  readonly durationMs: number
}

/** What the flood's process reports: its upstream's port, or a flood that has ended and the responses that its callers got. */
export type FloodReport = { readonly upstreamPort: number } | { readonly id: number, readonly responses: number }

const ENTRY = fileURLToPath(new URL('_test_soak_flood.ts', import.meta.url))
const HEARTBEAT_MS = 1200
/** Requests that the flood's upstreams run at once, each. */
const UPSTREAM_SLOTS = [40, 40] as const
/** Memory of a machine for each connection whose body of 4 or 8 MiB it would have to keep, in MB; that of the users' runs. */
const MB_PER_BODY = 1.6
/** Connections of the largest flood of the users' runs. */
const MAX_CONNECTIONS = 5500
/** Descriptors that a flood of callers that all have a connection leaves. */
const MARGIN = 800
/** Floods that do harm only after some time. */
const LASTING: readonly Flood['kind'][] = ['impatient', 'kept', 'burst']
/** Multiple of the connections and the lengths of all floods. */
const LOAD = Number(process.env.SOAK_LOAD ?? 1)
/** Time after the end of a flood for which its callers' pressure counts, in ms; given in the rules (Choked). */
const AFTER_MS = 5000

/** A flood that was run; times are local, in ms. */
export interface FloodRun extends Flood {
  readonly instance: string
  readonly fromMs: number
  readonly toMs: number
  responses: number
}

/** Floods of callers that run in a process of their own. */
export interface Floods {
  readonly runs: readonly FloodRun[]
  /** Runs a flood at an instance and resolves at its end. */
  run (instance: ProcessInstance, kind: Flood['kind'], how: { readonly connections: number, readonly durationMs: number }): Promise<void>
  close (): void
}

/** Draws how many connections a flood of a kind has at an instance, and for how long, in ms. */
export function drawFlood (random: Random, { MemoryMb, MaxFds }: ProcessInstance['limits']): { readonly kind: Flood['kind'], readonly connections: number, readonly durationMs: number } {
  const kind = FLOOD_KINDS[random(FLOOD_KINDS.length)] ?? 'impatient'
  const bodies = Math.round(MemoryMb / MB_PER_BODY)
  const connections = { impatient: Math.min(MaxFds - MARGIN, pick(random, [400, 2500, 5500])), kept: Math.min(MaxFds / 2, pick(random, [400, 800, 1500])), unread: bodies, stalled_uploads: bodies, waiting_uploads: bodies, burst: pick(random, [600, 2000, MaxFds + 100]), half_heads: 3000 }[kind]
  return { kind, connections: Math.round(Math.min(MAX_CONNECTIONS, connections) * LOAD), durationMs: Math.round((LASTING.includes(kind) ? 6000 + random(10_000) : 2500 + random(4000)) * LOAD) }
}

/** Reports whether callers pressed an instance within a time. */
export function isFlooded (runs: readonly FloodRun[], instance: string, { fromMs, toMs }: { readonly fromMs: number, readonly toMs: number }): boolean {
  return runs.some((run) => run.instance === instance && run.fromMs <= toMs && run.toMs + AFTER_MS >= fromMs)
}

/** Starts the process of floods, whose upstreams serve the service `flood`. */
export async function startFloods (folder: string, store: TestStore): Promise<Floods> {
  const outfile = join(folder, 'flood.mjs')
  await build({ entryPoints: [ENTRY], outfile, bundle: true, platform: 'node', target: 'node20', format: 'esm', logLevel: 'warning' })
  const child = spawn(process.execPath, [outfile], { stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
  const runs: FloodRun[] = []
  const waiting = new Map<number, (responses: number) => void>()
  const upstreamPort = await new Promise<number>((resolve, reject) => {
    child.once('error', reject)
    child.once('exit', (code, signal) => {
      reject(new Error(`The process of floods ended with ${code ?? signal}`))
      for (const resolveRun of waiting.values()) resolveRun(0)
    })
    child.on('message', (message: FloodReport) => {
      if ('upstreamPort' in message) return resolve(message.upstreamPort)
      waiting.get(message.id)?.(message.responses)
      waiting.delete(message.id)
    })
  })
  let beats = 0
  const beat = (): void => {
    beats += 1
    for (const [i, Slots] of UPSTREAM_SLOTS.entries()) store.put('servers', `flood-${i}`, { Service: 'flood', Address: `127.0.0.1:${upstreamPort}`, Zone: 'a', Version: 'v1', Slots, State: 'ready', ColdRemainingMs: 0, Sequence: beats, born: 1 })
  }
  beat()
  const timer = setInterval(beat, HEARTBEAT_MS)

  async function run (instance: ProcessInstance, kind: Flood['kind'], { connections, durationMs }: { readonly connections: number, readonly durationMs: number }): Promise<void> {
    const flood: Flood = { id: runs.length, kind, port: instance.callers, connections, durationMs }
    const fromMs = performance.now()
    const entry: FloodRun = { ...flood, instance: instance.name, fromMs, toMs: fromMs + durationMs, responses: 0 }
    runs.push(entry)
    entry.responses = await new Promise<number>((resolve) => {
      waiting.set(flood.id, resolve)
      child.send(flood)
    })
  }

  return {
    runs,
    run,
    close: () => {
      clearInterval(timer)
      child.disconnect()
    }
  }
}
