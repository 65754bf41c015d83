import { storeRevision } from './store_position.ts'
import type { Upstream } from './upstream.ts'

/** The registered upstreams at one position in the history of the platform's store. */
export interface UpstreamList {
  /** Position of the list; higher positions are newer. */
  readonly revision: number
  readonly upstreams: ReadonlyMap<string, Upstream>
  /** Position of the last change that affects routing, by upstream id; includes removed upstreams. */
  readonly changedAt: ReadonlyMap<string, number>
  /** Position after which `changedAt` records every change. */
  readonly completeSince: number
  /** Removed upstreams, by id. */
  readonly removed: ReadonlyMap<string, Removal>
}

/** Removal of an upstream's registration. */
export interface Removal {
  readonly incarnation: number
  /** Position in the history of the store at which the removal was known. */
  readonly revision: number
}

/** An empty list that is older than any other list. */
export const NO_UPSTREAMS: UpstreamList = { revision: 0, upstreams: new Map(), changedAt: new Map(), completeSince: Infinity, removed: new Map() }

/** A change of one registration; `upstream` is undefined if the registration was removed or cannot be decoded. */
export interface RegistrationChange {
  readonly id: string
  readonly upstream: Upstream | undefined
}

/** Registration changes that one instance sends to another. */
export interface UpstreamUpdate {
  /** Position in the history of the store after the changes. */
  readonly revision: number
  /** Whether the changes contain every registered upstream. */
  readonly complete: boolean
  readonly changes: readonly RegistrationChange[]
}

/** Options of {@linkcode applyRegistrationChanges}. */
export interface RegistrationChangeOptions {
  /** Position in the history of the store after the changes. */
  readonly revision: number
  /** Whether the changes contain every registered upstream; false by default. */
  readonly complete?: boolean
}

/**
 * Applies registration changes to a list of upstreams.
 *
 * A registration of an earlier incarnation never replaces one of a later incarnation, and an incarnation that drains never
 * stops draining. A store that was restored from a copy may list upstreams that were removed after the copy; a complete list
 * leaves them out, a later change brings them back.
 *
 * @param list The current list.
 * @param changes The changes, in order.
 * @param options The position in the history of the store after the changes, and whether they contain every registration.
 * @returns The list after the changes.
 *
 * @example
 * ```ts
 * const list = applyRegistrationChanges(NO_UPSTREAMS, [{ id: 'u1', upstream }], { revision: 7 })
 * ```
 */
export function applyRegistrationChanges (
  list: UpstreamList,
  changes: readonly RegistrationChange[],
  options: RegistrationChangeOptions
): UpstreamList {
  const { revision, complete = false } = options
  const isOtherHistory = list !== NO_UPSTREAMS && _isOtherHistory(list.revision, revision)
  const upstreams = new Map(list.upstreams)
  const changedAt = new Map(list.changedAt)
  const removed = new Map(list.removed)
  for (const { id, upstream } of changes) {
    const known = upstreams.get(id)
    if (upstream === undefined) {
      if (known !== undefined) removed.set(id, { incarnation: known.incarnation, revision })
      upstreams.delete(id)
    } else if (!(complete && _removedBeforeRestore(list, upstream, revision)) && (known?.incarnation ?? 0) <= upstream.incarnation) {
      removed.delete(id)
      upstreams.set(id, _keepDraining(known, upstream))
    }
    if (!_isSameForRouting(known, upstreams.get(id))) changedAt.set(id, revision)
  }
  // Instances with a list from before a restore or a correction need the whole list, as their changes may differ from those known here.
  return { revision, upstreams, changedAt, completeSince: isOtherHistory ? revision : Math.min(list.completeSince, revision), removed }
}

function _isOtherHistory (before: number, after: number): boolean {
  const [known, next] = [storeRevision(before), storeRevision(after)]
  return next.era > known.era || next.corrections > known.corrections
}

function _removedBeforeRestore (list: UpstreamList, upstream: Upstream, revision: number): boolean {
  const removal = list.removed.get(upstream.id)
  if (removal === undefined || removal.incarnation < upstream.incarnation) return false
  return storeRevision(removal.revision).era < storeRevision(revision).era
}

function _keepDraining (known: Upstream | undefined, upstream: Upstream): Upstream {
  return known?.leaving === true && known.incarnation === upstream.incarnation ? { ...upstream, leaving: true } : upstream
}

// Loaded models are ignored: the lease holder publishes them, and they change too often to be sent with the registrations.
function _isSameForRouting (a: Upstream | undefined, b: Upstream | undefined): boolean {
  if (a === undefined || b === undefined) return a === b
  return a.incarnation === b.incarnation && a.leaving === b.leaving && a.address === b.address && a.service === b.service &&
    a.slots === b.slots && a.availabilityZone === b.availabilityZone
}

/**
 * Lists the changes that turn one list of upstreams into another.
 *
 * @param before The earlier list, if any.
 * @param after The upstreams that are registered now.
 * @returns The changes, removals first.
 *
 * @example
 * ```ts
 * const changes = diffUpstreams(known, listed.upstreams)
 * ```
 */
export function diffUpstreams (before: UpstreamList | undefined, after: ReadonlyMap<string, Upstream>): readonly RegistrationChange[] {
  const removedIds = [...before?.upstreams.keys() ?? []].filter((id) => !after.has(id))
  return [...removedIds.map((id) => ({ id, upstream: undefined })), ...[...after].map(([id, upstream]) => ({ id, upstream }))]
}

/**
 * Returns the registration changes since a revision, for an instance that has the list of that revision.
 *
 * @param list The list.
 * @param revision The revision of the other instance's list.
 * @returns The update, which contains the whole list if the changes since that revision are not recorded.
 *
 * @example
 * ```ts
 * const update = upstreamUpdateSince(list, request.listRevision)
 * ```
 */
export function upstreamUpdateSince (list: UpstreamList, revision: number): UpstreamUpdate {
  if (revision < list.completeSince) return { revision: list.revision, complete: true, changes: diffUpstreams(undefined, list.upstreams) }
  const ids = [...list.changedAt].filter(([, changedAt]) => changedAt > revision).map(([id]) => id)
  return { revision: list.revision, complete: false, changes: ids.map((id) => ({ id, upstream: list.upstreams.get(id) })) }
}

/**
 * Applies registration changes received from another instance.
 *
 * @param list The current list.
 * @param update The received update.
 * @returns The updated list, or the same list if the update is not newer.
 *
 * @example
 * ```ts
 * const list = applyUpstreamUpdate(state.list ?? NO_UPSTREAMS, update)
 * ```
 */
export function applyUpstreamUpdate (list: UpstreamList, update: UpstreamUpdate): UpstreamList {
  if (update.revision <= list.revision) return list
  const listed = new Map(update.changes.flatMap(({ id, upstream }) => upstream === undefined ? [] : [[id, upstream] as const]))
  return applyRegistrationChanges(list, update.complete ? diffUpstreams(list, listed) : update.changes, update)
}
