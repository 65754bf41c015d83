import type { Quota } from '@berylshed/fleet'
import { applyQuotaAnswer, chargeRequest, configureQuotas, expireAllowances, newInstanceQuotas, quotaReport, type InstanceQuotas } from './instance_quotas.ts'
import { chargeReport, maintainLedger, newQuotaLedger, quotaAnswer, type QuotaLedger } from './quota_ledger.ts'
import type { QuotaAnswer, QuotaReport } from './quota_message.ts'

const STEP_MS = 5
const HEARTBEAT_MS = 200
const URGENT_MS = 40
/** Time after which a heartbeat without an answer is given up, in ms. */
const TIMEOUT_MS = 400
/** Span over which the bound is checked, in ms. */
export const WINDOW_MS = 8000

/** A request at an instance. */
export interface Arrival {
  readonly atMs: number
  readonly instance: number
  readonly units: number
}

/** A fault, from its start until its end. */
export interface Fault {
  /** `cut`: no messages pass; `frozen`: the process does nothing; `restarted`: the process starts anew at `fromMs`; `elected`: the instance is the holder from `fromMs`. */
  readonly kind: 'cut' | 'frozen' | 'restarted' | 'elected'
  readonly instance: number
  readonly fromMs: number
  readonly untilMs: number
}

/** A course of events for one customer. */
export interface Course {
  readonly instances: number
  readonly quota: Quota
  /** Quota from a time on, if it changes. */
  readonly changed?: { readonly atMs: number, readonly quota: Quota }
  readonly arrivals: readonly Arrival[]
  readonly faults?: readonly Fault[]
  /** Parts of the messages that are lost, and that arrive twice with the second up to a second late. */
  readonly lost?: number
  readonly doubled?: number
  readonly maxDelayMs?: number
  readonly random: () => number
}

/** A request and whether it was admitted. */
export interface Outcome extends Arrival {
  readonly admitted: boolean
  readonly cause: string
}

interface _Instance {
  quotas: InstanceQuotas
  incarnation: string
  sentAtMs: number
  inFlight: number
  tickedAtMs: number
}

interface _Message {
  readonly atMs: number
  deliver (nowMs: number): void
}

/** Plays a course of events, and returns the outcome of each request. */
export function play (course: Course): readonly Outcome[] {
  const { instances: count, random, faults = [], lost = 0, doubled = 0, maxDelayMs = 10 } = course
  const quotasAt = (nowMs: number): ReadonlyMap<string, Quota> => new Map([['c', course.changed !== undefined && nowMs >= course.changed.atMs ? course.changed.quota : course.quota]])
  const start = (incarnation: string, nowMs: number): _Instance => ({ quotas: configureQuotas(newInstanceQuotas({ phase: random() }), quotasAt(nowMs)), incarnation, sentAtMs: nowMs - random() * HEARTBEAT_MS, inFlight: -Infinity, tickedAtMs: nowMs })
  const nodes = Array.from({ length: count }, (_, i) => start(`p${i}`, 0))
  let holder = 0
  let ledger: QuotaLedger = newQuotaLedger({ quotas: quotasAt(0), isFirst: true, nowMs: 0 })
  let messages: _Message[] = []
  const outcomes: Outcome[] = []
  const isFaulty = (kind: Fault['kind'], instance: number, nowMs: number): boolean => faults.some((fault) => fault.kind === kind && fault.instance === instance && fault.fromMs <= nowMs && nowMs < fault.untilMs)
  const send = (nowMs: number, deliver: (atMs: number) => void): void => {
    if (random() < lost) return
    messages.push({ atMs: nowMs + 1 + random() * maxDelayMs, deliver })
    if (random() < doubled) messages.push({ atMs: nowMs + random() * 1000, deliver })
  }
  const charge = (i: number, incarnation: string, report: QuotaReport | undefined, nowMs: number): QuotaAnswer => {
    const origin = { instance: `i${i}`, incarnation, instances: count, nowMs }
    ledger = chargeReport(ledger, report ?? { usage: [], acknowledgedAgoMs: Infinity }, origin)
    return quotaAnswer(ledger, origin)
  }
  const heartbeat = (i: number, node: _Instance, nowMs: number): void => {
    const { quotas, report } = quotaReport(node.quotas, nowMs)
    node.quotas = quotas
    node.sentAtMs = nowMs
    if (i === holder) {
      ledger = maintainLedger(ledger, { quotas: quotasAt(nowMs), nowMs })
      node.quotas = applyQuotaAnswer(node.quotas, charge(i, node.incarnation, report, nowMs), nowMs).quotas
      return
    }
    node.inFlight = nowMs
    const { incarnation } = node
    const to = holder
    send(nowMs, (atMs) => {
      if (to !== holder || isFaulty('cut', i, atMs) || isFaulty('cut', holder, atMs) || isFaulty('frozen', holder, atMs)) return
      const answer = charge(i, incarnation, report, atMs)
      send(atMs, (answeredAtMs) => {
        if (isFaulty('cut', i, answeredAtMs) || isFaulty('frozen', i, answeredAtMs) || node.incarnation !== incarnation || node.inFlight !== nowMs) return
        node.inFlight = -Infinity
        node.quotas = applyQuotaAnswer(node.quotas, answer, answeredAtMs).quotas
      })
    })
  }
  const arrivals = [...course.arrivals].sort((a, b) => a.atMs - b.atMs)
  const endMs = arrivals.at(-1)?.atMs ?? 0
  let next = 0
  for (let nowMs = 0; nowMs <= endMs + STEP_MS; nowMs += STEP_MS) {
    for (const fault of faults) {
      if (fault.fromMs < nowMs - STEP_MS || fault.fromMs >= nowMs) continue
      if (fault.kind === 'restarted') nodes[fault.instance] = start(`p${fault.instance} ${nowMs}`, nowMs)
      if (fault.kind !== 'elected' || fault.instance === holder) continue
      holder = fault.instance
      ledger = newQuotaLedger({ quotas: quotasAt(nowMs), isFirst: false, nowMs })
    }
    const due = messages.filter(({ atMs }) => atMs <= nowMs)
    messages = messages.filter(({ atMs }) => atMs > nowMs)
    for (const { deliver } of due.sort((a, b) => a.atMs - b.atMs)) deliver(nowMs)
    for (const [i, node] of nodes.entries()) {
      if (isFaulty('frozen', i, nowMs)) continue
      node.quotas = configureQuotas(node.quotas, quotasAt(nowMs))
      if (nowMs - node.tickedAtMs > 1000) node.quotas = expireAllowances(node.quotas, nowMs)
      node.tickedAtMs = nowMs
      if (node.inFlight !== -Infinity && nowMs - node.inFlight < TIMEOUT_MS) continue
      if (nowMs - node.sentAtMs >= (node.quotas.isReportDue ? Math.max(URGENT_MS, count) : HEARTBEAT_MS)) heartbeat(i, node, nowMs)
    }
    for (; next < arrivals.length && (arrivals[next]?.atMs ?? Infinity) <= nowMs; next += 1) {
      const arrival = arrivals[next]
      const node = nodes[arrival?.instance ?? 0]
      if (arrival === undefined || node === undefined || isFaulty('frozen', arrival.instance, nowMs)) continue
      const { quotas, verdict } = chargeRequest(node.quotas, { customer: 'c', units: arrival.units, instances: count, nowMs })
      node.quotas = quotas
      outcomes.push({ ...arrival, atMs: nowMs, admitted: verdict.kind === 'admitted', cause: verdict.kind === 'refused' ? verdict.cause : '' })
    }
  }
  return outcomes
}

/** Returns the largest number of units admitted within 8 s. */
export function largestWindow (outcomes: readonly Outcome[]): number {
  const admitted = outcomes.filter((outcome) => outcome.admitted)
  let [first, sum, largest] = [0, 0, 0]
  for (const { atMs, units } of admitted) {
    sum += units
    for (; atMs - (admitted[first]?.atMs ?? atMs) > WINDOW_MS; first += 1) sum -= admitted[first]?.units ?? 0
    largest = Math.max(largest, sum)
  }
  return largest
}

/** Returns the number of units that may run within 8 s: a tenth more than the quota, and 7,500. */
export function boundOf ({ perS, burst }: Quota): number {
  return 1.1 * (WINDOW_MS / 1000 * perS + burst) + 7500
}

/** Admits requests by one bucket with a part of the quota, and returns the units that it admits and those among them that were refused. */
export function missedUnits (outcomes: readonly Outcome[], quota: Quota, part: number): { readonly within: number, readonly admitted: number } {
  let [tokens, atMs, within, admitted] = [quota.burst * part, 0, 0, 0]
  for (const outcome of outcomes) {
    tokens = Math.min(quota.burst * part, tokens + (outcome.atMs - atMs) / 1000 * quota.perS * part)
    atMs = outcome.atMs
    if (outcome.admitted) admitted += outcome.units
    if (tokens < Math.min(outcome.units, quota.burst * part)) continue
    tokens -= outcome.units
    within += outcome.units
  }
  return { within, admitted }
}

/** Options of {@linkcode drawArrivals}. */
export interface ArrivalOptions {
  readonly perS: number
  readonly fromMs: number
  readonly untilMs: number
  readonly minUnits: number
  readonly maxUnits: number
  readonly instanceAt: (atMs: number) => number
  readonly random: () => number
}

/** Draws requests at random times with a mean rate in units per second. */
export function drawArrivals (options: ArrivalOptions): readonly Arrival[] {
  const { random, minUnits, maxUnits } = options
  const perMs = options.perS / ((minUnits + maxUnits) / 2) / 1000
  const arrivals: Arrival[] = []
  for (let atMs = options.fromMs; ;) {
    atMs -= Math.log(1 - random()) / perMs
    if (atMs >= options.untilMs) return arrivals
    arrivals.push({ atMs, instance: options.instanceAt(atMs), units: Math.round(minUnits + random() * (maxUnits - minUnits)) })
  }
}
