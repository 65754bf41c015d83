import { nameSeed } from '@berylshed/prompt_cache'
import type { RoutingTarget } from './routing_target.ts'

// Targets are kept until their registration or placement changes, so that few digests are made.
const seeds = new WeakMap<RoutingTarget, number>()

/** Returns the seed by which an upstream takes part in rendezvous hashing. */
export function targetSeed (target: RoutingTarget): number {
  const known = seeds.get(target)
  if (known !== undefined) return known
  const seed = nameSeed(target.upstream)
  seeds.set(target, seed)
  return seed
}
