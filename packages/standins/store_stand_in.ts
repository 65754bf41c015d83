import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { StoredObject } from '@berylshed/platform'
import { listen, type Listener } from './_listen.ts'
import { readBody } from './_read_body.ts'
import { answerJson } from './_answer_json.ts'

/** Faults of a store stand-in, which can be changed directly or through `/control`. */
export interface StoreStandInFaults {
  /** Answers every call with 503. */
  down: boolean
  /** Delay of every answer, in ms. */
  delayMs: number
  /** Number of next updates that are applied but not answered. */
  loseAnswers: number
  /** Leaves watches open and never answers them. */
  silentWatches: boolean
}

/** Running store stand-in. */
export interface StoreStandIn extends Listener {
  readonly faults: StoreStandInFaults
  /** Number of calls so far, by kind. */
  readonly calls: { reads: number, writes: number, watches: number }
  /** Sets an object regardless of its version. */
  put (key: string, value: string): void
  /** Returns an object; one that was never set has version 0 and an empty value. */
  get (key: string): StoredObject
}

interface _Watcher {
  readonly key: string
  readonly after: number
  readonly response: ServerResponse
  readonly timer: NodeJS.Timeout
}

/**
 * Starts a stand-in for the platform's object API that keeps its objects in memory.
 *
 * @param port The port to listen on; 0 for any.
 * @returns The running stand-in.
 *
 * @example
 * ```ts
 * const store = await startStoreStandIn(0)
 * store.put('configuration', '{}')
 * await store.close()
 * ```
 */
export async function startStoreStandIn (port: number): Promise<StoreStandIn> {
  const objects = new Map<string, StoredObject>()
  const watchers = new Set<_Watcher>()
  const faults: StoreStandInFaults = { down: false, delayMs: 0, loseAnswers: 0, silentWatches: false }
  const calls = { reads: 0, writes: 0, watches: 0 }

  function get (key: string): StoredObject {
    return objects.get(key) ?? { key, version: 0, value: '' }
  }

  function put (key: string, value: string): StoredObject {
    const object = { key, version: get(key).version + 1, value }
    objects.set(key, object)
    for (const watcher of watchers) {
      if (watcher.key === key) _answerWatch(watcher, object)
    }
    return object
  }

  function _answerWatch (watcher: _Watcher, object: StoredObject): void {
    if (faults.silentWatches) return
    watchers.delete(watcher)
    clearTimeout(watcher.timer)
    answerJson(watcher.response, 200, object)
  }

  function watch (key: string, url: URL, response: ServerResponse): void {
    calls.watches += 1
    const after = Number(url.searchParams.get('after'))
    const current = get(key)
    if (current.version > after) return answerJson(response, 200, current)
    const timer = setTimeout(() => {
      watchers.delete(watcher)
      if (!faults.silentWatches) response.writeHead(204).end()
    }, Number(url.searchParams.get('wait')))
    const watcher = { key, after, response, timer }
    watchers.add(watcher)
    response.on('close', () => {
      watchers.delete(watcher)
      clearTimeout(timer)
    })
  }

  async function update (key: string, url: URL, exchange: _Exchange): Promise<void> {
    calls.writes += 1
    const value = await readBody(exchange.request)
    const current = get(key)
    if (current.version !== Number(url.searchParams.get('expected'))) return answerJson(exchange.response, 409, current)
    const object = put(key, value)
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1
      exchange.response.destroy()
      return
    }
    answerJson(exchange.response, 200, { ...object, value: '' })
  }

  async function control (exchange: _Exchange): Promise<void> {
    Object.assign(faults, JSON.parse(await readBody(exchange.request)))
    answerJson(exchange.response, 200, { ...faults, ...calls })
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    if (url.pathname === '/control') return control({ request, response })
    if (faults.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, faults.delayMs))
    if (faults.down) return answerJson(response, 503, { message: 'The store is down' })
    const key = decodeURIComponent(url.pathname.replace('/objects/', ''))
    if (request.method === 'PUT') return update(key, url, { request, response })
    if (url.searchParams.has('after')) return watch(key, url, response)
    calls.reads += 1
    answerJson(response, 200, get(key))
  }

  const server = createServer((request, response) => {
    handle(request, response).catch((error: unknown) => response.destroy(error instanceof Error ? error : undefined))
  })
  const listener = await listen(server, port)
  return { ...listener, faults, calls, put, get }
}

interface _Exchange {
  readonly request: IncomingMessage
  readonly response: ServerResponse
}
