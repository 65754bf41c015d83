import test from 'ava'
import { formatOrder, testModel, testPlanningInput, testView, type TestDemand } from './_test_fleet.ts'
import type { EngineView } from './engine_view.ts'
import { planOrders } from './plan_orders.ts'

const MODELS = [testModel('busy', 34), testModel('wanted', 34), testModel('other', 34), testModel('filler', 34)]

function unloads (views: readonly EngineView[], given: TestDemand): readonly string[] {
  return planOrders(testPlanningInput(MODELS, views, { storeLoadsInProgress: 4, ...given })).orders.map(formatOrder).filter((order) => order.startsWith('unload'))
}

// A model was unloaded half a second after its load, as another engine was still loading it.
test('the only loaded replica of a busy model is not evicted because another one is loading', (t) => {
  const loaded = testView('a', ['busy', 'filler'], ['wanted'])
  const loading = testView('b', ['filler'])
  const views = [loaded, { ...loading, residents: new Map([...loading.residents, ['busy', { phase: 'loading' as const, sinceMs: 0, adapters: new Map() }] as const]) }]
  const given: TestDemand = { demand: [{ model: 'wanted', waiting: 1, dueInMs: [1500], ratePerS: 0.5 }, { model: 'busy', ratePerS: 20 }, { model: 'filler', ratePerS: 20 }], running: { 'a filler': 5 } }
  t.deepEqual(unloads(views, given), [])
})

test('the only replica that takes requests is not evicted because another one is drained', (t) => {
  const drained: EngineView = { ...testView('b', ['busy', 'filler']), drain: { models: ['busy'], replacement: 'other', untilMs: 1000 } }
  const given: TestDemand = { demand: [{ model: 'wanted', waiting: 1, dueInMs: [1500], ratePerS: 0.5 }, { model: 'busy', ratePerS: 20 }, { model: 'filler', ratePerS: 20 }], running: { 'a filler': 5 } }
  t.deepEqual(unloads([testView('a', ['busy', 'filler'], ['wanted']), drained], given), [])
})

test('two replicas of a busy model are not evicted in the same round', (t) => {
  const views = [testView('a', ['busy', 'filler'], ['wanted']), testView('b', ['busy', 'filler'], ['other'])]
  const waiting = { waiting: 1, dueInMs: [1500], ratePerS: 0.5 }
  const given: TestDemand = { demand: [{ model: 'wanted', ...waiting }, { model: 'other', ...waiting }, { model: 'busy', ratePerS: 4 }], running: { 'a filler': 5, 'b filler': 5 } }
  t.deepEqual(unloads(views, given), ['unload busy on a'])
})
