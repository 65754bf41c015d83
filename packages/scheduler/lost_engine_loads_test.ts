import test from 'ava'
import { testModel, testView } from './_test_fleet.ts'
import { testHolder } from './_test_holder.ts'
import type { EngineView, OpenOrder } from './engine_view.ts'
import { PlacementPolicy } from './placement_policy.ts'
import type { Plan, PlanningInput } from './planning_input.ts'
import { reduceScheduler } from './reduce_scheduler.ts'
import type { SchedulerState } from './scheduler_state.ts'

class RecordingPolicy extends PlacementPolicy {
  override readonly name = 'recording'
  readonly inputs: PlanningInput[] = []

  override plan (input: PlanningInput): Plan {
    this.inputs.push(input)
    return { orders: [], drains: [], deferrals: [] }
  }
}

// A lease holder whose engines both load a model from the weight store.
function startHolder (policy: PlacementPolicy, missedReports: number): SchedulerState {
  const open = (upstream: string): OpenOrder => ({
    id: upstream, planned: { upstream, operation: 'load', model: 'm', adapter: undefined, reason: '', fromStore: true, expectedMs: 6000, replacement: undefined }, expectedSequence: 0, sentAtMs: 0, phase: 'running', answeredAtMs: 0
  })
  const engines: readonly EngineView[] = [{ ...testView('a', []), open: open('a') }, { ...testView('b', []), open: open('b'), missedReports }]
  return testHolder(policy, [testModel('m', 16)], engines)
}

// The load of a crashed engine kept others from beginning until its registration had lapsed.
test('loads on lost engines do not count as in progress', (t) => {
  const inProgress = [0, 3].map((missedReports) => {
    const policy = new RecordingPolicy()
    reduceScheduler(startHolder(policy, missedReports), { kind: 'ticked', nowMs: 40, clockMs: 40 })
    return policy.inputs.at(-1)?.storeLoadsInProgress
  })
  t.deepEqual(inProgress, [2, 1])
})
