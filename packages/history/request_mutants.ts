import { reduceInstance, type InstanceEffect, type InstanceEvent } from '@berylshed/instance'
import type { RequestEvent } from '@berylshed/requests'
import type { RequestViolation } from './request_history.ts'
import type { InstanceReducer } from './request_simulation.ts'

/** Deliberately faulty reducer and the invariant that it violates. */
export interface RequestMutant {
  /** Description for the test title. */
  readonly name: string
  readonly invariant: RequestViolation['invariant']
  readonly reduce: InstanceReducer
}

function _mapEvents (change: (event: RequestEvent) => RequestEvent): InstanceReducer {
  return (state, event) => {
    const changed: InstanceEvent = event.subject === 'requests' ? { ...event, event: change(event.event) } : event
    return reduceInstance(state, changed)
  }
}

function _mapEffects (change: (effect: InstanceEffect) => InstanceEffect | undefined): InstanceReducer {
  return (state, event) => {
    const reduced = reduceInstance(state, event)
    return { state: reduced.state, effects: reduced.effects.map(change).filter((effect) => effect !== undefined) }
  }
}

const OUTCOME = { status: 200, contentType: 'text/plain', body: '' }

/** Mutants for tests of the request checker, at least one for each invariant. */
export const REQUEST_MUTANTS: readonly RequestMutant[] = [
  {
    name: 'no deadline is set',
    invariant: 'single_outcome',
    reduce: _mapEffects((effect) => effect.subject === 'requests' && effect.effect.kind === 'set_timer' && effect.effect.timer === 'deadline' ? undefined : effect)
  },
  {
    name: 'a truncated or crossed answer is delivered',
    invariant: 'complete_answer',
    reduce: _mapEvents((event) => {
      if (event.kind !== 'attempt_failed' || (event.failure !== 'truncated' && event.failure !== 'crossed')) return event
      return { kind: 'response_ended', id: event.id, attempt: event.attempt, tokens: 0, outcome: OUTCOME, nowMs: event.nowMs }
    })
  },
  {
    name: 'every refusal claims that the request did not run',
    invariant: 'not_run',
    reduce: _mapEffects((effect) => {
      if (effect.subject !== 'requests' || effect.effect.kind !== 'refuse') return effect
      return { ...effect, effect: { ...effect.effect, refusal: { ...effect.effect.refusal, outcome: 'not run' } } }
    })
  },
  {
    name: 'a broken connection is treated as one that was never established',
    invariant: 'at_most_once',
    reduce: _mapEvents((event) => event.kind === 'attempt_failed' && event.failure === 'broken' ? { ...event, failure: 'not_connected' } : event)
  },
  {
    name: 'idempotency keys are not claimed',
    invariant: 'at_most_once',
    reduce: _mapEvents((event) => event.kind === 'received' ? { ...event, request: { ...event.request, idempotencyKey: undefined } } : event)
  },
  {
    name: 'suspected fingerprints are not recorded',
    invariant: 'crash_limit',
    reduce: (state, event) => {
      if (event.subject === 'requests' && event.event.kind === 'fingerprint_suspected') return { state, effects: [] }
      const granted = _mapEvents((e) => e.kind === 'permit_answered' ? { ...e, answer: 'granted' } : e)
      return granted(state, event)
    }
  }
]
