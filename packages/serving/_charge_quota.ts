import { ALLOWANCE_LIFE_MS, applyQuotaAnswer, chargeRequest, configureQuotas, expireAllowances, type QuotaAnswer, type QuotaVerdict } from '@berylshed/limits'
import type { Quota } from '@berylshed/fleet'
import { step, type Step } from '@berylshed/reducer'
import type { RefusalDetails } from './_request_transitions.ts'
import type { ReceivedRequest } from './request.ts'
import type { ServingEffect, ServingRecord } from './serving_effect.ts'
import type { ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/** What the quota of its customer means for a request. */
export interface QuotaCharge {
  readonly state: ServingState
  /** Units charged; undefined if the customer has no quota. */
  readonly chargedUnits: number | undefined
  /** Why the request is refused; undefined if it is admitted. */
  readonly refusal: RefusalDetails | undefined
}

/** Charges a request on arrival. The instance that handed a request over has charged it already. */
export function chargeQuota (state: ServingState, request: ReceivedRequest, nowMs: number): QuotaCharge {
  const { customer, quotaUnits: units = 0, handover } = request
  if (customer === undefined || units <= 0 || handover !== undefined) return { state, chargedUnits: undefined, refusal: undefined }
  const { quotas, verdict } = chargeRequest(state.quotas, { customer, units, instances: state.instances, nowMs })
  const next = quotas === state.quotas ? state : { ...state, quotas }
  if (verdict.kind === 'admitted') return { state: next, chargedUnits: verdict.chargedUnits === 0 ? undefined : verdict.chargedUnits, refusal: undefined }
  return { state: next, chargedUnits: undefined, refusal: _refusal(verdict, { customer, units, nowMs }) }
}

interface _Refused {
  readonly customer: string
  readonly units: number
  readonly nowMs: number
}

function _refusal (verdict: Extract<QuotaVerdict, { kind: 'refused' }>, { customer, units, nowMs }: _Refused): RefusalDetails {
  const { cause, retryAfterMs, unitsLeft, allowanceAgeMs } = verdict
  const age = Number.isFinite(allowanceAgeMs) ? { allowanceAgeMs } : {}
  return { reason: 'quota_exceeded', nowMs, retryAfterMs, detail: cause, fields: { customer, units, unitsLeft, retryAfterMs, ...age } }
}

/** Applies the quotas of a configuration. */
export function changeQuotas (state: ServingState, quotas: ReadonlyMap<string, Quota>): ServingState {
  return { ...state, quotas: configureQuotas(state.quotas, quotas) }
}

/** Applies the lease holder's answer to the last report of what was charged. */
export function applyQuotas (state: ServingState, answer: QuotaAnswer, nowMs: number): _Step {
  const { quotas, changes } = applyQuotaAnswer(state.quotas, answer, nowMs)
  const records = changes.map(({ customer, change, level }) => _record({ what: change === 'exhausted' ? 'quota_exhausted' : 'quota_available', customer, unitsLeft: level }))
  const shared = state.quotas.isFallback ? [_record({ what: 'quota_shared' })] : []
  return step({ ...state, quotas }, [...shared, ...records])
}

/** Ends the allowances after a suspension. */
export function endAllowances (state: ServingState, nowMs: number): ServingState {
  return { ...state, quotas: expireAllowances(state.quotas, nowMs) }
}

/** Records that the allowances have expired, once. */
export function noteFallback (state: ServingState, nowMs: number): _Step {
  const { quotas } = state
  if (quotas.isFallback || quotas.quotas.size === 0 || nowMs - quotas.answeredAtMs <= ALLOWANCE_LIFE_MS) return step(state)
  const ageMs = nowMs - quotas.acknowledgedAtMs
  return step({ ...state, quotas: { ...quotas, isFallback: true } }, [_record({ what: 'quota_fallback', ...Number.isFinite(ageMs) ? { allowanceAgeMs: ageMs } : {} })])
}

function _record (record: ServingRecord): ServingEffect {
  return { kind: 'record', record }
}
