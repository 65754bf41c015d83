import { HashMap } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { candidatesFor } from './_dispatch_requests.ts'
import { isInService } from './choose_upstream.ts'
import type { RequestEffect } from './request_effect.ts'
import { upstreamLoad, type RequestsState } from './requests_state.ts'

/** Time between two checks of a suspected upstream for which requests wait, in ms. */
const CHECK_INTERVAL_MS = 500

/** Checks suspected upstreams again for which requests wait that no other upstream serves: an outage may be shorter than the suspicion. */
export function checkSuspected (state: RequestsState, nowMs: number): Step<RequestsState, RequestEffect> {
  const due = new Set([...HashMap.keys(state.waiting)].flatMap((key) => _suspectedOnly(state, key, nowMs)))
  const upstreams = [...due].reduce((loads, name) => HashMap.set(loads, name, { ...upstreamLoad(state, name), checkedAtMs: nowMs }), state.upstreams)
  return step({ ...state, upstreams }, [...due].map((upstream) => ({ kind: 'check_upstream', upstream })))
}

function _suspectedOnly (state: RequestsState, key: string, nowMs: number): readonly string[] {
  const candidates = candidatesFor(state, key)
  if (candidates.some((name) => isInService(upstreamLoad(state, name), nowMs))) return []
  return candidates.filter((name) => {
    const { leaving, withdrawn, checkedAtMs } = upstreamLoad(state, name)
    return !leaving && !withdrawn && nowMs - checkedAtMs >= CHECK_INTERVAL_MS
  })
}
