/**
 * The result of reducing one event: the next state and the effects to carry out.
 *
 * @typeParam State The reducer's state.
 * @typeParam Output The effects that the reducer asks for, as data.
 */
export interface Step<State, Output> {
  readonly state: State
  readonly effects: readonly Output[]
}

/**
 * Builds a step from a state and its effects.
 *
 * @param state The next state.
 * @param effects The effects to carry out, in order.
 * @returns The step.
 *
 * @example
 * ```ts
 * const next = step({ count: 1 }, [{ kind: 'log' }])
 * console.log(next.effects.length) // 1
 * ```
 */
export function step<State, Output> (state: State, effects: readonly Output[] = []): Step<State, Output> {
  return { state, effects }
}
