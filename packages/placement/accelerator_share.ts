import type { Catalog } from './catalog.ts'

/**
 * Returns the share of an upstream's accelerators that one replica of a model occupies.
 *
 * @param catalog The configuration.
 * @param model The name of the model or adapter.
 * @returns The share in accelerators, by memory, on the upstream where it is smallest; 0 if no upstream has the memory.
 *
 * @example
 * ```ts
 * console.log(acceleratorShare(catalog, 'chat-7b')) // 0.25
 * ```
 */
export function acceleratorShare (catalog: Catalog, model: string): number {
  const shares = cachedShares.get(catalog) ?? new Map<string, number>()
  cachedShares.set(catalog, shares)
  const share = shares.get(model) ?? _computeShare(catalog, model)
  shares.set(model, share)
  return share
}

// Shares are cached per catalog, since catalogs are immutable.
const cachedShares = new WeakMap<Catalog, Map<string, number>>()

function _computeShare (catalog: Catalog, model: string): number {
  const requiredMb = catalog.models.get(model)?.memoryMb ?? 0
  const shares = [...catalog.upstreams.values()]
    .filter((upstream) => upstream.memoryMb >= requiredMb && upstream.memoryMb > 0)
    .map((upstream) => requiredMb / upstream.memoryMb * upstream.accelerators)
  return shares.length === 0 ? 0 : Math.min(...shares)
}
