import test from 'ava'
import { testModel, testPlanningInput, testView } from './_test_fleet.ts'
import { noDemand, type ModelDemand, type ServiceDemand } from './demand.ts'
import type { EngineView } from './engine_view.ts'
import { planOrders } from './plan_orders.ts'
import { trackUnserved, type UnservedDemand } from './unserved_demand.ts'

const MODELS = [testModel('wanted', 34), testModel('busy', 34), testModel('other', 34)]

function demandOf (changes: Partial<ModelDemand>): ServiceDemand {
  const demand: ModelDemand = { ...noDemand('wanted'), ...changes }
  return { models: new Map([['wanted', demand]]), running: new Map(), adapterUsage: new Map() }
}

// Tracks a model from 0 ms to `untilMs`, for which requests come at a rate and are refused each time before the next update.
function trackRefused (ratePerS: number, untilMs: number, views: readonly EngineView[] = []): UnservedDemand {
  let unserved: UnservedDemand = new Map()
  for (let nowMs = 0; nowMs <= untilMs; nowMs += 100) unserved = trackUnserved(unserved, demandOf({ ratePerS }), { views, nowMs })
  return unserved
}

test('requests that were refused count until their model is served', (t) => {
  const missed = (unserved: UnservedDemand): number => Math.round(unserved.get('wanted')?.missed ?? 0)
  t.deepEqual([missed(trackRefused(20, 2000)), missed(trackRefused(0.5, 2000)), missed(trackRefused(20, 2000, [testView('a', ['wanted'])]))], [40, 1, 0])
})

test('what nobody asks for any more is forgotten', (t) => {
  const unserved = trackRefused(20, 2000)
  const later = (nowMs: number): boolean => trackUnserved(unserved, demandOf({}), { views: [], nowMs }).has('wanted')
  t.deepEqual([later(4000), later(11_000), later(12_000)], [true, true, false])
})

test('a pause of the reports does not count as missed requests', (t) => {
  const after = trackUnserved(trackRefused(20, 1000), demandOf({ ratePerS: 20 }), { views: [], nowMs: 9000 })
  t.is(Math.round(after.get('wanted')?.missed ?? 0), 50)
})

// Each request was refused before it was late enough for the engine to be drained, and the next one began anew.
test('a busy model whose requests are all refused early gets the engine that is never idle', (t) => {
  const views = [testView('a', ['busy', 'other'], ['wanted'])]
  const drainsAfter = (ms: number): readonly string[] => planOrders(testPlanningInput(MODELS, views, {
    demand: [{ model: 'wanted', waiting: 20, dueInMs: [400, 100, -1300], ratePerS: 15 }, { model: 'busy', ratePerS: 3 }, { model: 'other', ratePerS: 4 }],
    running: { 'a busy': 4, 'a other': 9 },
    unservedMs: { wanted: ms },
    storeLoadsInProgress: 4
  })).drains.flatMap(({ models }) => models)
  t.deepEqual([drainsAfter(200), drainsAfter(1000)], [[], ['busy']])
})
