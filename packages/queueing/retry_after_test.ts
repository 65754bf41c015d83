import test from 'ava'
import { retryAfter } from './retry_after.ts'

// Callers that were refused together were told the same delay and met again.
test('requests that are refused together are told delays that are spread over half of the wait', (t) => {
  const delays = Array.from({ length: 1000 }, (_, i) => retryAfter(`r${i}`, { roomInMs: 2000, minMs: 700 }))
  t.true(delays.every((delayMs) => delayMs >= 2000 && delayMs <= 3000))
  const tenths = Array.from({ length: 10 }, (_, i) => delays.filter((delayMs) => Math.floor((delayMs - 2000) / 100) === i).length)
  t.true(Math.max(...tenths) < 150, tenths.join(' '))
  t.is(retryAfter('a', { roomInMs: 2000, minMs: 700 }), retryAfter('a', { roomInMs: 2000, minMs: 700 }))
  t.true(retryAfter('a', { roomInMs: undefined, minMs: 700 }) >= 700)
})
