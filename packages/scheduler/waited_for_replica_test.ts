import test from 'ava'
import { testModel, testPlanningInput, testView } from './_test_fleet.ts'
import { planOrders } from './plan_orders.ts'

const MODELS = [testModel('wanted', 60), testModel('busy', 60)]

// The last replica of a model never made way while a request waited for it, as for one of its adapters, however many were refused for the other model.
test('two models that fit an engine only one at a time take turns though requests wait for both', (t) => {
  const drainsAfter = (ms: number): readonly string[] => planOrders(testPlanningInput(MODELS, [testView('a', ['busy'], ['wanted'])], {
    demand: [{ model: 'wanted', waiting: 20, dueInMs: [400], ratePerS: 15 }, { model: 'busy', waiting: 3, ratePerS: 20 }],
    running: { 'a busy': 20 },
    unservedMs: { wanted: ms },
    storeLoadsInProgress: 4
  })).drains.flatMap(({ models }) => models)
  t.deepEqual([drainsAfter(2000), drainsAfter(30_000)], [[], ['busy']])
})
