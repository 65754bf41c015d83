import { measureHangupReference } from './_test_hangup_reference.ts'
import type { ProcessInstance } from './_test_processes.ts'
import { pick, type Random } from './_test_random.ts'
import { drawFlood, type Floods } from './_test_soak_floods.ts'
import { pause } from './_test_system.ts'

/** Floods, starts with SIGHUP, and series of kills of one play. */
const FLOODS = 4
const HANGUPS = 3
const KILLS = 5
/** Longest time from a start to SIGHUP, and from the handler to another one, in ms. */
const HANGUP_MS = 300
const HANDLED_HANGUP_MS = 100
/** Longest time from a start to the next kill, in ms; starts take some hundred. */
const KILL_MS = 800
const POLL_MS = 20
/** Time between the end of a process and its next start, in ms; that of the processes of tests. */
const START_DELAY_MS = 500
const START_TIMEOUT_MS = 2000

/** Something that happens in a play. */
export interface SoakEvent {
  readonly atMs: number
  readonly run: () => Promise<void> | void
}

/** What the disturbances act on. */
export interface Disturbed {
  readonly instances: readonly ProcessInstance[]
  readonly floods: Floods
  /** Folder for files of this play. */
  readonly folder: string
  /** Time until which disturbances begin, in ms. */
  readonly untilMs: number
  readonly fromMs: number
  /** Disturbs the store for a time in ms. */
  disturbStore (how: { readonly delayMs: number, readonly isAway: boolean }, lengthMs: number): Promise<void>
  /** Reads no output of an instance for a time in ms. */
  stallOutput (instance: ProcessInstance, lengthMs: number): Promise<void>
}

/** Starts processes again that ended without being stopped, as the platform does. Returns a function that ends this. */
export function superviseProcesses (instances: readonly ProcessInstance[]): () => void {
  const restarting = new Set<ProcessInstance>()
  const timer = setInterval(() => {
    for (const instance of instances) {
      const last = instance.lifetimes.at(-1)
      if (last === undefined || last.endedAtMs === Infinity || last.signalledAtMs < last.endedAtMs || restarting.has(instance)) continue
      restarting.add(instance)
      instance.restart().finally(() => restarting.delete(instance)).catch(() => {})
    }
  }, POLL_MS)
  return () => clearInterval(timer)
}

// Resolves once an instance runs in another lifetime, if it does so in time.
async function startedAgain ({ lifetimes }: ProcessInstance, known: number): Promise<void> {
  const untilMs = performance.now() + START_TIMEOUT_MS
  while (lifetimes.length <= known && performance.now() < untilMs) await pause(POLL_MS)
}

async function killAndAwait (instance: ProcessInstance): Promise<void> {
  const known = instance.lifetimes.length
  instance.kill()
  await startedAgain(instance, known)
}

// Kills an instance, starts it, and sends SIGHUP after the start and again after its handler is there, which the kernel's record of caught signals tells.
async function hangUpInStart (instance: ProcessInstance, folder: string, { afterStartMs, afterHandlerMs }: { readonly afterStartMs: number, readonly afterHandlerMs: number }): Promise<void> {
  instance.kill()
  await pause(START_DELAY_MS)
  const known = instance.lifetimes.length
  const measured = measureHangupReference(folder)
  await instance.start()
  await pause(afterStartMs)
  const lifetime = instance.lifetimes.at(-1)
  if (lifetime === undefined || instance.lifetimes.length === known) {
    await measured
    return
  }
  instance.hangUp()
  lifetime.unhandledMs = await measured
  if (lifetime.endedAtMs < Infinity) return
  await instance.handled()
  await pause(afterHandlerMs)
  // A later SIGHUP is judged like any other: the process handles it by then.
  lifetime.unhandledMs = lifetime.endedAtMs < Infinity ? lifetime.unhandledMs : 0
  if (instance.lifetimes.at(-1) === lifetime) instance.hangUp()
}

/** Draws floods, stalled outputs, early signals, kills and absences of the store, which overlap with each other and with what else happens. */
export function drawDisturbances (random: Random, disturbed: Disturbed): readonly SoakEvent[] {
  const { instances, floods, folder, fromMs, untilMs } = disturbed
  const drawTime = (): number => fromMs + random(untilMs - fromMs)
  const drawInstance = (): ProcessInstance | undefined => instances[random(instances.length)]
  const at = (atMs: number, run: (instance: ProcessInstance) => Promise<void>): SoakEvent => {
    const instance = drawInstance()
    return { atMs, run: () => instance === undefined ? undefined : run(instance) }
  }

  const flooded = Array.from({ length: FLOODS }, () => {
    const [atMs, isStart, isStalled] = [drawTime(), random(3) === 0, random(3) === 0]
    const [instance, stallMs] = [drawInstance(), 1500 + random(3500)]
    const flood = instance === undefined ? undefined : drawFlood(random, instance.limits)
    return {
      atMs,
      run: async () => {
        if (instance === undefined || flood === undefined) return
        if (isStart) instance.kill()
        await Promise.all([floods.run(instance, flood.kind, flood), isStalled ? disturbed.stallOutput(instance, stallMs) : undefined])
      }
    }
  })
  const hangups = Array.from({ length: HANGUPS }, () => {
    const [afterStartMs, afterHandlerMs] = [random(HANGUP_MS + 1), random(HANDLED_HANGUP_MS + 1)]
    return at(drawTime(), (instance) => hangUpInStart(instance, folder, { afterStartMs, afterHandlerMs }))
  })
  const pausesMs = Array.from({ length: KILLS }, () => random(KILL_MS + 1))
  const kills = at(drawTime(), async (instance) => {
    for (const pauseMs of pausesMs) {
      await killAndAwait(instance)
      await pause(pauseMs)
    }
    instance.kill()
  })
  const [awayMs, delayMs] = [1500 + random(2500), pick(random, [0, 0, 900])]
  const absence = at(drawTime(), async (instance) => {
    instance.kill()
    await disturbed.disturbStore({ delayMs, isAway: delayMs === 0 }, awayMs)
  })
  const ended = random(2) === 0 ? instances : instances.filter((_, i) => i % 2 === 0)
  const atOnce: SoakEvent = { atMs: drawTime(), run: () => { for (const { kill } of ended) kill() } }
  return [...flooded, ...hangups, kills, absence, atOnce]
}
