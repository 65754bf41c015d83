import type { ListedInstance } from './instance_list.ts'

/** Differences between two reads of the instance list. */
export interface InstanceListDiff {
  /** Upstreams that were removed from the list because their processes have ended. */
  readonly removed: readonly string[]
  /** Upstreams that are leaving in the later read. */
  readonly leaving: readonly string[]
  /** Upstreams that are live in the later read and were not live in the earlier one. */
  readonly returned: readonly string[]
}

/**
 * Compares two reads of the instance list.
 *
 * An upstream counts as removed only if the earlier read contained it, because a new upstream may not be listed yet.
 *
 * @param before The earlier read.
 * @param after The later read.
 * @returns The differences.
 *
 * @example
 * ```ts
 * console.log(compareLists([], after).removed) // []
 * ```
 */
export function compareLists (before: readonly ListedInstance[], after: readonly ListedInstance[]): InstanceListDiff {
  const upstreamsByName = (list: readonly ListedInstance[]): ReadonlyMap<string, ListedInstance> => {
    return new Map(list.filter((instance) => instance.role === 'upstream').map((instance) => [instance.name, instance]))
  }
  const previous = upstreamsByName(before)
  const current = upstreamsByName(after)
  return {
    removed: [...previous.keys()].filter((name) => !current.has(name)),
    leaving: [...current.values()].filter((instance) => instance.state === 'leaving').map((instance) => instance.name),
    returned: [...current.values()].filter((instance) => instance.state === 'live' && previous.get(instance.name)?.state !== 'live').map((instance) => instance.name)
  }
}
