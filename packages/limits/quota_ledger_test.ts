import type { Quota } from '@berylshed/fleet'
import test from 'ava'
import { applyQuotaAnswer, chargeRequest, configureQuotas, newInstanceQuotas, quotaReport, refundRequest, type InstanceQuotas } from './instance_quotas.ts'
import { chargeReport, maintainLedger, newQuotaLedger, quotaAnswer, type QuotaLedger } from './quota_ledger.ts'
import type { QuotaReport, QuotaUsage } from './quota_message.ts'

const QUOTA: Quota = { unit: 'tokens', perS: 1000, burst: 4000, plainTokens: 1000 }
const quotas = new Map([['c', QUOTA]])

function usage (changes: Partial<QuotaUsage> = {}): QuotaReport {
  return { usage: [{ customer: 'c', spent: 0, refunded: 0, requested: 0, acknowledged: 0, level: undefined, ...changes }], acknowledgedAgoMs: 200 }
}

function origin (nowMs: number, incarnation = 'p'): { readonly instance: string, readonly incarnation: string, readonly instances: number, readonly nowMs: number } {
  return { instance: incarnation, incarnation, instances: 4, nowMs }
}

function levelOf (ledger: QuotaLedger, nowMs: number): number {
  return quotaAnswer(ledger, origin(nowMs, 'other')).allowances[0]?.level ?? QUOTA.burst
}

const full = newQuotaLedger({ quotas, isFirst: true, nowMs: 0 })

test('a report that arrives twice or late is charged once, as its counters only grow', (t) => {
  const first = usage({ spent: 1000, requested: 1000 })
  const second = usage({ spent: 3000, requested: 3000 })
  const charged = [first, second, second, first].reduce((ledger, report) => chargeReport(ledger, report, origin(0)), full)
  t.is(levelOf(charged, 0), 1000)
})

test('units of requests that did not run come back once', (t) => {
  const charged = [usage({ spent: 3000 }), usage({ spent: 3000, refunded: 1000 }), usage({ spent: 3000, refunded: 1000 })].reduce((ledger, report) => chargeReport(ledger, report, origin(0)), full)
  t.is(levelOf(charged, 0), 2000)
})

test('a process that takes the place of another one is charged from nothing', (t) => {
  const charged = chargeReport(chargeReport(full, usage({ spent: 1000 }), origin(0, 'p1')), usage({ spent: 500 }), origin(0, 'p2'))
  t.is(levelOf(charged, 0), 2500)
})

test('a new holder takes the level that instances report, less what no holder has acknowledged, and no full bucket', (t) => {
  const taken = newQuotaLedger({ quotas, isFirst: false, nowMs: 0 })
  t.is(levelOf(taken, 0), 0)
  const one = chargeReport(taken, usage({ spent: 9000, acknowledged: 8500, level: 3000 }), origin(0, 'p1'))
  t.is(levelOf(one, 0), 2500)
  const two = chargeReport(one, usage({ spent: 700, acknowledged: 700, level: 2000 }), origin(0, 'p2'))
  t.is(levelOf(two, 0), 2000)
})

test('an overdraft outlasts the holder that knew of it', (t) => {
  const taken = newQuotaLedger({ quotas, isFirst: false, nowMs: 0 })
  t.is(levelOf(chargeReport(taken, usage({ level: -2500 }), origin(0)), 0), -2500)
})

test('a lowered limit empties a bucket to the new burst at once', (t) => {
  const charged = chargeReport(full, usage({ spent: 100 }), origin(0))
  const lowered = maintainLedger(charged, { quotas: new Map([['c', { ...QUOTA, perS: 100, burst: 500 }]]), nowMs: 0 })
  t.is(levelOf(lowered, 0), 500)
})

test('a rate is reserved for an instance that no longer reports, and what it spends of it is not charged on its return', (t) => {
  const reports = ['a', 'b'].reduce((ledger, name) => chargeReport(ledger, usage({ spent: 2000 }), origin(0, name)), full)
  const later = [200, 400, 600, 800, 1000, 1200].reduce((ledger, nowMs) => maintainLedger(chargeReport(ledger, usage({ spent: 2000 }), origin(nowMs, 'a')), { quotas, nowMs }), reports)
  t.is(later.ratePart, 0.5)
  const returned = chargeReport(later, { ...usage({ spent: 3000 }), acknowledgedAgoMs: 5000 }, { ...origin(1200, 'b'), instances: 2 })
  t.is(Math.round(levelOf(returned, 1200)), Math.round(levelOf(later, 1200)))
})

test('an answer names customers in use, not all those of the configuration', (t) => {
  const many = new Map(Array.from({ length: 500 }, (_, i) => [`c${i}`, QUOTA] as const))
  const charged = chargeReport(newQuotaLedger({ quotas: many, isFirst: true, nowMs: 0 }), { usage: [{ ...usage().usage[0]!, customer: 'c7', spent: 500 }], acknowledgedAgoMs: 200 }, origin(0))
  const answer = quotaAnswer(charged, origin(0))
  t.deepEqual([answer.isComplete, answer.allowances.map(({ customer }) => customer)], [true, ['c7']])
})

test('an answer to an instance without traffic names a bounded number of customers, and does not claim that the others are full', (t) => {
  const many = new Map(Array.from({ length: 500 }, (_, i) => [`c${i}`, QUOTA] as const))
  const report: QuotaReport = { usage: [...many.keys()].map((customer) => ({ ...usage().usage[0]!, customer, spent: 500 })), acknowledgedAgoMs: 200 }
  const charged = chargeReport(newQuotaLedger({ quotas: many, isFirst: true, nowMs: 0 }), report, origin(0))
  const answer = quotaAnswer(charged, origin(0, 'quiet'))
  t.deepEqual([answer.isComplete, answer.allowances.length], [false, 64])
})

const request = { customer: 'c', units: 1000, instances: 4 }

function instance (): InstanceQuotas {
  return configureQuotas(newInstanceQuotas({ phase: 0.5 }), quotas)
}

function answered (state: InstanceQuotas, level: number, nowMs: number): InstanceQuotas {
  const sent = quotaReport(state, nowMs).quotas
  return applyQuotaAnswer(sent, { isComplete: true, allowances: [{ customer: 'c', level, units: level / 4, perS: 250, othersPerS: 0 }] }, nowMs).quotas
}

test('a refusal names the time at which the bucket of all instances holds enough', (t) => {
  const { verdict } = chargeRequest(answered(instance(), -500, 0), { ...request, nowMs: 0 })
  t.deepEqual(verdict, { kind: 'refused', cause: 'quota', retryAfterMs: 1500, unitsLeft: -500, allowanceAgeMs: 0 })
})

test('a request larger than the burst is admitted by a full bucket, as it would be refused for ever otherwise', (t) => {
  t.is(chargeRequest(answered(instance(), 4000, 0), { ...request, units: 9000, nowMs: 0 }).verdict.kind, 'admitted')
})

test('a lowered limit binds an instance before the lease holder knows of it', (t) => {
  const lowered = configureQuotas(answered(instance(), 4000, 0), new Map([['c', { ...QUOTA, perS: 100, burst: 1000 }]]))
  const { quotas: next, verdict } = chargeRequest(lowered, { ...request, nowMs: 0 })
  t.deepEqual([verdict.kind, chargeRequest(next, { ...request, nowMs: 10 }).verdict.kind], ['admitted', 'refused'])
})

test('an allowance ends after 2 s, and earlier if the process may have been suspended', (t) => {
  const state = answered(instance(), 4000, 0)
  const causes = [1900, 2001].map((nowMs) => {
    const { verdict } = chargeRequest(chargeRequest(state, { ...request, nowMs }).quotas, { ...request, nowMs })
    return verdict.kind === 'refused' ? verdict.cause : 'admitted'
  })
  t.deepEqual(causes, ['share', 'fallback'])
})

test('what was spent after a report was sent is not given back by its answer', (t) => {
  const sent = quotaReport(answered(instance(), 4000, 0), 100).quotas
  const spent = chargeRequest(sent, { ...request, nowMs: 110 }).quotas
  const { quotas: next } = applyQuotaAnswer(spent, { isComplete: true, allowances: [{ customer: 'c', level: 1500, units: 1500, perS: 1000, othersPerS: 0 }] }, 120)
  t.is(chargeRequest(next, { ...request, nowMs: 120 }).verdict.kind, 'refused')
})

test('units that are given back admit another request', (t) => {
  const state = answered(instance(), 1000, 0)
  const charged = chargeRequest(state, { ...request, nowMs: 0 }).quotas
  t.is(chargeRequest(charged, { ...request, nowMs: 0 }).verdict.kind, 'refused')
  t.is(chargeRequest(refundRequest(charged, { customer: 'c', units: 1000 }), { ...request, nowMs: 0 }).verdict.kind, 'admitted')
})

test('a customer without a limit is never refused, nor counted', (t) => {
  const { quotas: next, verdict } = chargeRequest(instance(), { ...request, customer: 'unlimited', nowMs: 0 })
  t.deepEqual([verdict, next.usage.size], [{ kind: 'admitted', chargedUnits: 0 }, 0])
})

test('counters do not go back when a customer is removed and added again', (t) => {
  const spent = chargeRequest(answered(instance(), 4000, 0), { ...request, nowMs: 0 }).quotas
  const readded = configureQuotas(configureQuotas(spent, new Map()), quotas)
  t.is(quotaReport(readded, 10).report?.usage[0]?.spent, 1000)
})
