/**
 * Measures the processor time that an event takes on an instance with a full queue: ticks that change nothing, responses that free a slot for
 * the next request, and arrivals, with and without customers.
 *
 * Usage: node --conditions=source --import=tsx benches/dispatch.ts
 *
 * @module
 */
import { newServingState, reduceServing, type ReceivedRequest, type RoutingTarget, type ServingEvent } from '@berylshed/serving'

const WAITING = 200
const UPSTREAMS = 40
const SLOTS = 8
const MODELS = 20
const EVENTS = 100
const ROUNDS = 5

function createTarget (i: number): RoutingTarget {
  const models = new Map(Array.from({ length: 4 }, (_, k) => [`m${(i + k * 5) % MODELS}`, { usable: true, adapters: new Set<string>() }]))
  return { upstream: `e${i}`, service: 'drafts', incarnation: 1, softwareVersion: 'v1', availabilityZone: 'a', slots: SLOTS, leaving: false, models }
}

function createRequest (n: number, nowMs: number, hasCustomers: boolean): ReceivedRequest {
  return {
    id: `r${n}`, callerId: `r${n}`, fingerprint: `f${n}`, promptParts: [], resumedAttempt: undefined, route: `k${n % 3}`, service: 'drafts', model: `m${n % MODELS}`, adapter: undefined, stream: true, retryable: true, maxRuns: 2, rank: n % 3, objectiveMs: 60_000 + n % 7, arrivedAtMs: nowMs, deadlineMs: nowMs + 600_000, promptTokens: 543, outputTokens: 300, ...hasCustomers ? { customer: `c${n % 16}` } : {}
  }
}

// Returns the median over rounds of the mean time of an event of each kind, in microseconds.
function measure (hasCustomers: boolean): Readonly<Record<string, number>> {
  const times: Record<string, number[]> = { tick: [], response: [], arrival: [] }
  for (let round = 0; round < ROUNDS; round += 1) {
    let state = newServingState({ availabilityZone: 'a', retryBudget: { ratio: 0.2, minRetries: 40, windowMs: 10_000 } })
    const sent: string[] = []
    let nowMs = 1000
    let n = 0
    const apply = (event: ServingEvent): void => {
      const reduced = reduceServing(state, event)
      state = reduced.state
      for (const effect of reduced.effects) if (effect.kind === 'send') sent.push(effect.request.id)
    }
    const arrive = (): void => apply({ kind: 'received', request: createRequest(n++, nowMs, hasCustomers), nowMs })
    const waiting = (): number => state.waiting.get('drafts')?.length ?? 0
    apply({ kind: 'targets_changed', targets: new Map(Array.from({ length: UPSTREAMS }, (_, i) => [`e${i}`, createTarget(i)])), loadEstimatesMs: new Map(), version: 1, nowMs })
    while (waiting() < WAITING) arrive()
    const spent: Record<string, number> = { tick: 0, response: 0, arrival: 0 }
    const timed = (kind: string, run: () => void): void => {
      const start = process.cpuUsage()
      run()
      const { user, system } = process.cpuUsage(start)
      spent[kind] = (spent[kind] ?? 0) + user + system
    }
    for (let i = 0; i < EVENTS; i += 1) {
      nowMs += 5
      timed('tick', () => apply({ kind: 'peer_loads_received', loads: [], instances: 2, nowMs }))
      const id = sent.shift() ?? ''
      timed('response', () => apply({ kind: 'response_ended', id, attempt: 1, status: 200, nowMs }))
      while (waiting() < WAITING) timed('arrival', arrive)
    }
    for (const [kind, us] of Object.entries(spent)) times[kind]?.push(us / EVENTS)
  }
  return Object.fromEntries(Object.entries(times).map(([kind, us]) => [kind, Math.round([...us].sort((a, b) => a - b)[Math.floor(ROUNDS / 2)] ?? 0)]))
}

measure(false)
console.table({ 'without customers': measure(false), 'with 16 customers': measure(true) })
