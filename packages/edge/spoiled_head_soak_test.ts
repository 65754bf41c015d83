import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import test from 'ava'
import { plainUpstream, startInstances } from './_test_fleet.ts'
import { outcomeOf, type CallerOutcome } from './_test_system.ts'
import { startAnsweringUpstream, type ArrivedRequest } from './_test_upstream.ts'

const SEED = Number(process.env.SOAK_SEED ?? 1)
const REQUESTS = Number(process.env.SOAK_REQUESTS ?? 1500)
const CALLERS = 12
const DEADLINE_MS = 3000
/** Time after its deadline within which a request has to be answered, in ms. */
const ANSWER_SLACK_MS = 500
const EVENTS = Array.from({ length: 4 }, (_, i) => `id: ${i + 1}\ndata: ${'t'.repeat(20)}\n\n`)
const BODY = 'x'.repeat(80)
const PATHS = ['/lookups/1', '/bookings/1', '/drafts/1']
const CARRIAGE_RETURN = 13
const LINE_FEED = 10

type Random = (below: number) => number

function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return (below) => uniformInt(generator, 0, below - 1)
}

// Changes, drops, doubles, inserts or swaps one byte within a line.
function spoil (head: string, random: Random): string {
  const at = random(head.length - 2)
  const [before, spoiled, next, after] = [head.slice(0, at), head[at] ?? '', head[at + 1] ?? '', head.slice(at + 2)]
  if (/[\r\n]/.test(spoiled + next)) return head
  const other = random(256)
  const inserted = other === CARRIAGE_RETURN || other === LINE_FEED ? '?' : String.fromCharCode(other)
  return before + ([inserted + next, next, spoiled + spoiled + next, spoiled + inserted + next, next + spoiled][random(5)] ?? '') + after
}

// Spoils half of the heads, but not what frames the body, and breaks off a third of the streams that begin.
function respond (request: ArrivedRequest, random: Random): string {
  const isStream = request.id.includes('drafts')
  const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${request.id}\r\nServer-Signature: s\r\nWeight-Versions: 1\r\nContent-Type: ${isStream ? 'text/event-stream' : 'text/plain'}\r\n`
  const rest = EVENTS.slice(Number(request.lastEventId ?? 0)).join('')
  const body = isStream ? rest : BODY
  const sent = isStream && random(3) === 0 ? body.slice(0, random(body.length)) : body
  return `${random(2) === 0 ? spoil(head, random) : head}Content-Length: ${body.length}\r\n\r\n${sent}`
}

function faultOf (path: string, { status, text, isComplete, elapsedMs }: CallerOutcome): string | undefined {
  if (elapsedMs > DEADLINE_MS + ANSWER_SLACK_MS) return `no answer to ${path} within ${Math.round(elapsedMs)} ms`
  if (status === 0) return `connection closed without an answer to ${path}`
  const whole = path === '/drafts/1' ? EVENTS.join('') : BODY
  if (status === 200 && isComplete && text !== whole) return `incomplete answer to ${path} looks complete: ${JSON.stringify(text)}`
  return status === 200 && !whole.startsWith(text) ? `answer to ${path} is another one: ${JSON.stringify(text)}` : undefined
}

test(`heads that are spoiled at random cost neither answers nor their completeness (seed ${SEED})`, async (t) => {
  const random = createRandom(SEED)
  const addresses = await Promise.all([1, 2, 3].map(() => startAnsweringUpstream(t, (request) => respond(request, random))))
  const [instance] = await startInstances(t, [addresses.map((address, i) => plainUpstream(`u${i}`, address, 100))])
  let sent = 0
  const faults: string[] = []
  const call = async (): Promise<void> => {
    while (sent < REQUESTS) {
      sent += 1
      const path = PATHS[sent % PATHS.length] ?? ''
      const outcome = await outcomeOf(instance?.callers ?? 0, path, { headers: { 'attempt-id': `${path.split('/')[1]}-${sent}`, 'deadline-ms': String(DEADLINE_MS) } })
      const fault = faultOf(path, outcome)
      if (fault !== undefined) faults.push(`${fault} (request ${sent})`)
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, call))
  t.deepEqual(faults, [])
})
