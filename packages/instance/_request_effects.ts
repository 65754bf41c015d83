import { connect } from 'node:net'
import { liveEntries } from '@berylshed/membership'
import type { RequestEffect, RequestEvent } from '@berylshed/requests'
import { Effect } from 'effect'
import type { InterpreterContext } from './_interpreter_context.ts'
import { createCallerExchanges, type CallerExchange } from './caller_exchanges.ts'
import { createLog } from './log.ts'

/** Time for which an upstream that accepts no new connection is avoided, in ms. */
const SUSPECT_MS = 5000

/** Interpreter of the effects of the requests reducer. */
export interface RequestEffects {
  /** Adds the exchange of a new request. */
  open (exchange: CallerExchange): void
  /** Carries out one effect. */
  perform (effect: RequestEffect): Promise<void>
}

/** Creates the interpreter of the effects of the requests reducer. */
export function createRequestEffects (context: InterpreterContext): RequestEffects {
  const { settings, peers, metrics, nowMs, random } = context
  const log = createLog('requests')
  const addressOf = (upstream: string): string | undefined => context.state().deployment?.addresses.get(upstream)
  const exchanges = createCallerExchanges({
    connectTimeoutMs: settings.requests.connect_timeout_ms,
    progressTimeoutMs: settings.requests.progress_timeout_ms,
    nowMs,
    random,
    addressOf,
    dispatch
  })

  function dispatch (event: RequestEvent): void {
    context.dispatch({ subject: 'requests', event })
  }

  async function runTimer (effect: Extract<RequestEffect, { kind: 'set_timer' }>): Promise<void> {
    await Effect.runPromise(Effect.sleep(Math.max(0, effect.atMs - nowMs())))
    const kind = effect.timer === 'deadline' ? 'deadline_passed' : 'retry_due'
    dispatch({ kind, id: effect.id, nowMs: nowMs() })
  }

  // A new connection distinguishes a broken connection from a broken upstream. Peers are warned only of the latter.
  async function checkUpstream (upstream: string): Promise<void> {
    const address = addressOf(upstream)
    if (address !== undefined && await _canConnect(address, settings.requests.connect_timeout_ms)) {
      return dispatch({ kind: 'upstream_cleared', upstream, nowMs: nowMs() })
    }
    dispatch({ kind: 'upstream_suspected', upstream, forMs: SUSPECT_MS, nowMs: nowMs() })
    const others = liveEntries(context.state().membership, nowMs()).filter((entry) => entry.incarnation !== context.incarnation)
    await Promise.all(others.map((entry) => peers.suspect(entry.address, upstream, SUSPECT_MS)))
  }

  function count (effect: Extract<RequestEffect, { kind: 'count' }>): void {
    const { request, metric } = effect
    metrics.count(metric)
    metrics.time('request.ms', nowMs() - request.receivedAtMs)
    const [first] = request.attempts
    if (first !== undefined) metrics.time('wait.ms', first.sentAtMs - request.receivedAtMs)
    log(metric, { request: request.id, customer: request.customer, model: request.target.name })
  }

  async function perform (effect: RequestEffect): Promise<void> {
    switch (effect.kind) {
      case 'set_timer': return await runTimer(effect)
      case 'check_upstream': return await checkUpstream(effect.upstream)
      case 'count': return count(effect)
      case 'refuse':
        log('refused', { request: effect.id, reason: effect.refusal.reason })
        return exchanges.perform(effect)
      default: exchanges.perform(effect)
    }
  }

  return { open: exchanges.open, perform }
}

function _canConnect (address: string, timeoutMs: number): Promise<boolean> {
  return new Promise((resolve) => {
    const [host, port] = address.split(':')
    const socket = connect({ host: host ?? '', port: Number(port), timeout: timeoutMs })
    const finish = (reachable: boolean): void => {
      socket.destroy()
      resolve(reachable)
    }
    socket.once('connect', () => finish(true))
    socket.once('error', () => finish(false))
    socket.once('timeout', () => finish(false))
  })
}
