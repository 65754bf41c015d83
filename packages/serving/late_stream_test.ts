import test from 'ava'
import { newServingHarness, testRequest, testTarget, type ServingHarness } from './_test_serving.ts'

const FAST_MS = 700
const SLOW_MS = 4800
const SIGNALLED_AT_MS = 20_000
const NEW_CALLERS_MS = 2600
const CLOSES_AFTER_MS = 7000
const stream = (id: string, arrivedAtMs: number, timeoutMs = 12_000) => testRequest(id, { route: 'drafts', stream: true, arrivedAtMs, deadlineMs: arrivedAtMs + timeoutMs })

function serve (harness: ServingHarness, id: string, { fromMs, forMs }: { readonly fromMs: number, readonly forMs: number }): void {
  harness.apply({ kind: 'received', request: stream(id, fromMs), nowMs: fromMs })
  harness.apply({ kind: 'response_started', id, attempt: 1, nowMs: fromMs + 60 })
  harness.apply({ kind: 'response_ended', id, attempt: 1, status: 200, nowMs: fromMs + forMs })
}

// An instance has served a hundred streams, some of them long ones, and gets its signal.
function startStopping ({ longOnes = 0, shortOnes = 100 }: { readonly longOnes?: number, readonly shortOnes?: number } = {}): ServingHarness {
  const harness = newServingHarness([testTarget('u1', { slots: 100 })])
  for (let n = 0; n < longOnes; n += 1) serve(harness, `slow${n}`, { fromMs: SIGNALLED_AT_MS - 15_000 + n, forMs: SLOW_MS })
  for (let n = 0; n < shortOnes; n += 1) serve(harness, `fast${n}`, { fromMs: SIGNALLED_AT_MS - 10_000 + n * 90, forMs: FAST_MS })
  harness.apply({ kind: 'shutdown_announced', newCallersUntilMs: SIGNALLED_AT_MS + NEW_CALLERS_MS, closesAtMs: SIGNALLED_AT_MS + CLOSES_AFTER_MS, nowMs: SIGNALLED_AT_MS })
  return harness
}

// Sends a stream some time after the signal and returns what becomes of it.
function sendAfter (harness: ServingHarness, afterMs: number, timeoutMs?: number): string {
  const nowMs = SIGNALLED_AT_MS + afterMs
  if (afterMs >= NEW_CALLERS_MS) harness.apply({ kind: 'shutdown_started', nowMs: SIGNALLED_AT_MS + NEW_CALLERS_MS })
  const [effect = ''] = harness.apply({ kind: 'received', request: stream('late', nowMs, timeoutMs), nowMs })
  return effect
}

const SENT = 'send late#1 to u1'
const REFUSED = 'refuse late 503 shutting_down not run'

// A stream was accepted 4.4 s after SIGTERM, as streams of its route usually were short, and was cut.
test('a stream that arrives late in a planned stop is refused however short others were', (t) => {
  t.is(sendAfter(startStopping(), 4400), REFUSED)
  t.is(sendAfter(startStopping(), 3100), REFUSED)
})

test('a stream that its own deadline ends before the instance does is accepted late in a planned stop', (t) => {
  t.is(sendAfter(startStopping(), 4400, 2000), SENT)
})

// Behind a dozen short streams, long ones no longer counted.
test('a stream that may take as long as several others lately did is refused early in a planned stop', (t) => {
  const longOnes = 3
  t.is(sendAfter(startStopping({ longOnes, shortOnes: 40 }), 2400), REFUSED)
  t.is(sendAfter(startStopping({ longOnes, shortOnes: 40 }), 2100), SENT)
  t.is(sendAfter(startStopping({ shortOnes: 40 }), 2400), SENT)
})

test('a single long stream, or long ones of some time ago, keep no others out early in a planned stop', (t) => {
  t.is(sendAfter(startStopping({ longOnes: 1, shortOnes: 40 }), 2400), SENT)
  t.is(sendAfter(startStopping({ longOnes: 3 }), 2400), SENT)
})

// An instance that had just started knew only the short streams, as the long ones still ran.
test('streams that still run count among those of their route', (t) => {
  const harness = newServingHarness([testTarget('u1', { slots: 100 })])
  const startedAtMs = SIGNALLED_AT_MS - 2500
  for (const id of ['a', 'b']) harness.apply({ kind: 'received', request: stream(id, startedAtMs), nowMs: startedAtMs })
  for (let n = 0; n < 10; n += 1) serve(harness, `fast${n}`, { fromMs: startedAtMs + n * 100, forMs: FAST_MS })
  harness.apply({ kind: 'shutdown_announced', newCallersUntilMs: SIGNALLED_AT_MS + NEW_CALLERS_MS, closesAtMs: SIGNALLED_AT_MS + CLOSES_AFTER_MS, nowMs: SIGNALLED_AT_MS })
  t.is(sendAfter(harness, 2400), REFUSED)
})

// A signal that is handled late leaves less of the time in which the load balancer may send new callers.
test('a stream is refused once new callers no longer come though the listener is still open', (t) => {
  const harness = startStopping()
  const nowMs = SIGNALLED_AT_MS + NEW_CALLERS_MS
  t.deepEqual(harness.apply({ kind: 'received', request: stream('late', nowMs), nowMs }), [REFUSED])
})
