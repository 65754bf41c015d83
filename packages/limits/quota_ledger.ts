import type { Quota } from '@berylshed/fleet'
import type { QuotaAllowance, QuotaAnswer, QuotaReport, QuotaUsage } from './quota_message.ts'
import { refillBucket, type TokenBucket } from './token_bucket.ts'

const MS_PER_SECOND = 1000
/** Time over which spending is averaged, in ms: five heartbeats. */
const SPENDING_WINDOW_MS = 1000
/** Time over which demand is averaged, in ms: two heartbeats, so that shares follow callers that move to another instance. */
const DEMAND_WINDOW_MS = 400
/** Part of a quota that is divided equally, so that an instance with new callers does not start from nothing. */
const EQUAL_PART = 0.1
/** Span over which a quota is enforced, in s; an older overdraft no longer counts. */
const QUOTA_WINDOW_S = 8
/** Time without a report after which an instance counts as out of contact, in ms: a heartbeat that is given up for its silence, and the next one. */
const CONTACT_MS = 1000
/** Time for which units are reserved for an instance out of contact, in ms; one that was replaced is gone by then. */
const RESERVATION_MS = 30_000
/** Time within which a new holder lowers its buckets to the levels that instances report, in ms: as long as instances count without a report. */
const START_MS = 4000
/** Maximum number of customers without traffic at an instance that an answer to it names, which keeps answers below 10 kB. */
const MAX_OTHERS = 64
/** Rate below which a customer with a full bucket is left out of answers, as a part of its quota. */
const IDLE_PART = 0.001

interface _Rate {
  readonly perS: number
  readonly atMs: number
  readonly windowMs: number
}

interface _Usage {
  readonly spent: number
  readonly refunded: number
  readonly requested: number
  readonly demand: _Rate
  readonly spending: _Rate
}

interface _Process {
  readonly instance: string
  readonly seenAtMs: number
  /** Whether it has announced that it ends. */
  readonly isLeaving: boolean
  readonly usage: ReadonlyMap<string, _Usage>
}

interface _Account {
  readonly bucket: TokenBucket
  readonly demand: _Rate
  readonly spending: _Rate
  /** Units charged before an instance reported the level that the former holder knew; undefined once one has. */
  readonly chargedBeforeLevel: number | undefined
}

/** The lease holder's record of what all instances spend. */
export interface QuotaLedger {
  /** Local time at which the ledger began, in ms. */
  readonly startedAtMs: number
  /** Whether buckets begin full, as no instance can have spent before. */
  readonly startsFull: boolean
  readonly quotas: ReadonlyMap<string, Quota>
  readonly accounts: ReadonlyMap<string, _Account>
  /** Processes by incarnation. */
  readonly processes: ReadonlyMap<string, _Process>
  /** Part of each rate that is not reserved for instances out of contact. */
  readonly ratePart: number
}

/** Options of {@linkcode newQuotaLedger}. */
export interface LedgerOptions {
  readonly quotas: ReadonlyMap<string, Quota>
  /** Whether the lease is the first one of the deployment. */
  readonly isFirst: boolean
  readonly nowMs: number
}

/**
 * Creates the ledger of an instance that has become the lease holder.
 *
 * @param options The quotas, whether the lease is the first one, and the local time in ms.
 * @returns The ledger; its buckets are full if the lease is the first one, and otherwise empty.
 *
 * @example
 * ```ts
 * const ledger = newQuotaLedger({ quotas, isFirst: false, nowMs: performance.now() })
 * ```
 */
export function newQuotaLedger ({ quotas, isFirst, nowMs }: LedgerOptions): QuotaLedger {
  return { startedAtMs: nowMs, startsFull: isFirst, quotas, accounts: new Map(), processes: new Map(), ratePart: 1 }
}

/** The process that sends a report, and when the report arrives. */
export interface ReportOrigin {
  readonly instance: string
  readonly incarnation: string
  /** Number of instances that share the quotas. */
  readonly instances: number
  /** Whether the process is about to end. */
  readonly isLeaving?: boolean
  readonly nowMs: number
}

/**
 * Charges what a process has spent since its last report.
 *
 * A process that the ledger does not know is charged for what no earlier holder has acknowledged. What an instance out of contact spent
 * was reserved for it meanwhile, and is charged only beyond that.
 *
 * @param ledger The ledger.
 * @param report The report.
 * @param origin The process and the local time in ms.
 * @returns The ledger afterwards.
 *
 * @example
 * ```ts
 * const next = chargeReport(ledger, report, { instance: 'i1', incarnation: 'p1', instances: 4, nowMs })
 * ```
 */
export function chargeReport (ledger: QuotaLedger, report: QuotaReport, origin: ReportOrigin): QuotaLedger {
  const { incarnation, instance, nowMs } = origin
  const known = ledger.processes.get(incarnation)
  const accounts = new Map(ledger.accounts)
  const usage = new Map(known?.usage)
  for (const reported of report.usage) {
    const quota = ledger.quotas.get(reported.customer)
    if (quota === undefined) continue
    const before = usage.get(reported.customer)
    const charged = _charge(before, reported, nowMs)
    usage.set(reported.customer, charged.usage)
    const reserved = _reservedUnits(quota, report.acknowledgedAgoMs, origin)
    const units = Math.max(Math.min(0, charged.units), charged.units - reserved)
    const account = _account(ledger, accounts, { customer: reported.customer, quota, nowMs })
    const isStarting = before === undefined && !ledger.startsFull && nowMs - ledger.startedAtMs < START_MS
    const started = isStarting ? _startFrom(account, reported.level) : account
    const tokens = Math.max(-QUOTA_WINDOW_S * quota.perS, started.bucket.tokens - units)
    accounts.set(reported.customer, {
      chargedBeforeLevel: started.chargedBeforeLevel === undefined ? undefined : started.chargedBeforeLevel + units,
      bucket: { ...started.bucket, tokens: Math.min(quota.burst, tokens) },
      demand: _add(account.demand, charged.requested, nowMs),
      spending: _add(account.spending, Math.max(0, charged.units), nowMs)
    })
  }
  const isLeaving = known?.isLeaving === true || origin.isLeaving === true
  const processes = new Map(ledger.processes).set(incarnation, { instance, seenAtMs: nowMs, isLeaving, usage })
  return { ...ledger, accounts, processes }
}

// The first level that is reported replaces the empty bucket of a new ledger. Later ones can only lower it, as they may be older.
function _startFrom (account: _Account, level: number | undefined): _Account {
  if (level === undefined) return account
  const { bucket, chargedBeforeLevel } = account
  const tokens = chargedBeforeLevel === undefined ? Math.min(bucket.tokens, level) : level - chargedBeforeLevel
  return { ...account, bucket: { ...bucket, tokens }, chargedBeforeLevel: undefined }
}

interface _Charge {
  readonly usage: _Usage
  readonly units: number
  readonly requested: number
}

function _charge (before: _Usage | undefined, reported: QuotaUsage, nowMs: number): _Charge {
  const spent = Math.max(before?.spent ?? 0, reported.spent)
  const refunded = Math.max(before?.refunded ?? 0, reported.refunded)
  const requested = Math.max(before?.requested ?? 0, reported.requested)
  const charged = before === undefined ? Math.min(reported.acknowledged, spent - refunded) : before.spent - before.refunded
  const units = spent - refunded - charged
  // The demand before the first report is not known by its time; what was not acknowledged is recent.
  const demanded = before === undefined ? Math.max(0, units) : requested - before.requested
  return {
    usage: { spent, refunded, requested, demand: _add(before?.demand ?? _noDemand(nowMs), demanded, nowMs), spending: _add(before?.spending ?? _noSpending(nowMs), Math.max(0, units), nowMs) },
    units,
    requested: demanded
  }
}

function _reservedUnits (quota: Quota, acknowledgedAgoMs: number, { instances }: ReportOrigin): number {
  const outOfContactMs = Math.min(RESERVATION_MS, acknowledgedAgoMs) - CONTACT_MS
  return acknowledgedAgoMs === Infinity ? 0 : Math.max(0, outOfContactMs) / MS_PER_SECOND * quota.perS / Math.max(1, instances)
}

function _account (ledger: QuotaLedger, accounts: ReadonlyMap<string, _Account>, options: { readonly customer: string, readonly quota: Quota, readonly nowMs: number }): _Account {
  const { customer, quota, nowMs } = options
  const { startedAtMs } = ledger
  const account = accounts.get(customer) ?? { bucket: { tokens: ledger.startsFull ? quota.burst : 0, updatedAtMs: startedAtMs }, demand: _noDemand(nowMs), spending: _noSpending(nowMs), chargedBeforeLevel: 0 }
  return { ...account, bucket: refillBucket(account.bucket, { perSecond: quota.perS * ledger.ratePart, burst: quota.burst * ledger.ratePart }, { nowMs }) }
}

function _add (rate: _Rate, units: number, nowMs: number): _Rate {
  return { ...rate, perS: _perS(rate, nowMs) + units * MS_PER_SECOND / rate.windowMs, atMs: Math.max(rate.atMs, nowMs) }
}

function _perS (rate: _Rate, nowMs: number): number {
  return rate.perS * Math.exp(-Math.max(0, nowMs - rate.atMs) / rate.windowMs)
}

function _noDemand (nowMs: number): _Rate {
  return { perS: 0, atMs: nowMs, windowMs: DEMAND_WINDOW_MS }
}

function _noSpending (nowMs: number): _Rate {
  return { perS: 0, atMs: nowMs, windowMs: SPENDING_WINDOW_MS }
}

/**
 * Applies a change of the quotas, and forgets processes that are gone.
 *
 * @param ledger The ledger.
 * @param options The quotas in force and the local time in ms.
 * @returns The ledger with at most the new burst in each bucket.
 *
 * @example
 * ```ts
 * const next = maintainLedger(ledger, { quotas, nowMs })
 * ```
 */
export function maintainLedger (ledger: QuotaLedger, { quotas, nowMs }: { readonly quotas: ReadonlyMap<string, Quota>, readonly nowMs: number }): QuotaLedger {
  // Settles the buckets at the rates in force so far.
  const settled = new Map([...ledger.accounts].flatMap(([customer]) => {
    const [before, after] = [ledger.quotas.get(customer), quotas.get(customer)]
    if (before === undefined || after === undefined) return []
    const account = _account(ledger, ledger.accounts, { customer, quota: before, nowMs })
    return [[customer, { ...account, bucket: { ...account.bucket, tokens: Math.min(after.burst, account.bucket.tokens) } }] as const]
  }))
  // A process that was replaced stays known for a while, as late messages of it may still arrive.
  const processes = new Map([...ledger.processes].filter(([, { seenAtMs }]) => nowMs - seenAtMs < RESERVATION_MS))
  const present = new Set([...processes.values()].filter(({ seenAtMs }) => nowMs - seenAtMs < CONTACT_MS).map(({ instance }) => instance))
  const missing = new Set([...processes.values()].filter(({ instance, isLeaving }) => !isLeaving && !present.has(instance)).map(({ instance }) => instance)).size
  const ratePart = missing === 0 ? 1 : Math.max(1, present.size) / (present.size + missing)
  return { ...ledger, quotas, accounts: settled, processes, ratePart }
}

/**
 * Returns what a process may spend until the next answer.
 *
 * @param ledger The ledger, with the process's report charged.
 * @param origin The process and the local time in ms.
 * @returns The allowances.
 *
 * @example
 * ```ts
 * const { allowances } = quotaAnswer(ledger, { instance: 'i1', incarnation: 'p1', instances: 4, nowMs })
 * ```
 */
export function quotaAnswer (ledger: QuotaLedger, origin: ReportOrigin): QuotaAnswer {
  const own = ledger.processes.get(origin.incarnation)?.usage ?? new Map<string, _Usage>()
  // Buckets that no one has reported are not known to be full if the ledger is new, nor are they if instances out of contact draw on them.
  const isStarting = !ledger.startsFull && origin.nowMs - ledger.startedAtMs < START_MS
  const isWhole = !isStarting && ledger.ratePart === 1
  const customers = isWhole ? [...ledger.accounts.keys()] : [...ledger.quotas.keys()]
  const used = customers.flatMap((customer) => {
    const quota = ledger.quotas.get(customer)
    if (quota === undefined) return []
    const account = _account(ledger, ledger.accounts, { customer, quota, nowMs: origin.nowMs })
    const isIdle = ledger.ratePart === 1 && account.bucket.tokens >= quota.burst && _perS(account.demand, origin.nowMs) < IDLE_PART * quota.perS
    return isIdle ? [] : [{ customer, quota, account, own: own.get(customer) }]
  })
  const others = used.filter((item) => item.own === undefined)
  const named = [...used.filter((item) => item.own !== undefined), ...others.slice(0, MAX_OTHERS)]
  return {
    isComplete: others.length <= MAX_OTHERS,
    allowances: named.map(({ customer, quota, account, own: usage }): QuotaAllowance => {
      const demand = _perS(account.demand, origin.nowMs)
      const ownDemand = usage === undefined ? 0 : _perS(usage.demand, origin.nowMs)
      const equal = 1 / Math.max(1, origin.instances)
      const share = demand <= 0 ? equal : EQUAL_PART * equal + (1 - EQUAL_PART) * Math.min(1, ownDemand / demand)
      const ownSpending = usage === undefined ? 0 : _perS(usage.spending, origin.nowMs)
      return {
        customer,
        level: account.bucket.tokens,
        units: Math.max(0, account.bucket.tokens) * share,
        perS: quota.perS * ledger.ratePart * share,
        othersPerS: Math.max(0, _perS(account.spending, origin.nowMs) - ownSpending)
      }
    })
  }
}
