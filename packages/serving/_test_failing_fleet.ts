import { testEngineTarget, testRequest } from './_test_serving.ts'
import { reduceServing } from './reduce_serving.ts'
import type { ReceivedRequest, Request } from './request.ts'
import type { RoutingTarget } from './routing_target.ts'
import type { ServingEvent } from './serving_event.ts'
import { newServingState, type ServingState } from './serving_state.ts'
import { ejectionRecords, reportedOutcomes } from './ejection_record.ts'
import { evidenceUpdateSince } from './evidence_update.ts'

/** Part that ends each engine which begins to run a request with it. */
const CRASHING = 'crashing'
const HEARTBEAT_MS = 200
/** Time that a message between instances takes, in ms. */
const TRANSIT_MS = 2
const RESTART_MS = 1000
const MODELS = 8

/** Load and faults that are played. */
export interface FailingFleet {
  readonly instances: number
  readonly engines: number
  /** Engines that break each request after some ms, and for how long in ms from 2,000 ms on. */
  readonly failing: number
  readonly failingMs: number
  readonly durationMs: number
  readonly requestsPerS: number
  /** Every how many requests one has the crashing part; 0 for none. */
  readonly crashingEvery: number
  readonly seed: number
}

/** What became of the requests. */
export interface FailingFleetOutcome {
  sound: number
  answered: number
  /** Sound requests that ended with 502. */
  lost: number
  /** Sound requests that were refused as suspected. */
  suspected: number
  /** Attempts that failing engines broke. */
  broken: number
  /** Engines that ended under requests with the crashing part. */
  crashes: number
  /** Requests with the crashing part that were sent later than 4,000 ms after the fifth crash. */
  lateSends: number
  ejected: number
  /** Ejections of engines that never failed. */
  wronglyEjected: number
  quarantined: Set<string>
}

/** Plays the load in virtual time against instances that exchange evidence and outcomes through the first one. */
export function playFailingFleet (options: FailingFleet): FailingFleetOutcome {
  const outcome: FailingFleetOutcome = { sound: 0, answered: 0, lost: 0, suspected: 0, broken: 0, crashes: 0, lateSends: 0, ejected: 0, wronglyEjected: 0, quarantined: new Set() }
  let seed = options.seed
  const random = (): number => {
    seed = (seed * 1103515245 + 12345) % 2 ** 31
    return seed / 2 ** 31
  }
  const targets = new Map(Array.from({ length: options.engines }, (_, i): [string, RoutingTarget] => {
    return [`e${i}`, { ...testEngineTarget(`e${i}`, { [`m${i % MODELS}`]: [], [`m${(i + 3) % MODELS}`]: [] }), slots: 12 }]
  }))
  const down = new Map<string, number>()
  const crashTimes: number[] = []
  const states: ServingState[] = Array.from({ length: options.instances }, (_, i) => {
    return newServingState({ availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 }, phase: i / options.instances })
  })
  const exchanged = states.map(() => ({ sent: 0, received: 0, heartbeatAtMs: 0, due: false }))
  const running = new Map<string, { readonly instance: number, readonly id: string, readonly attempt: number, readonly upstream: string }>()
  let agenda: Array<{ readonly atMs: number, readonly run: (nowMs: number) => void }> = []
  const at = (atMs: number, run: (nowMs: number) => void): void => { agenda.push({ atMs, run }) }

  function apply (instance: number, event: ServingEvent): void {
    const before = states[instance]
    if (before === undefined) return
    const reduced = reduceServing(before, event)
    states[instance] = reduced.state
    for (const effect of reduced.effects) {
      const { nowMs } = event
      if (effect.kind === 'send') send(instance, effect, nowMs)
      else if (effect.kind === 'evidence_changed' || effect.kind === 'failure_observed') Object.assign(exchanged[instance] ?? {}, { due: true })
      else if (effect.kind === 'refuse' && !isCrashing(effect.id)) {
        if (effect.refusal.reason === 'suspected_crash') outcome.suspected += 1
        else if (effect.refusal.status === 502) outcome.lost += 1
      } else if (effect.kind === 'finish' && !isCrashing(effect.id)) outcome.answered += 1
      else if (effect.kind === 'record' && effect.record.what === 'upstream_ejected') {
        outcome.ejected += 1
        if (Number(effect.record.upstream?.slice(1)) >= options.failing) outcome.wronglyEjected += 1
      } else if (effect.kind === 'record' && effect.record.what === 'quarantined') outcome.quarantined.add(effect.record.reason ?? '')
    }
  }

  function isCrashing (id: string): boolean {
    return id.startsWith('x')
  }

  function isFailing (upstream: string, nowMs: number): boolean {
    return Number(upstream.slice(1)) < options.failing && nowMs >= 2000 && nowMs < 2000 + options.failingMs
  }

  function send (instance: number, { request, attempt, upstream }: { readonly request: Request, readonly attempt: number, readonly upstream: string }, nowMs: number): void {
    const { id } = request
    const key = `${instance} ${id} ${attempt}`
    if (isCrashing(id) && nowMs > (crashTimes[4] ?? Infinity) + 4000) outcome.lateSends += 1
    if (down.has(upstream)) return at(nowMs + 1, (later) => apply(instance, { kind: 'attempt_failed', id, attempt, failure: 'not_connected', detail: '', nowMs: later }))
    running.set(key, { instance, id, attempt, upstream })
    const end = (run: (later: number) => void) => (later: number): void => { if (running.delete(key)) run(later) }
    const broken = end((later) => {
      outcome.broken += 1
      apply(instance, { kind: 'attempt_failed', id, attempt, failure: 'broken', detail: '', nowMs: later })
    })
    if (isFailing(upstream, nowMs)) return at(nowMs + 7 + random() * 13, broken)
    if (isCrashing(id)) return at(nowMs + 90, (later) => { if (running.has(key)) crash(upstream, later) })
    at(nowMs + 60 + random() * 80, (later) => { if (running.has(key)) apply(instance, { kind: 'response_started', id, attempt, nowMs: later }) })
    at(nowMs + 300 + random() * 200, end((later) => apply(instance, { kind: 'response_ended', id, attempt, status: 200, nowMs: later })))
  }

  // A crash breaks all attempts at the engine, which comes back as another process.
  function crash (upstream: string, nowMs: number): void {
    outcome.crashes += 1
    crashTimes.push(nowMs)
    down.set(upstream, nowMs)
    for (const [key, attempt] of [...running]) {
      if (attempt.upstream !== upstream || !running.delete(key)) continue
      apply(attempt.instance, { kind: 'attempt_failed', id: attempt.id, attempt: attempt.attempt, failure: 'broken', detail: '', nowMs })
    }
    at(nowMs + RESTART_MS, (later) => {
      down.delete(upstream)
      const target = targets.get(upstream)
      if (target !== undefined) targets.set(upstream, { ...target, incarnation: target.incarnation + 1 })
      announce(later)
    })
  }

  function announce (nowMs: number): void {
    states.forEach((_, instance) => apply(instance, { kind: 'targets_changed', targets: new Map(targets), loadEstimatesMs: new Map(), version: 1, nowMs }))
  }

  // The answer to a heartbeat carries what the holder then knows.
  function exchange (instance: number, nowMs: number): void {
    const follower = states[instance]
    const progress = exchanged[instance]
    if (follower === undefined || progress === undefined) return
    Object.assign(progress, { due: false, heartbeatAtMs: nowMs })
    const update = JSON.parse(JSON.stringify(evidenceUpdateSince(follower.evidence, { origin: String(instance), since: progress.sent, nowMs }, { relay: false })))
    progress.sent = update.version
    reports.set(instance, { outcomes: reportedOutcomes(follower, nowMs), atMs: nowMs })
    at(nowMs + TRANSIT_MS, (later) => {
      apply(0, { kind: 'evidence_received', update, nowMs: later })
      const outcomes = [...reports.values()].flatMap((report) => report.outcomes.map((of) => ({ ...of, firstFailedAgoMs: of.firstFailedAgoMs + later - report.atMs, lastFailedSentAgoMs: of.lastFailedSentAgoMs + later - report.atMs })))
      apply(0, { kind: 'outcomes_received', outcomes, nowMs: later })
      const holder = states[0]
      if (holder === undefined) return
      const answer = JSON.parse(JSON.stringify(evidenceUpdateSince(holder.evidence, { origin: '0', since: progress.received, nowMs: later }, { relay: true })))
      const ejections = ejectionRecords(holder, later)
      progress.received = answer.version
      at(later + TRANSIT_MS, (arrivedMs) => {
        apply(instance, { kind: 'evidence_received', update: answer, nowMs: arrivedMs })
        apply(instance, { kind: 'ejections_received', ejections, nowMs: arrivedMs })
        apply(instance, { kind: 'peer_loads_received', loads: loadsWithout(instance), instances: options.instances, nowMs: arrivedMs })
      })
    })
  }
  const reports = new Map<number, { readonly outcomes: ReturnType<typeof reportedOutcomes>, readonly atMs: number }>()

  function loadsWithout (instance: number): ReadonlyArray<{ readonly upstream: string, readonly running: number }> {
    const counts = new Map<string, number>()
    for (const attempt of running.values()) if (attempt.instance !== instance) counts.set(attempt.upstream, (counts.get(attempt.upstream) ?? 0) + 1)
    return [...counts].map(([upstream, count]) => ({ upstream, running: count }))
  }

  function arrive (number: number, nowMs: number): void {
    const crashing = options.crashingEvery > 0 && number % options.crashingEvery === 0
    const id = `${crashing ? 'x' : 'r'}${number}`
    const runsOnce = random() < 0.6
    const model = `m${Math.floor(random() * MODELS)}`
    const parts = [`first-${model}`, crashing ? CRASHING : `shared${Math.floor(random() * 40)}`, `own-${id}`]
    const request: ReceivedRequest = testRequest(id, {
      service: 'drafts', model, stream: true, promptParts: parts, objectiveMs: 302, arrivedAtMs: nowMs, deadlineMs: nowMs + 12_000, retryable: !runsOnce, maxRuns: runsOnce ? 1 : 2
    })
    if (!crashing) outcome.sound += 1
    apply(Math.floor(random() * options.instances), { kind: 'received', request, nowMs })
  }

  announce(0)
  const count = options.durationMs * options.requestsPerS / 1000
  for (let i = 1; i <= count; i += 1) at(i * 1000 / options.requestsPerS, (nowMs) => arrive(i, nowMs))
  for (let nowMs = 20; nowMs < options.durationMs + 2000; nowMs += 20) {
    at(nowMs, () => states.forEach((_, instance) => {
      if (nowMs % 100 === 0) apply(instance, { kind: 'ticked', nowMs })
      const progress = exchanged[instance]
      if (instance > 0 && progress !== undefined && (progress.due || nowMs - progress.heartbeatAtMs + (instance % 10) * 20 >= HEARTBEAT_MS + (instance % 10) * 20)) exchange(instance, nowMs)
    }))
  }
  // Sorted anew only when events were added.
  while (agenda.length > 0) {
    const due = agenda.sort((a, b) => a.atMs - b.atMs)
    agenda = []
    while (due.length > 0 && (agenda.length === 0 || (due[0]?.atMs ?? 0) <= Math.min(...agenda.map(({ atMs }) => atMs)))) {
      const next = due.shift()
      next?.run(next.atMs)
    }
    agenda = [...due, ...agenda]
  }
  return outcome
}
