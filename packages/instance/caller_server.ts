import { createHash, randomBytes } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { ResolvedCustomer } from '@berylshed/configuration'
import { keyDigest } from '@berylshed/customers'
import { readBody } from '@berylshed/platform'
import type { ReceivedRequest, Target } from '@berylshed/requests'
import { answerError } from './_caller_answers.ts'
import { trackCallerConnections, type CallerConnections } from './_caller_connections.ts'
import type { CallerExchange } from './caller_exchanges.ts'
import { isNameAllowed, type Route } from './deployment.ts'
import type { InstanceState } from './instance_state.ts'
import { customerByKeyDigest } from './reduce_instance.ts'

const MAX_HEADER_BYTES = 16 * 1024
/** Time within which a caller must have sent its request, in ms. */
const REQUEST_TIMEOUT_MS = 30_000
/** Length of the body prefix that is hashed to route requests with equal prefixes to the same prefix cache, in bytes. */
const PREFIX_BYTES = 512
const MODEL_PATHS = ['/v1/chat/completions', '/v1/completions']

/** Options for `createCallerServer`. */
export interface CallerServerOptions {
  /** Maximum size of a request body in bytes. */
  readonly maxBodyBytes: number
  /** Name of the instance; request ids start with it. */
  readonly instance: string
  /** Returns the local time in ms. */
  nowMs (): number
  /** Returns the current state of the instance. */
  state (): InstanceState
  /** Reports whether the instance accepts requests. */
  isReady (): boolean
  /** Records a request that was rejected before it reached the reducer. */
  reject (code: string, id: string): void
  /** Takes over a valid request and the exchange that its answer goes to. */
  receive (request: ReceivedRequest, exchange: CallerExchange): void
}

/** HTTP server for callers. */
export interface CallerServer {
  readonly server: Server
  readonly connections: CallerConnections
  /** Returns the latest deadline of the requests whose responses are not written yet, or -Infinity if there are none. */
  lastDeadlineMs (): number
}

interface _Call {
  readonly id: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly path: string
}

interface _Rejection {
  readonly status: number
  readonly code: string
  readonly message: string
}

interface _ParsedCall {
  readonly target: Target
  readonly path: string
  readonly idempotent: boolean
  readonly stream: boolean
}

/**
 * Creates the HTTP server that accepts the requests of callers.
 *
 * @param options Limits, instance state and handlers of requests.
 * @returns The server, which is not listening yet.
 *
 * @example
 * ```ts
 * const { server } = createCallerServer(options)
 * server.listen(8080)
 * ```
 */
export function createCallerServer (options: CallerServerOptions): CallerServer {
  const deadlines = new WeakMap<ServerResponse, number>()
  let count = 0

  function nextId (): string {
    count += 1
    return `${options.instance}-${count.toString(36)}-${randomBytes(4).toString('hex')}`
  }

  function reject (call: _Call, rejection: _Rejection): void {
    options.reject(rejection.code, call.id)
    answerError(call.response, { ...rejection, outcome: 'not run', requestId: call.id })
  }

  async function handle (call: _Call): Promise<void> {
    if (call.path === '/healthz') return _answerHealth(call.response, true)
    if (call.path === '/readyz') return _answerHealth(call.response, options.isReady())
    const receivedAtMs = options.nowMs()
    const customer = customerByKeyDigest(options.state(), _keyDigest(call.request))
    if (customer === undefined) return reject(call, { status: 401, code: 'wrong_key', message: 'Cannot accept request: its API key is unknown; send a valid key as a bearer token' })
    if (call.path === '/v1/models') return _answerModels(call.response, options.state(), customer)
    const body = await readBody(call.request, options.maxBodyBytes)
    if (body === undefined) return reject(call, { status: 413, code: 'body_too_large', message: `Cannot accept request: its body exceeds ${options.maxBodyBytes} bytes; shorten it` })
    const parsed = _parseCall(call, body, options.state())
    if ('code' in parsed) return reject(call, parsed)
    if (!_isTargetAllowed(customer, parsed.target)) return reject(call, { status: 404, code: 'unknown_target', message: `Cannot accept request: there is no ${parsed.target.kind} ${parsed.target.name} for this customer; see GET /v1/models` })
    const request = _buildRequest({ call, body, customer, receivedAtMs }, parsed)
    deadlines.set(call.response, request.deadlineMs)
    options.receive(request, { ...call, ...parsed, method: call.request.method ?? 'POST', contentType: call.request.headers['content-type'] ?? 'application/json', body })
  }

  function take (request: IncomingMessage, response: ServerResponse): void {
    const path = (request.url ?? '/').split('?')[0] ?? '/'
    const call = { id: nextId(), request, response, path }
    handle(call).catch(() => reject(call, { status: 400, code: 'broken_request', message: 'Cannot accept request: its body did not arrive; send it again' }))
  }

  function rejectBytes (error: NodeJS.ErrnoException): string {
    const rejection = _transportRejection(error.code)
    const id = nextId()
    options.reject(rejection.code, id)
    const body = JSON.stringify({ error: { message: rejection.message, type: 'invalid_request_error', param: null, code: rejection.code, outcome: 'not run', request_id: id } })
    return `HTTP/1.1 ${rejection.status} ${rejection.code}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`
  }

  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: REQUEST_TIMEOUT_MS })
  const connections = trackCallerConnections(server, { nowMs: options.nowMs, handle: take, reject: rejectBytes })
  const lastDeadlineMs = (): number => Math.max(-Infinity, ...connections.dueResponses().map((response) => deadlines.get(response) ?? -Infinity))
  return { server, connections, lastDeadlineMs }
}

function _transportRejection (code: string | undefined): _Rejection {
  if (code === 'HPE_HEADER_OVERFLOW') return { status: 431, code: 'headers_too_large', message: `Cannot accept request: its headers exceed ${MAX_HEADER_BYTES} bytes; shorten them` }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return { status: 408, code: 'slow_sender', message: `Cannot accept request: it did not arrive within ${REQUEST_TIMEOUT_MS} ms; send it faster` }
  return { status: 400, code: 'malformed_http', message: 'Cannot accept request: it is not valid HTTP; check the client' }
}

function _answerHealth (response: ServerResponse, healthy: boolean): void {
  response.writeHead(healthy ? 200 : 503, { 'content-type': 'text/plain' }).end(healthy ? 'ok\n' : 'not ready\n')
}

function _answerModels (response: ServerResponse, state: InstanceState, customer: ResolvedCustomer): void {
  const data = (state.deployment?.document.models ?? [])
    .filter((model) => isNameAllowed(customer.models, model.name))
    .map((model) => ({ id: model.name, object: 'model', owned_by: 'berylshed', ...model.base === undefined ? {} : { parent: model.base } }))
  response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify({ object: 'list', data }))
}

function _keyDigest (request: IncomingMessage): string {
  return keyDigest((request.headers.authorization ?? '').replace(/^Bearer /, ''))
}

function _parseCall (call: _Call, body: Buffer, state: InstanceState): _ParsedCall | _Rejection {
  if (call.request.method !== 'POST') return { status: 405, code: 'wrong_method', message: `Cannot accept request: ${call.request.method ?? ''} is not supported here; use POST` }
  if (MODEL_PATHS.includes(call.path)) return _parseModelCall(call, body)
  const [, root, name, ...rest] = call.path.split('/')
  if (root !== 'services' || name === undefined) return { status: 404, code: 'unknown_path', message: `Cannot accept request: there is no path ${call.path}; see the README` }
  const path = `/${rest.join('/')}`
  const route: Route | undefined = state.deployment?.routes.get(name)?.find((candidate) => candidate.path === path)
  if (route === undefined) return { status: 404, code: 'unknown_target', message: `Cannot accept request: service ${name} has no route ${path}; ask its operators` }
  return { target: { kind: 'service', name }, path, idempotent: route.idempotent, stream: false }
}

function _parseModelCall (call: _Call, body: Buffer): _ParsedCall | _Rejection {
  const parsed = _parseJson(body)
  if (parsed === undefined) return { status: 400, code: 'malformed_json', message: 'Cannot accept request: its body is not a JSON object; check the client' }
  if (typeof parsed.model !== 'string') return { status: 400, code: 'missing_model', message: 'Cannot accept request: its body names no model; add "model"' }
  return { target: { kind: 'model', name: parsed.model }, path: call.path, idempotent: true, stream: parsed.stream === true }
}

interface _ModelCallBody {
  readonly model?: unknown
  readonly stream?: unknown
}

function _parseJson (body: Buffer): _ModelCallBody | undefined {
  try {
    const value: unknown = JSON.parse(body.toString('utf8'))
    return typeof value === 'object' && value !== null ? value : undefined
  } catch {
    return undefined
  }
}

function _isTargetAllowed (customer: ResolvedCustomer, target: Target): boolean {
  return isNameAllowed(target.kind === 'model' ? customer.models : customer.services, target.name)
}

interface _AcceptedCall {
  readonly call: _Call
  readonly body: Buffer
  readonly customer: ResolvedCustomer
  readonly receivedAtMs: number
}

function _buildRequest (accepted: _AcceptedCall, parsed: _ParsedCall): ReceivedRequest {
  const { call, body, customer, receivedAtMs } = accepted
  const requestedMs = Number(call.request.headers['x-deadline-ms'])
  const deadlineMs = Number.isFinite(requestedMs) && requestedMs > 0 ? Math.min(requestedMs, customer.deadlineMs) : customer.deadlineMs
  const key = call.request.headers['idempotency-key']
  const name = `${customer.name}\n${parsed.target.name}\n${parsed.path}\n`
  return {
    id: call.id,
    customer: customer.name,
    target: parsed.target,
    idempotent: parsed.idempotent,
    idempotencyKey: typeof key === 'string' ? key : undefined,
    fingerprint: createHash('sha256').update(name).update(body).digest('hex').slice(0, 32),
    prefix: createHash('sha256').update(parsed.target.name).update(body.subarray(0, PREFIX_BYTES)).digest('hex').slice(0, 16),
    receivedAtMs,
    deadlineMs: receivedAtMs + deadlineMs,
    priority: customer.priority,
    coldStartWeight: customer.coldStartWeight
  }
}
