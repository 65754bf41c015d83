import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Draws an integer from 0 to below a bound. */
export type Random = (below: number) => number

/** Creates a generator whose draws depend on a seed alone. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return (below) => uniformInt(generator, 0, below - 1)
}

/** Draws one of several items. */
export function pick<Item> (random: Random, items: readonly [Item, ...Item[]]): Item {
  return items[random(items.length)] ?? items[0]
}
