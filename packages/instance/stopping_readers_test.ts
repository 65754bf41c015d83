import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import test from 'ava'
import { openCaller, requestBytes } from './_test_caller.ts'
import { startTestSystem, until } from './_test_system.ts'

const STATE = '/services/approvals/state'
const LARGE_BYTES = 12 * 1024 * 1024
/** Requests sent without waiting, whose answers together exceed the buffers of a connection also where these are large. */
const REQUESTS = 5
/** Time for which the caller reads, longer than a stop waits after the last request, and the time limit of its request, in ms. */
const READING_MS = 14_000
const TIME_LIMIT_MS = 25_000
const STEPS = 28
const STEP_BYTES = 50_000
const TIMEOUT_MS = 60_000

test('responses that are read slowly within their time limit are not cut by a stop', async (t) => {
  t.timeout(TIMEOUT_MS)
  const system = await startTestSystem(1, { drain_ms: 1 })
  const server = createServer((request, response) => {
    request.resume()
    response.writeHead(200, { 'content-type': 'text/plain', 'x-request-id': String(request.headers['x-request-id']) }).end('x'.repeat(LARGE_BYTES))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(async () => {
    server.close()
    await system.standIns.close()
  })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const { document, store } = system.standIns
  store.put('configuration', JSON.stringify({
    ...document, upstreams: document.upstreams.map((upstream) => upstream.kind === 'service' ? { ...upstream, address } : upstream)
  }))
  const [instance] = system.instances
  await until(() => instance?.state().deployment?.version === 2)
  const caller = await openCaller(instance?.httpPort ?? 0)
  const bytesOf = (speech: number): string => requestBytes(STATE, { speech }).replace('x-deadline-ms: 9000', `x-deadline-ms: ${TIME_LIMIT_MS}`)
  caller.socket.write(Array.from({ length: REQUESTS }, (_, i) => bytesOf(i)).join(''))
  await until(() => caller.received().length > 0)
  caller.socket.pause()
  const stopped = instance?.drain()
  for (let step = 1; step <= STEPS; step += 1) {
    await pause(READING_MS / STEPS)
    const untilBytes = caller.socket.bytesRead + STEP_BYTES
    caller.socket.resume()
    while (caller.socket.bytesRead < untilBytes && !caller.socket.destroyed) await pause(1)
    caller.socket.pause()
  }
  caller.socket.resume()
  const text = await caller.closed
  await stopped
  t.true(text.length > REQUESTS * LARGE_BYTES, `${text.length} bytes`)
})
