import test from 'ava'
import { formatOrder, testModel, testPlanningInput, testView, type TestDemand } from './_test_fleet.ts'
import type { AdapterView, EngineView, ResidentView } from './engine_view.ts'
import { planOrders } from './plan_orders.ts'

const MODELS = [testModel('m', 34), testModel('other', 34)]

function withAdapters (view: EngineView, model: string, adapters: Readonly<Record<string, AdapterView['phase']>>): EngineView {
  const resident: ResidentView = { phase: 'loaded', sinceMs: -10_000, adapters: new Map(Object.entries(adapters).map(([name, phase]) => [name, { phase, sinceMs: -1000 }])) }
  return { ...view, residents: new Map(view.residents).set(model, resident) }
}

function ordersFor (views: readonly EngineView[], given: TestDemand): readonly string[] {
  return planOrders(testPlanningInput(MODELS, views, { storeLoadsInProgress: 4, ...given })).orders.map(formatOrder).filter((order) => order.includes('m/'))
}

// Its requests waited for the replica that was drained, although another one had a free slot.
test('an adapter is loaded on another replica while the one that holds it is drained', (t) => {
  const drained: EngineView = { ...withAdapters(testView('a', ['m']), 'm', { a1: 'loaded' }), drain: { models: ['m'], replacement: 'other', untilMs: 1000 } }
  const given: TestDemand = { demand: [{ model: 'm', waiting: 1, ratePerS: 3, adapters: new Map([['a1', 1]]) }], running: { 'a m': 3 } }
  t.deepEqual(ordersFor([drained, testView('b', ['m'])], given), ['load m/a1 on b'])
})

test('an adapter that is being unloaded is loaded again', (t) => {
  const given: TestDemand = { demand: [{ model: 'm', waiting: 1, ratePerS: 3, adapters: new Map([['a1', 1]]) }] }
  t.deepEqual(ordersFor([withAdapters(testView('a', ['m']), 'm', { a1: 'unloading' }), testView('b', ['m'])], given), ['load m/a1 on b'])
})

// Others with more waiting requests came first each time, as refused requests did not count.
test('the adapter that was asked for in vain for longest is loaded first', (t) => {
  const given: TestDemand = { demand: [{ model: 'm', waiting: 4, ratePerS: 3, adapters: new Map([['a1', 3], ['a2', 1]]) }], unservedMs: { 'm/a1': 100, 'm/a2': 2500 } }
  t.deepEqual(ordersFor([testView('a', ['m'])], given), ['load m/a2 on a'])
})
