import { manifest, DRAFT } from '../standins/manifest.mjs'
import { Requester } from '../standins/requester.mjs'
import { startRunner } from '../standins/runner.mjs'
import { Garble } from '../standins/garble.mjs'
import { pause, runCase } from '../standins/case.mjs'

const CONTACT_MS = 3000
const TRAFFIC_MS = 24_000
/** Share of its answers that the faulty runner spoils while the disruption lasts. */
const SPOILED = 0.05
const DISRUPTION_MS = 5000
const DISRUPTIONS_AT_MS = [2000, 10_000, 18_000]
const ALLOWED_LOSSES = 3

// One byte of the head is wrong: a space instead of the hyphen in `Weight-Versions`.
const garble = new Garble(SPOILED)
function spoil ({ raw, attempt, signed, request, end }) {
  if (!garble.take()) return false
  raw(`HTTP/1.1 200 OK\r\nAttempt-Id: ${attempt}\r\nServer-Signature: ${signed['Server-Signature']}\r\nContent-Type: text/event-stream\r\nWeight Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n`)
  raw('d\r\nid: 1\ndata: t\r\n2\r\n\n\n\r\n0\r\n\r\n')
  end('answered with a spoiled head')
  request.socket.end()
  return true
}

await runCase(import.meta.dirname, {
  count: 2,
  async prepare ({ store, record, trouble }) {
    store.put('config', 'main', { Spec: manifest() })
    await startRunner({ id: 'i-model1', service: 'sprachmodelle', store, record, slots: 96, models: ['m1', 'm2'] })
    await startRunner({ id: 'i-model2', service: 'sprachmodelle', store, record, slots: 96, models: ['m1', 'm2'], ...trouble ? { spoil } : {} })
    const desks = []
    for (const id of ['i-desk1', 'i-desk2', 'i-desk3']) desks.push(await startRunner({ id, service: 'redenkanzlei', store, record }))
    return { desks }
  },
  async play ({ record, system, trouble, desks }) {
    await pause(CONTACT_MS + 500)
    const endMs = performance.now() + TRAFFIC_MS
    let lost = 0
    let drafts = 0
    let approvals = 0
    const loop = async (requester, instance, options, count) => {
      while (performance.now() < endMs) {
        const outcome = await requester.send({ port: instance.front, ...options })
        count(outcome)
        await pause(outcome.closed ? 500 : 10)
      }
    }
    const loops = system.instances.flatMap((instance, i) => [
      ...Array.from({ length: 4 }, (_, k) => loop(new Requester(`writer${i}${k}`, record), instance, { path: '/entwurf/1', headers: DRAFT, waitMs: 12_000 }, () => { drafts += 1 })),
      ...Array.from({ length: 5 }, (_, k) => loop(new Requester(`office${i}${k}`, record), instance, { path: '/freigabe/1', body: 'release', waitMs: 1000 }, (outcome) => {
        approvals += 1
        // Requests that a sound runner ran, on a channel that had brought answers before and is closed without a byte of an answer.
        if (outcome.closed && outcome.kept && outcome.status === 0 && desks.some(({ ran }) => ran.has(outcome.id))) lost += 1
      }))
    ])
    const struck = trouble ? garble.strike({ atMs: DISRUPTIONS_AT_MS, forMs: DISRUPTION_MS, record }) : undefined
    await Promise.all(loops)
    await struck
    const ownEnds = system.instances.reduce((sum, instance) => sum + instance.ownEnds, 0)
    const crash = system.instances.map(({ log }) => /ERR_INVALID_HTTP_TOKEN/.exec(log)?.[0]).find((code) => code !== undefined) ?? ''
    return {
      broken: lost > ALLOWED_LOSSES,
      text: `${lost} kept channels were closed without an answer to a request (${ALLOWED_LOSSES} allowed); ${ownEnds} times a process ended by itself ${crash}; ${drafts} drafts, ${approvals} approvals`
    }
  }
})
