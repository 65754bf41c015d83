import type { Rules } from './rules.ts'
import type { UpstreamLoad } from './upstream_load.ts'

/** Score of one ms of distance; the score of a fully used upstream is 1. */
const DISTANCE_WEIGHT = 0.02
/** Bonus of the upstream that is likely to have the prompt's prefix in its cache, as a share of its slots. */
const PREFIX_BONUS = 0.25

/** Input of {@linkcode chooseUpstream} besides the candidates. */
export interface ChoiceContext {
  readonly rules: Rules
  /** Local time, in ms. */
  readonly nowMs: number
  /** Number of live instances that share the upstreams. */
  readonly instanceCount: number
  /** Upstreams to leave out because earlier attempts used them. */
  readonly triedUpstreams: readonly string[]
  /** Key of the rendezvous hash: the digest of the prompt's prefix, which is equal for repeats of a request. */
  readonly affinity: string
  /** Returns the load of an upstream. */
  load (upstream: string): UpstreamLoad
  /** Hash function of the rendezvous hash. */
  hash (text: string): number
}

/**
 * Chooses the upstream for a request.
 *
 * Prefers the lowest utilization, which includes the requests that this instance has sent since the last report. The
 * upstream that wins a rendezvous hash of the prefix is preferred until its utilization exceeds that of the others by a
 * quarter of its slots (Thaler and Ravishankar, Using name-based mappings to increase hit rates, IEEE/ACM Transactions
 * on Networking 1998).
 *
 * @param candidates The names of the upstreams that have the model loaded or offer the service.
 * @param context The load, distance and health of the upstreams.
 * @returns The name of the upstream, or undefined if none can take the request now.
 *
 * @example
 * ```ts
 * const upstream = chooseUpstream(['runner-1', 'runner-2'], context)
 * ```
 */
export function chooseUpstream (candidates: readonly string[], context: ChoiceContext): string | undefined {
  const eligible = candidates.filter((name) => _isEligible(name, context))
  if (eligible.length === 0) return undefined
  const preferred = _rendezvousWinner(eligible, context)
  const scored = eligible
    .map((name) => ({ name, score: _score(name, preferred, context) }))
    .sort((a, b) => a.score - b.score || (a.name < b.name ? -1 : 1))
  return scored[0]?.name
}

/**
 * Reports whether an upstream may receive requests, as far as its health is concerned.
 *
 * @param load The load and health of the upstream.
 * @param nowMs The local time, in ms.
 * @returns False if the upstream is leaving, withdrawn or suspected.
 *
 * @example
 * ```ts
 * console.log(isInService(INITIAL_LOAD, 0)) // true
 * ```
 */
export function isInService (load: UpstreamLoad, nowMs: number): boolean {
  return !load.leaving && !load.withdrawn && load.suspectedUntilMs <= nowMs
}

function _isEligible (name: string, context: ChoiceContext): boolean {
  const load = context.load(name)
  const slots = context.rules.upstreams.get(name)?.slots ?? 0
  if (!isInService(load, context.nowMs)) return false
  if (context.triedUpstreams.includes(name)) return false
  // An instance may always use its share of the slots, even if the last report of the others' requests is outdated.
  return load.ownRequests < Math.ceil(slots / context.instanceCount) || load.ownRequests + _decayedOtherRequests(load, context) < slots
}

/** Shortest time constant of the decay of a load report, in ms. */
const MIN_REPORT_DECAY_MS = 1000

// Requests reported by other instances end over time, so their number decays with the age of the report.
function _decayedOtherRequests (load: UpstreamLoad, context: ChoiceContext): number {
  const ageMs = Math.max(0, context.nowMs - load.reportedAtMs)
  return load.otherRequests * Math.exp(-ageMs / Math.max(MIN_REPORT_DECAY_MS, load.durationMs))
}

function _score (name: string, preferred: string, context: ChoiceContext): number {
  const load = context.load(name)
  const rules = context.rules.upstreams.get(name)
  const utilization = (load.ownRequests + _decayedOtherRequests(load, context)) / Math.max(1, rules?.slots ?? 1)
  const bonus = name === preferred ? PREFIX_BONUS : 0
  return utilization - bonus + DISTANCE_WEIGHT * (rules?.distanceMs ?? 0)
}

function _rendezvousWinner (names: readonly string[], context: ChoiceContext): string {
  return names.reduce((winner, name) => {
    return context.hash(`${context.affinity}\n${name}`) > context.hash(`${context.affinity}\n${winner}`) ? name : winner
  })
}
