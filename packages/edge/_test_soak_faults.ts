import { FILE_DESCRIPTORS } from './_test_process_watch.ts'
import { BOUNDS, GRACE_MS, type Lifetime, type ProcessInstance } from './_test_processes.ts'
import { answerFault, type SoakCall } from './_test_soak_callers.ts'
import { isFlooded, type FloodRun } from './_test_soak_floods.ts'
import { answerOf, type Arrivals, type Run } from './_test_soak_upstreams.ts'

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
const FAULT_LINE = /uncaught_exception|unhandled_rejection|effect_failed|drain_failed/
const REQUEST_OF_LINE = /"request":"([^"]+)"/
const DROPPED_LINE = /lines_dropped/
const RECOVERY_MS = BOUNDS.RecoveryS * 1000
/** Time for which an instance may keep lines before it writes them, in ms, with some for their way; a flooded one may take `ContactMs`. A process that ends without a stop loses these. */
const UNWRITTEN_MS = 500
/** Calls that may reach an upstream late after their callers have left a flooded instance, and part of those that left; given in the rules (GONE). */
const MAX_LATE_ARRIVALS = 3
const MAX_OUTLASTING_PART = 1 / 4
/** Time by which the end of a process may be noticed after the end of its connections, in ms. */
const OWN_END_SLACK_MS = 100
/** Part of the time in which Node alone handles no SIGHUP by which the measurement may be wrong; processes that are started at once differ by more. */
const HANGUP_SLACK = 1.1
/** SIGHUPs after a start that are told of. */
const EARLY_HANGUP_MS = 500

/** A manifest that was written, and the time limits of its routes. */
export interface Manifest {
  readonly sentAtMs: number
  readonly timeoutsMs: ReadonlyMap<string, number>
}

/** A time in which this process did not run, or another disturbance lasted. */
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
  readonly floods: readonly FloodRun[]
  /** Times in which the store was away or slow. */
  readonly storeAway: readonly Stall[]
  /** Times in which the output of instances was not read. */
  readonly stalledOutputs: readonly StalledOutput[]
}

/** A time in which the output of an instance was not read. */
export interface StalledOutput extends Stall {
  readonly instance: string
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

function lifetimesOf (call: SoakCall, instances: readonly ProcessInstance[]): readonly Lifetime[] {
  return instances.filter(({ name }) => name === call.instance).flatMap(({ lifetimes }) => lifetimes)
}

const linesByRequest = new WeakMap<ProcessInstance, { readonly count: number, readonly byRequest: ReadonlyMap<string, readonly string[]> }>()

// Floods bring so many lines that they are looked through once.
function indexLines (instance: ProcessInstance): ReadonlyMap<string, readonly string[]> {
  const known = linesByRequest.get(instance)
  if (known?.count === instance.lines.length) return known.byRequest
  const byRequest = new Map<string, string[]>()
  for (const line of instance.lines) {
    const request = REQUEST_OF_LINE.exec(line)?.[1]
    if (request !== undefined) byRequest.set(request, [...byRequest.get(request) ?? [], line])
  }
  linesByRequest.set(instance, { count: instance.lines.length, byRequest })
  return byRequest
}

function linesOf (call: SoakCall, instances: readonly ProcessInstance[]): readonly string[] {
  return instances.flatMap((instance) => indexLines(instance).get(call.id) ?? [])
}

// Reports whether the soak killed the instance of a call while it was open. No rule counts requests of such machines as lost.
function wasKilled (call: SoakCall, instances: readonly ProcessInstance[]): boolean {
  return lifetimesOf(call, instances).some(({ killedAtMs }) => killedAtMs >= call.sentAtMs && killedAtMs <= call.endedAtMs)
}

// Reports whether a response without a length ended with the killed process that sent it, which HTTP/1.0 has no sign for. The platform's callers use HTTP/1.1.
function endedWithProcess (call: SoakCall, instances: readonly ProcessInstance[]): boolean {
  return call.kind === 'http10' && call.isComplete && !call.headers.has('content-length') && answerOf(call.id, call.plan).startsWith(call.text) && wasKilled(call, instances)
}

/** Reports whether a call was open when its instance ended by itself or for its memory; that end is a fault, and excuses nothing. */
export function wasCutByOwnEnd (call: SoakCall, instances: readonly ProcessInstance[]): boolean {
  return lifetimesOf(call, instances).some((lifetime) => isOwnEnd(lifetime) && lifetime.endedAtMs >= call.sentAtMs && lifetime.endedAtMs <= call.endedAtMs + OWN_END_SLACK_MS)
}

function isPressed (call: SoakCall, floods: readonly FloodRun[]): boolean {
  return isFlooded(floods, call.instance, { fromMs: call.sentAtMs, toMs: call.endedAtMs })
}

/** Reports whether a call reached an instance that the soak neither killed nor flooded meanwhile. */
export function isCalm (call: SoakCall, { instances, floods }: Play): boolean {
  return call.isConnected && !wasKilled(call, instances) && !isPressed(call, floods)
}

// Reports whether a flooded instance closed the connection of a call that it had not read; the caller may send it again, see the given rules (LOST, REFUSED).
function wasUnread (call: SoakCall, runs: readonly Run[], { instances, floods }: Play): boolean {
  return runs.length === 0 && isPressed(call, floods) && linesOf(call, instances).length === 0
}

/** Reports whether a call ended without a complete answer around planned work, and nothing excuses it. */
export function isLost (call: SoakCall, runs: readonly Run[], play: Play): boolean {
  const { instances, manifests, stalls } = play
  if (wasKilled(call, instances) || wasUnread(call, runs, play)) return false
  if (!call.isConnected || call.isComplete || call.leftAtMs < Infinity || call.bodySentAtMs === Infinity) return false
  if (runs.length === 0 && call.endedAtMs - call.bodySentAtMs - stalledMs(stalls, call.bodySentAtMs, call.endedAtMs) <= BOUNDS.LossSlackMs) return false
  const last = runs.at(-1)
  if (last?.how === 'broke_off' || call.endedAtMs - call.sentAtMs >= limitOf(call, manifests)) return false
  const signalledAtMs = signalOf(call, instances)
  return last === undefined || last.endedAtMs < signalledAtMs + LAST_PART_MS || call.sentAtMs > signalledAtMs + EARLY_MS
}

// Reports whether an upstream was still at work, or began, too long after the caller had left.
function outlasts (call: SoakCall, { startedAtMs, endedAtMs }: Run, { stalls }: Play): boolean {
  const seenAtMs = RETRYABLE.includes(routeOf(call)) || STREAMS.includes(routeOf(call)) ? endedAtMs : startedAtMs
  return seenAtMs - call.leftAtMs - stalledMs(stalls, call.leftAtMs, seenAtMs) > GONE_MS
}

// Reports whether an instance may drop lines: its reader stalled, or callers made it write more than it may keep. No rule asks for these lines.
function mayDropLines (instance: string, { stalledOutputs, floods }: Pick<Play, 'stalledOutputs' | 'floods'>): boolean {
  return stalledOutputs.some((stalled) => stalled.instance === instance) || isFlooded(floods, instance, { fromMs: -Infinity, toMs: Infinity })
}

// Reports whether the last line of a call is missing though nothing kept its instance from writing it.
function lacksLine (call: SoakCall, { instances, stalledOutputs, floods }: Play): boolean {
  const own = instances.filter(({ name }) => name === call.instance)
  if (linesOf(call, own).some((line) => LAST_LINE.test(line))) return false
  if (lifetimesOf(call, instances).some(({ signalledAtMs, killedAtMs, endedAtMs }) => (signalledAtMs > endedAtMs || killedAtMs < Infinity) && endedAtMs >= call.sentAtMs && endedAtMs <= call.endedAtMs + (isPressed(call, floods) ? BOUNDS.ContactMs : UNWRITTEN_MS))) return false
  if (mayDropLines(call.instance, { stalledOutputs, floods }) && own.some(({ lines }) => lines.some((line) => DROPPED_LINE.test(line)))) return false
  // A process that ends does not wait for the reader of its lines.
  const unread = stalledOutputs.filter(({ instance, fromMs, toMs }) => instance === call.instance && call.endedAtMs > fromMs - UNWRITTEN_MS && call.endedAtMs < toMs)
  return !unread.some(({ fromMs, toMs }) => lifetimesOf(call, instances).some(({ endedAtMs }) => endedAtMs > fromMs && endedAtMs < toMs + UNWRITTEN_MS))
}

/** Returns the rules that a call breaks. */
export function faultsOf (call: SoakCall, runs: readonly Run[], play: Play): readonly string[] {
  const mayRepeat = RETRYABLE.includes(routeOf(call))
  return [
    endedWithProcess(call, play.instances) ? undefined : answerFault(call),
    isLost(call, runs, play) ? `LOST: the connection ended (${call.detail}) without a complete answer` : undefined,
    runs.length > 1 && !mayRepeat ? `TWICE: ran ${runs.length} times` : undefined,
    runs.length > 0 && !mayRepeat && NOT_RUN.includes(call.status) ? `REFUSED: answered ${call.status}, but it ran` : undefined,
    !isPressed(call, play.floods) && runs.some((run) => outlasts(call, run, play)) ? `GONE: the caller left at ${Math.round(call.leftAtMs - call.sentAtMs)} ms` : undefined,
    (call.status !== 0 || runs.length > 0) && lacksLine(call, play) ? 'LINES: no last line of the request' : undefined
  ].flatMap((fault) => fault === undefined ? [] : [`${fault}: ${describe(call, runs, play)}`])
}

/** Returns what is wrong with how flooded instances dealt with callers that left; few of these calls may be late, as the given rules have it (GONE). */
export function pressedFaults (calls: readonly SoakCall[], runsOf: ReadonlyMap<string, readonly Run[]>, play: Play): readonly string[] {
  const left = calls.filter((call) => call.leftAtMs < Infinity && isPressed(call, play.floods))
  const outlasting = left.filter((call) => runsOf.get(call.id)?.some((run) => outlasts(call, run, play)))
  const late = outlasting.filter((call) => runsOf.get(call.id)?.some(({ startedAtMs }) => startedAtMs - call.leftAtMs - stalledMs(play.stalls, call.leftAtMs, startedAtMs) > GONE_MS))
  if (late.length <= MAX_LATE_ARRIVALS && outlasting.length <= Math.max(MAX_LATE_ARRIVALS, left.length * MAX_OUTLASTING_PART)) return []
  return [`GONE: of ${left.length} calls whose callers left flooded instances, ${late.length} reached an upstream late and ${outlasting.length} outlasted them:\n${outlasting.map((call) => describe(call, runsOf.get(call.id) ?? [], play)).join('\n')}`]
}

/** Describes a call, its runs and the lines on it. */
export function describe (call: SoakCall, runs: readonly Run[], { instances, stalls }: Play): string {
  const since = (atMs: number): number => Math.round(atMs - call.sentAtMs)
  const signals = instances.filter(({ name }) => name === call.instance).flatMap(({ lifetimes }) => lifetimes.map(({ signalledAtMs }) => -since(signalledAtMs))).filter(Number.isFinite)
  const ran = runs.map(({ upstream, startedAtMs, endedAtMs, after, how }) => `${upstream} from ${since(startedAtMs)} to ${since(endedAtMs)} ms after event ${after}, ${how}`)
  const lastMs = Math.max(call.endedAtMs, ...runs.map(({ endedAtMs }) => endedAtMs))
  const stalled = stalls.filter(({ fromMs, toMs }) => toMs >= call.sentAtMs && fromMs <= lastMs).map(({ fromMs, toMs }) => `${since(fromMs)} to ${since(toMs)} ms`)
  const lines = linesOf(call, instances)
  return `${call.id}, ${call.kind}, at ${call.instance}, ${call.isKept ? 'kept' : 'new'} connection, sent ${signals.join(' and ')} ms after SIGTERM, whole at ${since(call.bodySentAtMs)} ms, ended at ${since(call.endedAtMs)} ms, status ${call.status}, ${call.text.length} bytes, deadline ${call.deadlineMs} ms, ${JSON.stringify(call.plan)}; runs: ${ran.join('; ')}; stalls of this process: ${stalled.join(', ')}\n${lines.join('\n')}`
}

// Returns the time for which a process did not say that it is ready, since its start and the end of the store's disturbances, in ms.
function unreadyMs ({ startedAtMs, readyAtMs, signalledAtMs, killedAtMs, endedAtMs }: Lifetime, storeAway: readonly Stall[]): number {
  const untilMs = Math.min(readyAtMs, signalledAtMs, killedAtMs, endedAtMs, performance.now())
  return untilMs - Math.max(startedAtMs, ...storeAway.filter(({ fromMs }) => fromMs <= untilMs).map(({ toMs }) => toMs))
}

// Reports whether SIGHUP ended a process so early that it would have ended any Node program.
function endedBeforeHandler ({ signal, startedAtMs, hangupsAtMs, unhandledMs }: Lifetime): boolean {
  return signal === 'SIGHUP' && (hangupsAtMs.at(-1) ?? Infinity) - startedAtMs <= unhandledMs * HANGUP_SLACK
}

function isOwnEnd (lifetime: Lifetime): boolean {
  const { signalledAtMs, killedAtMs, endedAtMs, code } = lifetime
  const isStopped = signalledAtMs < endedAtMs && code === 0 && endedAtMs - signalledAtMs < GRACE_MS
  return !isStopped && killedAtMs === Infinity && !endedBeforeHandler(lifetime)
}

/** Returns what is wrong with the ends of a process, its limits, its starts and its lines. */
export function processFaults ({ name, lines, lifetimes, limits }: ProcessInstance, { storeAway, ...play }: Pick<Play, 'storeAway' | 'stalledOutputs' | 'floods'>): readonly string[] {
  const own = lines.filter((line) => line.includes('"subject":"process"') || !line.startsWith('{')).join('\n')
  const ends = lifetimes.flatMap((lifetime) => {
    const { startedAtMs, signalledAtMs, exceededAtMs, hangupsAtMs, unhandledMs, endedAtMs, code, signal, peakMb, descriptors, channels } = lifetime
    const after = (atMs: number): string => `${Math.round(atMs - startedAtMs)} ms after its start`
    return [
      isOwnEnd(lifetime) && exceededAtMs === Infinity ? `FAULT: ${name} ended with code ${code} and signal ${signal} ${after(endedAtMs)}, ${Math.round(endedAtMs - signalledAtMs)} ms after SIGTERM, SIGHUP ${hangupsAtMs.map(after).join(' and ')} (Node alone handles none for ${Math.round(unhandledMs)} ms), ${Math.round(peakMb)} MB\n${own}` : undefined,
      peakMb > limits.MemoryMb ? `FAULT: ${name} held ${Math.round(peakMb)} MB of ${limits.MemoryMb} and was killed for it ${after(exceededAtMs)}` : undefined,
      channels > limits.MaxFds - FILE_DESCRIPTORS || descriptors > limits.MaxFds ? `FAULT: ${name} held ${descriptors} descriptors of ${limits.MaxFds}, ${channels} of them sockets and pipes (${limits.MaxFds - FILE_DESCRIPTORS} allowed)` : undefined,
      unreadyMs(lifetime, storeAway) > RECOVERY_MS ? `FAULT: ${name} was not ready ${Math.round(unreadyMs(lifetime, storeAway))} ms after its start or the return of the store` : undefined
    ].flatMap((fault) => fault === undefined ? [] : [fault])
  })
  const mayDrop = mayDropLines(name, play)
  return [...ends, ...lines.filter((line) => FAULT_LINE.test(line) || (!mayDrop && DROPPED_LINE.test(line))).map((line) => `FAULT: ${name} wrote ${line}`)]
}

/** Tells of the SIGHUPs soon after a start: how many came, and which of them ended processes that had no handler yet. */
export function describeHangups (instances: readonly ProcessInstance[]): string {
  const early = instances.flatMap(({ lifetimes }) => lifetimes).filter(({ startedAtMs, hangupsAtMs }) => (hangupsAtMs[0] ?? Infinity) - startedAtMs < EARLY_HANGUP_MS)
  const ended = early.filter(({ signal }) => signal === 'SIGHUP').map(({ startedAtMs, hangupsAtMs, unhandledMs }) => `${Math.round((hangupsAtMs.at(-1) ?? 0) - startedAtMs)} of ${Math.round(unhandledMs)}`)
  return `${early.length} SIGHUPs within ${EARLY_HANGUP_MS} ms of a start, ${ended.length} ended the process${ended.length === 0 ? '' : ` (ms after the start, of those in which Node alone handles none: ${ended.join(', ')})`}`
}
