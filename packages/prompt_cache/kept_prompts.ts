import type { Prompt } from './prompt.ts'
import { partKeys } from './prompt.ts'

/** Capacity of an upstream's prompt cache if the configuration does not name one, in tokens; the smallest that the deployments name. */
const DEFAULT_CAPACITY_TOKENS = 45_000
/** Share of the capacity that kept parts have; 12 running requests with prompts and answers of 900 tokens take the rest. */
const KEPT_SHARE = 0.75

interface _KeptPart {
  readonly model: string
  readonly tokens: number
  /** Tokens that all upstreams had read for this instance at the last use of the part. */
  readonly usedAt: number
}

/** Prompt parts that one upstream probably keeps. */
export interface KeptParts {
  readonly incarnation: number
  /** Parts by key, least recently used first. */
  readonly parts: ReadonlyMap<string, _KeptPart>
  readonly totalTokens: number
  readonly capacityTokens: number
}

/** Upstream that reads a prompt. */
export interface PromptReader {
  readonly incarnation: number
  /** Capacity of its prompt cache, in tokens; a default applies if it is not known. */
  readonly capacityTokens?: number
  /** Tokens that all upstreams have read for this instance so far. */
  readonly readTokens: number
}

/**
 * Records that an upstream reads a prompt, and evicts the least recently used parts beyond the capacity.
 *
 * @param kept What the upstream keeps so far.
 * @param prompt The prompt.
 * @param reader The upstream.
 * @returns What it keeps now.
 *
 * @example
 * ```ts
 * const kept = recordPrompt(undefined, prompt, { incarnation: 1, readTokens: 543 })
 * ```
 */
export function recordPrompt (kept: KeptParts | undefined, prompt: Prompt, reader: PromptReader): KeptParts {
  const capacityTokens = KEPT_SHARE * (reader.capacityTokens ?? DEFAULT_CAPACITY_TOKENS)
  const known = kept?.incarnation === reader.incarnation ? kept : undefined
  const parts = new Map(known?.parts)
  let totalTokens = known?.totalTokens ?? 0
  // Later parts are useless without the earlier ones, so they are evicted first among those of one prompt.
  const keys = partKeys(prompt)
  for (let i = keys.length - 1; i >= 0; i -= 1) {
    const [key, tokens] = [keys[i] ?? '', prompt.tokens[i] ?? 0]
    const before = parts.get(key)
    parts.delete(key)
    totalTokens += tokens - (before?.tokens ?? 0)
    parts.set(key, { model: prompt.model, tokens, usedAt: reader.readTokens })
  }
  for (const [key, { tokens }] of parts) {
    if (totalTokens <= capacityTokens) break
    parts.delete(key)
    totalTokens -= tokens
  }
  return { incarnation: reader.incarnation, parts, totalTokens, capacityTokens }
}

/**
 * Estimates how many tokens of a prompt an upstream still keeps.
 *
 * Only parts from the first one on without a gap count. Other instances send prompts to the upstream as well, which this one does not see: it
 * assumes that each sends as much as itself, to all upstreams alike. What it sent to this upstream alone would be too few requests to tell.
 *
 * @param kept What the upstream keeps, as far as this instance knows.
 * @param prompt The keys of the parts and the tokens of each.
 * @param options The upstream's incarnation, the tokens that upstreams have read for this instance so far, and how many of them the others
 *   had read at this upstream for each one that this instance had read somewhere.
 * @returns The expected number of tokens, which need not be an integer.
 *
 * @example
 * ```ts
 * const tokens = expectedKeptTokens(kept, { keys: partKeys(prompt), tokens: prompt.tokens }, { incarnation: 1, readTokens: 9000, othersShare: 63 / 78 })
 * ```
 */
export function expectedKeptTokens (kept: KeptParts | undefined, prompt: { readonly keys: readonly string[], readonly tokens: readonly number[] }, options: { readonly incarnation: number, readonly readTokens: number, readonly othersShare: number }): number {
  if (kept === undefined || kept.incarnation !== options.incarnation) return 0
  let expected = 0
  let probability = 1
  for (let i = 0; i < prompt.keys.length; i += 1) {
    const part = kept.parts.get(prompt.keys[i] ?? '')
    if (part === undefined) break
    const unseenTokens = (options.readTokens - part.usedAt) * options.othersShare
    // What evicts a part evicts the later ones of its prompt too, so the least likely part decides.
    probability = Math.min(probability, Math.exp(-unseenTokens / Math.max(1, kept.capacityTokens)))
    expected += probability * (prompt.tokens[i] ?? 0)
  }
  return expected
}

/**
 * Forgets the parts of models that an upstream no longer holds.
 *
 * @param kept What the upstream keeps.
 * @param isHeld Tells whether a model is still held.
 * @returns What remains; the same object if nothing changes.
 *
 * @example
 * ```ts
 * const rest = forgetModels(kept, (model) => model !== 'unloaded')
 * ```
 */
export function forgetModels (kept: KeptParts, isHeld: (model: string) => boolean): KeptParts {
  const parts = new Map([...kept.parts].filter(([, { model }]) => isHeld(model)))
  if (parts.size === kept.parts.size) return kept
  return { ...kept, parts, totalTokens: [...parts.values()].reduce((sum, { tokens }) => sum + tokens, 0) }
}
