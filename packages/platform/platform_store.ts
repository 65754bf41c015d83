import { Agent } from 'node:http'
import { isStoreRevision, storePosition, storeRevision, type RegistrationChange } from '@berylshed/fleet'
import { checkDocument, formatFinding, type Finding } from '@berylshed/settings'
import type { Schema } from 'effect'
import { err, ok, type Result } from 'neverthrow'
import { decodeConfiguration } from './_decode_configuration.ts'
import { decodeUpstream } from './_decode_upstream.ts'
import { WireEvents, WireObject, WirePage } from './_wire_object.ts'
import { httpCall, type HttpResponse } from './http_call.ts'
import { readStoreEra } from './http_headers.ts'
import { Registry, type RegisteredConfiguration, type RegistrationChanges, type RegistryFailure, type RegistryWatch, type UpstreamListing } from './registry.ts'
import { Store, type StoredObject, type StoreFailure, type Update, type UpdateFailure, type WatchOptions } from './store.ts'

const OK = 200
const CREATED = 201
const BAD_REQUEST = 400
const NOT_FOUND = 404
const CONFLICT = 409
const GONE = 410
const SERVICE_UNAVAILABLE = 503
const TOO_MANY_REQUESTS = 429

const CONFIGURATION_KIND = 'config'
const CONFIGURATION_NAME = 'main'
const UPSTREAM_KIND = 'servers'

/** Maximum wait for the response to a call other than a watch, in ms: 60 times a slow response (4 ms) and the round trip. */
const CALL_TIMEOUT_MS = 800
/** Time after the end of a watch's wait at which the connection is considered dead, in ms. */
const WATCH_GRACE_MS = 500

/** Maximum number of pages of a listing: 32,000 entries at the store's 500 a page, many times those of the largest deployments. */
const MAX_PAGES = 64
/** Maximum size of all pages of a listing, in bytes: half of the store's pages of 1 MB. */
const MAX_LISTING_BYTES = 32 * 1024 * 1024

/** Options of {@linkcode PlatformStore}. */
export interface PlatformStoreOptions {
  /** Called once for each entry of a response that cannot be decoded. */
  onUnreadableEntry? (findings: readonly string[]): void
}

type _WireObject = typeof WireObject.Type

/** A response of the store, of any status. */
export interface StoreResponse extends HttpResponse {
  /** How often the store had been restored from a copy when it responded. */
  readonly era: number
}

/** Client of the platform's store, which holds the process's own objects, the configuration and the registrations. */
export class PlatformStore extends Store {
  readonly #address: string
  readonly #onUnreadableEntry: (findings: readonly string[]) => void
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 16 })
  #era = 0

  /** Registry that reads the configuration and the registrations from the store. */
  readonly registry: Registry

  /**
   * @param address Host and port of the store.
   * @param options The callback for entries that cannot be decoded.
   */
  constructor (address: string, options: PlatformStoreOptions = {}) {
    super()
    this.#address = address
    this.#onUnreadableEntry = options.onUnreadableEntry ?? (() => {})
    this.registry = new PlatformRegistry(this)
  }

  override era (): number {
    return this.#era
  }

  override async read (key: string): Promise<Result<StoredObject, StoreFailure>> {
    const response = await this.request('GET', `/objects/${key}`)
    if (response.isErr()) return err(response.error)
    if (response.value.status === NOT_FOUND) return ok({ key, version: 0, value: '' })
    return this.#decodeObject(key, response.value)
  }

  override async list (kind: string): Promise<Result<readonly StoredObject[], StoreFailure>> {
    const objects: StoredObject[] = []
    const limits = _limitListing()
    let after = ''
    for (;;) {
      const response = await this.request('GET', `/objects/${kind}${after}`)
      if (response.isErr()) return err(response.error)
      const page = _decodeResponse(response.value, WirePage)
      if (page.isErr()) return err({ kind: 'unavailable', message: page.error.message })
      const { era } = response.value
      const decoded = page.value.items.flatMap((item) => _decodeObject(item) ?? [])
      objects.push(...decoded.map(({ Metadata, Spec }) => ({ key: `${kind}/${Metadata.Name}`, version: storePosition({ era, revision: Metadata.Revision }), value: JSON.stringify(Spec ?? null) })))
      const last = decoded.at(-1)
      if (page.value.More !== true || last === undefined) return ok(objects)
      const unlimited = limits.add(response.value.body.length, last.Metadata.Name)
      if (unlimited !== undefined) return err({ kind: 'unavailable', message: unlimited })
      after = `?after=${encodeURIComponent(last.Metadata.Name)}`
    }
  }

  override async update (key: string, update: Update): Promise<Result<number, UpdateFailure>> {
    const name = key.split('/').at(-1) ?? key
    const kind = key.slice(0, key.length - name.length - 1)
    const exists = update.expectedVersion > 0
    const metadata = exists ? { Name: name, Revision: storeRevision(update.expectedVersion).revision } : { Name: name }
    const body = JSON.stringify({ Metadata: metadata, Spec: JSON.parse(update.value) })
    const response = await (exists ? this.request('PUT', `/objects/${key}`, body) : this.request('POST', `/objects/${kind}`, body))
    if (response.isErr()) return err({ kind: 'unknown', message: response.error.message })
    const { status } = response.value
    if (status === OK || status === CREATED) return this.#decodeObject(key, response.value).map(({ version }) => version).mapErr(({ message }) => ({ kind: 'unknown', message }))
    if (status === NOT_FOUND) return err({ kind: 'conflict', current: { key, version: 0, value: '' } })
    if (status === CONFLICT) return await this.#resolveConflict(key, response.value)
    // A rejected call changed nothing, so the same conditional update can be sent again.
    if (status === SERVICE_UNAVAILABLE || status === TOO_MANY_REQUESTS) return err({ kind: 'unknown', message: `Store rejected the call with HTTP status ${status}` })
    return err({ kind: 'unknown', message: `Store returned HTTP status ${status}` })
  }

  override async watch (key: string, _options: WatchOptions): Promise<Result<StoredObject | undefined, StoreFailure>> {
    return await this.read(key)
  }

  /**
   * Makes a call with a limited duration.
   *
   * @param method The HTTP method.
   * @param path Path and query.
   * @param body The request body, if any.
   * @returns The response with any status, or a failure if there is no complete response.
   */
  async request (method: 'GET' | 'PUT' | 'POST', path: string, body?: string): Promise<Result<StoreResponse, StoreFailure>> {
    return await this.#send({ method, path, body, timeoutMs: CALL_TIMEOUT_MS, agent: this.#agent })
  }

  /**
   * Makes a call that the store holds open until something changes.
   *
   * @param path Path and query.
   * @param waitMs Maximum time for which the store holds the call, in ms.
   * @returns The response with any status, or a failure if there is no complete response.
   */
  async longPoll (path: string, waitMs: number): Promise<Result<StoreResponse, StoreFailure>> {
    return await this.#send({ method: 'GET', path, body: undefined, timeoutMs: waitMs + WATCH_GRACE_MS, agent: this.#agent })
  }

  /**
   * Reports findings in an entry written by another writer.
   *
   * @param findings The findings.
   */
  reportFindings (findings: readonly Finding[]): void {
    this.#onUnreadableEntry(findings.map(formatFinding))
  }

  async #send (call: _Call): Promise<Result<StoreResponse, StoreFailure>> {
    const response = await httpCall({
      method: call.method,
      url: `http://${this.#address}${call.path}`,
      timeoutMs: call.timeoutMs,
      agent: call.agent,
      ...call.body === undefined ? {} : { body: call.body, headers: { 'content-type': 'application/json' } }
    })
    if (response.isErr()) return err({ kind: 'unavailable', message: response.error.message })
    const era = readStoreEra(response.value.headers) ?? this.#era
    if (!isStoreRevision({ era, revision: 0 })) return err({ kind: 'unavailable', message: `Store responded from era ${era}, which is not the number of its restores` })
    if (era < this.#era) return err({ kind: 'unavailable', message: `Store responded from era ${era} after era ${this.#era}` })
    this.#era = era
    return ok({ ...response.value, era })
  }

  async #resolveConflict (key: string, response: StoreResponse): Promise<Result<number, UpdateFailure>> {
    const included = this.#decodeObject(key, response)
    const current = included.isOk() ? included : await this.read(key)
    return current.isOk() ? err({ kind: 'conflict', current: current.value }) : err({ kind: 'unknown', message: current.error.message })
  }

  #decodeObject (key: string, response: StoreResponse): Result<StoredObject, StoreFailure> {
    if (response.status >= BAD_REQUEST && response.status !== CONFLICT) return err({ kind: 'unavailable', message: `Store returned HTTP status ${response.status}` })
    const object = _parseAs(response.body, WireObject, key)
    if (object.isErr()) return err({ kind: 'unavailable', message: object.error.map(formatFinding).join('; ') })
    return ok({ key, version: storePosition({ era: response.era, revision: object.value.Metadata.Revision }), value: JSON.stringify(object.value.Spec ?? null) })
  }
}

interface _Call {
  readonly method: 'GET' | 'PUT' | 'POST'
  readonly path: string
  readonly body: string | undefined
  readonly timeoutMs: number
  readonly agent: Agent
}

class PlatformRegistry extends Registry {
  readonly #store: PlatformStore

  constructor (store: PlatformStore) {
    super()
    this.#store = store
  }

  override async readConfiguration (): Promise<Result<RegisteredConfiguration, RegistryFailure>> {
    const page = await this.#list(CONFIGURATION_KIND, '')
    if (page.isErr()) return err(page.error)
    return this.#decodeConfiguration(page.value.items, page.value.position)
  }

  override async watchConfiguration (watch: RegistryWatch): Promise<Result<RegisteredConfiguration, RegistryFailure>> {
    const events = await this.#watch(CONFIGURATION_KIND, watch)
    if (events.isErr()) return err(events.error)
    const kept = events.value.events.filter((event) => event.Deleted !== true).map((event) => event.Object)
    return this.#decodeConfiguration(kept, events.value.position)
  }

  override async listUpstreams (): Promise<Result<UpstreamListing, RegistryFailure>> {
    const items: unknown[] = []
    const limits = _limitListing()
    let after = ''
    let firstEra: number | undefined
    for (;;) {
      const page = await this.#list(UPSTREAM_KIND, after)
      if (page.isErr()) return err(page.error)
      const { era } = storeRevision(page.value.position)
      firstEra ??= era
      if (era !== firstEra) return err({ kind: 'history_gone', message: `Store entered era ${era} during a listing in era ${firstEra}` })
      for (const item of page.value.items) items.push(item)
      const last = _decodeObject(page.value.items.at(-1))
      if (page.value.More !== true || last === undefined) {
        const entries = items.flatMap((item) => this.#decodeChange(item, false)).flatMap(({ id, upstream }) => upstream === undefined ? [] : [[id, upstream] as const])
        return ok({ revision: page.value.position, upstreams: new Map(entries) })
      }
      const unlimited = limits.add(page.value.bytes, last.Metadata.Name)
      if (unlimited !== undefined) return err({ kind: 'unreadable', message: unlimited })
      after = `?after=${encodeURIComponent(last.Metadata.Name)}`
    }
  }

  override async watchUpstreams (watch: RegistryWatch): Promise<Result<RegistrationChanges, RegistryFailure>> {
    const events = await this.#watch(UPSTREAM_KIND, watch)
    return events.map((value) => ({
      revision: value.position,
      changes: value.events.flatMap((event) => this.#decodeChange(event.Object, event.Deleted === true))
    }))
  }

  #decodeChange (item: unknown, deleted: boolean): readonly RegistrationChange[] {
    const object = _decodeObject(item)
    if (object === undefined) {
      this.#store.reportFindings([{ source: UPSTREAM_KIND, line: undefined, path: '', message: 'Expected a store object with `Metadata`' }])
      return []
    }
    const id = object.Metadata.Name
    if (deleted || object.Metadata.Deleting === true) return [{ id, upstream: undefined }]
    const upstream = decodeUpstream(id, _mergedUpstreamFields(object))
    if (upstream.isOk()) return [{ id, upstream: upstream.value }]
    this.#store.reportFindings(upstream.error)
    return [{ id, upstream: undefined }]
  }

  #decodeConfiguration (items: readonly unknown[], revision: number): Result<RegisteredConfiguration, RegistryFailure> {
    const objects = items.map(_decodeObject).filter((object) => object?.Metadata.Name === CONFIGURATION_NAME)
    const newest = objects.at(-1)
    if (newest === undefined) return ok({ revision, configuration: undefined })
    const decoded = decodeConfiguration(newest.Spec, `${CONFIGURATION_KIND}/${CONFIGURATION_NAME}`, (findings) => this.#store.reportFindings(findings))
    if (decoded.isOk()) return ok({ revision, configuration: decoded.value })
    this.#store.reportFindings(decoded.error)
    return err({ kind: 'unreadable', message: decoded.error.map(formatFinding).join('; ') })
  }

  async #list (kind: string, query: string): Promise<Result<_Positioned<typeof WirePage.Type>, RegistryFailure>> {
    const response = await this.#store.request('GET', `/objects/${kind}${query}`)
    return response.mapErr(_unavailable).andThen((page) => _decodeResponse(page, WirePage))
  }

  async #watch (kind: string, watch: RegistryWatch): Promise<Result<_Positioned<typeof WireEvents.Type>, RegistryFailure>> {
    const { era, revision } = storeRevision(watch.afterRevision)
    const response = await this.#store.longPoll(`/objects/${kind}?Watch=${revision}&WaitMs=${Math.round(watch.waitMs)}`, watch.waitMs)
    if (response.isErr()) return err(_unavailable(response.error))
    // A restored store gives out the same revisions for other changes.
    if (response.value.era !== era) return err({ kind: 'history_gone', message: `Store is in era ${response.value.era}; the watched revision is of era ${era}` })
    return _decodeResponse(response.value, WireEvents)
  }
}

// An upstream writes its fields to the status, but the deployments' examples have them at the top level of the value.
function _mergedUpstreamFields (object: _WireObject): unknown {
  return { ..._objectFields(object.Spec), ..._objectFields(object.Status) }
}

function _objectFields (value: unknown): object {
  return typeof value === 'object' && value !== null ? value : {}
}

function _unavailable (failure: StoreFailure): RegistryFailure {
  return { kind: 'unavailable', message: failure.message }
}

/** A decoded response and its position in the history of the store. */
type _Positioned<T> = T & { readonly position: number, readonly bytes: number }

interface _ListingLimits {
  /** Adds a page that another one follows; returns why the listing cannot be read if it passes a limit. */
  add (bytes: number, lastName: string): string | undefined
}

function _limitListing (): _ListingLimits {
  const lastNames = new Set<string>()
  let totalBytes = 0
  return {
    add: (bytes, name) => {
      totalBytes += bytes
      if (lastNames.has(name)) return `Store ended two pages of a listing with ${name}`
      lastNames.add(name)
      if (lastNames.size >= MAX_PAGES) return `Store listed ${lastNames.size} pages and has more; expected ${MAX_PAGES} at most`
      return totalBytes > MAX_LISTING_BYTES ? `Store listed ${totalBytes} bytes and has more; expected ${MAX_LISTING_BYTES} at most` : undefined
    }
  }
}

function _decodeResponse<T extends { readonly StoreRevision: number }> (response: StoreResponse, schema: Schema.Codec<T, unknown>): Result<_Positioned<T>, RegistryFailure> {
  if (response.status === GONE) return err({ kind: 'history_gone', message: 'Store no longer has the history since the watched revision' })
  if (response.status !== OK) return err({ kind: 'unavailable', message: `Store returned HTTP status ${response.status}` })
  return _parseAs(response.body, schema, 'store')
    .andThen((decoded) => isStoreRevision({ era: response.era, revision: decoded.StoreRevision })
      ? ok(decoded)
      : err([{ source: 'store', line: undefined, path: 'StoreRevision', message: `Expected the number of a revision, got ${decoded.StoreRevision}` }]))
    .map((decoded) => ({ ...decoded, position: storePosition({ era: response.era, revision: decoded.StoreRevision }), bytes: response.body.length }))
    .mapErr((findings) => ({ kind: 'unreadable', message: findings.map(formatFinding).join('; ') }))
}

function _parseAs<T> (body: string, schema: Schema.Codec<T, unknown>, source: string): Result<T, readonly Finding[]> {
  try {
    return checkDocument(JSON.parse(body), schema, { source, unknownKeys: 'ignored' })
  } catch (error) {
    return err([{ source, line: undefined, path: '', message: error instanceof Error ? error.message : String(error) }])
  }
}

function _decodeObject (value: unknown): _WireObject | undefined {
  const decoded = checkDocument(value, WireObject, { source: 'store', unknownKeys: 'ignored' })
  return decoded.isOk() ? decoded.value : undefined
}
