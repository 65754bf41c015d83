import test from 'ava'
import { testModel, testPlanningInput, testView } from './_test_fleet.ts'
import { testHolder } from './_test_holder.ts'
import { openOrder } from './_track_engines.ts'
import type { Drain, EngineView, OpenOrder } from './engine_view.ts'
import { PlacementPolicy } from './placement_policy.ts'
import { planOrders } from './plan_orders.ts'
import type { Plan } from './planning_input.ts'
import { reduceScheduler } from './reduce_scheduler.ts'

const MODELS = [testModel('wanted', 34), testModel('busy', 34), testModel('other', 34)]
const DRAIN: Drain = { models: ['busy', 'other'], replacement: 'wanted', untilMs: 1000 }
const DRAINED: EngineView = { ...testView('a', ['busy', 'other'], ['wanted']), drain: DRAIN }

function loadOf (model: string): OpenOrder {
  return {
    id: 'o', planned: { upstream: 'a', operation: 'load', model, adapter: undefined, reason: '', fromStore: false, expectedMs: 500, replacement: undefined }, expectedSequence: 0, sentAtMs: 0, phase: 'in_flight', answeredAtMs: 0
  }
}

// A model that had been drained beside the one that made way took no requests until the drain ran out.
test('a drain ends once the model that it is for is being loaded', (t) => {
  t.deepEqual([openOrder(DRAINED, loadOf('wanted'), 0).drain, openOrder(DRAINED, loadOf('third'), 0).drain], [undefined, DRAIN])
})

// While one engine was drained for a model, another one that seemed better was drained as well.
test('one engine at a time is drained for a model', (t) => {
  const views = [DRAINED, testView('b', ['busy', 'other'], ['wanted'])]
  const { drains } = planOrders(testPlanningInput(MODELS, views, {
    demand: [{ model: 'wanted', waiting: 20, dueInMs: [100], ratePerS: 15 }, { model: 'busy', ratePerS: 3 }, { model: 'other', ratePerS: 9 }],
    running: { 'a busy': 6, 'a other': 9, 'b busy': 1, 'b other': 9 },
    unservedMs: { wanted: 2000 },
    storeLoadsInProgress: 4
  }))
  t.deepEqual(drains.map(({ upstream }) => upstream), ['a'])
})

class DrainingPolicy extends PlacementPolicy {
  override readonly name = 'draining'

  override plan (): Plan {
    return { orders: [], drains: [{ upstream: 'a', models: ['busy'], replacement: 'wanted' }], deferrals: [] }
  }
}

// Each round of planning wrote a line, tens of them a second.
test('a drain that goes on is recorded once', (t) => {
  let state = testHolder(new DrainingPolicy(), MODELS, [testView('a', ['busy'], ['wanted'])])
  let records = 0
  for (let nowMs = 40; nowMs <= 2000; nowMs += 40) {
    const reduced = reduceScheduler(state, { kind: 'ticked', nowMs, clockMs: nowMs })
    state = reduced.state
    records += reduced.effects.filter((effect) => effect.kind === 'record' && effect.record.what === 'model_closed').length
  }
  t.is(records, 1)
})
