import { manifest } from '../standins/manifest.mjs'
import { Requester } from '../standins/requester.mjs'
import { startRunner } from '../standins/runner.mjs'
import { Garble } from '../standins/garble.mjs'
import { pause, runCase } from '../standins/case.mjs'

const CONTACT_MS = 3000
const TRAFFIC_MS = 25_000
/** Share of its answers that the faulty runner spoils while the disruption lasts. */
const SPOILED = 0.05
const DISRUPTION_MS = 5000
const DISRUPTIONS_AT_MS = [2000, 10_000, 18_000]
const TIMEOUT_MS = 1000
/** Time after the timeout of the route within which a request has to be answered. */
const SLACK_MS = 500
const BUDGET_MS = 4000
const MIN_UNANSWERED = 8
const BODY = 'released'

// One bit of the head is wrong: the status is `000` instead of `200`.
const garble = new Garble(SPOILED)
function spoil ({ raw, signed, request, end }) {
  if (!garble.take()) return false
  setTimeout(() => {
    raw(`HTTP/1.1 000 OK\r\nAttempt-Id: ${signed['Attempt-Id']}\r\nServer-Signature: ${signed['Server-Signature']}\r\nContent-Type: text/plain\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`)
    end('answered with a spoiled status')
    request.socket.end()
  }, 43)
  return true
}

await runCase(import.meta.dirname, {
  count: 2,
  async prepare ({ store, record, trouble }) {
    store.put('config', 'main', { Spec: manifest({ plainTimeoutMs: TIMEOUT_MS }) })
    for (const id of ['i-desk1', 'i-desk2', 'i-desk3']) await startRunner({ id, service: 'redenkanzlei', store, record, ...trouble && id === 'i-desk1' ? { spoil } : {} })
  },
  async play ({ record, system, trouble }) {
    await pause(CONTACT_MS + 500)
    const endMs = performance.now() + TRAFFIC_MS
    let sent = 0
    let overdue = 0
    let unanswered = 0
    const loop = async (requester, instance) => {
      while (performance.now() < endMs) {
        const outcome = await requester.send({ port: instance.front, path: '/freigabe/1', body: 'release', waitMs: BUDGET_MS })
        const tookMs = outcome.endedMs - outcome.sentMs
        sent += 1
        if (tookMs > TIMEOUT_MS) overdue += 1
        if (tookMs > TIMEOUT_MS + SLACK_MS) unanswered += 1
      }
    }
    const struck = trouble ? garble.strike({ atMs: DISRUPTIONS_AT_MS, forMs: DISRUPTION_MS, record }) : undefined
    await Promise.all(system.instances.flatMap((instance, i) => Array.from({ length: 6 }, (_, k) => loop(new Requester(`office${i}${k}`, record), instance))))
    await struck
    const ownEnds = system.instances.reduce((sum, instance) => sum + instance.ownEnds, 0)
    return {
      broken: unanswered >= MIN_UNANSWERED && unanswered > overdue / 2,
      ran: sent > 0,
      text: `of ${sent} requests ${overdue} were unanswered at the timeout of their route and ${unanswered} half a second later; ${ownEnds} times a process ended by itself`
    }
  }
})
