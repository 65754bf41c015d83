import type { Upstream } from './upstream.ts'

/** The registered upstreams as of one revision of the platform's store. */
export interface UpstreamList {
  /** Store revision that the list shows; a higher one is newer. */
  readonly revision: number
  readonly upstreams: ReadonlyMap<string, Upstream>
  /** Revision at which what routing knows of an upstream last changed, also of the upstreams that were removed. */
  readonly changedAt: ReadonlyMap<string, number>
  /** Revision since which `changedAt` tells every change. */
  readonly completeSince: number
}

/** A list without entries, older than any other. */
export const NO_UPSTREAMS: UpstreamList = { revision: 0, upstreams: new Map(), changedAt: new Map(), completeSince: Infinity }

/** A change of one registration; `upstream` is undefined where it was removed or can't be read. */
export interface RegistrationChange {
  readonly id: string
  readonly upstream: Upstream | undefined
}

/** What an instance tells another one of the registrations. */
export interface UpstreamNews {
  /** Store revision after the changes. */
  readonly revision: number
  /** Whether the changes name every registered upstream. */
  readonly complete: boolean
  readonly changes: readonly RegistrationChange[]
}

/**
 * Applies changes to a list of upstreams.
 *
 * An entry of an earlier incarnation never replaces one of a later incarnation.
 *
 * @param list The list so far.
 * @param changes The changes, in order.
 * @param options The store revision after the changes.
 * @returns The list after the changes.
 *
 * @example
 * ```ts
 * const list = changeUpstreams(NO_UPSTREAMS, [{ id: 'u1', upstream }], { revision: 7 })
 * ```
 */
export function changeUpstreams (
  list: UpstreamList,
  changes: readonly RegistrationChange[],
  options: { readonly revision: number }
): UpstreamList {
  const { revision } = options
  const upstreams = new Map(list.upstreams)
  const changedAt = new Map(list.changedAt)
  for (const { id, upstream } of changes) {
    const known = upstreams.get(id)
    if (upstream === undefined) upstreams.delete(id)
    else if ((known?.incarnation ?? 0) <= upstream.incarnation) upstreams.set(id, upstream)
    if (!_isAlike(known, upstreams.get(id))) changedAt.set(id, revision)
  }
  return { revision, upstreams, changedAt, completeSince: Math.min(list.completeSince, revision) }
}

// What an engine holds is told by the holder of the lease, and changes too often to be passed on with the registrations.
function _isAlike (a: Upstream | undefined, b: Upstream | undefined): boolean {
  if (a === undefined || b === undefined) return a === b
  return a.incarnation === b.incarnation && a.leaving === b.leaving && a.address === b.address && a.service === b.service &&
    a.slots === b.slots && a.availabilityZone === b.availabilityZone
}

/**
 * Lists the changes that turn one list into another.
 *
 * @param before The list so far, if there is one.
 * @param after The registered upstreams now.
 * @returns The changes, removals first.
 *
 * @example
 * ```ts
 * const changes = changesBetween(known, listed.upstreams)
 * ```
 */
export function changesBetween (before: UpstreamList | undefined, after: ReadonlyMap<string, Upstream>): readonly RegistrationChange[] {
  const gone = [...before?.upstreams.keys() ?? []].filter((id) => !after.has(id))
  return [...gone.map((id) => ({ id, upstream: undefined })), ...[...after].map(([id, upstream]) => ({ id, upstream }))]
}

/**
 * Gives what has changed since a revision, for an instance that knows the list as of then.
 *
 * @param list The list.
 * @param revision The revision that the other instance knows.
 * @returns The news; the whole list where the changes since then are not known.
 *
 * @example
 * ```ts
 * const news = upstreamNews(list, request.listRevision)
 * ```
 */
export function upstreamNews (list: UpstreamList, revision: number): UpstreamNews {
  if (revision < list.completeSince) return { revision: list.revision, complete: true, changes: changesBetween(undefined, list.upstreams) }
  const ids = [...list.changedAt].filter(([, changedAt]) => changedAt > revision).map(([id]) => id)
  return { revision: list.revision, complete: false, changes: ids.map((id) => ({ id, upstream: list.upstreams.get(id) })) }
}

/**
 * Applies what another instance tells of the registrations.
 *
 * @param list The list so far.
 * @param news The news.
 * @returns The list after the news; the same list where it is not older.
 *
 * @example
 * ```ts
 * const list = applyUpstreamNews(state.list ?? NO_UPSTREAMS, news)
 * ```
 */
export function applyUpstreamNews (list: UpstreamList, news: UpstreamNews): UpstreamList {
  if (news.revision <= list.revision) return list
  const named = new Map(news.changes.flatMap(({ id, upstream }) => upstream === undefined ? [] : [[id, upstream] as const]))
  return changeUpstreams(list, news.complete ? changesBetween(list, named) : news.changes, { revision: news.revision })
}
