import test from 'ava'
import { newServingHarness, testEngineTarget, testRequest, type ServingHarness } from './_test_serving.ts'

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
