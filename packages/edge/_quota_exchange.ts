import type { Configuration, Quota } from '@berylshed/fleet'
import { chargeReport, maintainLedger, newQuotaLedger, quotaAnswer, quotaReport, type QuotaAnswer, type QuotaReport, type ReportOrigin } from '@berylshed/limits'
import { step } from '@berylshed/reducer'
import type { InstanceReport, Instant } from '@berylshed/scheduler'
import { applyServingEvent, type EdgeStep } from './_edge_step.ts'
import type { EdgeState } from './edge_state.ts'

/** Fencing token of the first lease of a deployment. */
const FIRST_FENCE = 1
/** Difference between the clocks since the last tick, in ms, beyond which the process may have been suspended or the wall clock set. */
const MAX_CLOCK_DIFFERENCE_MS = 1000

/** Returns the quotas of a configuration's customers, by name. */
export function quotasOf (configuration: Configuration | undefined): ReadonlyMap<string, Quota> {
  return new Map([...configuration?.customers?.values() ?? []].flatMap(({ name, quota }) => quota === undefined || quota.perS <= 0 ? [] : [[name, quota] as const]))
}

/** Applies the quotas of the configuration in force. */
export function applyConfiguredQuotas (state: EdgeState, at: Instant): EdgeStep {
  const quotas = quotasOf(state.configuration)
  if (quotas.size === 0 && state.serving.quotas.quotas.size === 0) return step(state)
  const quotaLedger = state.quotaLedger === undefined ? undefined : maintainLedger(state.quotaLedger, { quotas, nowMs: at.nowMs })
  return applyServingEvent({ ...state, quotaLedger }, { kind: 'quotas_changed', quotas, nowMs: at.nowMs })
}

/** A process whose report is charged. */
export interface ReportSource {
  readonly report: InstanceReport
  readonly quotas: QuotaReport | undefined
  /** Number of instances that share the quotas. */
  readonly instances: number
}

/** Charges what another process, or this one, has spent, if this instance holds the lease. */
export function chargeQuotas (state: EdgeState, source: ReportSource, at: Instant): EdgeState {
  const { held } = state.scheduler
  const { quotas } = state.serving.quotas
  if (held === undefined || quotas.size === 0) return state.quotaLedger === undefined ? state : { ...state, quotaLedger: undefined }
  const ledger = state.quotaLedger ?? newQuotaLedger({ quotas, isFirst: held.fence === FIRST_FENCE, nowMs: at.nowMs })
  return { ...state, quotaLedger: chargeReport(ledger, source.quotas ?? { usage: [], acknowledgedAgoMs: Infinity }, _origin(source, at)) }
}

/** Returns what a process may spend; undefined if this instance does not hold the lease or there are no quotas. */
export function allowancesFor (state: EdgeState, source: Omit<ReportSource, 'quotas'>, at: Instant): QuotaAnswer | undefined {
  return state.scheduler.held === undefined || state.quotaLedger === undefined ? undefined : quotaAnswer(state.quotaLedger, _origin(source, at))
}

// A process that is about to end offers nothing to others any longer.
function _origin ({ report, instances }: Omit<ReportSource, 'quotas'>, at: Instant): ReportOrigin {
  return { instance: report.instance, incarnation: report.incarnation, instances, isLeaving: report.relayAddress === undefined, nowMs: at.nowMs }
}

/** Charges what the holder itself has spent, and applies its own allowances. */
export function applyOwnQuotas (state: EdgeState, source: Omit<ReportSource, 'quotas'>, at: Instant): EdgeStep {
  const { quotas, report } = quotaReport(state.serving.quotas, at.nowMs)
  const charged = chargeQuotas({ ...state, serving: { ...state.serving, quotas } }, { ...source, quotas: report }, at)
  if (charged.quotaLedger === undefined) return step(charged)
  const maintained = { ...charged, quotaLedger: maintainLedger(charged.quotaLedger, { quotas: quotas.quotas, nowMs: at.nowMs }) }
  return applyQuotaAllowances(maintained, allowancesFor(maintained, source, at), at)
}

/** Applies the allowances in the holder's answer. */
export function applyQuotaAllowances (state: EdgeState, answer: QuotaAnswer | undefined, at: Instant): EdgeStep {
  return answer === undefined ? step(state) : applyServingEvent(state, { kind: 'quotas_answered', answer, nowMs: at.nowMs })
}

/** Ends the allowances if the clocks have diverged since the last tick: the monotonic clock stands still while a process is suspended with its machine. */
export function expireAfterSuspension (state: EdgeState, at: Instant): EdgeStep {
  const { tickedAt } = state
  const differenceMs = Math.abs((at.clockMs - tickedAt.clockMs) - (at.nowMs - tickedAt.nowMs))
  if (state.serving.quotas.quotas.size === 0 || differenceMs <= MAX_CLOCK_DIFFERENCE_MS) return step(state)
  return applyServingEvent(state, { kind: 'allowances_expired', nowMs: at.nowMs })
}
