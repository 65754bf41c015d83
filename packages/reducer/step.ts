/**
 * Result of reducing one event: the next state and the effects to carry out.
 *
 * @typeParam State The state of the reducer.
 * @typeParam Effect The effects of the reducer, described as data.
 */
export interface Step<State, Effect> {
  readonly state: State
  /** Effects, in the order in which they are carried out. */
  readonly effects: readonly Effect[]
}

/**
 * Creates a step from a state and effects.
 *
 * @typeParam State The state of the reducer.
 * @typeParam Effect The effects of the reducer, described as data.
 *
 * @param state The next state.
 * @param effects The effects to carry out, in order; none by default.
 * @returns The step.
 *
 * @example
 * ```ts
 * const next = step({ count: 1 }, [{ kind: 'log' }])
 * console.log(next.effects.length) // 1
 * ```
 */
export function step<State, Effect> (state: State, effects: readonly Effect[] = []): Step<State, Effect> {
  return { state, effects }
}
