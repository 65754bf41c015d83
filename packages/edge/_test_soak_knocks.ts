import { connect } from 'node:net'
import { readinessOf, BOUNDS, type ProcessInstance } from './_test_processes.ts'

/** Interval between new connections to an instance, in ms. */
const INTERVAL_MS = 300
/** Callers that have to try before an instance that takes no new connection is at fault, see the given rules. */
const MIN_TRIES = 7

/** A new connection to an instance, with a request that every instance can answer; times are local, in ms. */
interface _Knock {
  readonly atMs: number
  /** Whether the kernel accepted the connection, and whether the instance said then that it was ready. */
  isConnected: boolean
  isReady: boolean
  answeredAtMs: number
}

/** New callers at all instances. */
export interface Knocks {
  /** Returns what is wrong with how instances took new connections. */
  faults (): readonly string[]
  /** Tells how many were answered. */
  describe (): string
  stop (): void
}

function knock (instance: ProcessInstance, n: number): _Knock {
  const entry: _Knock = { atMs: performance.now(), isConnected: false, isReady: false, answeredAtMs: Infinity }
  readinessOf(instance).then((status) => { entry.isReady = status === 200 }).catch(() => {})
  const socket = connect({ host: '127.0.0.1', port: instance.callers })
  socket.on('connect', () => {
    entry.isConnected = true
    socket.write(`GET /nowhere/ HTTP/1.1\r\nHost: api.example\r\nAttempt-Id: knock-${n}\r\nConnection: close\r\n\r\n`)
  })
  socket.once('data', () => {
    entry.answeredAtMs = performance.now()
    socket.destroy()
  })
  socket.on('error', () => {})
  setTimeout(() => socket.destroy(), BOUNDS.ContactMs).unref()
  return entry
}

// Returns the first of a row of knocks that a ready instance in touch did not answer, if it is long enough.
function findRow (knocks: readonly _Knock[], isInTouch: (atMs: number) => boolean): _Knock | undefined {
  let row: readonly _Knock[] = []
  for (const [i, one] of knocks.entries()) {
    // Two misses in a row take an instance out, see the given pages (Ingress).
    const countsAsReady = one.isReady || knocks[i - 1]?.isReady === true
    const isUnanswered = one.isConnected && countsAsReady && one.answeredAtMs - one.atMs > BOUNDS.ContactMs && isInTouch(one.atMs)
    row = isUnanswered ? [...row, one] : []
    if (row.length === MIN_TRIES) return row[0]
  }
  return undefined
}

/** Opens new connections to all instances until it is stopped. */
export function startKnocks (instances: readonly ProcessInstance[]): Knocks {
  const knocks = new Map(instances.map((instance): [ProcessInstance, _Knock[]] => [instance, []]))
  let count = 0
  const timer = setInterval(() => {
    for (const [instance, made] of knocks) made.push(knock(instance, count += 1))
  }, INTERVAL_MS)

  function faults (): readonly string[] {
    return [...knocks].flatMap(([{ name, lifetimes }, made]) => {
      const isInTouch = (atMs: number): boolean => lifetimes.some(({ startedAtMs, signalledAtMs, endedAtMs }) => atMs > startedAtMs + BOUNDS.ContactMs && atMs + BOUNDS.ContactMs < Math.min(signalledAtMs, endedAtMs))
      const decided = made.filter(({ atMs }) => performance.now() - atMs > BOUNDS.ContactMs)
      const first = findRow(decided, isInTouch)
      const lifetime = lifetimes.findLast(({ startedAtMs }) => startedAtMs <= (first?.atMs ?? -Infinity))
      return first === undefined ? [] : [`RECOVER: ${name} says it is ready and took none of ${MIN_TRIES} new connections within ${BOUNDS.ContactMs} ms, from ${Math.round(first.atMs - (lifetime?.startedAtMs ?? 0))} ms after its start`]
    })
  }

  function describe (): string {
    const all = [...knocks.values()].flat().filter(({ isConnected, atMs }) => isConnected && performance.now() - atMs > BOUNDS.ContactMs)
    const unanswered = all.filter(({ atMs, answeredAtMs }) => answeredAtMs - atMs > BOUNDS.ContactMs)
    return `${all.length} new connections of single callers, ${unanswered.length} without an answer within ${BOUNDS.ContactMs} ms, ${unanswered.filter(({ isReady }) => isReady).length} of them while the instance said it is ready`
  }

  return { faults, describe, stop: () => clearInterval(timer) }
}
