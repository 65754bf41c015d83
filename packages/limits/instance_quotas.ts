import type { Quota } from '@berylshed/fleet'
import { ALLOWANCE_LIFE_MS, type QuotaAllowance, type QuotaAnswer, type QuotaCounters, type QuotaReport } from './quota_message.ts'

const MS_PER_SECOND = 1000
/** Time after an answer for which a request may exceed the instance's share, in ms: two heartbeats and their delay, as a busy holder answers late. */
const OVERDRAFT_LIFE_MS = 450
/** Time in which the instance's equal share of the rate may be spent beyond its allowance between two answers, in ms: a tenth of 8 s of the quota. */
const OVERDRAFT_MS = 900
/** Part of the bucket of all instances that one of them may spend beyond its allowance between two answers, as callers may come to it at once. */
const OVERDRAFT_PART = 0.25
/** Time for which a request may use a turn of the fallback share, in ms. Few turns are open at once, also if one request takes many seconds of the share. */
const TURN_MS = 1000
/** Delay until a retry if the next answer is expected to bring a larger share, in ms: an urgent heartbeat and its answer. */
const NEXT_ANSWER_MS = 60
/** Number of instances that share quotas before the lease holder has told it: that of the largest deployment. */
const UNKNOWN_INSTANCES = 64
/** Units of a request before any has been seen, in requests and tokens; the deployments' requests hold about 1,000 tokens. */
const TYPICAL_UNITS = { requests: 1, tokens: 1000 }
/** Weight of the newest request in the average size. */
const SMOOTHING_FACTOR = 0.1
/** Time for which a customer without new requests is reported, in ms; a new holder learns the level of its bucket. */
const REPORTED_MS = 10_000
/** Part of the burst above which a bucket that was exhausted counts as available again. */
const AVAILABLE_PART = 0.5
/** Maximum number of changed levels that one answer reports. */
const MAX_CHANGES = 10

interface _Usage extends QuotaCounters {
  readonly acknowledged: number
  readonly usedAtMs: number
  readonly meanUnits: number
  /** Units of the fallback share; a request is admitted if it is not negative. */
  readonly fallback: { readonly units: number, readonly updatedAtMs: number } | undefined
}

/** What an instance knows of the quotas, and what it has charged. */
export interface InstanceQuotas {
  readonly quotas: ReadonlyMap<string, Quota>
  /** Number between 0 and 1 that differs between instances. */
  readonly phase: number
  readonly usage: ReadonlyMap<string, _Usage>
  /** Allowances of the last answer. */
  readonly allowances: ReadonlyMap<string, QuotaAllowance>
  readonly isComplete: boolean
  /** Local time of the last answer, in ms; -Infinity if there is none that is valid. */
  readonly answeredAtMs: number
  /** Local time of the last answer, valid or not, in ms. */
  readonly acknowledgedAtMs: number
  /** Units charged, less those given back, that the report without an answer names, by customer. */
  readonly reported: ReadonlyMap<string, number>
  /** The same of the report that was answered last. */
  readonly answered: ReadonlyMap<string, number>
  /** Whether a report is wanted before the next one is due, as an allowance runs short. */
  readonly isReportDue: boolean
  /** Whether the end of the allowances has been noted. */
  readonly isFallback: boolean
  /** Customers whose bucket was exhausted by the last answers. */
  readonly exhausted: ReadonlySet<string>
}

/**
 * Returns the state of an instance without quotas.
 *
 * @param options A number between 0 and 1 that differs between instances.
 * @returns The state.
 *
 * @example
 * ```ts
 * const quotas = newInstanceQuotas({ phase: 0.3 })
 * ```
 */
export function newInstanceQuotas ({ phase }: { readonly phase: number }): InstanceQuotas {
  return { quotas: new Map(), phase, usage: new Map(), allowances: new Map(), isComplete: false, answeredAtMs: -Infinity, acknowledgedAtMs: -Infinity, reported: new Map(), answered: new Map(), isReportDue: false, isFallback: false, exhausted: new Set() }
}

/** A request that is charged. */
export interface ChargedRequest {
  readonly customer: string
  readonly units: number
  /** Number of instances that share the quotas. */
  readonly instances: number
  readonly nowMs: number
}

/** Why a request is over the quota. */
export type QuotaCause =
  /** The bucket of all instances together is empty. */
  | 'quota'
  /** The instance's share is used up, and the next answer is expected to bring more. */
  | 'share'
  /** The instance has no valid allowance, and its fallback share is used up. */
  | 'fallback'

/** Whether a request is within its customer's quota. */
export type QuotaVerdict =
  | { readonly kind: 'admitted', readonly chargedUnits: number }
  | { readonly kind: 'refused', readonly cause: QuotaCause, readonly retryAfterMs: number, readonly unitsLeft: number, readonly allowanceAgeMs: number }

/** A verdict and the state after it. */
export interface QuotaDecision {
  readonly quotas: InstanceQuotas
  readonly verdict: QuotaVerdict
}

/**
 * Charges a request against its customer's quota, or refuses it.
 *
 * A request larger than the burst is admitted by a full bucket and leaves it in debt.
 *
 * @param quotas The state.
 * @param request The request.
 * @returns The verdict and the next state.
 *
 * @example
 * ```ts
 * const { verdict } = chargeRequest(quotas, { customer: 'c', units: 1000, instances: 4, nowMs })
 * ```
 */
export function chargeRequest (quotas: InstanceQuotas, request: ChargedRequest): QuotaDecision {
  const quota = quotas.quotas.get(request.customer)
  if (quota === undefined || quota.perS <= 0 || request.units <= 0) return { quotas, verdict: { kind: 'admitted', chargedUnits: 0 } }
  const before = _usageOf(quotas, request.customer, quota)
  const usage: _Usage = {
    ...before, requested: before.requested + request.units, usedAtMs: request.nowMs, meanUnits: before.meanUnits + (request.units - before.meanUnits) * SMOOTHING_FACTOR
  }
  const allowance = _allowance(quotas, quota, request)
  return allowance === undefined ? _chargeFallback(quotas, usage, { quota, request }) : _chargeAllowance(quotas, usage, { quota, request, allowance })
}

function _usageOf (quotas: InstanceQuotas, customer: string, quota: Quota): _Usage {
  return quotas.usage.get(customer) ?? { spent: 0, refunded: 0, requested: 0, acknowledged: 0, usedAtMs: -Infinity, meanUnits: Math.min(quota.burst, TYPICAL_UNITS[quota.unit]), fallback: undefined }
}

// Buckets that a complete answer does not name are full.
function _allowance (quotas: InstanceQuotas, quota: Quota, { customer, instances, nowMs }: ChargedRequest): QuotaAllowance | undefined {
  if (nowMs - quotas.answeredAtMs > ALLOWANCE_LIFE_MS) return undefined
  const named = quotas.allowances.get(customer)
  if (named !== undefined || !quotas.isComplete) return named
  const equal = 1 / Math.max(1, instances)
  return { customer, level: quota.burst, units: quota.burst * equal, perS: quota.perS * equal, othersPerS: 0 }
}

interface _Charge {
  readonly quota: Quota
  readonly request: ChargedRequest
}

function _chargeAllowance (quotas: InstanceQuotas, usage: _Usage, { quota, request, allowance }: _Charge & { readonly allowance: QuotaAllowance }): QuotaDecision {
  const { customer, units, nowMs, instances } = request
  const ageMs = Math.max(0, nowMs - quotas.answeredAtMs)
  const ageS = ageMs / MS_PER_SECOND
  const spent = usage.spent - usage.refunded - (quotas.answered.get(customer) ?? 0)
  // The lease holder may not know of a lower limit yet.
  const level = Math.min(quota.burst, Math.min(quota.burst, allowance.level) + (quota.perS - allowance.othersPerS) * ageS - spent)
  const share = Math.min(quota.burst, allowance.units) + Math.min(allowance.perS, quota.perS) * ageS - spent
  const needed = Math.min(units, quota.burst)
  const refused = (cause: QuotaCause, retryAfterMs: number): QuotaDecision => ({
    quotas: { ..._put(quotas, customer, usage), isReportDue: quotas.isReportDue || cause === 'share' },
    verdict: { kind: 'refused', cause, retryAfterMs, unitsLeft: cause === 'quota' ? level : share, allowanceAgeMs: ageMs }
  })
  if (level < needed) return refused('quota', (needed - level) / quota.perS * MS_PER_SECOND)
  // Shares of a small quota are smaller than one request, so the first one after an answer may exceed its share.
  const overdraft = units - share
  const maxOverdraft = Math.max(quota.perS / Math.max(1, instances) * OVERDRAFT_MS / MS_PER_SECOND, level * OVERDRAFT_PART)
  const mayOverdraw = ageMs <= OVERDRAFT_LIFE_MS && (spent <= 0 || overdraft <= maxOverdraft)
  if (share < needed && !mayOverdraw) return refused('share', NEXT_ANSWER_MS)
  const isShort = spent + units > allowance.units / 2
  return {
    quotas: { ..._put(quotas, customer, { ...usage, spent: usage.spent + units }), isReportDue: quotas.isReportDue || isShort },
    verdict: { kind: 'admitted', chargedUnits: units }
  }
}

// A request that takes many seconds of the instance's share is admitted at the instance's turn; the turns of all instances are spread over that time.
function _chargeFallback (quotas: InstanceQuotas, usage: _Usage, { quota, request }: _Charge): QuotaDecision {
  const { customer, units, nowMs } = request
  const instances = Math.max(1, request.instances, quotas.acknowledgedAtMs === -Infinity ? UNKNOWN_INSTANCES : 1)
  const perS = quota.perS / instances
  const turnUnits = perS * TURN_MS / MS_PER_SECOND
  const sinceMs = Math.max(quotas.answeredAtMs + ALLOWANCE_LIFE_MS, usage.fallback?.updatedAtMs ?? -Infinity)
  const before = usage.fallback !== undefined && usage.fallback.updatedAtMs >= quotas.answeredAtMs + ALLOWANCE_LIFE_MS ? usage.fallback.units : -quotas.phase * usage.meanUnits
  const gained = before + (sinceMs === -Infinity ? 0 : Math.max(0, nowMs - sinceMs)) / MS_PER_SECOND * perS
  const left = _wrapTurns(gained, { turnUnits, cycleUnits: usage.meanUnits, maxUnits: quota.burst / instances })
  const allowanceAgeMs = nowMs - quotas.acknowledgedAtMs
  if (left < 0) {
    const fallback = { units: left, updatedAtMs: nowMs }
    return { quotas: _put(quotas, customer, { ...usage, fallback }), verdict: { kind: 'refused', cause: 'fallback', retryAfterMs: -left / perS * MS_PER_SECOND, unitsLeft: left, allowanceAgeMs } }
  }
  const fallback = { units: left - units, updatedAtMs: nowMs }
  return { quotas: _put(quotas, customer, { ...usage, spent: usage.spent + units, fallback }), verdict: { kind: 'admitted', chargedUnits: units } }
}

interface _Turns {
  /** Units gained during a turn. */
  readonly turnUnits: number
  /** Units gained from one turn to the next. */
  readonly cycleUnits: number
  readonly maxUnits: number
}

// A turn that was not used lapses, as otherwise all instances would collect one and use them at once.
function _wrapTurns (units: number, { turnUnits, cycleUnits, maxUnits }: _Turns): number {
  if (cycleUnits <= turnUnits) return Math.min(units, maxUnits)
  const start = turnUnits - cycleUnits
  return units < turnUnits ? units : start + (units - start) % cycleUnits
}

function _put (quotas: InstanceQuotas, customer: string, usage: _Usage): InstanceQuotas {
  return { ...quotas, usage: new Map(quotas.usage).set(customer, usage) }
}

/**
 * Gives back the units of a request that certainly did not run.
 *
 * @param quotas The state.
 * @param refund The customer and the units that the request was charged.
 * @returns The next state.
 *
 * @example
 * ```ts
 * const next = refundRequest(quotas, { customer: 'c', units: 1000 })
 * ```
 */
export function refundRequest (quotas: InstanceQuotas, refund: { readonly customer: string, readonly units: number }): InstanceQuotas {
  const usage = quotas.usage.get(refund.customer)
  if (usage === undefined || refund.units <= 0) return quotas
  const fallback = usage.fallback === undefined ? undefined : { ...usage.fallback, units: usage.fallback.units + refund.units }
  return _put(quotas, refund.customer, { ...usage, refunded: usage.refunded + refund.units, fallback })
}

/** A report and the state after it. */
export interface SentReport {
  readonly quotas: InstanceQuotas
  /** Undefined if there is nothing to report. */
  readonly report: QuotaReport | undefined
}

/**
 * Builds the report of an instance.
 *
 * @param quotas The state.
 * @param nowMs The local time in ms.
 * @returns The report, and the state in which its answer is expected.
 *
 * @example
 * ```ts
 * const { report } = quotaReport(quotas, nowMs)
 * ```
 */
export function quotaReport (quotas: InstanceQuotas, nowMs: number): SentReport {
  const reported = new Map([...quotas.usage].map(([customer, { spent, refunded }]) => [customer, spent - refunded] as const))
  const next = { ...quotas, reported, isReportDue: false }
  const usage = [...quotas.usage].flatMap(([customer, { spent, refunded, requested, acknowledged, usedAtMs }]) => {
    if (spent - refunded === acknowledged && nowMs - usedAtMs > REPORTED_MS) return []
    return [{ customer, spent, refunded, requested, acknowledged, level: _reportedLevel(quotas, customer, nowMs) }]
  })
  if (usage.length === 0) return { quotas: next, report: undefined }
  return { quotas: next, report: { usage, acknowledgedAgoMs: nowMs - quotas.acknowledgedAtMs } }
}

// What was spent since the answer is not subtracted, as each instance reports what it spent itself.
function _reportedLevel (quotas: InstanceQuotas, customer: string, nowMs: number): number | undefined {
  const [quota, allowance] = [quotas.quotas.get(customer), quotas.allowances.get(customer)]
  if (quota === undefined || allowance === undefined) return undefined
  return Math.min(quota.burst, allowance.level + Math.max(0, nowMs - quotas.acknowledgedAtMs) / MS_PER_SECOND * quota.perS)
}

/** A change of the bucket of all instances together. */
export interface LevelChange {
  readonly customer: string
  readonly change: 'exhausted' | 'available'
  readonly level: number
}

/** The state after an answer, and what changed with it. */
export interface AppliedAnswer {
  readonly quotas: InstanceQuotas
  readonly changes: readonly LevelChange[]
}

/**
 * Applies the answer to the last report.
 *
 * @param quotas The state.
 * @param answer The answer.
 * @param nowMs The local time in ms.
 * @returns The next state, and the customers whose bucket became empty or available again.
 *
 * @example
 * ```ts
 * const { quotas } = applyQuotaAnswer(before, answer, nowMs)
 * ```
 */
export function applyQuotaAnswer (quotas: InstanceQuotas, answer: QuotaAnswer, nowMs: number): AppliedAnswer {
  const usage = new Map([...quotas.usage].map(([customer, known]) => [customer, { ...known, acknowledged: quotas.reported.get(customer) ?? known.acknowledged }] as const))
  const allowances = new Map(answer.allowances.map((allowance) => [allowance.customer, allowance] as const))
  const exhausted = new Set<string>()
  const changes: LevelChange[] = []
  for (const customer of new Set([...quotas.exhausted, ...allowances.keys()])) {
    const quota = quotas.quotas.get(customer)
    if (quota === undefined) continue
    const level = allowances.get(customer)?.level ?? quota.burst
    const wasExhausted = quotas.exhausted.has(customer)
    const isExhausted = level <= 0 || (wasExhausted && level < AVAILABLE_PART * quota.burst)
    if (isExhausted) exhausted.add(customer)
    if (isExhausted !== wasExhausted) changes.push({ customer, change: isExhausted ? 'exhausted' : 'available', level })
  }
  const next = { ...quotas, usage, allowances, isComplete: answer.isComplete, answeredAtMs: nowMs, acknowledgedAtMs: nowMs, answered: quotas.reported, isFallback: false, exhausted }
  return { quotas: next, changes: changes.slice(0, MAX_CHANGES) }
}

/**
 * Ends the allowances, as the process may have been suspended since they arrived.
 *
 * @param quotas The state.
 * @param nowMs The local time in ms.
 * @returns The state, in which the fallback shares apply until the next answer.
 *
 * @example
 * ```ts
 * const next = expireAllowances(quotas, nowMs)
 * ```
 */
export function expireAllowances (quotas: InstanceQuotas, nowMs: number): InstanceQuotas {
  return { ...quotas, answeredAtMs: Math.min(quotas.answeredAtMs, nowMs - ALLOWANCE_LIFE_MS - 1) }
}

/**
 * Applies the quotas of a configuration.
 *
 * Counters outlast the removal of a customer, as the lease holder relies on their never going back.
 *
 * @param quotas The state.
 * @param configured The quotas by customer.
 * @returns The next state.
 *
 * @example
 * ```ts
 * const next = configureQuotas(quotas, new Map([['c', { unit: 'requests', perS: 5, burst: 5, plainTokens: 0 }]]))
 * ```
 */
export function configureQuotas (quotas: InstanceQuotas, configured: ReadonlyMap<string, Quota>): InstanceQuotas {
  return { ...quotas, quotas: configured }
}
