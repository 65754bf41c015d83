import { createHash, timingSafeEqual } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { diffCustomers, ConfigurationSchema, findProblems, type ConfigurationDocument } from '@berylshed/configuration'
import { liveEntries } from '@berylshed/membership'
import { committedMemory, countReplicas } from '@berylshed/placement'
import type { Store } from '@berylshed/platform'
import { checkDocument, type Finding, type Settings } from '@berylshed/settings'
import { explainModel } from './explain_model.ts'
import type { InstanceState } from './instance_state.ts'
import { countOpenRequests } from './reduce_instance.ts'

const MAX_BODY_BYTES = 1024 * 1024
const CONFIGURATION_KEY = 'configuration'

/** Options for `createAdminServer`. */
export interface AdminServerOptions {
  readonly settings: Settings
  readonly store: Store
  /** Returns the local time in ms. */
  nowMs (): number
  /** Returns the current state of the instance. */
  state (): InstanceState
  /** Reports whether the instance accepts requests. */
  isReady (): boolean
}

type _Role = 'read' | 'operate'

/**
 * Creates the HTTP server of the admin interface.
 *
 * @param options Settings, store and state of the instance.
 * @returns The server, which is not listening yet.
 *
 * @example
 * ```ts
 * const server = createAdminServer(options)
 * server.listen(8070)
 * ```
 */
export function createAdminServer (options: AdminServerOptions): Server {
  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const role = _roleOf(request, options.settings)
    if (role === undefined) return _sendJson(response, 401, { error: 'Cannot accept call: its key is unknown; send a valid key as a bearer token' })
    const url = new URL(request.url ?? '/', 'http://admin')
    if (request.method === 'PUT' && url.pathname === '/configuration') {
      if (role !== 'operate') return _sendJson(response, 403, { error: 'Cannot change configuration: the key may only read; use an operator key' })
      return await applyConfiguration(request, response, Number(url.searchParams.get('version')))
    }
    if (request.method === 'POST' && url.pathname === '/configuration/preview') return await preview(request, response)
    if (request.method !== 'GET') return _sendJson(response, 405, { error: `Cannot accept call: ${request.method ?? ''} is not supported here; see docs/OPERATING.md` })
    _handleRead(url.pathname, response, options)
  }

  async function applyConfiguration (request: IncomingMessage, response: ServerResponse, version: number): Promise<void> {
    const text = await _readBody(request)
    const findings = _checkConfiguration(text)
    if (findings.length > 0) return _sendJson(response, 422, { error: 'Cannot apply configuration: it has findings; correct them', findings })
    const updated = await options.store.update(CONFIGURATION_KEY, { value: text, expectedVersion: version })
    if (updated.isOk()) return _sendJson(response, 200, { version: updated.value })
    if (updated.error.kind === 'unknown') return _sendJson(response, 504, { error: 'Cannot tell whether the configuration was applied: the store gave no answer; read it and compare' })
    const { current } = updated.error
    _sendJson(response, 409, { error: `Cannot apply configuration: version ${version} was seen, but ${current.version} is current; merge and apply again`, current })
  }

  async function preview (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await _readBody(request)
    const findings = _checkConfiguration(text)
    const current = options.state().deployment
    if (findings.length > 0) return _sendJson(response, 422, { error: 'Cannot preview configuration: it has findings; correct them', findings })
    if (current === undefined) return _sendJson(response, 503, { error: 'Cannot preview configuration: none is in force yet; wait for one' })
    _sendJson(response, 200, { version: current.version, customers: diffCustomers(current.document, JSON.parse(text) as ConfigurationDocument) })
  }

  return createServer((request, response) => {
    handle(request, response).catch((error: unknown) => _sendJson(response, 500, { error: String(error) }))
  })
}

function _checkConfiguration (text: string): readonly Finding[] {
  try {
    const checked = checkDocument(JSON.parse(text), ConfigurationSchema, { source: CONFIGURATION_KEY })
    return checked.match((document) => findProblems(document, CONFIGURATION_KEY), (findings) => findings)
  } catch (error) {
    return [{ source: CONFIGURATION_KEY, line: undefined, path: '', message: error instanceof Error ? error.message : String(error) }]
  }
}

function _handleRead (path: string, response: ServerResponse, options: AdminServerOptions): void {
  const state = options.state()
  if (path === '/status') return _sendJson(response, 200, _describeStatus(state, options))
  if (path === '/models') return _sendJson(response, 200, _describeModels(state))
  if (path === '/upstreams') return _sendJson(response, 200, _describeUpstreams(state))
  if (path === '/customers') return _sendJson(response, 200, [...state.deployment?.customers.values() ?? []])
  if (path === '/templates') return _sendJson(response, 200, state.deployment?.document.templates ?? [])
  if (path === '/configuration/in-force') return _sendJson(response, 200, _describeConfigurations(state, options))
  if (path === '/configuration') return _sendJson(response, 200, { version: state.deployment?.version ?? 0, document: state.deployment?.document })
  if (path.startsWith('/explain/')) return _sendJson(response, 200, explainModel(state, decodeURIComponent(path.slice('/explain/'.length)), options.nowMs()))
  _sendJson(response, 404, { error: `Cannot find ${path}; see docs/OPERATING.md` })
}

function _describeStatus (state: InstanceState, options: AdminServerOptions): unknown {
  return {
    instance: state.self.name,
    incarnation: state.self.incarnation,
    ready: options.isReady(),
    configuration: state.deployment?.version ?? 0,
    openRequests: countOpenRequests(state),
    cell: { name: state.placement.shard?.name, version: state.placement.version, fence: state.placement.shard?.fence, holder: state.placement.shard?.holder },
    peers: liveEntries(state.membership, options.nowMs())
  }
}

function _describeConfigurations (state: InstanceState, options: AdminServerOptions): unknown {
  return liveEntries(state.membership, options.nowMs()).map((entry) => ({
    instance: entry.name,
    version: entry.incarnation === state.self.incarnation ? state.deployment?.version ?? 0 : entry.configuration
  }))
}

function _describeModels (state: InstanceState): unknown {
  const { shard, catalog } = state.placement
  return [...catalog.models.values()].map((model) => ({
    name: model.name,
    decided: shard === undefined ? 0 : countReplicas(shard, model.name),
    limit: model.maxReplicas,
    replicas: (shard?.replicas ?? []).filter((replica) => replica.model === model.name)
      .map((replica) => ({ upstream: replica.upstream, phase: replica.phase, unresolved: replica.orders.length }))
  }))
}

function _describeUpstreams (state: InstanceState): unknown {
  const { shard, catalog } = state.placement
  return [...catalog.upstreams.values()].map((upstream) => ({
    name: upstream.name,
    availabilityZone: upstream.availabilityZone,
    memoryMb: upstream.memoryMb,
    committedMb: shard === undefined ? 0 : committedMemory(shard, upstream.name),
    checksFence: upstream.checksFence
  }))
}

function _roleOf (request: IncomingMessage, settings: Settings): _Role | undefined {
  const key = (request.headers.authorization ?? '').replace(/^Bearer /, '')
  const given = _digest(key)
  if (settings.admin.operate_keys.some((known) => timingSafeEqual(_digest(known), given))) return 'operate'
  return settings.admin.read_keys.some((known) => timingSafeEqual(_digest(known), given)) ? 'read' : undefined
}

function _digest (key: string): Buffer {
  return createHash('sha256').update(key).digest()
}

function _sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
}

async function _readBody (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length
    if (bytes > MAX_BODY_BYTES) throw new RangeError(`Cannot read body: it exceeds ${MAX_BODY_BYTES} bytes; split the change`)
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks).toString('utf8')
}
