import type { ListedInstance } from './instance_list.ts'

/** What changed between two readings of the instance list. */
export interface ListChange {
  /** Upstreams whose processes have ended. */
  readonly gone: readonly string[]
  /** Upstreams that are leaving now. */
  readonly leaving: readonly string[]
  /** Upstreams that are live and were not listed so before. */
  readonly returned: readonly string[]
}

/**
 * Compares two readings of the instance list.
 *
 * An upstream counts as gone only if an earlier reading showed it: one that is new may not be listed yet.
 *
 * @param before The earlier reading.
 * @param after The later reading.
 * @returns What changed.
 *
 * @example
 * ```ts
 * console.log(compareLists([], after).gone) // []
 * ```
 */
export function compareLists (before: readonly ListedInstance[], after: readonly ListedInstance[]): ListChange {
  const upstreams = (list: readonly ListedInstance[]): ReadonlyMap<string, ListedInstance> => {
    return new Map(list.filter((instance) => instance.role === 'upstream').map((instance) => [instance.name, instance]))
  }
  const old = upstreams(before)
  const now = upstreams(after)
  return {
    gone: [...old.keys()].filter((name) => !now.has(name)),
    leaving: [...now.values()].filter((instance) => instance.state === 'leaving').map((instance) => instance.name),
    returned: [...now.values()].filter((instance) => instance.state === 'live' && old.get(instance.name)?.state !== 'live').map((instance) => instance.name)
  }
}
