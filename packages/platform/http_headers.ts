/** Request metadata that a caller sends in headers. */
export interface RequestMetadata {
  /** Id of the caller's attempt; empty if the caller sends none. */
  readonly id: string
  readonly model: string | undefined
  readonly adapter: string | undefined
  /** Maximum time that the caller waits for the response, in ms. */
  readonly callerTimeoutMs: number | undefined
  /** Last event that the caller received of the stream that it resumes. */
  readonly lastEventId: string | undefined
  /** Id of the caller's attempt that brought the first event of the stream that this request resumes. */
  readonly resumedAttempt: string | undefined
  /** Ids of the parts of the prompt, in order; the last one belongs to the request or its session alone. */
  readonly promptParts: readonly string[]
  /** Tokens of each part, in the order of `promptParts`; 0 if the caller does not state them. */
  readonly promptPartTokens: readonly number[]
  /** Tokens of the prompt and maximum number of tokens of the response; undefined if the caller does not state them. */
  readonly tokens: { readonly prompt: number, readonly output: number } | undefined
}

/** Customer of a request in a deployment with customers. */
export interface RequestIdentity {
  /** Name of the customer; undefined if the request needs none. */
  readonly customer: string | undefined
}

/** One attempt to forward a request to an upstream. */
export interface Attempt {
  /** Alternating header names and values, as sent by the caller. */
  readonly callerHeaders: readonly string[]
  /** Id of the upstream. */
  readonly upstream: string
  /** Time left for the response, in ms. */
  readonly remainingMs: number
  /** Rank of the customer, or of the route if there is none; 0 is the most urgent. */
  readonly rank: number
  /** Rank of the route in a deployment with customers. */
  readonly routeRank?: number
  /** Customer of the request; absent in a deployment without customers. */
  readonly identity?: RequestIdentity
  /** Last complete event that was forwarded, if a stream is resumed. */
  readonly lastEventId: string | undefined
  /** Length of the body, or undefined if the method has none. */
  readonly bodyBytes: number | undefined
  /** Whether the connection is kept for another request. */
  readonly keepAlive: boolean
}

/** A request as handed over to another instance. */
export interface HandedOverRequest extends Pick<Attempt, 'callerHeaders' | 'identity' | 'remainingMs' | 'lastEventId' | 'bodyBytes' | 'keepAlive'> {
  /** Network address of the caller. */
  readonly callerAddress: string
  /** Number of attempts at upstreams that may still run the request. */
  readonly maxRuns: number
  /** Software version that began the stream and has to continue it, if it has begun. */
  readonly softwareVersion: string | undefined
}

/** What the headers of a handed-over request tell beside those of the caller. */
export type HandoverMetadata = Pick<HandedOverRequest, 'callerAddress' | 'maxRuns' | 'softwareVersion' | 'identity'>

/** Metadata of an upstream's response. */
export interface ResponseMetadata {
  /** Id of the request that the response belongs to. */
  readonly id: string | undefined
  /** Whether the upstream says that it ran nothing of the request. */
  readonly notRun: boolean
  /** Whether the upstream does not hold the model or is not the intended upstream. */
  readonly misdirected: boolean
  /** Whether the response carries the upstream's signature. */
  readonly signed: boolean
  /** Whether the body has no content encoding, so that it is as the upstream produced it. */
  readonly unencoded: boolean
  /** Requests per second that the upstream takes from all instances together, if it names a limit. */
  readonly requestLimitPerS: number | undefined
  /** Whether the upstream says that it is leaving. */
  readonly leaving: boolean
  /** Time for which the upstream wants no requests from this instance, in ms, if it turned the request away and names one. */
  readonly retryAfterMs: number | undefined
  /** Rejections in a second beyond which the upstream falls over, if it is brittle. */
  readonly maxRejectionsPerS: number | undefined
}

type _Headers = Readonly<Record<string, string | readonly string[] | undefined>>

// Headers that concern one connection only.
const HOP_HEADERS = ['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'content-length', 'expect']
// Headers with which an entry instance controls an upstream; values sent by a caller are dropped.
const UPSTREAM_CONTROL_HEADERS = [
  'expect-instance', 'expect-version', 'deadline-ms', 'request-priority', 'hold', 'pin-ms',
  'kv-fetch', 'kv-from', 'kv-backup', 'proxy-authorization', 'instance-id', 'not-executed'
]
// Headers between instances. Values sent by a caller or an upstream are dropped.
const CALLER_HEADER = 'Berylshed-Caller'
const RUNS_HEADER = 'Berylshed-Runs'
const VERSION_HEADER = 'Berylshed-Software-Version'
const CUSTOMER_HEADER = 'Berylshed-Customer'
const INTERNAL_HEADERS = [CALLER_HEADER, RUNS_HEADER, VERSION_HEADER, CUSTOMER_HEADER].map((name) => name.toLowerCase())
const STRIPPED_REQUEST_HEADERS = new Set([...HOP_HEADERS, ...UPSTREAM_CONTROL_HEADERS, ...INTERNAL_HEADERS])
const STRIPPED_RESPONSE_HEADERS = new Set([...HOP_HEADERS, ...INTERNAL_HEADERS])
// Headers of callers that upstreams do not get where there are customers: the key, and a name that only the instance may state.
const IDENTITY_HEADERS = new Set(['authorization', 'tenant'])
const MAX_PRIORITY = 9
/** Priorities per rank of a customer, within which its routes are ordered. */
const PRIORITIES_PER_CUSTOMER_RANK = 3
const MISDIRECTED_REQUEST = 421
const SERVICE_UNAVAILABLE = 503

/**
 * Reads the metadata of a caller's request.
 *
 * @param headers The request's headers in lower case.
 * @returns The metadata.
 *
 * @example
 * ```ts
 * console.log(readRequestHeaders({ 'attempt-id': 'a1' }).id) // 'a1'
 * ```
 */
export function readRequestHeaders (headers: _Headers): RequestMetadata {
  const [model, adapter] = (_firstValue(headers, 'model') ?? '').split('/')
  return {
    id: _firstValue(headers, 'attempt-id') ?? '',
    model: model === '' ? undefined : model,
    adapter: adapter === '' ? undefined : adapter,
    callerTimeoutMs: _positive(_firstValue(headers, 'deadline-ms')),
    lastEventId: _firstValue(headers, 'last-event-id'),
    resumedAttempt: _firstValue(headers, 'resumes'),
    ..._promptParts(_firstValue(headers, 'prompt-prefix')),
    tokens: _tokens(_firstValue(headers, 'token-count'))
  }
}

/**
 * Returns the request headers of an attempt.
 *
 * Drops the caller's hop-by-hop and upstream control headers and adds those of the instance.
 *
 * @param attempt The attempt.
 * @returns Alternating header names and values.
 *
 * @example
 * ```ts
 * const headers = attemptHeaders(attempt)
 * ```
 */
export function attemptHeaders (attempt: Attempt): readonly string[] {
  return _passedHeaders(attempt, [
    'Expect-Instance', attempt.upstream,
    'Deadline-Ms', _wholeMs(attempt.remainingMs),
    'Request-Priority', String(_priority(attempt))
  ])
}

// Upstreams know ten priorities, which the ranks of customers and routes share.
function _priority ({ rank, routeRank }: Attempt): number {
  const combined = routeRank === undefined ? rank : PRIORITIES_PER_CUSTOMER_RANK * rank + Math.min(PRIORITIES_PER_CUSTOMER_RANK - 1, routeRank)
  return Math.min(MAX_PRIORITY, Math.max(0, combined))
}

/**
 * Returns the headers of a request that is handed over to another instance.
 *
 * @param request The request.
 * @returns Alternating header names and values.
 *
 * @example
 * ```ts
 * const headers = handoverHeaders(request)
 * ```
 */
export function handoverHeaders (request: HandedOverRequest): readonly string[] {
  return _passedHeaders(request, [
    'Deadline-Ms', _wholeMs(request.remainingMs),
    CALLER_HEADER, request.callerAddress,
    RUNS_HEADER, String(request.maxRuns),
    // Empty for a request that needs no customer, so that it is not checked again.
    ...request.identity === undefined ? [] : [CUSTOMER_HEADER, request.identity.customer ?? ''],
    ...request.softwareVersion === undefined ? [] : [VERSION_HEADER, request.softwareVersion]
  ])
}

/**
 * Reads what another instance tells of a request that it hands over.
 *
 * @param headers The request's headers in lower case.
 * @returns The metadata.
 *
 * @example
 * ```ts
 * console.log(readHandoverHeaders({ 'berylshed-runs': '2' }).maxRuns) // 2
 * ```
 */
export function readHandoverHeaders (headers: _Headers): HandoverMetadata {
  const customer = _firstValue(headers, CUSTOMER_HEADER.toLowerCase())
  return {
    ...customer === undefined ? {} : { identity: { customer: customer === '' ? undefined : customer } },
    callerAddress: _firstValue(headers, CALLER_HEADER.toLowerCase()) ?? '',
    maxRuns: _positive(_firstValue(headers, RUNS_HEADER.toLowerCase())) ?? 1,
    softwareVersion: readSoftwareVersion(headers)
  }
}

/**
 * Returns the headers that tell another instance which upstream responds.
 *
 * @param softwareVersion The software version of the upstream.
 * @returns Alternating header names and values.
 *
 * @example
 * ```ts
 * console.log(handoverAnswerHeaders('v1')) // ['Berylshed-Software-Version', 'v1']
 * ```
 */
export function handoverAnswerHeaders (softwareVersion: string): readonly string[] {
  return [VERSION_HEADER, softwareVersion]
}

/**
 * Reads the software version of the upstream that responded to another instance.
 *
 * @param headers The response's headers in lower case.
 * @returns The version, or undefined if none is named.
 *
 * @example
 * ```ts
 * console.log(readSoftwareVersion({ 'berylshed-software-version': 'v1' })) // 'v1'
 * ```
 */
export function readSoftwareVersion (headers: _Headers): string | undefined {
  return _firstValue(headers, VERSION_HEADER.toLowerCase())
}

/**
 * Returns the values of all `Authorization` headers of a request; Node's own list of headers keeps the first one only.
 *
 * @param headers Alternating header names and values, as sent by the caller.
 * @returns The values.
 *
 * @example
 * ```ts
 * console.log(authorizationValues(['Authorization', 'Token k'])) // ['Token k']
 * ```
 */
export function authorizationValues (headers: readonly string[]): readonly string[] {
  return headers.filter((_value, i) => i % 2 === 1 && headers[i - 1]?.toLowerCase() === 'authorization')
}

type _PassedRequest = Pick<Attempt, 'callerHeaders' | 'identity' | 'lastEventId' | 'bodyBytes' | 'keepAlive'>

function _passedHeaders (request: _PassedRequest, own: readonly string[]): readonly string[] {
  const resumed = request.lastEventId !== undefined
  const { identity } = request
  const kept = _filter(request.callerHeaders, (name) => !STRIPPED_REQUEST_HEADERS.has(name) && !(resumed && name === 'last-event-id') && !(identity !== undefined && IDENTITY_HEADERS.has(name)))
  const tenant = identity?.customer === undefined ? [] : ['Tenant', identity.customer]
  const length = request.bodyBytes === undefined ? [] : ['Content-Length', String(request.bodyBytes)]
  const resume = request.lastEventId === undefined ? [] : ['Last-Event-Id', request.lastEventId]
  return [...kept, ...tenant, ...own, 'Connection', request.keepAlive ? 'keep-alive' : 'close', ...length, ...resume]
}

function _wholeMs (durationMs: number): string {
  return String(Math.max(1, Math.floor(durationMs)))
}

/**
 * Reads the metadata of an upstream's response.
 *
 * @param status The status code.
 * @param headers The response's headers in lower case.
 * @returns The metadata.
 *
 * @example
 * ```ts
 * console.log(readResponseHeaders(503, { 'not-executed': '1' }).notRun) // true
 * ```
 */
export function readResponseHeaders (status: number, headers: _Headers): ResponseMetadata {
  const misdirected = status === MISDIRECTED_REQUEST
  return {
    id: _firstValue(headers, 'attempt-id'),
    notRun: misdirected || _firstValue(headers, 'not-executed') !== undefined,
    misdirected,
    signed: _firstValue(headers, 'server-signature') !== undefined,
    unencoded: (_firstValue(headers, 'content-encoding') ?? 'identity') === 'identity',
    requestLimitPerS: _positive(_firstValue(headers, 'server-limit')),
    leaving: _firstValue(headers, 'server-leaving') === '1',
    retryAfterMs: status === SERVICE_UNAVAILABLE ? _milliseconds(_firstValue(headers, 'retry-after')) : undefined,
    maxRejectionsPerS: _positive(_firstValue(headers, 'server-brittle'))
  }
}

/**
 * Reads how often the store has been restored from a copy.
 *
 * @param headers The headers of a response of the store, in lower case.
 * @returns The era, or undefined if the store does not report it.
 *
 * @example
 * ```ts
 * console.log(readStoreEra({ 'store-era': '2' })) // 2
 * ```
 */
export function readStoreEra (headers: _Headers): number | undefined {
  const era = Number(_firstValue(headers, 'store-era'))
  return Number.isSafeInteger(era) && era >= 0 ? era : undefined
}

/**
 * Returns the response headers to forward to the caller, without hop-by-hop headers.
 *
 * @param headers Alternating header names and values, as sent by the upstream.
 * @returns Alternating header names and values.
 *
 * @example
 * ```ts
 * console.log(forwardedResponseHeaders(['Connection', 'close', 'Server-Signature', 'x'])) // ['Server-Signature', 'x']
 * ```
 */
export function forwardedResponseHeaders (headers: readonly string[]): readonly string[] {
  return _filter(headers, (name) => !STRIPPED_RESPONSE_HEADERS.has(name))
}

/**
 * Returns the headers of a response that the instance generates itself.
 *
 * @param id Id of the request; empty if the caller sent none.
 * @param retryAfterMs Time after which the caller can retry, in ms, if a retry is useful.
 * @param options Whether another instance is told that the request has not run, which callers take from the status, and whether the caller is asked for a key.
 * @returns The headers.
 *
 * @example
 * ```ts
 * console.log(localResponseHeaders('a1', 250)) // { 'Attempt-Id': 'a1', 'Retry-After': '0.25' }
 * ```
 */
export function localResponseHeaders (id: string, retryAfterMs: number | undefined, options: { readonly notRun?: boolean, readonly needsKey?: boolean } = {}): Readonly<Record<string, string>> {
  return {
    ...id === '' ? {} : { 'Attempt-Id': id },
    ...retryAfterMs === undefined ? {} : { 'Retry-After': String(Math.ceil(retryAfterMs) / MS_PER_SECOND) },
    ...options.notRun === true ? { 'Not-Executed': '1' } : {},
    ...options.needsKey === true ? { 'WWW-Authenticate': 'Token' } : {}
  }
}

const MS_PER_SECOND = 1000

function _firstValue (headers: _Headers, name: string): string | undefined {
  const value = headers[name]
  return typeof value === 'string' ? value : value?.[0]
}

// Each part is an id, a colon and the number of its tokens.
function _promptParts (text: string | undefined): Pick<RequestMetadata, 'promptParts' | 'promptPartTokens'> {
  const parts = (text ?? '').split(',').map((part) => part.split(':')).map(([id = '', tokens]) => ({ id: id.trim(), tokens: _positive(tokens) ?? 0 })).filter(({ id }) => id !== '')
  return { promptParts: parts.map(({ id }) => id), promptPartTokens: parts.map(({ tokens }) => tokens) }
}

// The first number counts the prompt, the second one limits the response.
function _tokens (text: string | undefined): RequestMetadata['tokens'] {
  const [prompt, output, ...rest] = (text ?? '').split(',').map((count) => count.trim() === '' ? NaN : Number(count))
  if (prompt === undefined || output === undefined || rest.length > 0) return undefined
  return Number.isFinite(prompt) && Number.isFinite(output) && prompt >= 0 && output >= 0 ? { prompt, output } : undefined
}

function _milliseconds (seconds: string | undefined): number | undefined {
  const value = _positive(seconds)
  return value === undefined ? undefined : value * MS_PER_SECOND
}

function _positive (text: string | undefined): number | undefined {
  const value = Number(text)
  return Number.isFinite(value) && value > 0 ? value : undefined
}

function _filter (headers: readonly string[], keep: (name: string) => boolean): readonly string[] {
  const kept: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? ''
    if (keep(name.toLowerCase())) kept.push(name, headers[i + 1] ?? '')
  }
  return kept
}
