import { step, type Step } from '@berylshed/reducer'
import type { ServingEffect } from './serving_effect.ts'
import type { ServingEvent } from './serving_event.ts'
import type { ServingState } from './serving_state.ts'

type _LimitStated = Extract<ServingEvent, { kind: 'limit_stated' }>

/** Applies what a response says about the limit of its upstream. */
export function stateLimit (state: ServingState, event: _LimitStated): Step<ServingState, ServingEffect> {
  const { upstream, perS = Infinity, nowMs } = event
  const before = state.limits.get(upstream)
  if (before === undefined && perS === Infinity) return step(state)
  const incarnation = state.targets.get(upstream)?.incarnation ?? 0
  const limits = new Map(state.limits).set(upstream, { incarnation, perS, statedAtMs: nowMs })
  if (before?.perS === perS && before.incarnation === incarnation) return step({ ...state, limits })
  const record: ServingEffect = perS === Infinity
    ? { kind: 'record', record: { what: 'limit_lifted', upstream } }
    : { kind: 'record', record: { what: 'limit_named', upstream, perS, detail: 'response' } }
  return step({ ...state, limits }, [record])
}
