import { manifest, DRAFT } from '../standins/manifest.mjs'
import { Requester } from '../standins/requester.mjs'
import { startRunner } from '../standins/runner.mjs'
import { Garble } from '../standins/garble.mjs'
import { pause, runCase } from '../standins/case.mjs'

const CONTACT_MS = 3000
const TRAFFIC_MS = 30_000
/** Share of its answers that a faulty runner breaks off or spoils while the disruption lasts. */
const SPOILED = 0.05
const DISRUPTION_MS = 5000
const DISRUPTIONS_AT_MS = [2000, 10_000, 18_000, 25_000]
const EVENTS = 8
const EVENTS_BEFORE_BREAK = 3

const event = (number) => `id: ${number}\ndata: ${'t'.repeat(50)}\n\n`
const chunk = (text) => `${text.length.toString(16)}\r\n${text}\r\n`

// One faulty runner breaks off streams in the middle. The other one spoils one digit of the status of streams that go on: `300` for `200`;
// the rest of that answer is sound.
function faulty (garble, isFault) {
  return ({ raw, signed, request, end }) => {
    const last = Number(request.headers['last-event-id'] ?? 0)
    if (!garble.take(isFault(last))) return false
    const head = (status) => `HTTP/1.1 ${status}\r\nAttempt-Id: ${signed['Attempt-Id']}\r\nServer-Signature: ${signed['Server-Signature']}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n`
    if (last > 0) {
      raw(head('300 OK') + Array.from({ length: EVENTS - last }, (_, i) => chunk(event(last + 1 + i))).join('') + '0\r\n\r\n')
      end('answered with a spoiled status')
      request.socket.end()
      return true
    }
    setTimeout(() => raw(head('200 OK') + Array.from({ length: EVENTS_BEFORE_BREAK }, (_, i) => chunk(event(1 + i))).join('')), 300)
    setTimeout(() => {
      end('breaks off')
      request.socket.resetAndDestroy()
    }, 350)
    return true
  }
}

await runCase(import.meta.dirname, {
  count: 2,
  async prepare ({ store, record, trouble }) {
    store.put('config', 'main', { Spec: manifest() })
    const garbles = []
    const faults = { 'i-model1': (last) => last === 0, 'i-model2': (last) => last > 0 }
    for (const id of ['i-model1', 'i-model2', 'i-model3', 'i-model4']) {
      const isFault = trouble ? faults[id] : undefined
      const garble = isFault === undefined ? undefined : new Garble(SPOILED)
      await startRunner({ id, service: 'sprachmodelle', store, record, slots: 96, models: id === 'i-model1' || id === 'i-model2' ? ['m1'] : ['m2'], events: EVENTS, firstMs: 300, ...garble === undefined ? {} : { spoil: faulty(garble, isFault) } })
      if (garble !== undefined) garbles.push(garble)
    }
    return { garbles }
  },
  async play ({ record, system, garbles }) {
    await pause(CONTACT_MS + 500)
    const endMs = performance.now() + TRAFFIC_MS
    let drafts = 0
    let brokenOff = 0
    let truncated = 0
    const loop = async (requester, instance, model) => {
      while (performance.now() < endMs) {
        const outcome = await requester.send({ port: instance.front, path: '/entwurf/1', headers: { ...DRAFT, Model: model }, waitMs: 12_000 })
        drafts += 1
        if (outcome.closed) brokenOff += 1
        const ids = [...outcome.body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number))
        if (outcome.status === 200 && outcome.complete && (ids.length !== EVENTS || ids.some((id, i) => id !== i + 1))) {
          truncated += 1
          record.write(requester.name, 'got a complete answer that lacks events', { id: outcome.id, events: ids.join(',') })
        }
      }
    }
    const struck = garbles.map((garble) => garble.strike({ atMs: DISRUPTIONS_AT_MS, forMs: DISRUPTION_MS, record }))
    await Promise.all(system.instances.flatMap((instance, i) => Array.from({ length: 12 }, (_, k) => loop(new Requester(`writer${i}${k}`, record), instance, k % 2 === 0 ? 'm1' : 'm2'))))
    await Promise.all(struck)
    return { broken: truncated > 0, ran: drafts > 0, text: `${truncated} of ${drafts} streams ended as complete before their last event; ${brokenOff} were closed without their end` }
  }
})
