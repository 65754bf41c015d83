import { createServer } from 'node:http'
import test from 'ava'
import { closeServer, listenAt } from './_listen.ts'
import { freePort } from './_test_system.ts'

// A process that was started again while the one before still held its ports ended at once.
test('an address that is in use for a moment is taken once it is free', async (t) => {
  const address = `127.0.0.1:${await freePort()}`
  const [before, after] = [createServer(), createServer()]
  await listenAt(before, address)
  const listening = listenAt(after, address)
  setTimeout(() => before.close(), 300)
  await t.notThrowsAsync(listening)
  t.true(after.listening)
  await closeServer(after)
})

test('an address that stays in use is reported', async (t) => {
  const address = `127.0.0.1:${await freePort()}`
  const [before, after] = [createServer(), createServer()]
  await listenAt(before, address)
  await t.throwsAsync(listenAt(after, address), { code: 'EADDRINUSE' })
  await closeServer(before)
})
