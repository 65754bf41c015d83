/** A change that a policy proposes for one replica. */
export interface Decision {
  readonly kind: 'load' | 'unload'
  readonly model: string
  readonly upstream: string
  /** Why, for operators. */
  readonly reason: string
}
