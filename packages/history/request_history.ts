/** Event of a simulation that the request invariants are checked against. */
export type RequestRecord =
  | { readonly kind: 'received', readonly id: string, readonly atMs: number, readonly deadlineMs: number, readonly incarnation: string, readonly fingerprint: string, readonly key: string | undefined, readonly idempotent: boolean }
  | { readonly kind: 'ran', readonly id: string, readonly attempt: number, readonly atMs: number, readonly upstream: string }
  | { readonly kind: 'completed', readonly id: string, readonly attempt: number, readonly atMs: number }
  | { readonly kind: 'answered', readonly id: string, readonly attempt: number, readonly atMs: number }
  | { readonly kind: 'replayed', readonly id: string, readonly body: string, readonly atMs: number }
  | { readonly kind: 'refused', readonly id: string, readonly reason: string, readonly outcome: string, readonly atMs: number }
  | { readonly kind: 'crashed', readonly fingerprint: string, readonly upstream: string, readonly atMs: number }
  /** An instance was killed or paused; `untilMs` is infinite for a killed one. */
  | { readonly kind: 'down', readonly incarnation: string, readonly atMs: number, readonly untilMs: number }

/** Violation of a request invariant. */
export interface RequestViolation {
  readonly invariant: 'single_outcome' | 'complete_answer' | 'not_run' | 'at_most_once' | 'crash_limit'
  /** Request, idempotency key or fingerprint that the violation is about. */
  readonly id: string
  /** Description for the test report. */
  readonly detail: string
}

/** Bounds that a history is checked against. */
export interface RequestBounds {
  /** Time after the deadline within which a request must have its outcome, in ms. */
  readonly marginMs: number
  /** Number of upstreams that requests of one fingerprint may crash. */
  readonly maxCrashes: number
}

type _Received = Extract<RequestRecord, { kind: 'received' }>

/**
 * Checks a history against the request invariants.
 *
 * - `single_outcome`: every request has exactly one outcome, no later than its deadline plus the margin; if its
 *   instance was killed or paused, the outcome may be late or missing.
 * - `complete_answer`: callers receive complete answers only, and replayed outcomes are those of completed attempts.
 * - `not_run`: a request that is refused as not run did not run on any upstream.
 * - `at_most_once`: a request that is not idempotent runs at most once, also if its idempotency key is repeated.
 * - `crash_limit`: requests of one fingerprint crash no more than `bounds.maxCrashes` upstreams.
 *
 * @param records The events in order of time.
 * @param bounds The margin and the number of crashes.
 * @returns All violations; empty if the invariants hold.
 *
 * @example
 * ```ts
 * console.log(checkRequests([], { marginMs: 200, maxCrashes: 2 }).length) // 0
 * ```
 */
export function checkRequests (records: readonly RequestRecord[], bounds: RequestBounds): readonly RequestViolation[] {
  const received = records.filter((record) => record.kind === 'received')
  return [
    ...received.flatMap((request) => _checkOutcome(records, request, bounds)),
    ..._checkAnswers(records),
    ...received.flatMap((request) => _checkRefusals(records, request)),
    ..._checkAtMostOnce(records, received),
    ..._checkCrashes(records, bounds)
  ]
}

function _checkOutcome (records: readonly RequestRecord[], request: _Received, bounds: RequestBounds): readonly RequestViolation[] {
  const { id } = request
  const outcomes = records.filter((r) => (r.kind === 'answered' || r.kind === 'refused' || r.kind === 'replayed') && r.id === id)
  const first = outcomes[0]
  if (outcomes.length > 1) return [{ invariant: 'single_outcome', id, detail: `${outcomes.length} outcomes instead of one` }]
  if (_wasDown(records, request, bounds)) return []
  if (first === undefined) return [{ invariant: 'single_outcome', id, detail: 'no outcome' }]
  const lateMs = first.atMs - request.deadlineMs
  return lateMs > bounds.marginMs ? [{ invariant: 'single_outcome', id, detail: `outcome ${lateMs} ms after the deadline` }] : []
}

// A killed or paused instance can't meet the deadlines of the requests it held.
function _wasDown (records: readonly RequestRecord[], request: _Received, bounds: RequestBounds): boolean {
  return records.some((record) => record.kind === 'down' && record.incarnation === request.incarnation &&
    record.atMs <= request.deadlineMs + bounds.marginMs && record.untilMs >= request.atMs)
}

function _checkAnswers (records: readonly RequestRecord[]): readonly RequestViolation[] {
  const completed = new Set(records.flatMap((r) => r.kind === 'completed' ? [`${r.id}.${r.attempt}`] : []))
  return records.flatMap((record): readonly RequestViolation[] => {
    if (record.kind === 'answered' && !completed.has(`${record.id}.${record.attempt}`)) {
      return [{ invariant: 'complete_answer', id: record.id, detail: `answered from attempt ${record.attempt}, which did not complete` }]
    }
    if (record.kind === 'replayed' && !completed.has(record.body)) {
      return [{ invariant: 'complete_answer', id: record.id, detail: `replayed outcome ${record.body}, which no attempt completed` }]
    }
    return []
  })
}

function _checkRefusals (records: readonly RequestRecord[], request: _Received): readonly RequestViolation[] {
  const refused = records.find((record) => record.kind === 'refused' && record.id === request.id)
  if (refused?.kind !== 'refused' || refused.outcome !== 'not run') return []
  const ran = records.some((record) => record.kind === 'ran' && record.id === request.id)
  return ran ? [{ invariant: 'not_run', id: request.id, detail: `refused as not run (${refused.reason}) although it ran` }] : []
}

function _checkAtMostOnce (records: readonly RequestRecord[], received: readonly _Received[]): readonly RequestViolation[] {
  const keysByRequest = new Map(received.filter((r) => !r.idempotent).map((r) => [r.id, r.key ?? r.id]))
  const runs = new Map<string, number>()
  for (const record of records) {
    const key = record.kind === 'ran' ? keysByRequest.get(record.id) : undefined
    if (key !== undefined) runs.set(key, (runs.get(key) ?? 0) + 1)
  }
  return [...runs].filter(([, count]) => count > 1).map(([id, count]) => ({ invariant: 'at_most_once', id, detail: `ran ${count} times` }))
}

function _checkCrashes (records: readonly RequestRecord[], bounds: RequestBounds): readonly RequestViolation[] {
  const crashes = new Map<string, number>()
  for (const record of records) {
    if (record.kind === 'crashed') crashes.set(record.fingerprint, (crashes.get(record.fingerprint) ?? 0) + 1)
  }
  return [...crashes].filter(([, count]) => count > bounds.maxCrashes)
    .map(([id, count]) => ({ invariant: 'crash_limit', id, detail: `crashed ${count} upstreams` }))
}
