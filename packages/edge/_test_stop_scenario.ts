import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { ExecutionContext } from 'ava'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { bundleProgram } from './_test_bundle.ts'
import { BOUNDS, startProcesses, type ProcessInstance } from './_test_processes.ts'
import { answerFault, createCallers, type NewCall, type SoakCall } from './_test_soak_callers.ts'
import { answerOf, type Arrivals, type Plan, type Run } from './_test_soak_upstreams.ts'
import { startTestStore, type TestStore } from './_test_store.ts'
import { pause } from './_test_system.ts'

/** Folder for the lines of all processes and what callers saw, if any. */
const LINES_FOLDER = process.env.STOP_LINES
const HEARTBEAT_MS = 1200
/** Time for which a leaving upstream serves beyond `DrainMs`, in ms. */
const LEAVING_SLACK_MS = 1000
/** Time in which members and owners become known before the load begins, in ms. */
const SETTLE_MS = 1500
const DEADLINE_MS = 14_000
/** Time for which the platform still excuses what was sent after SIGTERM and runs in the last sixth of the grace period, in ms. */
const EARLY_MS = 3000
/** Newest lines of an instance that tell the owner of upstreams. */
const OWNER_LINES = 200
const REPEATABLE = ['lookups', 'drafts']
const NOT_RUN = [408, 421, 429, 503]
const FAULT_LINE = /uncaught_exception|unhandled_rejection|effect_failed|drain_failed|lines_dropped/

/** Draws a whole number below a bound. */
export type Random = (below: number) => number

/** Returns one of the items. */
export function pick<const Item> (random: Random, items: readonly [Item, ...Item[]]): Item {
  return items[random(items.length)] ?? items[0]
}

/** An upstream of a scenario, and what its responses name. */
export interface UpstreamPlan {
  /** Requests that it runs at once; it rejects others. */
  readonly slots: number
  readonly softwareVersion?: string
  /** Headers of all its responses, such as a limit. */
  readonly headers?: Readonly<Record<string, string>>
}

/** A stop of an instance, or of an upstream that comes back with another software version. */
export interface StopPlan {
  readonly atMs: number
  /** The owner is the instance to which requests were handed over last, the holder the one that took the lease last. */
  readonly instance?: number | 'owner' | 'holder'
  /** Whether the instance is started again. */
  readonly again?: boolean
  readonly upstream?: number
  readonly softwareVersion?: string
}

/** What is played. */
export interface Scenario {
  readonly seed: number
  readonly instances: number
  readonly graceS?: number
  readonly upstreams: readonly UpstreamPlan[]
  readonly stops: readonly StopPlan[]
  /** Time for which requests are sent, in ms. */
  readonly lengthMs: number
  readonly requestsPerS: number
  /** Draws a request's route and what it takes. */
  draw (random: Random): { readonly route: 'lookups' | 'bookings' | 'drafts' | 'notes', readonly plan: Plan, readonly deadlineMs?: number }
  /** Delay of each call of the store while requests are sent, in ms. */
  readonly storeDelayMs?: number
  /** Whether new callers use instances that stop, as they do until the balancer notices. */
  readonly usesStopping?: boolean
}

/** What a scenario led to. */
export interface Played {
  readonly faults: readonly string[]
  /** Streams that were cut at an instance that was not stopping, as the one that they had been handed to ended. */
  readonly cutByRelays: readonly string[]
  readonly calls: readonly SoakCall[]
  readonly instances: readonly ProcessInstance[]
  /** Rejections by upstreams that had no slot. */
  readonly rejections: number
  /** Handovers that the lines tell of. */
  readonly handovers: number
  /** Number of answers by status and reason. */
  readonly statuses: Readonly<Record<string, number>>
}

/** Returns a seeded source of numbers. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return (below) => uniformInt(generator, 0, below - 1)
}

interface _Upstream {
  leave (): void
  comeBack (softwareVersion: string): Promise<void>
  close (): void
}

interface _Watched {
  readonly store: TestStore
  readonly arrivals: Arrivals
  rejected (): void
}

async function _startUpstream (name: string, plan: UpstreamPlan, { store, arrivals, rejected }: _Watched): Promise<_Upstream> {
  let lifetime = 0
  let current = await start(plan.softwareVersion ?? 'v1')

  async function start (softwareVersion: string): Promise<Omit<_Upstream, 'comeBack'>> {
    lifetime += 1
    const id = `${name}-${lifetime}`
    const born = Date.now()
    const running = new Set<Run>()
    let [state, beats] = ['ready', 0]

    function run (request: IncomingMessage, response: ServerResponse, attempt: string): void {
      const [workMs = 0, events = 0, gapMs = 0, bytes = 0] = String(request.headers['soak-plan']).split(' ').map(Number)
      const after = Number(request.headers['last-event-id'] ?? 0)
      const entry: Run = { id: attempt, upstream: `${id} ${softwareVersion}`, startedAtMs: performance.now(), after, endedAtMs: Infinity, how: 'running' }
      arrivals.runs.push(entry)
      running.add(entry)
      const end = (how: Run['how']): void => {
        if (running.delete(entry)) Object.assign(entry, { how, endedAtMs: performance.now() })
      }
      response.on('close', () => end('cancelled'))
      const head = { ...plan.headers, 'Attempt-Id': attempt, 'Server-Signature': `${id}.${attempt}`, ...state === 'ready' ? {} : { 'Server-Leaving': '1', Connection: 'close' } }
      const answer = (): void => {
        if (!running.has(entry)) return
        end('answered')
        response.writeHead(200, { ...head, 'Content-Length': bytes }).end(answerOf(attempt, { workMs, events, gapMs, bytes }))
      }
      const emit = (number: number): void => {
        if (!running.has(entry)) return
        if (!response.headersSent) response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' })
        response.write(`id: ${number}\ndata: ${attempt}.${number}\n\n`)
        if (number < events) setTimeout(emit, gapMs, number + 1)
        else end('answered')
        if (number >= events) response.end()
      }
      if (events === 0) setTimeout(answer, workMs)
      else setTimeout(emit, after === 0 ? workMs : gapMs, after + 1)
    }

    const server = createServer((request, response) => {
      request.resume().on('end', () => {
        const attempt = String(request.headers['attempt-id'])
        const isMisdirected = request.headers['expect-instance'] !== id
        if (!isMisdirected && running.size < plan.slots) return run(request, response, attempt)
        if (!isMisdirected) rejected()
        response.writeHead(isMisdirected ? 421 : 503, { ...plan.headers, 'Attempt-Id': attempt, 'Not-Executed': '1', 'Content-Length': 0 }).end()
      })
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const beat = (): void => {
      beats += 1
      store.put('servers', id, { Service: 'orders', Address: `127.0.0.1:${port}`, Zone: 'a', Version: softwareVersion, Slots: plan.slots, State: state, ColdRemainingMs: 0, Sequence: beats, born })
    }
    beat()
    const beating = setInterval(beat, HEARTBEAT_MS)
    const close = (): void => {
      clearInterval(beating)
      for (const entry of running) Object.assign(entry, { how: 'broke_off', endedAtMs: performance.now() })
      running.clear()
      server.closeAllConnections()
      server.close()
      store.remove('servers', id)
    }
    const leave = (): void => {
      state = 'draining'
      beat()
      setTimeout(close, BOUNDS.DrainMs + LEAVING_SLACK_MS)
    }
    return { close, leave }
  }

  return { close: () => current.close(), leave: () => current.leave(), comeBack: async (softwareVersion) => { current = await start(softwareVersion) } }
}

function _writeManifest (store: TestStore): void {
  const route = (name: string, kind: string, fields: object) => ({ Name: name, Hostname: 'api.example', PathPrefix: `/${name}/`, RouteKind: kind, TimeoutMs: DEADLINE_MS, GoalMs: 4000, Priority: 1, Service: 'orders', GapTargetMs: 400, ...fields })
  const routes = [route('lookups', 'idempotent', { Attempts: 2 }), route('bookings', 'non_idempotent', { Attempts: 1 }), route('drafts', 'streaming', { Attempts: 3, Resumable: true }), route('notes', 'streaming', { Attempts: 1 })]
  store.put('config', 'main', { Version: 3, Routes: routes, Services: [{ Name: 'orders' }], Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 65536, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 } })
}

function _routeOf ({ path }: SoakCall): string {
  return path.split('/')[1] ?? ''
}

/** Returns the time of the last SIGTERM of an instance up to a time, or -Infinity. */
function _signalBefore ({ lifetimes }: ProcessInstance, atMs: number): number {
  return Math.max(-Infinity, ...lifetimes.flatMap(({ signalledAtMs, endedAtMs }) => signalledAtMs <= atMs && endedAtMs >= atMs - 50 ? [signalledAtMs] : []))
}

// Names the answer to a request, its reason, and whether its instance was stopping.
function _answerOf (call: SoakCall, instances: readonly ProcessInstance[]): string {
  const reason = /"reason":"(\w+)"/.exec(call.text)?.[1] ?? ''
  const own = instances.find(({ name }) => name === call.instance)
  const isStopping = own !== undefined && _signalBefore(own, call.endedAtMs) > -Infinity
  return [call.isConnected ? call.status : 'not connected', call.isComplete ? reason : `${_routeOf(call)} cut`, isStopping ? 'stopping' : ''].filter((part) => part !== '').join(' ')
}

interface _Judged {
  readonly instances: readonly ProcessInstance[]
  readonly graceMs: number
}

type _Loss = 'none' | 'own' | 'relay'

// Returns the instance that the newest lines of others name as the one to which a request was handed over.
function _ownerOf (instances: readonly ProcessInstance[]): ProcessInstance | undefined {
  const handovers = instances.flatMap(({ lines }) => lines.slice(-OWNER_LINES)).flatMap((line) => {
    const [time, relay] = [/"time":(\d+)/.exec(line)?.[1], /"relay":"([^"]+)"/.exec(line)?.[1]]
    return time === undefined || relay === undefined ? [] : [{ time: Number(time), relay }]
  })
  const newest = handovers.sort((a, b) => b.time - a.time).find(({ relay }) => instances.some(({ name }) => name === relay))
  return instances.find(({ name }) => name === newest?.relay)
}

function _holderOf (instances: readonly ProcessInstance[]): ProcessInstance | undefined {
  const taken = instances.flatMap((instance) => instance.lines.flatMap((line) => line.includes('"what":"lease_taken"') ? [{ instance, time: /"time":(\d+)/.exec(line)?.[1] ?? '' }] : []))
  return taken.sort((a, b) => Number(b.time) - Number(a.time))[0]?.instance
}

// Tells whether a request was lost, by the stop of the instance that its caller uses or of one that it was handed to.
function _lossOf (call: SoakCall, runs: readonly Run[], { instances, graceMs }: _Judged): _Loss {
  if (!call.isConnected || call.isComplete || call.leftAtMs < Infinity || call.bodySentAtMs === Infinity) return 'none'
  if (runs.length === 0 && call.endedAtMs - call.bodySentAtMs <= BOUNDS.LossSlackMs) return 'none'
  const last = runs.at(-1)
  if (last?.how === 'broke_off' || call.endedAtMs - call.sentAtMs >= call.deadlineMs) return 'none'
  const own = instances.find(({ name }) => name === call.instance)
  const signalledAtMs = own === undefined ? -Infinity : _signalBefore(own, call.endedAtMs)
  if (signalledAtMs === -Infinity) return 'relay'
  return last === undefined || last.endedAtMs < signalledAtMs + graceMs * 5 / 6 || call.sentAtMs > signalledAtMs + EARLY_MS ? 'own' : 'none'
}

function _describe (call: SoakCall, runs: readonly Run[], { instances }: _Judged): string {
  const since = (atMs: number): number => Math.round(atMs - call.sentAtMs)
  const signals = instances.flatMap(({ name, lifetimes }) => lifetimes.filter(({ signalledAtMs }) => signalledAtMs < call.endedAtMs + 1000).map(({ signalledAtMs, endedAtMs }) => `${name} from ${since(signalledAtMs)} to ${since(endedAtMs)} ms`))
  const ran = runs.map(({ upstream, startedAtMs, endedAtMs, after, how }) => `${upstream} from ${since(startedAtMs)} to ${since(endedAtMs)} ms after event ${after}, ${how}`)
  const lines = instances.flatMap((instance) => instance.lines).filter((line) => line.includes(`"request":"${call.id}"`)).sort()
  return `${call.id} at ${call.instance}, ${call.isKept ? 'kept' : 'new'} connection, ended at ${since(call.endedAtMs)} ms (${call.detail}), status ${call.status}, ${call.text.length} bytes, ${JSON.stringify(call.plan)}; stops: ${signals.join(', ')}; runs: ${ran.join('; ')}\n${lines.join('\n')}`
}

function _faultsOf (call: SoakCall, runs: readonly Run[], judged: _Judged): readonly string[] {
  const mayRepeat = REPEATABLE.includes(_routeOf(call))
  return [
    answerFault(call),
    _lossOf(call, runs, judged) === 'own' ? 'LOST' : undefined,
    runs.length > 1 && !mayRepeat ? `TWICE: ran ${runs.length} times` : undefined,
    runs.length > 0 && !mayRepeat && NOT_RUN.includes(call.status) ? `REFUSED: answered ${call.status}, but it ran` : undefined
  ].flatMap((fault) => fault === undefined ? [] : [`${fault}: ${_describe(call, runs, judged)}`])
}

function _processFaults ({ name, lines, lifetimes }: ProcessInstance, graceMs: number): readonly string[] {
  const ends = lifetimes.flatMap(({ signalledAtMs, endedAtMs, code, signal }) => {
    if (endedAtMs === Infinity || (signalledAtMs < endedAtMs && code === 0 && endedAtMs - signalledAtMs < graceMs)) return []
    return [`FAULT: ${name} ended with code ${code} and signal ${signal} ${Math.round(endedAtMs - signalledAtMs)} ms after SIGTERM`]
  })
  return [...ends, ...lines.filter((line) => FAULT_LINE.test(line)).map((line) => `FAULT: ${name} wrote ${line}`)]
}

/** Plays a scenario with real processes and judges it. */
export async function playScenario (t: ExecutionContext, scenario: Scenario): Promise<Played> {
  const random = createRandom(scenario.seed)
  const folder = await mkdtemp(join(tmpdir(), 'berylshed-'))
  t.teardown(() => rm(folder, { recursive: true, force: true }))
  const bundle = await bundleProgram(folder)
  const store = await startTestStore()
  const arrivals: Arrivals = { runs: [], changed: [] }
  let rejections = 0
  _writeManifest(store)
  const watched: _Watched = { store, arrivals, rejected: () => { rejections += 1 } }
  const upstreams = await Promise.all(scenario.upstreams.map((plan, i) => _startUpstream(`u${i + 1}`, plan, watched)))
  const { instances, close } = await startProcesses(bundle, scenario.instances, store.address, scenario.graceS === undefined ? {} : { graceS: scenario.graceS })
  const callers = createCallers()
  let sent = 0
  const isUsed = ({ lifetimes }: ProcessInstance): boolean => lifetimes.at(-1)?.signalledAtMs === Infinity
  const send = (): void => {
    const { route, plan, deadlineMs = DEADLINE_MS } = scenario.draw(random)
    const used = scenario.usesStopping === true ? instances.filter(({ lifetimes }) => lifetimes.at(-1)?.endedAtMs === Infinity) : instances.filter(isUsed)
    const target = used[random(used.length)]
    sent += 1
    const call: NewCall = { id: `${route}-${sent}`, kind: 'whole', path: `/${route}/${sent}`, plan, bodyBytes: 40, deadlineMs, keep: random(3) < 2, pauseMs: 0 }
    if (target !== undefined) callers.send(target, [call])
  }
  t.teardown(async () => {
    await close()
    for (const upstream of upstreams) upstream.close()
    store.close()
  })
  await pause(SETTLE_MS)
  store.disturb({ delayMs: scenario.storeDelayMs ?? 0, isAway: false })
  const timer = setInterval(send, 1000 / scenario.requestsPerS)
  t.teardown(() => clearInterval(timer))
  const stops = scenario.stops.map(async ({ atMs, instance, again, upstream, softwareVersion }) => {
    await pause(atMs)
    const running = instances.filter(isUsed)
    const named = typeof instance === 'string' ? (instance === 'owner' ? _ownerOf(running) : _holderOf(running)) ?? running[0] : instances[instance ?? -1]
    // The owner may be the one that is to stop next.
    const stopped = instance === undefined || named === undefined || running.includes(named) ? named : running[0]
    await stopped?.terminate()
    if (again === true) await stopped?.restart()
    if (upstream === undefined) return
    upstreams[upstream]?.leave()
    await pause(BOUNDS.DrainMs + LEAVING_SLACK_MS + 300)
    await upstreams[upstream]?.comeBack(softwareVersion ?? 'v1')
  })
  await pause(scenario.lengthMs)
  clearInterval(timer)
  await Promise.all([...stops, callers.ended()])
  store.disturb({ delayMs: 0, isAway: false })
  const graceMs = (scenario.graceS ?? BOUNDS.GraceS) * 1000
  const judged: _Judged = { instances, graceMs }
  const runsOf = new Map(callers.calls.map(({ id }): [string, Run[]] => [id, []]))
  for (const run of arrivals.runs) runsOf.get(run.id)?.push(run)
  const faults = [
    ...instances.flatMap((instance) => _processFaults(instance, graceMs)),
    ...callers.stray.map((bytes) => `MIXED: ${bytes}`),
    ...callers.calls.flatMap((call) => _faultsOf(call, runsOf.get(call.id) ?? [], judged))
  ]
  const cutByRelays = callers.calls.filter((call) => _lossOf(call, runsOf.get(call.id) ?? [], judged) === 'relay').map((call) => _describe(call, runsOf.get(call.id) ?? [], judged))
  const statuses: Record<string, number> = {}
  for (const call of callers.calls) {
    const key = _answerOf(call, instances)
    statuses[key] = (statuses[key] ?? 0) + 1
  }
  const files = LINES_FOLDER === undefined ? [] : [...instances, { name: 'calls', lines: callers.calls.map((call) => `${Math.round(performance.timeOrigin + call.sentAtMs)} ${_answerOf(call, instances)} ${_describe(call, runsOf.get(call.id) ?? [], judged)}`) }]
  await Promise.all(files.map(({ name, lines }) => writeFile(join(LINES_FOLDER ?? '', `${scenario.seed}-${name}.txt`), lines.join('\n'))))
  const handovers = instances.flatMap(({ lines }) => lines).filter((line) => line.includes('"what":"sent"') && line.includes('"relay":"')).length
  return { faults, cutByRelays, calls: callers.calls, instances, rejections, handovers, statuses }
}

/** Logs what a scenario led to. */
export function logPlayed (t: ExecutionContext, { calls, statuses, rejections, handovers, faults, cutByRelays, instances }: Played): void {
  const ends = instances.flatMap(({ lifetimes }) => lifetimes.filter(({ endedAtMs }) => endedAtMs < Infinity).map(({ signalledAtMs, endedAtMs }) => Math.round(endedAtMs - signalledAtMs)))
  t.log(`${calls.length} requests, ${JSON.stringify(statuses)}, ${handovers} handed over, ${rejections} rejected by upstreams, ends after ${ends.join(', ')} ms, ${faults.length} faults, ${cutByRelays.length} cut by the end of another instance`)
}
