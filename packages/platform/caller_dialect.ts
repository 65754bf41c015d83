/** What a caller says of its request besides method, path and body. */
export interface CallerFacts {
  /** Id of this sending of the request; empty where the caller gives none. */
  readonly id: string
  readonly model: string | undefined
  readonly adapter: string | undefined
  /** Time that the caller will wait, in ms. */
  readonly budgetMs: number | undefined
  /** Last event that the caller has of a stream which it resumes. */
  readonly lastEventId: string | undefined
}

/** One sending of a request to an upstream. */
export interface Sending {
  /** Header names and values in turn, as the caller sent them. */
  readonly callerHeaders: readonly string[]
  readonly upstream: string
  /** Time left for the answer, in ms. */
  readonly remainingMs: number
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number
  /** Last whole event that was passed on, where a stream is resumed. */
  readonly lastEventId: string | undefined
  /** Length of the body, or undefined where the method has none. */
  readonly bodyBytes: number | undefined
  /** Whether the connection is kept for another request. */
  readonly keepAlive: boolean
}

/** What an upstream's answer says besides its body. */
export interface AnswerFacts {
  /** Id of the request that the answer belongs to. */
  readonly id: string | undefined
  /** Whether the upstream says that it ran nothing of the request. */
  readonly notRun: boolean
  /** Whether the upstream does not hold the model, or is another one than was meant. */
  readonly misdirected: boolean
  /** Whether the answer carries the upstream's digest. */
  readonly signed: boolean
  /** Whether the body is what the upstream made, without a later encoding. */
  readonly plain: boolean
}

type _Headers = Readonly<Record<string, string | readonly string[] | undefined>>

// Headers that concern one connection only.
const HOP_HEADERS = ['connection', 'keep-alive', 'proxy-connection', 'transfer-encoding', 'te', 'trailer', 'upgrade', 'content-length', 'expect']
// Headers by which an entry instance steers an upstream; a caller's own are dropped.
const STEERING_HEADERS = [
  'expect-instance', 'expect-version', 'deadline-ms', 'request-priority', 'hold', 'pin-ms',
  'kv-fetch', 'kv-from', 'kv-backup', 'proxy-authorization', 'instance-id', 'not-executed'
]
const DROPPED = new Set([...HOP_HEADERS, ...STEERING_HEADERS])
const HOPS = new Set(HOP_HEADERS)
const MISDIRECTED = 421

/**
 * Reads what a caller says of its request.
 *
 * @param headers The request's headers in lower case.
 * @returns The facts.
 *
 * @example
 * ```ts
 * console.log(readCaller({ 'attempt-id': 'a1' }).id) // 'a1'
 * ```
 */
export function readCaller (headers: _Headers): CallerFacts {
  const [model, adapter] = (_one(headers, 'model') ?? '').split('/')
  return {
    id: _one(headers, 'attempt-id') ?? '',
    model: model === '' ? undefined : model,
    adapter: adapter === '' ? undefined : adapter,
    budgetMs: _positive(_one(headers, 'deadline-ms')),
    lastEventId: _one(headers, 'last-event-id')
  }
}

/**
 * Gives the headers of a sending: the caller's, without those of its connection and those that steer upstreams.
 *
 * @param sending The sending.
 * @returns Header names and values in turn.
 *
 * @example
 * ```ts
 * const headers = sendingHeaders(sending)
 * ```
 */
export function sendingHeaders (sending: Sending): readonly string[] {
  const resumed = sending.lastEventId !== undefined
  const kept = _filter(sending.callerHeaders, (name) => !DROPPED.has(name) && !(resumed && name === 'last-event-id'))
  const own = [
    'Expect-Instance', sending.upstream,
    'Deadline-Ms', String(Math.max(1, Math.floor(sending.remainingMs))),
    'Request-Priority', String(Math.min(9, Math.max(0, sending.rank))),
    'Connection', sending.keepAlive ? 'keep-alive' : 'close'
  ]
  const length = sending.bodyBytes === undefined ? [] : ['Content-Length', String(sending.bodyBytes)]
  const resume = sending.lastEventId === undefined ? [] : ['Last-Event-Id', sending.lastEventId]
  return [...kept, ...own, ...length, ...resume]
}

/**
 * Reads what an upstream's answer says.
 *
 * @param status The status code.
 * @param headers The answer's headers in lower case.
 * @returns The facts.
 *
 * @example
 * ```ts
 * console.log(readAnswer(503, { 'not-executed': '1' }).notRun) // true
 * ```
 */
export function readAnswer (status: number, headers: _Headers): AnswerFacts {
  const misdirected = status === MISDIRECTED
  return {
    id: _one(headers, 'attempt-id'),
    notRun: misdirected || _one(headers, 'not-executed') !== undefined,
    misdirected,
    signed: _one(headers, 'server-signature') !== undefined,
    plain: (_one(headers, 'content-encoding') ?? 'identity') === 'identity'
  }
}

/**
 * Gives the headers of an upstream's answer that the caller gets.
 *
 * @param headers Header names and values in turn, as the upstream sent them.
 * @returns Header names and values in turn.
 *
 * @example
 * ```ts
 * console.log(answerHeaders(['Connection', 'close', 'Server-Signature', 'x'])) // ['Server-Signature', 'x']
 * ```
 */
export function answerHeaders (headers: readonly string[]): readonly string[] {
  return _filter(headers, (name) => !HOPS.has(name))
}

/**
 * Gives the headers of an answer that an instance makes itself.
 *
 * @param id The request's id, empty where the caller gave none.
 * @param retryAfterMs When the caller may come back, in ms, where it makes sense.
 * @returns The headers.
 *
 * @example
 * ```ts
 * console.log(ownHeaders('a1', 250)) // { 'Attempt-Id': 'a1', 'Retry-After': '0.25' }
 * ```
 */
export function ownHeaders (id: string, retryAfterMs: number | undefined): Readonly<Record<string, string>> {
  return {
    ...id === '' ? {} : { 'Attempt-Id': id },
    ...retryAfterMs === undefined ? {} : { 'Retry-After': String(Math.ceil(retryAfterMs) / MS_PER_SECOND) }
  }
}

const MS_PER_SECOND = 1000

function _one (headers: _Headers, name: string): string | undefined {
  const value = headers[name]
  return typeof value === 'string' ? value : value?.[0]
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
