import test from 'ava'
import { formatOrder, testModel, testPlanningInput, testView, type TestDemand } from './_test_fleet.ts'
import type { EngineView } from './engine_view.ts'
import { planOrders } from './plan_orders.ts'

const MODELS = [testModel('wanted', 34), testModel('busy', 34), testModel('rare', 34), testModel('second', 34), testModel('other', 34)]

function ordersFor (views: readonly EngineView[], given: TestDemand): readonly string[] {
  return planOrders(testPlanningInput(MODELS, views, given)).orders.map(formatOrder).filter((order) => order.includes('wanted') || order.includes('rare'))
}

// Two busy models had their only copies on one engine, which holds one of them; the other was refused until the end of the day.
test('a model whose only engine with a copy holds another busy one is loaded from the weight store', (t) => {
  const views = [testView('a', ['busy', 'second'], ['wanted', 'rare']), testView('b', ['other'])]
  const ordersAfter = (ms: number): readonly string[] => ordersFor(views, {
    demand: [{ model: 'wanted', waiting: 20, dueInMs: [400], ratePerS: 15 }, { model: 'busy', waiting: 2, ratePerS: 20 }, { model: 'second', waiting: 2, ratePerS: 20 }],
    running: { 'a busy': 20, 'a second': 20 },
    unservedMs: { wanted: ms }
  })
  t.deepEqual([ordersAfter(500), ordersAfter(2000)], [[], ['load wanted on b from the store']])
})

// An engine was loading a rare model for 6 s, while a busy one was refused that only this engine had a copy of.
test('a rare model is not loaded from the weight store by the only engine with a copy of a model that requests wait for', (t) => {
  const views = [testView('a', ['busy', 'second'], ['wanted', 'rare']), testView('b', ['other'], ['wanted'])]
  const holding = (engine: EngineView): EngineView => ({ ...engine, reservation: { model: 'rare', untilMs: 100 } })
  const given: TestDemand = {
    demand: [{ model: 'wanted', waiting: 4, dueInMs: [400], ratePerS: 10 }, { model: 'rare', waiting: 4, dueInMs: [-3000], ratePerS: 0.8 }, { model: 'busy', waiting: 2, ratePerS: 20 }, { model: 'second', waiting: 2, ratePerS: 20 }],
    running: { 'a busy': 20, 'a second': 20 },
    unservedMs: { wanted: 100, rare: 30_000 }
  }
  const [busy, idle] = views
  if (busy === undefined || idle === undefined) throw new TypeError('Cannot plan: the test has two engines')
  t.deepEqual(ordersFor([busy, holding(idle)], given), [])
  t.deepEqual(ordersFor([busy, holding(testView('b', ['other']))], given), ['load rare on b from the store'])
})
