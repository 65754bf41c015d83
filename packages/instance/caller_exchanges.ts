import type { ServerResponse } from 'node:http'
import type { RecordedOutcome, RequestEffect, RequestEvent } from '@berylshed/requests'
import { answerError, refusalAnswer } from './_caller_answers.ts'
import { forwardRequest, type AnswerHead, type ForwardHandle } from './_forward_request.ts'

/** Request of a caller in the form that is forwarded to upstreams, and the response that receives the answer. */
export interface CallerExchange {
  /** Id of the request. */
  readonly id: string
  readonly method: string
  readonly path: string
  readonly contentType: string
  readonly body: Buffer
  /** Whether the caller requested a stream of server-sent events. */
  readonly stream: boolean
  readonly response: ServerResponse
}

/** Options for `createCallerExchanges`. */
export interface ExchangeOptions {
  /** Time within which a connection to an upstream must be established, in ms. */
  readonly connectTimeoutMs: number
  /** Time without data from an upstream after which its silence is reported, in ms. */
  readonly progressTimeoutMs: number
  /** Returns the local time in ms. */
  nowMs (): number
  /** Returns a random number from 0 up to 1. */
  random (): number
  /** Returns the host and port of an upstream, or undefined if it is not configured. */
  addressOf (upstream: string): string | undefined
  /** Sends an event to the requests reducer. */
  dispatch (event: RequestEvent): void
}

interface _BufferedAnswer {
  readonly head: AnswerHead
  readonly body: Buffer
}

interface _OpenExchange {
  readonly exchange: CallerExchange
  forwarding: ForwardHandle | undefined
  answer: _BufferedAnswer | undefined
}

/** Open exchanges between an instance and its callers. */
export interface CallerExchanges {
  /** Adds an exchange; dispatches `caller_left` if the caller disconnects early. */
  open (exchange: CallerExchange): void
  /** Carries out an effect on an open exchange; ignores effects of other kinds. */
  perform (effect: RequestEffect): void
  /** Returns the number of open exchanges. */
  size (): number
}

/**
 * Creates an empty table of open exchanges.
 *
 * @param options Timeouts, upstream addresses and the receiver of events.
 * @returns The table.
 *
 * @example
 * ```ts
 * const exchanges = createCallerExchanges(options)
 * console.log(exchanges.size()) // 0
 * ```
 */
export function createCallerExchanges (options: ExchangeOptions): CallerExchanges {
  const entries = new Map<string, _OpenExchange>()

  function open (exchange: CallerExchange): void {
    entries.set(exchange.id, { exchange, forwarding: undefined, answer: undefined })
    exchange.response.on('drain', () => entries.get(exchange.id)?.forwarding?.resume())
    exchange.response.on('close', () => {
      if (!exchange.response.writableFinished) options.dispatch({ kind: 'caller_left', id: exchange.id, nowMs: options.nowMs() })
    })
  }

  function send (effect: Extract<RequestEffect, { kind: 'send' }>): void {
    const { request, attempt } = effect
    const entry = entries.get(request.id)
    const address = options.addressOf(effect.upstream)
    if (entry === undefined) return
    if (address === undefined) return fail(request.id, attempt, 'not_connected')
    const { exchange } = entry
    entry.forwarding = forwardRequest({
      id: `${request.id}.${attempt}`,
      address,
      method: exchange.method,
      path: exchange.path,
      headers: { 'content-type': exchange.contentType, ...request.idempotencyKey === undefined ? {} : { 'idempotency-key': request.idempotencyKey } },
      body: exchange.body,
      stream: exchange.stream,
      reuseConnection: request.idempotent && request.target.kind === 'service',
      connectTimeoutMs: options.connectTimeoutMs,
      progressTimeoutMs: options.progressTimeoutMs
    }, {
      started: (head) => start(entry, attempt, head),
      chunk: (chunk) => exchange.response.write(chunk),
      ended: (head, body, tokens) => end(entry, { head, body }, { attempt, tokens }),
      silent: () => options.dispatch({ kind: 'attempt_silent', id: request.id, attempt, nowMs: options.nowMs() }),
      failed: (failure) => fail(request.id, attempt, failure)
    })
  }

  function start (entry: _OpenExchange, attempt: number, head: AnswerHead): void {
    const { response, id } = entry.exchange
    if (!response.headersSent) response.writeHead(head.status, { 'content-type': head.contentType, 'x-request-id': id })
    options.dispatch({ kind: 'response_started', id, attempt, nowMs: options.nowMs() })
  }

  function end (entry: _OpenExchange, answer: _BufferedAnswer, ending: { readonly attempt: number, readonly tokens: number }): void {
    entry.answer = answer
    const outcome: RecordedOutcome = {
      status: answer.head.status, contentType: answer.head.contentType, body: answer.body.toString('utf8')
    }
    options.dispatch({ kind: 'response_ended', id: entry.exchange.id, ...ending, outcome, nowMs: options.nowMs() })
  }

  function fail (id: string, attempt: number, failure: Extract<RequestEvent, { kind: 'attempt_failed' }>['failure']): void {
    options.dispatch({ kind: 'attempt_failed', id, attempt, failure, nowMs: options.nowMs(), random: options.random() })
  }

  function deliver (id: string): void {
    const entry = entries.get(id)
    entries.delete(id)
    if (entry === undefined || entry.exchange.response.writableEnded) return
    const { response } = entry.exchange
    if (response.headersSent || entry.answer === undefined) {
      response.end()
      return
    }
    const { head, body } = entry.answer
    response.writeHead(head.status, { 'content-type': head.contentType, 'content-length': body.length, 'x-request-id': id })
    response.end(body)
  }

  function replay (id: string, outcome: RecordedOutcome): void {
    const entry = entries.get(id)
    entries.delete(id)
    if (entry === undefined || entry.exchange.response.destroyed) return
    entry.exchange.response.writeHead(outcome.status, {
      'content-type': outcome.contentType, 'x-request-id': id, 'x-recorded-outcome': 'completed'
    })
    entry.exchange.response.end(outcome.body)
  }

  function perform (effect: RequestEffect): void {
    switch (effect.kind) {
      case 'send': return send(effect)
      case 'deliver': return deliver(effect.id)
      case 'replay_outcome': return replay(effect.id, effect.outcome)
      case 'cancel':
        entries.get(effect.id)?.forwarding?.cancel()
        return
      case 'refuse': {
        const entry = entries.get(effect.id)
        entries.delete(effect.id)
        if (entry !== undefined) answerError(entry.exchange.response, refusalAnswer(effect.id, effect.refusal))
        break
      }
      default:
    }
  }

  return { open, perform, size: () => entries.size }
}
