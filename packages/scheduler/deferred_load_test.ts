import test from 'ava'
import { testModel, testPlanningInput, testView } from './_test_fleet.ts'
import type { PlannedOrder } from './engine_view.ts'
import { planOrders } from './plan_orders.ts'

const MODELS = [testModel('wanted', 34), testModel('busy', 34), testModel('other', 34)]
const DEMAND = [{ model: 'wanted', waiting: 7, dueInMs: [200], ratePerS: 5 }]
const LOAD: PlannedOrder = { upstream: 'b', operation: 'load', model: 'other', adapter: undefined, reason: '', fromStore: true, expectedMs: 6000, replacement: undefined }

// Models with hundreds of refused requests had no line that told why they were not loaded.
test('a model that requests wait for in vain has a line that names what occupies the engines with a copy', (t) => {
  const occupied = testView('a', ['busy', 'other'], ['wanted'])
  const loading = { ...testView('b', ['busy'], ['wanted']), open: { id: 'o', planned: LOAD, expectedSequence: 0, sentAtMs: -2000, phase: 'running' as const, answeredAtMs: -1990 } }
  const views = [occupied, loading]
  const { deferrals } = planOrders(testPlanningInput(MODELS, views, { demand: DEMAND, running: { 'a busy': 3, 'a other': 1, 'b busy': 4 }, storeLoadsInProgress: 1 }))
  t.deepEqual(deferrals.map(({ model, waiting, copies }) => ({ model, waiting, copies })), [{ model: 'wanted', waiting: 7, copies: 2 }])
  t.true(deferrals[0]?.detail.includes('a: busy runs 3, other runs 1'), deferrals[0]?.detail)
  t.true(deferrals[0]?.detail.includes('b: load of other running, 4000 ms left'), deferrals[0]?.detail)
})

test('a model that is loaded or that nobody waits for has no such line', (t) => {
  const free = testView('a', ['busy'], ['wanted'])
  t.deepEqual(planOrders(testPlanningInput(MODELS, [free], { demand: DEMAND })).deferrals, [])
  t.deepEqual(planOrders(testPlanningInput(MODELS, [testView('a', ['busy', 'other'], ['wanted'])], { demand: [{ model: 'wanted', ratePerS: 5 }], running: { 'a busy': 3, 'a other': 1 }, storeLoadsInProgress: 4 })).deferrals, [])
})
