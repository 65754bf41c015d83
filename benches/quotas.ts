/**
 * Measures the size of the quota messages between instances and the lease holder, and the time that the holder takes for one heartbeat.
 *
 * Usage: node --conditions=source --import=tsx benches/quotas.ts
 *
 * @module
 */
import { chargeReport, maintainLedger, newQuotaLedger, quotaAnswer, type QuotaLedger, type QuotaReport } from '@berylshed/limits'
import type { Quota } from '@berylshed/fleet'

const QUOTA: Quota = { unit: 'tokens', perS: 1900, burst: 1900, plainTokens: 1000 }
const ROUNDS = 20
const HEARTBEAT_MS = 200

function reportOf (customers: readonly string[], round: number): QuotaReport {
  return { acknowledgedAgoMs: HEARTBEAT_MS, usage: customers.map((customer) => ({ customer, spent: 1_234_567 + round * 1000, refunded: 1000, requested: 2_345_678 + round * 1000, acknowledged: 1_233_567 + round * 1000, level: 1234.567 })) }
}

// The wire format holds tuples of the same values without their names.
function sizeOf (items: readonly object[]): number {
  return Buffer.byteLength(JSON.stringify(items.map((item) => Object.values(item).map((value) => typeof value === 'number' ? Math.round(value * 1000) / 1000 : value))))
}

for (const [customers, used] of [[16, 16], [16, 2], [500, 500], [500, 5]] as const) {
  const names = Array.from({ length: customers }, (_, i) => `customer-${i}`)
  const quotas = new Map(names.map((name) => [name, QUOTA] as const))
  for (const instances of [30, 100, 300]) {
    let ledger: QuotaLedger = newQuotaLedger({ quotas, isFirst: true, nowMs: 0 })
    let [report, answer, elapsedMs] = [0, 0, 0]
    for (let round = 0; round < ROUNDS; round += 1) {
      const startedAtMs = performance.now()
      ledger = maintainLedger(ledger, { quotas, nowMs: round * HEARTBEAT_MS })
      for (let i = 0; i < instances; i += 1) {
        const sent = reportOf(Array.from({ length: used }, (_, j) => names[(i + j) % customers] ?? ''), round)
        const origin = { instance: `i${i}`, incarnation: `i${i}`, instances, nowMs: round * HEARTBEAT_MS }
        ledger = chargeReport(ledger, sent, origin)
        const answered = quotaAnswer(ledger, origin)
        if (round < ROUNDS - 1 || i > 0) continue
        report = sizeOf(sent.usage)
        answer = sizeOf(answered.allowances)
      }
      elapsedMs = performance.now() - startedAtMs
    }
    console.log(`${customers} customers, ${used} in use at each of ${instances} instances: report ${report} B, answer ${answer} B, ${(elapsedMs / instances * 1000).toFixed(0)} us per heartbeat at the holder`)
  }
}
