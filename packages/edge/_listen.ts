import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

/** Maximum number of connections waiting to be accepted; sized for a burst of new callers at one instance. */
const ACCEPT_BACKLOG = 1024
/** Interval at which an address that cannot be bound yet is tried again, in ms. */
const RETRY_INTERVAL_MS = 50
/** Interval at which a wait for an address is reported, in ms. */
const REPORT_INTERVAL_MS = 5000
/**
 * Errors that pass: another process, which may be ending, holds the address; the machine does not have it yet; descriptors or memory are short, as callers have them
 * whose address is open already.
 */
const PASSING_ERRORS: readonly unknown[] = ['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM']

/** Options of {@linkcode listenAt}. */
export interface ListenOptions {
  /** Ends the wait for an address. */
  readonly stopping?: AbortSignal
  /** Called when an address has to be waited for, some seconds apart while that lasts, and once it is bound after a wait. */
  report? (what: 'address_awaited' | 'address_bound', wait: { readonly address: string, readonly code: string, readonly ageMs: number }): void
  /** Called with each error of the server once it listens. */
  failed? (error: Error): void
}

/**
 * Starts listening at an address of the form `host:port` and returns the bound address, whose port the system chooses if it is 0.
 * Waits as long as the address is in use or not there yet, or descriptors or memory are short. Rejects with any other error, and when told to stop.
 */
export async function listenAt (server: Server, address: string, options: ListenOptions = {}): Promise<string> {
  const startedAtMs = performance.now()
  let reportAtMs = startedAtMs
  let code = ''
  for (;;) {
    const error = await _listen(server, address)
    const ageMs = Math.round(performance.now() - startedAtMs)
    if (error === undefined) {
      if (code !== '') options.report?.('address_bound', { address, code, ageMs })
      server.on('error', (failure) => options.failed?.(failure))
      return _boundAddress(server, address)
    }
    if (!PASSING_ERRORS.includes(error.code)) throw new Error(`Cannot listen at ${address}: ${error.message}; check the addresses in the settings`, { cause: error })
    code = error.code ?? ''
    if (performance.now() >= reportAtMs) {
      reportAtMs = performance.now() + REPORT_INTERVAL_MS
      options.report?.('address_awaited', { address, code, ageMs })
    }
    await sleep(RETRY_INTERVAL_MS, undefined, options.stopping === undefined ? {} : { signal: options.stopping })
  }
}

function _boundAddress (server: Server, address: string): string {
  const { port } = server.address() as AddressInfo
  return `${address.slice(0, address.lastIndexOf(':'))}:${port}`
}

function _listen (server: Server, address: string): Promise<NodeJS.ErrnoException | undefined> {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    // Both are removed, as one more pair with each attempt would stay at the server.
    const finish = (error?: Error): void => {
      server.removeListener('error', finish)
      server.removeListener('listening', finish)
      resolve(error)
    }
    server.once('error', finish)
    server.once('listening', finish)
    try {
      server.listen({ host, port: Number(port), backlog: ACCEPT_BACKLOG })
    } catch (error) {
      // An impossible port is thrown rather than emitted.
      finish(error instanceof Error ? error : new Error(String(error)))
    }
  })
}

/** Stops accepting connections, closes idle ones and waits until the others have ended. */
export function closeServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeIdleConnections()
  })
}
