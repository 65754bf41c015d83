import type { Model } from '@berylshed/fleet'
import { testConfiguration } from './_test_fleet.ts'
import type { EngineView } from './engine_view.ts'
import { leaseTimes } from './lease.ts'
import type { PlacementPolicy } from './placement_policy.ts'
import { reduceScheduler } from './reduce_scheduler.ts'
import { newSchedulerState, type SchedulerState } from './scheduler_state.ts'

/** Returns a process that has taken the lease at 5 ms and places models on engines by a policy. */
export function testHolder (policy: PlacementPolicy, models: readonly Model[], engines: readonly EngineView[]): SchedulerState {
  const initial = newSchedulerState({ instance: 'entry-1', incarnation: 'x', address: '' }, { times: leaseTimes({ enginesCheckFence: true, holderChangeMs: 3000 }), policy })
  const taken = [
    { kind: 'configured' as const, configuration: testConfiguration(models) },
    { kind: 'lease_read' as const, era: 0, version: 1, lease: { fence: 0, holder: null, writeId: '' } },
    { kind: 'ticked' as const }
  ].reduce((state, event) => reduceScheduler(state, { ...event, nowMs: 0, clockMs: 0 }).state, initial)
  const held = reduceScheduler(taken, { kind: 'lease_written', writeId: taken.pending?.lease.writeId ?? '', version: 2, nowMs: 5, clockMs: 5 }).state
  return { ...held, engines: new Map(engines.map((view) => [view.upstream.id, view])) }
}
