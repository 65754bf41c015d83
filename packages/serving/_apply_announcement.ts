import { step, type Step } from '@berylshed/reducer'
import { dispatchService } from './_dispatch_requests.ts'
import type { BrittleRecord } from './brittle_record.ts'
import type { ServingEffect } from './serving_effect.ts'
import type { ServingEvent } from './serving_event.ts'
import { targetLoad, updateTargetLoad, type ServingState } from './serving_state.ts'

type _Step = Step<ServingState, ServingEffect>

/** Time after the last response that says so for which the upstreams of a service count as brittle, in ms; outlasts pauses of its traffic. */
const BRITTLE_MS = 15_000

/** Applies what responses to this instance or to others say of brittle services. */
export function applyBrittleServices (state: ServingState, services: readonly BrittleRecord[], nowMs: number): _Step {
  return services.reduce<_Step>((result, [service, maxRejectionsPerS, remainingMs]) => {
    const { brittle } = result.state
    const known = brittle.get(service)
    const isKnown = known !== undefined && known.untilMs > nowMs
    const untilMs = nowMs + remainingMs
    if (remainingMs <= 0 || (isKnown && known.untilMs >= untilMs)) return result
    const next = { ...result.state, brittle: new Map(brittle).set(service, { maxRejectionsPerS, untilMs, sinceMs: isKnown ? known.sinceMs : nowMs }) }
    return step(next, isKnown ? result.effects : [...result.effects, { kind: 'record', record: { what: 'service_brittle', perS: maxRejectionsPerS, leftMs: remainingMs, detail: service } }])
  }, step(state))
}

/** Applies what a response says about its upstream beside the answer. */
export function applyAnnouncement (state: ServingState, event: Extract<ServingEvent, { kind: 'upstream_announced' }>): _Step {
  const { upstream, leaving, retryAfterMs, maxRejectionsPerS, nowMs } = event
  const service = state.targets.get(upstream)?.service
  if (service === undefined) return step(state)
  const records: ServingEffect[] = []
  let next = state
  if (leaving && !targetLoad(state, upstream).leaving) {
    next = updateTargetLoad(next, upstream, (load) => ({ ...load, leaving: true }))
    records.push({ kind: 'record', record: { what: 'upstream_leaving', upstream, detail: 'response' } })
  }
  if (retryAfterMs !== undefined) {
    next = updateTargetLoad(next, upstream, (load) => ({ ...load, pausedUntilMs: Math.max(load.pausedUntilMs, nowMs + retryAfterMs) }))
    records.push({ kind: 'record', record: { what: 'upstream_paused', upstream, leftMs: retryAfterMs } })
  }
  if (maxRejectionsPerS !== undefined) {
    const noted = applyBrittleServices(next, [[service, maxRejectionsPerS, BRITTLE_MS]], nowMs)
    next = noted.state
    records.push(...noted.effects)
    if (noted.effects.length > 0) records.push({ kind: 'limits_changed' })
  }
  if (!leaving) return step(next, records)
  // Requests that wait for the upstream may have to be refused.
  const dispatched = dispatchService(next, service, nowMs)
  return step(dispatched.state, [...records, ...dispatched.effects])
}
