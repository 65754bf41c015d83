/** A load or unload of one replica, proposed by planning. */
export interface Decision {
  readonly kind: 'load' | 'unload'
  readonly model: string
  readonly upstream: string
  /** Explanation for operators. */
  readonly reason: string
}
