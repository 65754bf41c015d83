import test from 'ava'
import { newServingHarness, testEngineTarget, testRequest, type ServingHarness } from './_test_serving.ts'
import type { ReceivedRequest } from './request.ts'

const STEP_MS = 40

interface Announced {
  readonly holder: string
  readonly fromMs: number
  readonly untilMs: number
  readonly expectsModel?: boolean
}

// Returns when and how a request for a model that no engine holds ends, while lease holders announce the loads that they expect.
function endWithout (changes: Partial<ReceivedRequest>, holders: readonly Announced[]): string {
  const harness = newServingHarness([testEngineTarget('e1', { other: [] })])
  const targets = new Map([['e1', testEngineTarget('e1', { other: [] })]])
  const request = testRequest('r', { service: 'drafts', model: 'rare', objectiveMs: 2500, deadlineMs: 16_000, ...changes })
  for (let nowMs = 0; nowMs <= 16_000; nowMs += STEP_MS) {
    const effects: string[] = []
    for (const { holder, fromMs, untilMs, expectsModel } of holders) {
      if (nowMs % 200 !== 0 || nowMs < fromMs || nowMs > untilMs) continue
      const loadEstimatesMs = new Map(expectsModel === true ? [['rare', 3000 - nowMs]] : [])
      effects.push(...harness.apply({ kind: 'targets_changed', targets, loadEstimatesMs, version: 2, announcement: { holder, atMs: nowMs }, nowMs }))
    }
    if (nowMs === 0) effects.push(...harness.apply({ kind: 'received', request, nowMs }))
    effects.push(...harness.apply({ kind: 'ticked', nowMs }))
    const end = effects.find((effect) => effect.startsWith('refuse'))
    if (end !== undefined) return `${end} at ${nowMs}`
  }
  return 'waiting'
}

// It was refused after 6.4 s, though the lease holder had not expected a load of its model for five seconds.
test('a request whose model is offered nowhere is refused once the lease holder had the time to announce a load', (t) => {
  t.is(endWithout({}, [{ holder: 'a', fromMs: 0, untilMs: Infinity }]), 'refuse r 503 no_replica not run at 1200')
})

test('a request whose model is expected in time goes on waiting', (t) => {
  const end = endWithout({}, [{ holder: 'a', fromMs: 0, untilMs: Infinity, expectsModel: true }])
  t.true(Number(end.split(' ').at(-1)) >= 6400, end)
})

// An instance that hears nothing does not know that no load is expected.
test('without news of the lease holder a request waits as long as before', (t) => {
  t.is(endWithout({}, []), 'refuse r 503 no_replica not run at 6400')
  t.is(endWithout({}, [{ holder: 'a', fromMs: 0, untilMs: 400 }]), 'refuse r 503 no_replica not run at 6400')
})

// The next lease holder has not heard of the request before its first announcement.
test('a new lease holder has the time to announce a load as well', (t) => {
  t.is(endWithout({}, [{ holder: 'a', fromMs: 0, untilMs: 600 }, { holder: 'b', fromMs: 2600, untilMs: Infinity }]), 'refuse r 503 no_replica not run at 3800')
})

// An engine of two slots answers in 200 ms. Ten requests arrive per second for three seconds, and 40 at once after it.
function overload (): { readonly harness: ServingHarness, readonly burst: readonly string[] } {
  const harness = newServingHarness([{ ...testEngineTarget('e1', { m: [] }), slots: 2 }])
  const running: Array<{ readonly id: string, readonly untilMs: number }> = []
  const burst: string[] = []
  const apply = (event: Parameters<ServingHarness['apply']>[0], nowMs: number): readonly string[] => {
    const effects = harness.apply(event)
    for (const effect of effects) if (effect.startsWith('send')) running.push({ id: effect.split(/[ #]/)[1] ?? '', untilMs: nowMs + 200 })
    return effects
  }
  const arrive = (id: string, nowMs: number): readonly string[] => apply({ kind: 'received', request: testRequest(id, { service: 'drafts', model: 'm', stream: true, objectiveMs: 500, arrivedAtMs: nowMs, deadlineMs: nowMs + 9000, leavesAtMs: nowMs + 2000 }), nowMs }, nowMs)
  for (let nowMs = 0; nowMs <= 3000; nowMs += 20) {
    for (const { id } of running.filter(({ untilMs }) => untilMs <= nowMs)) {
      running.splice(running.findIndex((other) => other.id === id), 1)
      apply({ kind: 'response_ended', id, attempt: 1, status: 200, nowMs }, nowMs)
    }
    if (nowMs % 80 === 0) arrive(`a${nowMs}`, nowMs)
    if (nowMs === 3000) for (let i = 0; i < 40; i += 1) burst.push(...arrive(`b${i}`, nowMs).filter((effect) => effect.startsWith('refuse')))
  }
  return { harness, burst }
}

// All of them waited for 1.8 s and were refused then, as 10 are served per second and their callers leave after 2 s.
test('requests behind a backlog that outlasts their callers are refused on arrival, and the others wait', (t) => {
  const { harness, burst } = overload()
  t.true(burst.length >= 15 && burst.length <= 30, `${burst.length} refused`)
  t.true(burst.every((effect) => effect.endsWith('503 no_capacity not run')))
  t.true((harness.state().waiting.get('drafts')?.length ?? 0) >= 10)
})

test('without observations of a backlog no request is refused on arrival', (t) => {
  const harness = newServingHarness([{ ...testEngineTarget('e1', { m: [] }), slots: 2 }])
  const effects = Array.from({ length: 200 }, (_, i) => harness.apply({ kind: 'received', request: testRequest(`b${i}`, { service: 'drafts', model: 'm', deadlineMs: 9000 }), nowMs: 0 })).flat()
  t.is(effects.filter((effect) => effect.startsWith('refuse')).length, 0)
})
