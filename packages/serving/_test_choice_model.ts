import { HashMap, Option } from 'effect'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { incrementRate } from './instance_report.ts'
import { notePrompt } from './_kept_prompts.ts'
import { observeOutcome, observeTokens } from './_request_transitions.ts'
import { chooseEarlier } from './_test_earlier_choice.ts'
import { testEngineTarget, testRequest } from './_test_serving.ts'
import { chooseUpstream } from './choose_upstream.ts'
import { observeDuration } from './route_duration.ts'
import type { ReceivedRequest, Request } from './request.ts'
import type { RoutingTarget } from './routing_target.ts'
import { newServingState, updateTargetLoad, type ServingState } from './serving_state.ts'

/** Requests that wait in an engine beyond its slots before it rejects others. */
const ENGINE_QUEUE = 4
const REPORT_MS = 200
const RETRY_MS = 5
const READ_TOKENS_PER_MS = 29.4
/** First event without load and prompt, in ms, and its increase with the share of slots in use. */
const [FIRST_MS, LOADED_FIRST_MS] = [20, 20]
const [TOKENS_PER_EVENT, EVENT_MS, GAP_MS] = [9, 30, 200]

interface Load {
  readonly choice: 'earlier' | 'current'
  readonly instances: number
  readonly engines: number
  readonly slots: number
  readonly arrivalsPerS: number
  readonly durationMs: number
  /** Time per piece of work of an engine, as a multiple of the usual one. */
  readonly slowness?: (engine: number, nowMs: number) => number
  readonly request: (count: number, random: () => number) => Partial<ReceivedRequest>
  /** Local times at which engine 0 restarts, in ms. */
  readonly restartsAtMs?: readonly number[]
  readonly kvCapacity?: number
}

/** Result of {@linkcode runChoices}. */
export interface ChoiceFigures {
  readonly rejections: number
  /** Highest number of requests in engines relative to the mean, averaged over reports. */
  readonly maxOverMean: number
  /** Share of the requests whose first event and, for streams, events were on time. */
  readonly onTime: number
  readonly meanFirstMs: number
  readonly p99FirstMs: number
  /** Tokens that engines did not read again, and those of them that were expected. */
  readonly keptTokens: number
  readonly expectedTokens: number
}

interface Engine { busy: number, running: number, freeAtMs: number[], kept: Map<string, number>, incarnation: number }

/** Sends arrivals at instances with stale views to engines in virtual time, by the choice of commit 5830e61 or the current one. */
export function runChoices (load: Load): ChoiceFigures {
  const generator = xoroshiro128plus(1)
  const random = (): number => uniformFloat64(generator)
  const { slots, kvCapacity = 45_209 } = load
  const engines = Array.from({ length: load.engines }, (): Engine => ({ busy: 0, running: 0, freeAtMs: Array.from({ length: slots }, () => 0), kept: new Map(), incarnation: 1 }))
  const targetsNow = (): ReadonlyMap<string, RoutingTarget> => new Map(engines.map(({ incarnation }, i) => [`e${i}`, { ...testEngineTarget(`e${i}`, { m: [] }), slots, incarnation, kvCapacity }]))
  let targets = targetsNow()
  const states = Array.from({ length: load.instances }, (_, i): ServingState => ({ ...newServingState({ instance: `i${i}`, availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 } }), targets, instances: load.instances }))
  const own = states.map(() => engines.map(() => 0))
  const events: Array<{ readonly atMs: number, readonly run: () => void }> = []
  const firsts: number[] = []
  const ratios: number[] = []
  const total = { requests: 0, onTime: 0, rejections: 0, kept: 0, expected: 0 }
  let nowMs = 0
  const at = (atMs: number, run: () => void): void => {
    let [low, high] = [0, events.length]
    while (low < high) {
      const middle = (low + high) >> 1
      if ((events[middle]?.atMs ?? 0) > atMs) low = middle + 1
      else high = middle
    }
    events.splice(low, 0, { atMs, run })
  }
  const change = (i: number, next: (state: ServingState) => ServingState): void => { states[i] = next(states[i] as ServingState) }

  // Returns the tokens that the engine did not have to read, and keeps those of the prompt.
  function read (engine: Engine, request: Request): number {
    const tokens = request.promptPartTokens ?? []
    const missing = request.promptParts.findIndex((part) => !engine.kept.has(part))
    for (const [i, part] of [...request.promptParts.entries()].reverse()) {
      engine.kept.delete(part)
      engine.kept.set(part, tokens[i] ?? 0)
    }
    let held = [...engine.kept.values()].reduce((sum, count) => sum + count, 0) + engine.busy * 600
    for (const [part, count] of engine.kept) {
      if (held <= kvCapacity) break
      engine.kept.delete(part)
      held -= count
    }
    return tokens.slice(0, missing < 0 ? tokens.length : missing).reduce((sum, count) => sum + count, 0)
  }

  function send (i: number, request: Request): void {
    const search = (load.choice === 'earlier' ? chooseEarlier : chooseUpstream)(states[i] as ServingState, request, nowMs)
    if (search.kind !== 'chosen') {
      if (nowMs - request.arrivedAtMs < 2000) at(nowMs + 40, () => send(i, request))
      return
    }
    const { upstream } = search.choice.target
    const e = Number(upstream.slice(1))
    const engine = engines[e] as Engine
    const counts = own[i] as number[]
    counts[e] = (counts[e] ?? 0) + 1
    engine.running += 1
    change(i, (state) => updateTargetLoad(load.choice === 'earlier' ? state : notePrompt(state, request, { upstream, keptTokens: (search.choice as { readonly keptTokens?: number }).keptTokens ?? 0 }), upstream, (target) => ({ ...target, ownRequests: target.ownRequests + 1 })))
    const leave = (): void => {
      counts[e] = (counts[e] ?? 0) - 1
      engine.running -= 1
      change(i, (state) => updateTargetLoad(state, upstream, (target) => ({ ...target, ownRequests: target.ownRequests - 1 })))
    }
    if (engine.busy >= slots + ENGINE_QUEUE) {
      total.rejections += 1
      leave()
      if (load.choice === 'current') change(i, (state) => updateTargetLoad(state, upstream, (target) => ({ ...target, fullUntilMs: nowMs + 300 })))
      at(nowMs + RETRY_MS, () => send(i, { ...request, attempts: [...request.attempts, { number: 1, upstream, relay: undefined, softwareVersion: '', sentAtMs: nowMs }] }))
      return
    }
    const { keptTokens: expected } = search.choice as { readonly keptTokens?: number }
    const kept = read(engine, request)
    total.kept += kept
    total.expected += expected ?? 0
    const sentAtMs = nowMs
    const slowness = load.slowness?.(e, nowMs) ?? 1
    const [slot] = engine.freeAtMs.map((freeAtMs, index) => ({ freeAtMs, index })).sort((a, b) => a.freeAtMs - b.freeAtMs)
    const startMs = Math.max(nowMs, slot?.freeAtMs ?? 0)
    const crowding = engine.busy / slots
    const firstMs = startMs + slowness * (FIRST_MS + LOADED_FIRST_MS * crowding + ((request.promptTokens ?? 0) - kept) / READ_TOKENS_PER_MS)
    const eventMs = slowness * EVENT_MS * (1 + crowding)
    const endMs = firstMs + eventMs * (request.outputTokens ?? 0) / TOKENS_PER_EVENT
    engine.freeAtMs[slot?.index ?? 0] = endMs
    engine.busy += 1
    at(firstMs, () => {
      firsts.push(nowMs - request.arrivedAtMs)
      if (nowMs - request.arrivedAtMs <= request.objectiveMs && eventMs <= GAP_MS) total.onTime += 1
      change(i, (state) => updateTargetLoad(state, upstream, (target) => observeOutcome(target, { failed: false, firstByteMs: nowMs - sentAtMs, nowMs })))
    })
    at(endMs, () => {
      engine.busy -= 1
      leave()
      change(i, (state) => ({ ...state, routeDurations: observeDuration(state.routeDurations, request.route, endMs - sentAtMs) }))
      if ((request.outputTokens ?? 0) > 0) change(i, (state) => updateTargetLoad(state, upstream, (target) => observeTokens(target, (endMs - firstMs) / (request.outputTokens ?? 1))))
    })
  }

  function arrive (count: number): void {
    const i = Math.floor(random() * load.instances)
    const received = testRequest(`r${count}`, { service: 'drafts', model: 'm', stream: true, arrivedAtMs: nowMs, objectiveMs: 300, ...load.request(count, random) })
    change(i, (state) => ({ ...state, requestRates: HashMap.set(state.requestRates, 'drafts m', incrementRate(Option.getOrUndefined(HashMap.get(state.requestRates, 'drafts m')), nowMs)) }))
    total.requests += 1
    send(i, { ...received, phase: 'waiting', softwareVersion: undefined, attempts: [], runs: 0, refusedBy: [], abandoned: false, waitingSinceMs: nowMs, respondingSinceMs: undefined, enduredFor: undefined, hasErrorResponse: false })
    if (nowMs < load.durationMs) at(nowMs - Math.log(1 - random()) * 1000 / load.arrivalsPerS, () => arrive(count + 1))
  }

  // An instance learns of the requests of the others a heartbeat after they were reported.
  function report (): void {
    const running = engines.map((engine) => engine.running)
    if (nowMs > 1000) ratios.push(Math.max(...running) * running.length / Math.max(1, running.reduce((sum, count) => sum + count, 0)))
    for (const i of states.keys()) {
      const counts = [...own[i] ?? []]
      at(nowMs + REPORT_MS * (1 + random()), () => change(i, (state) => engines.reduce((next, _, e) => updateTargetLoad(next, `e${e}`, (target) => ({ ...target, peerRequests: (running[e] ?? 0) - (counts[e] ?? 0) })), { ...state, peerLoadsAtMs: nowMs })))
    }
    if (nowMs < load.durationMs) at(nowMs + REPORT_MS, report)
  }

  for (const atMs of load.restartsAtMs ?? []) {
    at(atMs, () => {
      engines[0] = Object.assign(engines[0] as Engine, { kept: new Map(), incarnation: (engines[0]?.incarnation ?? 0) + 1 })
      targets = targetsNow()
      for (const i of states.keys()) change(i, (state) => ({ ...state, targets }))
    })
  }
  at(0, report)
  at(0, () => arrive(0))
  for (let next = events.pop(); next !== undefined; next = events.pop()) {
    nowMs = next.atMs
    next.run()
  }
  const sorted = Float64Array.from(firsts).sort()
  return {
    rejections: total.rejections,
    maxOverMean: ratios.reduce((sum, ratio) => sum + ratio, 0) / Math.max(1, ratios.length),
    onTime: total.onTime / total.requests,
    meanFirstMs: sorted.reduce((sum, ms) => sum + ms, 0) / sorted.length,
    p99FirstMs: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
    keptTokens: total.kept,
    expectedTokens: total.expected
  }
}
