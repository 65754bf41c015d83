import test from 'ava'
import { newServingHarness, testEngineTarget, testRequest } from './_test_serving.ts'
import { runChoices } from './_test_choice_model.ts'

type Draw = () => number
const LOAD = { instances: 64, engines: 20, slots: 12, durationMs: 4000, arrivalsPerS: 250 }
const sessions = (count: number, shared: number) => (_: number, random: Draw) => {
  const session = Math.floor(random() * count)
  return { sticky: true, promptParts: [`s${session % shared}`, `x${session}`], promptPartTokens: [172, 371], promptTokens: 543, outputTokens: 90 }
}

// The turns of a session went to any engine, which read the whole prompt again.
test('the turns of a session go to an engine that keeps its prompt', (t) => {
  const [earlier, current] = (['earlier', 'current'] as const).map((choice) => runChoices({ ...LOAD, request: sessions(200, 20), choice }))
  t.log(earlier, current)
  t.true((current?.keptTokens ?? 0) > 1.5 * (earlier?.keptTokens ?? Infinity))
  t.true((current?.meanFirstMs ?? Infinity) < (earlier?.meanFirstMs ?? 0))
  t.true((current?.onTime ?? 0) > (earlier?.onTime ?? Infinity))
})

// A part that all requests share drew them all to the engine that keeps it.
test('a part shared by all requests does not overload an engine', (t) => {
  const popular = runChoices({ ...LOAD, request: sessions(1e9, 1), choice: 'current' })
  const without = runChoices({ ...LOAD, request: (count, random) => ({ ...sessions(1e9, 1)(count, random), sticky: false }), choice: 'current' })
  t.log(without, popular)
  t.true(popular.maxOverMean < 1.25 * without.maxOverMean)
  t.true(popular.onTime > without.onTime - 0.02)
  t.true(popular.rejections <= without.rejections + 20)
})

// Prompts of several thousand tokens with one popular beginning are worth a wait, but no queue.
test('a long popular part saves time without making its engine the slowest', (t) => {
  const request = (count: number, random: Draw) => ({ sticky: true, promptParts: [`s${Math.floor(random() * 60)}`, `x${count}`], promptPartTokens: [4000, 100], promptTokens: 4100, outputTokens: 45 })
  const [earlier, current] = (['earlier', 'current'] as const).map((choice) => runChoices({ ...LOAD, request, choice }))
  t.log(earlier, current)
  t.true((current?.meanFirstMs ?? Infinity) < (earlier?.meanFirstMs ?? 0))
  t.true((current?.p99FirstMs ?? Infinity) < (earlier?.p99FirstMs ?? 0))
})

// Hints of parts that engines had evicted sent requests to busy engines for nothing.
test('engines with little memory, and one that restarts, make no request later', (t) => {
  for (const change of [{ kvCapacity: 12_000 }, { restartsAtMs: [1000, 2000, 3000] }]) {
    const [earlier, current] = (['earlier', 'current'] as const).map((choice) => runChoices({ ...LOAD, ...change, request: sessions(400, 20), choice }))
    t.log(earlier, current)
    t.true((current?.meanFirstMs ?? Infinity) < (earlier?.meanFirstMs ?? 0))
    t.true((current?.onTime ?? 0) > (earlier?.onTime ?? Infinity))
  }
})

const ENGINES = ['e1', 'e2', 'e3', 'e4']
const turn = (id: string, nowMs: number, changes = {}) => ({ kind: 'received', request: testRequest(id, { service: 'drafts', model: 'm', stream: true, sticky: true, promptParts: ['long', 'session'], promptPartTokens: [3000, 1000], promptTokens: 4000, arrivedAtMs: nowMs, deadlineMs: nowMs + 9000, ...changes }), nowMs } as const)
const targetsChanged = (changes: Readonly<Record<string, object>>, nowMs: number) => ({ kind: 'targets_changed', targets: new Map(ENGINES.map((id) => [id, { ...testEngineTarget(id, { m: [], other: [] }), ...changes[id] }])), loadEstimatesMs: new Map(), version: 2, nowMs } as const)

// A hint outlived the process or the model that it was about.
test('what an upstream kept is forgotten with its incarnation, its model and a response that it lacks the model', (t) => {
  const lost = [
    (upstream: string) => targetsChanged({ [upstream]: { incarnation: 2 } }, 10),
    (upstream: string) => targetsChanged({ [upstream]: testEngineTarget(upstream, { other: [] }) }, 10),
    () => ({ kind: 'attempt_failed', id: 'a', attempt: 1, failure: 'misdirected', detail: '', nowMs: 10 } as const)
  ]
  for (const loss of lost) {
    const harness = newServingHarness(ENGINES.map((id) => testEngineTarget(id, { m: [], other: [] })))
    const upstream = /to (e\d)/.exec(harness.apply(turn('a', 0)).join())?.[1] ?? ''
    t.is(harness.state().keptPrompts.get(upstream)?.totalTokens, 4000)
    harness.apply(loss(upstream))
    t.is(harness.state().keptPrompts.get(upstream)?.totalTokens ?? 0, 0)
  }
})

// Without prompt parts, without their tokens or on other routes nothing is kept or weighed.
test('prompts matter only on sticky routes', (t) => {
  for (const changes of [{ sticky: false }, { promptPartTokens: [1] }, { promptParts: [], promptPartTokens: [] }]) {
    const harness = newServingHarness(ENGINES.map((id) => testEngineTarget(id, { m: [] })))
    t.deepEqual(harness.apply(turn('a', 0, changes)), ['send a#1 to e1'])
    t.is(harness.state().keptPrompts.size, 0)
  }
})
