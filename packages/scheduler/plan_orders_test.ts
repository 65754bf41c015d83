import test from 'ava'
import { formatOrder, testModel, testPlanningInput, testView, type TestDemand } from './_test_fleet.ts'
import type { EngineView } from './engine_view.ts'
import { planOrders } from './plan_orders.ts'

const MODELS = [testModel('small-1', 16), testModel('small-2', 16), testModel('small-3', 16), testModel('small-4', 16), testModel('large-1', 34), testModel('large-2', 34), testModel('large-3', 34)]

function plan (views: readonly EngineView[], testDemand: TestDemand = {}): readonly string[] {
  return planOrders(testPlanningInput(MODELS, views, testDemand)).orders.map(formatOrder)
}

test('a model with waiting requests is loaded from a copy rather than from the weight store', (t) => {
  const views = [testView('a', []), testView('b', [], ['large-1'])]
  t.deepEqual(plan(views, { demand: [{ model: 'large-1', waiting: 1, ratePerS: 0.2 }] })[0], 'load large-1 on b')
})

// A replica on an engine that names a limit counted by its slots, so that a busy model got no other one.
test('a model gets another replica if its engine takes fewer requests than come', (t) => {
  const views = [testView('a', ['large-1']), testView('b', ['small-1', 'large-2'], ['large-1'])]
  const demand = [{ model: 'large-1', ratePerS: 14, running: 4 }, { model: 'small-1', ratePerS: 0.6 }, { model: 'large-2', ratePerS: 0.5 }]
  const unloads = (limitsPerS: Readonly<Record<string, number>>): readonly string[] => plan(views, { demand, limitsPerS }).filter((order) => order.startsWith('unload'))
  t.deepEqual(unloads({ a: 5 }), ['unload large-2 on b'])
  t.deepEqual([unloads({}), unloads({ a: 20 }), unloads({ a: 5, b: 0.1 })], [[], [], []])
})

test('no load from the weight store is planned while the engine with the copy is busy', (t) => {
  const busy: EngineView = { ...testView('b', [], ['large-1']), backoffUntilMs: 100 }
  const orders = plan([testView('a', ['small-1']), busy], { demand: [{ model: 'large-1', waiting: 3, ratePerS: 1, dueInMs: [-5000, -5000, -5000] }], storeLoadsInProgress: 4 })
  t.deepEqual(orders, [])
})

test('the cheapest set of models is evicted: one idle large model rather than two small ones', (t) => {
  const views = [testView('a', ['small-1', 'small-2', 'large-2'], ['large-1'])]
  const demand = [{ model: 'large-1', waiting: 1, ratePerS: 0.4 }, ...['small-1', 'small-2', 'large-2'].map((model) => ({ model, ratePerS: 0.4 }))]
  t.deepEqual(plan(views, { demand }), ['unload large-2 on a'])
})

test('neither a model with running requests nor the last replica of a model with waiting requests is evicted', (t) => {
  const views = [testView('a', ['large-2', 'large-3'], ['large-1'])]
  const demand = [{ model: 'large-1', waiting: 1, ratePerS: 0.4 }, { model: 'large-2', waiting: 1, ratePerS: 0.4 }, { model: 'large-3', ratePerS: 0.4 }]
  t.deepEqual(plan(views, { demand, running: { 'a large-3': 1 } }), [])
})

test('memory freed for a model is not taken by the model that was evicted', (t) => {
  const withReservation: EngineView = { ...testView('a', ['large-2'], ['large-1', 'large-3']), reservation: { model: 'large-1', untilMs: 400 } }
  t.deepEqual(plan([withReservation]), ['load large-1 on a'])
})

test('no second eviction is planned for a model while one is in progress on another engine', (t) => {
  const evicting: EngineView = {
    ...testView('a', ['large-3'], ['large-1']),
    open: {
      id: 'o', expectedSequence: 0, sentAtMs: 0, answeredAtMs: 0, phase: 'running', planned: { upstream: 'a', operation: 'unload', model: 'large-2', adapter: undefined, reason: '', fromStore: false, expectedMs: 60, replacement: 'large-1' }
    }
  }
  t.deepEqual(plan([evicting, testView('b', ['large-2', 'large-3'], ['large-1'])], { demand: [{ model: 'large-1', waiting: 1 }], running: { 'b large-2': 9, 'b large-3': 9 } }), [])
})

test('a busy model gets another replica before a rare model is loaded', (t) => {
  const views = [testView('a', ['large-1']), testView('b', ['large-2'], ['large-1', 'large-3', 'small-1', 'small-2', 'small-3'])]
  const demand = [{ model: 'large-1', ratePerS: 20, running: 40 }, { model: 'large-3', waiting: 1, ratePerS: 0.3 }, { model: 'large-2', ratePerS: 0.3 }]
  t.is(plan(views, { demand, running: { 'a large-1': 40 } })[0], 'load large-1 on b')
})

test('one waiting request does not evict a replica that a busy model needs', (t) => {
  const views = [testView('a', ['large-1', 'large-2'], ['large-3']), testView('b', ['large-1', 'large-2'])]
  const demand = [{ model: 'large-1', ratePerS: 30, running: 30 }, { model: 'large-2', ratePerS: 30, running: 30 }, { model: 'large-3', waiting: 1, ratePerS: 0.3 }]
  t.deepEqual(plan(views, { demand, storeLoadsInProgress: 4 }), [])
})

test('unused memory is filled from disk, and models without a copy are loaded from the weight store', (t) => {
  t.deepEqual(plan([testView('a', ['large-1'], ['small-1'])], { storeLoadsInProgress: 4 }), ['load small-1 on a'])
  t.deepEqual(plan([testView('a', ['large-1'])]), ['load small-1 on a from the store'])
})

test('an adapter is loaded on a replica with a free slot, else the adapter that has been idle longest is unloaded', (t) => {
  const full = testView('a', ['large-1'])
  const adapters = new Map([['a1', { phase: 'loaded' as const, sinceMs: -9000 }], ['a2', { phase: 'loaded' as const, sinceMs: -5000 }]])
  const crowded: EngineView = { ...full, residents: new Map([['large-1', { phase: 'loaded', sinceMs: -9000, adapters }]]) }
  const demand = [{ model: 'large-1', waiting: 1, ratePerS: 1, adapters: new Map([['a3', 1]]) }]
  const big = MODELS.map((model) => ({ ...model, adapterMb: 2 }))
  t.deepEqual(planOrders(testPlanningInput(big, [crowded, { ...testView('b', ['large-1']) }], { demand, storeLoadsInProgress: 4 })).orders.map(formatOrder), ['load large-1/a3 on b'])
  t.deepEqual(planOrders(testPlanningInput(big, [crowded], { demand, storeLoadsInProgress: 4 })).orders.map(formatOrder), ['unload large-1/a1 on a'])
})

test('the cheapest model is drained for a starving request if every model has running requests', (t) => {
  const views = [testView('a', ['large-2', 'large-3'], ['large-1'])]
  const drainsFor = (dueInMs: readonly number[], unservedMs: number) => {
    const demand = [{ model: 'large-1', waiting: 1, dueInMs, ratePerS: 0.4 }, { model: 'large-2', ratePerS: 0.9 }, { model: 'large-3', ratePerS: 0.3 }]
    const { orders, drains } = planOrders(testPlanningInput(MODELS, views, { demand, running: { 'a large-2': 1, 'a large-3': 2 }, unservedMs: { 'large-1': unservedMs }, storeLoadsInProgress: 4 }))
    return { orders, drains }
  }
  t.deepEqual(drainsFor([-5000], 30_000), { orders: [], drains: [{ upstream: 'a', models: ['large-3'], replacement: 'large-1' }] })
  t.deepEqual(drainsFor([500], 1500), { orders: [], drains: [] })
})

test('a model with many waiting requests is loaded before one with a single waiting request', (t) => {
  const views = [testView('a', ['small-1', 'large-2'], ['large-1', 'large-3'])]
  const demand = [
    { model: 'large-3', waiting: 1, dueInMs: [1500], ratePerS: 0.4 },
    { model: 'large-1', waiting: 9, dueInMs: Array.from({ length: 9 }, () => -200), ratePerS: 9 },
    { model: 'large-2', ratePerS: 0.4 },
    { model: 'small-1', ratePerS: 0.5 }
  ]
  t.deepEqual(plan(views, { demand, storeLoadsInProgress: 4 }), ['unload large-2 on a'])
  t.is(planOrders(testPlanningInput(MODELS, views, { demand, storeLoadsInProgress: 4 })).orders[0]?.replacement, 'large-1')
})

test('two models are not evicted for one with the same request rate as each of them', (t) => {
  const views = [testView('a', ['small-1', 'small-2', 'small-3', 'small-4'], ['large-1'])]
  const demand = [{ model: 'large-1', waiting: 1, dueInMs: [1500], ratePerS: 0.5 }, ...['small-1', 'small-2', 'small-3', 'small-4'].map((model) => ({ model, ratePerS: 0.5 }))]
  t.deepEqual(plan(views, { demand, storeLoadsInProgress: 4 }), [])
})

test('a busy model is loaded from the weight store if its only engine with a copy is overloaded, not if it is merely busy', (t) => {
  const views = [testView('a', ['large-1'], ['large-1']), testView('b', ['small-1'])]
  const demandOf = (running: number, waiting: number): TestDemand => ({
    demand: [{ model: 'large-1', ratePerS: 30, running, waiting, dueInMs: Array.from({ length: waiting }, () => -100) }], running: { 'a large-1': running }
  })
  t.deepEqual(plan(views, demandOf(16, 40)), ['load large-1 on b from the store'])
  t.deepEqual(plan(views, { ...demandOf(12, 0), storeLoadsInProgress: 4 }), [])
})

test('concurrent loads from the weight store for waiting requests are limited', (t) => {
  const views = [testView('a', ['large-1'], ['large-1']), testView('b', ['small-1'])]
  const demand = [{ model: 'large-1', ratePerS: 30, running: 16, waiting: 40, dueInMs: Array.from({ length: 16 }, () => -100) }]
  t.deepEqual(plan(views, { demand, running: { 'a large-1': 16 }, storeLoadsInProgress: 2 }), [])
})
