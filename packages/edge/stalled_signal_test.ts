import test from 'ava'
import { PLAIN_CONFIGURATION, plainUpstream } from './_test_fleet.ts'
import { FixedRegistry, MemoryStore, outcomeOf, pause, startInstance, TEST_GRACE_MS } from './_test_system.ts'
import { startRawUpstream } from './_test_upstream.ts'

/** Time for which the process got no processor time before the signal came, in ms. */
const STARVED_MS = 600
const CONFIGURATION = { ...PLAIN_CONFIGURATION, routes: PLAIN_CONFIGURATION.routes.map((route) => ({ ...route, timeoutMs: 20_000 })) }

// A stream was cut 6.4 s after the signal, which was taken for one that came when the stall began.
test('a signal that comes at the end of a stall ends requests in the last sixth of the grace period only', async (t) => {
  const upstream = await startRawUpstream(() => {})
  t.teardown(() => upstream.close())
  const { edge, callers } = await startInstance('entry-1', { store: new MemoryStore(), registry: new FixedRegistry(CONFIGURATION, [plainUpstream('u1', `127.0.0.1:${upstream.port}`)]) })
  let endedAtMs = 0
  const answered = outcomeOf(callers, '/bookings/1', { headers: { 'deadline-ms': '20000' } }).then(() => { endedAtMs = performance.now() })
  while (upstream.arrivals().length === 0) await pause(5)
  const stalledAtMs = performance.now()
  while (performance.now() - stalledAtMs < STARVED_MS);
  const signalledAtMs = performance.now()
  await edge.drain()
  await answered
  t.log(`ended ${Math.round(endedAtMs - signalledAtMs)} ms after the signal`)
  t.true(endedAtMs - signalledAtMs >= TEST_GRACE_MS * 5 / 6)
})
