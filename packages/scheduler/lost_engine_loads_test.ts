import test from 'ava'
import { testConfiguration, testModel, testView } from './_test_fleet.ts'
import type { EngineView, OpenOrder } from './engine_view.ts'
import { leaseTimes } from './lease.ts'
import { PlacementPolicy } from './placement_policy.ts'
import type { Plan, PlanningInput } from './planning_input.ts'
import { reduceScheduler } from './reduce_scheduler.ts'
import { newSchedulerState, type SchedulerState } from './scheduler_state.ts'

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
  const self = { instance: 'entry-1', incarnation: 'x', address: '' }
  const initial = newSchedulerState(self, { times: leaseTimes({ enginesCheckFence: true, holderChangeMs: 3000 }), policy })
  const taken = [
    { kind: 'configured' as const, configuration: testConfiguration([testModel('m', 16)]) },
    { kind: 'lease_read' as const, era: 0, version: 1, lease: { fence: 0, holder: null, writeId: '' } },
    { kind: 'ticked' as const }
  ].reduce((state, event) => reduceScheduler(state, { ...event, nowMs: 0, clockMs: 0 }).state, initial)
  const held = reduceScheduler(taken, { kind: 'lease_written', writeId: taken.pending?.lease.writeId ?? '', version: 2, nowMs: 5, clockMs: 5 }).state
  const open = (upstream: string): OpenOrder => ({
    id: upstream, planned: { upstream, operation: 'load', model: 'm', adapter: undefined, reason: '', fromStore: true, expectedMs: 6000, replacement: undefined }, expectedSequence: 0, sentAtMs: 0, phase: 'running', answeredAtMs: 0
  })
  const engines: readonly EngineView[] = [{ ...testView('a', []), open: open('a') }, { ...testView('b', []), open: open('b'), missedReports }]
  return { ...held, engines: new Map(engines.map((view) => [view.upstream.id, view])) }
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
