import { createServer } from 'node:http'

const HEARTBEAT_MS = 1200
const MISSED_HEARTBEATS = 3

/**
 * Starts a stand-in for a runner: it registers itself in the store, answers plain requests whole and model requests as a stream of events,
 * and takes orders. `spoil` may answer a request in another way: it gets the request, a function that writes raw bytes, and what a sound
 * answer would hold.
 */
export async function startRunner ({ id, service, store, record, slots = 6, models, version = 'v1', workMs = 43, firstMs = 30, gapMs = 30, answerBytes = 800, events = 8, spoil = () => false }) {
  const born = Date.now()
  let state = 'ready'
  const sequence = 0
  let beats = 0
  let active = 0
  let answers = 0
  let highestFence = 0
  const ran = new Set()

  function report () {
    return { Stage: 'mixed', Models: (models ?? []).map((Name) => ({ Name, Version: 1, Adapters: [] })), Busy: false, Sequence: sequence, Queued: 0, Active: active, KvUsed: 1000 * active, KvTotal: 159249, Handles: 0, Available: { InMemory: models ?? [], OnDisk: models ?? [] }, born }
  }

  function beat () {
    beats += 1
    store.put('servers', id, {
      Spec: null,
      Status: { Service: service, Address: address, Zone: 'bayern-a', Version: version, Slots: slots, State: state, ColdRemainingMs: 0, Stage: 'mixed', ...models === undefined ? {} : { Models: report().Models, Available: report().Available }, Sequence: beats, born }
    })
  }

  function json (response, status, body, headers = {}) {
    const text = JSON.stringify(body)
    response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text), ...headers }).end(text)
  }

  // What this stand-in holds never changes, so an order that is valid already holds.
  function order (response, text) {
    const { Holder, FencingToken, Expect } = JSON.parse(text)
    record.write(id, 'order', { holder: Holder, fence: FencingToken, expect: Expect })
    if (Holder === undefined || FencingToken === undefined) return json(response, 400, {})
    if (FencingToken < highestFence) return json(response, 412, {})
    highestFence = FencingToken
    return json(response, Expect !== undefined && Expect !== sequence ? 409 : 200, {})
  }

  function run (request, response) {
    const attempt = request.headers['attempt-id']
    active += 1
    answers += 1
    ran.add(attempt)
    record.write(id, 'runs', { id: attempt, answer: answers, ...request.headers['last-event-id'] === undefined ? {} : { after: request.headers['last-event-id'] } })
    const signed = { 'Attempt-Id': attempt, 'Server-Signature': `${id}.${attempt}` }
    let done = false
    const end = (what) => {
      if (done) return
      done = true
      active -= 1
      record.write(id, what, { id: attempt })
    }
    response.on('close', () => end('left'))
    const raw = (text) => { if (!response.destroyed) request.socket.write(text) }
    if (spoil({ request, response, attempt, answers, raw, signed, end })) return
    if (models === undefined) {
      setTimeout(() => {
        if (done) return
        end('answered')
        response.writeHead(200, { ...signed, 'Content-Type': 'application/octet-stream', 'Content-Length': answerBytes }).end(Buffer.alloc(answerBytes, 'x'))
      }, workMs)
      return
    }
    let next = 1 + Number(request.headers['last-event-id'] ?? 0)
    const emit = () => {
      if (done) return
      if (!response.headersSent) response.writeHead(200, { ...signed, 'Content-Type': 'text/event-stream', 'Weight-Versions': '1' })
      response.write(`id: ${next}\ndata: ${'t'.repeat(50)}\n\n`)
      next += 1
      if (next <= events) return setTimeout(emit, gapMs)
      end('answered')
      response.end()
    }
    setTimeout(emit, firstMs)
  }

  const server = createServer((request, response) => {
    const chunks = []
    request.on('data', (chunk) => chunks.push(chunk))
    request.on('error', () => {})
    request.on('end', () => {
      const expected = request.headers['expect-instance']
      if (expected !== undefined && expected !== id) return json(response, 421, {}, { 'Instance-Id': id })
      if (request.url === '/report') return json(response, 200, report())
      if (request.url === '/order') return order(response, Buffer.concat(chunks).toString())
      if (request.url === '/healthz') return json(response, state === 'ready' ? 200 : 503, {}, { 'Instance-Id': id })
      const attempt = request.headers['attempt-id']
      if (attempt === undefined) return json(response, 400, {}, { 'Not-Executed': '1' })
      if (active >= slots * 5) return json(response, 503, {}, { 'Attempt-Id': attempt, 'Not-Executed': '1' })
      run(request, response)
    })
  })
  server.on('clientError', (_error, socket) => socket.destroy())
  server.keepAliveTimeout = 5000
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${server.address().port}`
  beat()
  const beating = setInterval(beat, HEARTBEAT_MS)
  beating.unref()
  return {
    id,
    address,
    ran,
    // Ends the runner for good; the store drops its entry after three heartbeats of silence.
    crash: () => {
      record.write(id, 'crashes', { active })
      clearInterval(beating)
      server.close()
      server.closeAllConnections()
      setTimeout(() => store.remove('servers', id), MISSED_HEARTBEATS * HEARTBEAT_MS)
    },
    leave: () => {
      state = 'draining'
      beat()
    }
  }
}
