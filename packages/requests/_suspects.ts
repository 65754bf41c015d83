import { HashMap } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import type { Request } from './request.ts'
import type { RequestEffect } from './request_effect.ts'
import type { RequestsState } from './requests_state.ts'

/** Time for which a suspected fingerprint is kept after the last suspicion, in ms. */
const SUSPECT_RETENTION_MS = 3_600_000

/** Requests the permit to run a suspect request, so that suspects don't run at the same time. */
export function requestPermit (state: RequestsState, request: Request): Step<RequestsState, RequestEffect> {
  const claiming: Request = { ...request, phase: 'claiming' }
  return step({ ...state, requests: HashMap.set(state.requests, request.id, claiming) }, [
    { kind: 'request_permit', request: claiming }
  ])
}

/** Records that an upstream failed while it ran a request with the fingerprint. */
export function suspectFingerprint (state: RequestsState, fingerprint: string, nowMs: number): RequestsState {
  const fresh = HashMap.filter(state.suspects, (atMs) => nowMs - atMs < SUSPECT_RETENTION_MS)
  return { ...state, suspects: HashMap.set(fresh, fingerprint, nowMs) }
}
