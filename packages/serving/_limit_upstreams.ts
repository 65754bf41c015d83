import { step, type Step } from '@berylshed/reducer'
import type { ServingEffect } from './serving_effect.ts'
import type { ServingEvent } from './serving_event.ts'
import type { ServingState } from './serving_state.ts'
import { BURST_MS, countLimitedRequest, paceMs, type LimitRecord, type LimitShare, type StatedLimit, type UpstreamLimit } from './upstream_limit.ts'

type _Step = Step<ServingState, ServingEffect>
type _LimitStated = Extract<ServingEvent, { kind: 'limit_stated' }>

/** Applies what a response says about the limit of its upstream. */
export function stateLimit (state: ServingState, event: _LimitStated): _Step {
  const { upstream, perS = Infinity, nowMs } = event
  const before = state.limits.get(upstream)
  if (before === undefined && perS === Infinity) return step(state)
  const incarnation = state.targets.get(upstream)?.incarnation ?? 0
  const changed = before?.perS !== perS || before.incarnation !== incarnation
  const stated = _state(state, upstream, { stated: { incarnation, perS, statedAtMs: nowMs }, source: 'response', nowMs })
  return changed ? step(stated.state, [...stated.effects, { kind: 'limits_changed' }]) : stated
}

/** Applies the limits that another instance knows of. */
export function applyLimits (state: ServingState, records: ReadonlyArray<LimitRecord | LimitShare>, nowMs: number): _Step {
  return records.reduce<_Step>((result, [upstream, incarnation, perS, statedAgoMs, share]) => {
    const stated = { incarnation, perS: perS ?? Infinity, statedAtMs: nowMs - statedAgoMs }
    const before = result.state.limits.get(upstream)
    const isNewer = before === undefined || incarnation > before.incarnation || (incarnation === before.incarnation && stated.statedAtMs > before.statedAtMs)
    const next = isNewer ? _state(result.state, upstream, { stated, source: 'instance', nowMs }) : step<ServingState, ServingEffect>(result.state)
    return step(share === undefined ? next.state : _assignShare(next.state, upstream, { share, nowMs }), [...result.effects, ...next.effects])
  }, step(state))
}

interface _Statement {
  readonly stated: StatedLimit
  readonly source: 'response' | 'instance'
  readonly nowMs: number
}

function _state (state: ServingState, upstream: string, statement: _Statement): _Step {
  const { stated, source, nowMs } = statement
  const before = state.limits.get(upstream)
  const known = before?.incarnation === stated.incarnation && before.perS === stated.perS
  const next = known ? { ...before, ...stated } : _startPacing(state, { share: 0, sharedAtMs: -Infinity, dueAtMs: nowMs, ...before, ...stated }, nowMs)
  const updated = { ...state, limits: new Map(state.limits).set(upstream, next) }
  if (known || (before === undefined && stated.perS === Infinity)) return step(updated)
  const record: ServingEffect = stated.perS === Infinity
    ? { kind: 'record', record: { what: 'limit_lifted', upstream, detail: source } }
    : { kind: 'record', record: { what: 'limit_named', upstream, perS: stated.perS, detail: source } }
  return step(updated, [record])
}

// Instances learn of a limit at about the same time; their phases keep them from all sending their first request together.
function _startPacing (state: ServingState, limit: UpstreamLimit, nowMs: number): UpstreamLimit {
  return { ...limit, dueAtMs: nowMs + state.phase * paceMs(limit, { instances: state.instances, nowMs }) }
}

function _assignShare (state: ServingState, upstream: string, assigned: { readonly share: number, readonly nowMs: number }): ServingState {
  const limit = state.limits.get(upstream)
  if (limit === undefined) return state
  const next = { ...limit, share: assigned.share, sharedAtMs: assigned.nowMs }
  // A larger share shortens a wait that began with a smaller one.
  const latestMs = assigned.nowMs + BURST_MS + paceMs(next, { instances: state.instances, nowMs: assigned.nowMs })
  return { ...state, limits: new Map(state.limits).set(upstream, { ...next, dueAtMs: Math.min(limit.dueAtMs, latestMs) }) }
}

/** Counts a request against the limit of its upstream, if it has one. */
export function countAgainstLimit (state: ServingState, upstream: string, nowMs: number): ServingState {
  const limit = state.limits.get(upstream)
  if (limit === undefined || limit.perS === Infinity) return state
  return { ...state, limits: new Map(state.limits).set(upstream, countLimitedRequest(limit, { instances: state.instances, nowMs })) }
}

/** Drops the limits of upstreams that are gone or have restarted. */
export function pruneLimits (state: ServingState): ServingState {
  const current = [...state.limits].filter(([upstream, { incarnation }]) => (state.targets.get(upstream)?.incarnation ?? Infinity) <= incarnation)
  return current.length === state.limits.size ? state : { ...state, limits: new Map(current) }
}
