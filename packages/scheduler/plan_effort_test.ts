import test from 'ava'
import { formatOrder, testModel, testPlanningInput, testView } from './_test_fleet.ts'
import type { EngineView } from './engine_view.ts'
import { planOrders } from './plan_orders.ts'
import { EMPTY_PLACEMENT, publishPlacement } from './published_placement.ts'

const ENGINES = 63
const MODELS = 500
const MODELS_PER_ENGINE = 3

/** Counts how often the engines' reservations are looked at, once for each engine that a model is considered for. */
function countedViews (): { readonly views: readonly EngineView[], looks (): number } {
  let looks = 0
  const views = Array.from({ length: ENGINES }, (_, i) => {
    const view = testView(`e${i}`, Array.from({ length: MODELS_PER_ENGINE }, (_unused, j) => `m${i * MODELS_PER_ENGINE + j}`))
    return Object.defineProperty({ ...view }, 'reservation', {
      enumerable: true,
      get: () => {
        looks += 1
        return undefined
      }
    })
  })
  return { views, looks: () => looks }
}

// Each round considered every engine for each of the models without a copy, though none had room: 311 x 63 options, 66 times a second.
test('models without a copy for which no engine has room cost no search each', (t) => {
  const { views, looks } = countedViews()
  const demand = Array.from({ length: ENGINES * MODELS_PER_ENGINE }, (_, i) => ({ model: `m${i}`, ratePerS: 2 }))
  const models = Array.from({ length: MODELS }, (_, i) => testModel(`m${i}`, 26))
  t.deepEqual(planOrders(testPlanningInput(models, views, { demand })).orders, [])
  t.true(looks() <= 4 * ENGINES, `${looks()} looks at ${ENGINES} engines`)
})

test('a smaller model gets its copy though no engine has room for a larger one, and one with reserved memory too', (t) => {
  const models = [testModel('large', 60), testModel('small', 10), testModel('busy', 40), testModel('reserved', 60)]
  const busy = [{ model: 'busy', ratePerS: 9 }]
  const views = [testView('a', ['busy'])]
  t.deepEqual(planOrders(testPlanningInput(models, views, { demand: busy })).orders.map(formatOrder), ['load small on a from the store'])
  const free: EngineView = { ...testView('b', []), reservation: { model: 'reserved', untilMs: 400 } }
  t.deepEqual(planOrders(testPlanningInput(models, [free], { demand: busy })).orders.map(formatOrder), ['load reserved on b from the store'])
})

test('the placement is not derived again while neither the views nor what time changes in them have changed', (t) => {
  let derived = 0
  const view = Object.defineProperty({ ...testView('a', ['m']) }, 'residents', {
    get: () => {
      derived += 1
      return testView('a', ['m']).residents
    }
  })
  const views = new Map([['a', view]])
  const published = publishPlacement(EMPTY_PLACEMENT, views, 0)
  const before = derived
  t.is(publishPlacement(published, views, 10), published)
  t.is(derived, before)
})
