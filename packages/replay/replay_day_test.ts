import test from 'ava'
import { drawDay } from './draw_day.ts'
import { orderDesk, speechDesk, type ExampleDay } from './example_days.ts'
import { replayDay } from './replay_day.ts'

const SHORT_MS = 12_000

// A quiet part of a day is enough for what concerns the replay itself.
function short (example: ExampleDay): ExampleDay {
  return { ...example, pattern: { ...example.pattern, durationMs: SHORT_MS } }
}

test('a day is drawn and replayed in the same way each time', (t) => {
  const { deployment, pattern } = short(speechDesk(5))
  const requests = drawDay(pattern, 5)
  t.deepEqual(drawDay(pattern, 5), requests)
  t.deepEqual(replayDay(requests, deployment, { seed: 5 }), replayDay(requests, deployment, { seed: 5 }))
})

test('no order overcommits an engine, also where engines crash', (t) => {
  const { deployment, pattern } = short(orderDesk(6))
  const crashes = [{ atMs: 2000, upstream: 'engine-1' }, { atMs: 6000, upstream: 'engine-4' }]
  const figures = replayDay(drawDay(pattern, 6), deployment, { seed: 6, crashes })
  t.is(figures.overcommitments, 0)
  t.true(figures.worthShare > 0)
})

test('requests for models that no engine can hold earn nothing', (t) => {
  const { deployment, pattern } = short(speechDesk(5))
  const requests = drawDay({ ...pattern, rareModels: ['unknown'] }, 7)
  t.is(replayDay(requests, deployment, { seed: 7 }).routes.find(({ route }) => route === 'digests')?.worthShare, 0)
})
