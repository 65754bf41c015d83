import { Agent } from 'node:http'
import { err, ok, type Result } from 'neverthrow'
import { httpCall } from './http_call.ts'
import { Store, type StoredObject, type StoreFailure, type Update, type UpdateFailure, type WatchOptions } from './store.ts'

const OK = 200
const NO_CONTENT = 204
const CONFLICT = 409
/** Time after the end of a watch's wait at which the connection is considered dead, in ms. */
const WATCH_GRACE_MS = 1000

/** Options of {@linkcode HttpStore}. */
export interface HttpStoreOptions {
  /** Maximum duration of a read or an update, in ms; 1000 by default. */
  readonly timeoutMs?: number
}

/** Client of the platform's object store over HTTP. */
export class HttpStore extends Store {
  readonly #address: string
  readonly #timeoutMs: number
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 64 })

  /**
   * @param address Base address, such as `http://127.0.0.1:8200`.
   * @param options The call timeout.
   */
  constructor (address: string, options: HttpStoreOptions = {}) {
    super()
    this.#address = address
    this.#timeoutMs = options.timeoutMs ?? 1000
  }

  override async list (kind: string): Promise<Result<readonly StoredObject[], StoreFailure>> {
    return err({ kind: 'unavailable', message: `Cannot list ${kind}: this store has no listings` })
  }

  override async read (key: string): Promise<Result<StoredObject, StoreFailure>> {
    const response = await httpCall({ method: 'GET', url: this.#url(key), timeoutMs: this.#timeoutMs, agent: this.#agent })
    if (response.isErr()) return err({ kind: 'unavailable', message: response.error.message })
    if (response.value.status !== OK) return err({ kind: 'unavailable', message: `Store returned HTTP status ${response.value.status}` })
    return ok(_parseObject(response.value.body))
  }

  override async update (key: string, update: Update): Promise<Result<number, UpdateFailure>> {
    const response = await httpCall({
      method: 'PUT',
      url: `${this.#url(key)}?expected=${update.expectedVersion}`,
      body: update.value,
      timeoutMs: this.#timeoutMs,
      agent: this.#agent
    })
    if (response.isErr()) return err({ kind: 'unknown', message: response.error.message })
    if (response.value.status === OK) return ok(_parseObject(response.value.body).version)
    if (response.value.status === CONFLICT) return err({ kind: 'conflict', current: _parseObject(response.value.body) })
    return err({ kind: 'unknown', message: `Store returned HTTP status ${response.value.status}` })
  }

  override async watch (key: string, options: WatchOptions): Promise<Result<StoredObject | undefined, StoreFailure>> {
    const response = await httpCall({
      method: 'GET',
      url: `${this.#url(key)}?after=${options.afterVersion}&wait=${options.waitMs}`,
      timeoutMs: options.waitMs + WATCH_GRACE_MS,
      agent: this.#agent
    })
    if (response.isErr()) return err({ kind: 'unavailable', message: response.error.message })
    if (response.value.status === NO_CONTENT) return ok(undefined)
    if (response.value.status !== OK) return err({ kind: 'unavailable', message: `Store returned HTTP status ${response.value.status}` })
    return ok(_parseObject(response.value.body))
  }

  #url (key: string): string {
    return `${this.#address}/objects/${key}`
  }
}

function _parseObject (body: string): StoredObject {
  return JSON.parse(body) as StoredObject
}
