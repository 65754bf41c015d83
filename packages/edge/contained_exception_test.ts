import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { refusal, type ServingEvent } from '@berylshed/serving'
import test, { type ExecutionContext } from 'ava'
import { createMemoryBudget } from './memory_budget.ts'
import { createExchanges, type Exchanges } from './_exchanges.ts'
import { outcomeOf, type CallerOutcome } from './_test_system.ts'

interface Tried {
  readonly outcome: CallerOutcome
  readonly events: ReadonlyArray<ServingEvent['kind']>
  readonly failures: readonly string[]
  readonly open: number
}

// Opens an exchange for a request whose deadline has passed, lets `act` handle it, and returns what its caller gets.
async function tryExchange (t: ExecutionContext, act: (exchanges: Exchanges, response: ServerResponse) => void): Promise<Tried> {
  const events: Array<ServingEvent['kind']> = []
  const failures: string[] = []
  const exchanges = createExchanges({
    responses: createMemoryBudget(1024 * 1024),
    nowMs: () => 5000,
    upstream: () => undefined,
    hasCustomers: () => false,
    isDraining: () => false,
    needsStoredOrigin: () => false,
    mayContinue: () => true,
    dispatch: (event) => events.push(event.kind),
    failed: (error) => failures.push(String(error)),
    undelivered: () => failures.push('undelivered'),
    revoked: () => failures.push('revoked'),
    unread: () => failures.push('unread')
  })
  const server = createServer((request, response) => {
    exchanges.open({ id: 'x', callerId: 'a1', callerAddress: '', relayed: false, method: 'GET', path: '/', headers: request.rawHeaders, body: Buffer.alloc(0), deadlineMs: 1000, response, hasEndedSending: () => false, announceEnd: () => true, mustEnd: () => false })
    act(exchanges, response)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  t.teardown(() => server.close())
  const outcome = await outcomeOf((server.address() as AddressInfo).port, '/')
  return { outcome, events: events.filter((kind) => kind !== 'caller_left'), failures, open: exchanges.size() }
}

function throwTimes (response: ServerResponse, times: number): void {
  const { writeHead } = response
  let left = times
  response.writeHead = ((...values: unknown[]) => {
    left -= 1
    if (left >= 0) throw new TypeError('invalid head')
    return Reflect.apply(writeHead, response, values)
  }) as ServerResponse['writeHead']
}

// An exception while a response was written left the request without an answer.
test('a request is answered and released if an exception keeps its response from being written', async (t) => {
  const tried = await tryExchange(t, (exchanges, response) => {
    throwTimes(response, 1)
    exchanges.perform({ kind: 'refuse', id: 'x', refusal: refusal('no_upstream', { mayHaveRun: false }) })
  })
  t.like(tried.outcome, { status: 502, isComplete: true })
  t.like(tried, { events: ['exchange_failed'], failures: ['TypeError: invalid head'], open: 0 })
})

test('a connection is closed if no response can be written to it', async (t) => {
  const tried = await tryExchange(t, (exchanges, response) => {
    throwTimes(response, 2)
    exchanges.perform({ kind: 'refuse', id: 'x', refusal: refusal('no_upstream', { mayHaveRun: false }) })
  })
  t.like(tried.outcome, { status: 0, isComplete: false })
  t.like(tried, { events: ['exchange_failed'], open: 0 })
})

test('a response that has begun is broken off if the request cannot be handled any further', async (t) => {
  const tried = await tryExchange(t, (exchanges, response) => {
    response.writeHead(200).write('id: 1\n\n', () => exchanges.giveUp('x'))
  })
  t.like(tried.outcome, { status: 200, text: 'id: 1\n\n', isComplete: false })
  t.deepEqual(tried.events, ['exchange_failed'])
})

test('a request without an outcome is given up once its deadline has passed', async (t) => {
  const tried = await tryExchange(t, (exchanges) => exchanges.expire())
  t.like(tried.outcome, { status: 502, isComplete: true })
  t.like(tried, { events: ['exchange_failed'], open: 0 })
})
