import type { Upstream } from './upstream.ts'

/** The registered upstreams as of one revision of the platform's store. */
export interface UpstreamList {
  /** Store revision that the list shows; a higher one is newer. */
  readonly revision: number
  readonly upstreams: ReadonlyMap<string, Upstream>
}

/** A list without entries, older than any other. */
export const NO_UPSTREAMS: UpstreamList = { revision: 0, upstreams: new Map() }

/** A change of one registration; `upstream` is undefined where it was removed or can't be read. */
export interface RegistrationChange {
  readonly id: string
  readonly upstream: Upstream | undefined
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
  const upstreams = new Map(list.upstreams)
  for (const { id, upstream } of changes) {
    if (upstream === undefined) upstreams.delete(id)
    else if ((upstreams.get(id)?.incarnation ?? 0) <= upstream.incarnation) upstreams.set(id, upstream)
  }
  return { revision: options.revision, upstreams }
}
