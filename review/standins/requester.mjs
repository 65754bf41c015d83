import { Agent, request as httpRequest } from 'node:http'
import { randomBytes } from 'node:crypto'

/** A requester with one channel that it keeps for many requests. */
export class Requester {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 })
  #used = false
  name

  constructor (name, record) {
    this.name = name
    this.record = record
  }

  /** Sends a request and resolves to what came back; `kept` tells whether the channel had brought an answer before. */
  send ({ port, method = 'POST', path, headers = {}, body = '', waitMs, gapMs = Infinity }) {
    const id = randomBytes(8).toString('hex')
    const outcome = { id, status: 0, body: '', complete: false, closed: false, gaveUp: false, kept: false, sentMs: performance.now(), endedMs: 0 }
    this.record.write(this.name, 'sends', { id, path })
    return new Promise((resolve) => {
      let settled = false
      const finish = (what) => {
        if (settled) return
        settled = true
        clearTimeout(timer)
        clearTimeout(gapTimer)
        outcome.endedMs = performance.now()
        this.record.write(this.name, what, { id, status: outcome.status, bytes: outcome.body.length, ms: Math.round(outcome.endedMs - outcome.sentMs) })
        resolve(outcome)
      }
      const request = httpRequest({
        host: '127.0.0.1', port, method, path, agent: this.#agent, headers: { Host: 'desk.example', 'Attempt-Id': id, 'Deadline-Ms': String(waitMs), ...method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }, ...headers }
      }, (response) => {
        outcome.status = response.statusCode
        outcome.headers = response.headers
        response.on('data', (chunk) => {
          outcome.body += chunk.toString('latin1')
          watchGap()
        })
        response.on('error', () => {})
        response.on('close', () => {
          outcome.complete = response.complete
          outcome.closed = !response.complete
          if (response.complete) this.#used = true
          finish(response.complete ? 'gets' : 'is cut off')
        })
      })
      request.on('socket', () => { outcome.kept = request.reusedSocket && this.#used })
      request.on('error', (error) => {
        outcome.closed = true
        outcome.error = error.code
        finish(`fails ${error.code}`)
      })
      const giveUp = () => {
        outcome.gaveUp = true
        finish('gives up')
        request.destroy()
      }
      const timer = setTimeout(giveUp, waitMs)
      let gapTimer
      const watchGap = () => {
        clearTimeout(gapTimer)
        if (!settled && gapMs < Infinity) gapTimer = setTimeout(giveUp, gapMs)
      }
      watchGap()
      request.end(body)
    })
  }
}
