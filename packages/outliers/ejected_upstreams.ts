import type { OutcomeCounts } from './outcomes.ts'

/** Failures before an upstream is ejected: the fewest that tell a failing upstream from an unlucky one. */
const MIN_FAILURES = 3
/** Share of failures from which an upstream fails most of what it gets. */
const MIN_FAILURE_SHARE = 0.5
/** Duration of the first ejection, in ms; doubles with each one that follows. */
const EJECTION_MS = 1000
/** Maximum duration of an ejection, in ms: a recovered upstream is missed for no longer. */
const MAX_EJECTION_MS = 8000
/** Time after its ejection after which an upstream without a failed probe counts as readmitted, in ms; an instance may have no request for it. */
const PROBATION_MS = 4000
/** Time after its readmission after which an upstream's ejections no longer count, in ms. */
const FORGET_MS = 10_000
/** Share of a service that may be ejected; the rest has to bear its load. */
const MAX_EJECTED_SHARE = 1 / 3
/** Smallest number of upstreams of a service of which one may be ejected. */
const MIN_UPSTREAMS = 3
/** Share of a service from which on failures are not those of single upstreams. */
const COMMON_FAILURE_SHARE = 1 / 2

/** Why and for how long an upstream is ejected. */
export interface Ejection {
  /** The upstream's process, to which alone the ejection applies. */
  readonly incarnation: number
  /** Consecutive ejections, including this one. */
  readonly times: number
  /** Local time until which the upstream gets no requests, in ms; probes follow. */
  readonly untilMs: number
  /** Local time at which a probe was answered, in ms; undefined while the upstream is ejected or probed. */
  readonly readmittedAtMs: number | undefined
  readonly failed: number
  readonly answered: number
  /** Who decided. */
  readonly source: 'own' | 'holder'
}

/** An upstream of a service. */
export interface ServiceMember {
  readonly upstream: string
  readonly incarnation: number
}

/** What an ejection is decided on besides the outcomes. */
export interface EjectionOptions {
  /** All upstreams of the service. */
  readonly members: readonly ServiceMember[]
  /** Ejections in force, and former ones. */
  readonly ejections: ReadonlyMap<string, Ejection>
  readonly nowMs: number
}

/**
 * Decides which upstreams of a service are ejected because of their failures.
 *
 * The load that it addresses: an upstream answers health checks and breaks each request after some ms. It seems quick and
 * idle, and so attracts requests. A crash also breaks many attempts, but all at one moment; only an upstream that breaks an
 * attempt sent after another one had failed is ejected. While half of a service fails, the cause is not a single upstream.
 *
 * @param outcomes Counts of the latest outcomes, by upstream; those without failures may be absent.
 * @param options The upstreams of the service, its ejections and the local time.
 * @returns The ejections that are new, by upstream.
 *
 * @example
 * ```ts
 * const added = ejectedUpstreams(new Map([['u1', counts]]), { members, ejections: new Map(), nowMs })
 * ```
 */
export function ejectedUpstreams (outcomes: ReadonlyMap<string, OutcomeCounts>, options: EjectionOptions): ReadonlyMap<string, Ejection> {
  const { members, ejections, nowMs } = options
  const added = new Map<string, Ejection>()
  const out = members.filter(({ upstream, incarnation }) => isOut(ejections.get(upstream), incarnation, nowMs))
  // A probe that fails renews an ejection, which leaves the number of ejected upstreams unchanged.
  for (const member of out) {
    const before = ejections.get(member.upstream)
    const counts = outcomes.get(member.upstream)
    if (before === undefined || counts === undefined || nowMs < before.untilMs || counts.lastFailedSentAtMs < before.untilMs) continue
    added.set(member.upstream, _ejection(counts, member, { before, nowMs }))
  }
  const failing = members.flatMap((member) => {
    const counts = outcomes.get(member.upstream)
    const before = ejections.get(member.upstream)
    if (counts === undefined || out.includes(member) || !_isFailing(counts)) return []
    return before !== undefined && counts.lastFailedSentAtMs < (before.readmittedAtMs ?? before.untilMs) ? [] : [{ member, counts, before }]
  })
  const isCommon = failing.length + out.length > members.length * COMMON_FAILURE_SHARE
  const free = isCommon ? 0 : maxEjected(members.length) - out.length
  const worst = failing.sort((a, b) => b.counts.failed - a.counts.failed || (a.member.upstream < b.member.upstream ? -1 : 1)).slice(0, Math.max(0, free))
  for (const { member, counts, before } of worst) added.set(member.upstream, _ejection(counts, member, { before, nowMs }))
  return added
}

/**
 * Returns how many upstreams of a service may be ejected at the same time.
 *
 * @param upstreams The number of its upstreams.
 * @returns The number.
 *
 * @example
 * ```ts
 * console.log(maxEjected(87)) // 29
 * ```
 */
export function maxEjected (upstreams: number): number {
  return upstreams < MIN_UPSTREAMS ? 0 : Math.floor(upstreams * MAX_EJECTED_SHARE)
}

/**
 * Reports whether an upstream's process is ejected or has not yet answered a probe since.
 *
 * @param ejection The upstream's last ejection, if there is one.
 * @param incarnation The upstream's process.
 * @param nowMs The local time in ms.
 * @returns Whether the upstream gets at most probes.
 *
 * @example
 * ```ts
 * console.log(isOut(undefined, 1, performance.now())) // false
 * ```
 */
export function isOut (ejection: Ejection | undefined, incarnation: number, nowMs: number): boolean {
  return ejection !== undefined && ejection.incarnation === incarnation && ejection.readmittedAtMs === undefined && nowMs - ejection.untilMs < PROBATION_MS
}

function _isFailing ({ answered, failed, firstFailedAtMs, lastFailedSentAtMs }: OutcomeCounts): boolean {
  return failed >= MIN_FAILURES && failed >= (answered + failed) * MIN_FAILURE_SHARE && lastFailedSentAtMs >= firstFailedAtMs
}

interface _Previous {
  readonly before: Ejection | undefined
  readonly nowMs: number
}

function _ejection ({ failed, answered }: OutcomeCounts, { incarnation }: ServiceMember, { before, nowMs }: _Previous): Ejection {
  const isRepeated = before !== undefined && before.incarnation === incarnation && nowMs - (before.readmittedAtMs ?? before.untilMs) < FORGET_MS
  const times = isRepeated ? before.times + 1 : 1
  return { incarnation, times, untilMs: nowMs + Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** (times - 1)), readmittedAtMs: undefined, failed, answered, source: 'own' }
}
