/** The prompt of a request as prompt caches see it. */
export interface Prompt {
  readonly model: string
  readonly adapter: string | undefined
  /** Ids of the parts, in order. */
  readonly parts: readonly string[]
  /** Tokens of each part. */
  readonly tokens: readonly number[]
}

/**
 * Returns the keys of the parts of a prompt; an upstream keeps a part for one model and adapter.
 *
 * @param prompt The prompt.
 * @returns The keys, in order.
 *
 * @example
 * ```ts
 * const keys = partKeys({ model: 'm', adapter: undefined, parts: ['system'], tokens: [172] })
 * ```
 */
export function partKeys (prompt: Prompt): readonly string[] {
  return prompt.parts.map((part) => `${prompt.model} ${prompt.adapter ?? ''} ${part}`)
}
