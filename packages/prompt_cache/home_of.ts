import { rendezvousHash } from './rendezvous_hash.ts'

/**
 * Returns the home of a prompt part by rendezvous hashing.
 *
 * Instances with the same list of upstreams agree on it without messages, and a change of the list moves only the parts whose home was
 * removed or whose home is an added upstream.
 *
 * @param part The seed of the part.
 * @param upstreams The seeds of the upstreams that offer the model.
 * @returns The index of the home, or -1 without upstreams.
 *
 * @example
 * ```ts
 * const home = upstreams[homeOf(nameSeed('part-1'), upstreams.map(nameSeed))]
 * ```
 */
export function homeOf (part: number, upstreams: ArrayLike<number>): number {
  let home = -1
  let highest = -1
  for (let i = 0; i < upstreams.length; i += 1) {
    const rank = rendezvousHash(part, upstreams[i] ?? 0)
    if (rank <= highest) continue
    highest = rank
    home = i
  }
  return home
}
