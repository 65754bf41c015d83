import test from 'ava'
import { testModel, testView } from './_test_fleet.ts'
import { testHolder } from './_test_holder.ts'
import { PlacementPolicy } from './placement_policy.ts'
import type { EngineView } from './engine_view.ts'
import type { Plan } from './planning_input.ts'
import { expectedLoads } from './reduce_scheduler.ts'

class IdlePolicy extends PlacementPolicy {
  override readonly name = 'idle'

  override plan (): Plan {
    return { orders: [], drains: [], deferrals: [] }
  }
}

function expectedOf (changes: Partial<EngineView>): ReturnType<typeof expectedLoads> {
  const state = testHolder(new IdlePolicy(), [testModel('wanted', 34), testModel('busy', 34)], [])
  return expectedLoads({ ...state, engines: new Map([['a', { ...testView('a', ['busy'], ['wanted']), ...changes }]]) }, 100)
}

// Instances took a model for which room was being made for one that nobody would load.
test('a load for which an engine is drained, unloads or keeps memory is expected', (t) => {
  const drain = { models: ['busy'], replacement: 'wanted', untilMs: 1000 }
  const planned = { upstream: 'a', operation: 'unload', model: 'busy', adapter: undefined, reason: '', fromStore: false, expectedMs: 100, replacement: 'wanted' } as const
  t.deepEqual(expectedOf({}), [])
  t.deepEqual(expectedOf({ drain }), [{ model: 'wanted', readyInMs: 600 }])
  t.deepEqual(expectedOf({ open: { id: 'o', planned, expectedSequence: 0, sentAtMs: 0, phase: 'in_flight', answeredAtMs: 0 } }), [{ model: 'wanted', readyInMs: 600 }])
  t.deepEqual(expectedOf({ reservation: { model: 'wanted', untilMs: 500 } }), [{ model: 'wanted', readyInMs: 500 }])
  t.deepEqual(expectedOf({ drain: { ...drain, untilMs: 50 } }), [])
})
