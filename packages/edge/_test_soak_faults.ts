import { BOUNDS, GRACE_MS, type ProcessInstance } from './_test_processes.ts'
import { answerFault, type SoakCall } from './_test_soak_callers.ts'
import type { Arrivals, Run } from './_test_soak_upstreams.ts'

/** Time within which an upstream is told that a caller has left, in ms. */
const GONE_MS = 500
/** Length from which stalls of this process are named in faults, in ms; they delay what callers and upstreams see. */
const STALL_MS = 100
/** Part of the grace period after which running requests may be ended, and time after SIGTERM until which these were sent, in ms. */
const LAST_PART_MS = GRACE_MS * 5 / 6
const EARLY_MS = 3000
const STREAMS = ['drafts', 'notes', 'talks']
const RETRYABLE = ['lookups', 'added', 'drafts']
const NOT_RUN = [408, 421, 429, 503]
const LAST_LINE = /"what":"(answered|refused|broken_off|left|rejected)"/
const FAULT_LINE = /uncaught_exception|unhandled_rejection|effect_failed|drain_failed|lines_dropped/

/** A manifest that was written, and the time limits of its routes. */
export interface Manifest {
  readonly sentAtMs: number
  readonly timeoutsMs: ReadonlyMap<string, number>
}

/** A time in which this process did not run. */
export interface Stall {
  readonly fromMs: number
  readonly toMs: number
}

/** Collects the times in which this process did not run. */
export function watchStalls (): { readonly stalls: readonly Stall[], stop (): void } {
  const stalls: Stall[] = []
  let fromMs = performance.now()
  const timer = setInterval(() => {
    const toMs = performance.now()
    if (toMs - fromMs > STALL_MS) stalls.push({ fromMs, toMs })
    fromMs = toMs
  }, STALL_MS / 10)
  return { stalls, stop: () => clearInterval(timer) }
}

// Returns how long this process, and so the upstreams and callers in it, did not run within a time, in ms.
function stalledMs (stalls: readonly Stall[], fromMs: number, toMs: number): number {
  return stalls.reduce((sum, stall) => sum + Math.max(0, Math.min(stall.toMs, toMs) - Math.max(stall.fromMs, fromMs)), 0)
}

/** What calls are judged by. */
export interface Play {
  readonly instances: readonly ProcessInstance[]
  readonly arrivals: Arrivals
  readonly manifests: readonly Manifest[]
  readonly stalls: readonly Stall[]
}

function routeOf ({ path }: SoakCall): string {
  return path.split('/')[1] ?? ''
}

// Returns the time until which a call may take by its own deadline and the manifests that may be in force, in ms.
function limitOf (call: SoakCall, manifests: readonly Manifest[]): number {
  const inForce = manifests.filter(({ sentAtMs }, i) => sentAtMs <= call.endedAtMs && (manifests[i + 1]?.sentAtMs ?? Infinity) + BOUNDS.ConfigMs >= call.sentAtMs)
  return Math.min(call.deadlineMs, ...inForce.map(({ timeoutsMs }) => timeoutsMs.get(routeOf(call)) ?? Infinity))
}

// Returns the time of the last SIGTERM of the instance of a call before its end; -Infinity if there was none.
function signalOf (call: SoakCall, instances: readonly ProcessInstance[]): number {
  const signals = instances.filter(({ name }) => name === call.instance).flatMap(({ lifetimes }) => lifetimes.map(({ signalledAtMs }) => signalledAtMs))
  return Math.max(-Infinity, ...signals.filter((atMs) => atMs <= call.endedAtMs))
}

/** Reports whether a call was sent to a stopping instance so late that the end of the grace period excuses nothing. */
export function isLate ({ instance, sentAtMs }: SoakCall, instances: readonly ProcessInstance[]): boolean {
  const lifetimes = instances.filter(({ name }) => name === instance).flatMap((one) => one.lifetimes)
  return lifetimes.some(({ signalledAtMs, endedAtMs }) => sentAtMs > signalledAtMs + EARLY_MS && sentAtMs <= endedAtMs)
}

/** Reports whether a call ended without a complete answer around planned work, and nothing excuses it. */
export function isLost (call: SoakCall, runs: readonly Run[], { instances, manifests, stalls }: Play): boolean {
  if (!call.isConnected || call.isComplete || call.leftAtMs < Infinity || call.bodySentAtMs === Infinity) return false
  if (runs.length === 0 && call.endedAtMs - call.bodySentAtMs - stalledMs(stalls, call.bodySentAtMs, call.endedAtMs) <= BOUNDS.LossSlackMs) return false
  const last = runs.at(-1)
  if (last?.how === 'broke_off' || call.endedAtMs - call.sentAtMs >= limitOf(call, manifests)) return false
  const signalledAtMs = signalOf(call, instances)
  return last === undefined || last.endedAtMs < signalledAtMs + LAST_PART_MS || call.sentAtMs > signalledAtMs + EARLY_MS
}

/** Returns the rules that a call breaks. */
export function faultsOf (call: SoakCall, runs: readonly Run[], play: Play): readonly string[] {
  const mayRepeat = RETRYABLE.includes(routeOf(call))
  const staysAtWork = mayRepeat || STREAMS.includes(routeOf(call))
  const outlasts = ({ startedAtMs, endedAtMs }: Run): boolean => {
    const seenAtMs = staysAtWork ? endedAtMs : startedAtMs
    return seenAtMs - call.leftAtMs - stalledMs(play.stalls, call.leftAtMs, seenAtMs) > GONE_MS
  }
  const hasLastLine = play.instances.some(({ name, lines }) => name === call.instance && lines.some((line) => line.includes(`"request":"${call.id}"`) && LAST_LINE.test(line)))
  return [
    answerFault(call),
    isLost(call, runs, play) ? `LOST: the connection ended (${call.detail}) without a complete answer` : undefined,
    runs.length > 1 && !mayRepeat ? `TWICE: ran ${runs.length} times` : undefined,
    runs.length > 0 && !mayRepeat && NOT_RUN.includes(call.status) ? `REFUSED: answered ${call.status}, but it ran` : undefined,
    runs.some(outlasts) ? `GONE: the caller left at ${Math.round(call.leftAtMs - call.sentAtMs)} ms` : undefined,
    (call.status !== 0 || runs.length > 0) && !hasLastLine ? 'LINES: no last line of the request' : undefined
  ].flatMap((fault) => fault === undefined ? [] : [`${fault}: ${describe(call, runs, play)}`])
}

/** Describes a call, its runs and the lines on it. */
export function describe (call: SoakCall, runs: readonly Run[], { instances, stalls }: Play): string {
  const since = (atMs: number): number => Math.round(atMs - call.sentAtMs)
  const signals = instances.filter(({ name }) => name === call.instance).flatMap(({ lifetimes }) => lifetimes.map(({ signalledAtMs }) => -since(signalledAtMs))).filter(Number.isFinite)
  const ran = runs.map(({ upstream, startedAtMs, endedAtMs, after, how }) => `${upstream} from ${since(startedAtMs)} to ${since(endedAtMs)} ms after event ${after}, ${how}`)
  const lastMs = Math.max(call.endedAtMs, ...runs.map(({ endedAtMs }) => endedAtMs))
  const stalled = stalls.filter(({ fromMs, toMs }) => toMs >= call.sentAtMs && fromMs <= lastMs).map(({ fromMs, toMs }) => `${since(fromMs)} to ${since(toMs)} ms`)
  const lines = instances.flatMap((instance) => instance.lines).filter((line) => line.includes(`"request":"${call.id}"`))
  return `${call.id}, ${call.kind}, at ${call.instance}, ${call.isKept ? 'kept' : 'new'} connection, sent ${signals.join(' and ')} ms after SIGTERM, whole at ${since(call.bodySentAtMs)} ms, ended at ${since(call.endedAtMs)} ms, status ${call.status}, ${call.text.length} bytes, deadline ${call.deadlineMs} ms, ${JSON.stringify(call.plan)}; runs: ${ran.join('; ')}; stalls of this process: ${stalled.join(', ')}\n${lines.join('\n')}`
}

/** Returns what is wrong with the ends of a process and its lines. */
export function processFaults ({ name, lines, lifetimes }: ProcessInstance): readonly string[] {
  const own = lines.filter((line) => line.includes('"subject":"process"') || !line.startsWith('{')).join('\n')
  const ends = lifetimes.flatMap(({ startedAtMs, signalledAtMs, endedAtMs, code, signal }) => {
    if (signalledAtMs < endedAtMs && code === 0 && endedAtMs - signalledAtMs < GRACE_MS) return []
    return [`FAULT: ${name} ended with code ${code} and signal ${signal} ${Math.round(endedAtMs - startedAtMs)} ms after its start, ${Math.round(endedAtMs - signalledAtMs)} ms after SIGTERM\n${own}`]
  })
  return [...ends, ...lines.filter((line) => FAULT_LINE.test(line)).map((line) => `FAULT: ${name} wrote ${line}`)]
}
