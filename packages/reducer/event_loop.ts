import type { Step } from './step.ts'

/** Options of {@linkcode createEventLoop}. */
export interface EventLoopOptions<State, Event, Effect> {
  /** State before the first event. */
  readonly initial: State
  /** Returns the next state and the effects of an event. */
  reduce (state: State, event: Event): Step<State, Effect>
  /** Carries out an effect; events that it dispatches are reduced after the current one. */
  perform (effect: Effect): void
  /** Called with an exception of the reducer, whose event is dropped, or of an effect; `event` is the one that was reduced. */
  failed (error: unknown, event: Event): void
}

/** Event loop around a reducer. */
export interface EventLoop<State, Event> {
  /** Returns the current state. */
  state (): State
  /** Reduces an event and carries out its effects; a nested call queues its event and returns at once. */
  dispatch (event: Event): void
}

/**
 * Creates an event loop that reduces one event at a time and carries out its effects.
 *
 * @typeParam State The state of the reducer.
 * @typeParam Event The events of the reducer.
 * @typeParam Effect The effects of the reducer.
 * @param options The initial state, the reducer and the interpreter of effects.
 * @returns The event loop.
 *
 * @example
 * ```ts
 * const loop = createEventLoop({ initial: 0, reduce: (sum, n: number) => step(sum + n), perform: () => {}, failed: console.error })
 * loop.dispatch(2)
 * console.log(loop.state()) // 2
 * ```
 */
export function createEventLoop<State, Event, Effect> (options: EventLoopOptions<State, Event, Effect>): EventLoop<State, Event> {
  const queue: Event[] = []
  let { initial: state } = options
  let running = false

  function reduce (event: Event): readonly Effect[] {
    try {
      const reduced = options.reduce(state, event)
      state = reduced.state
      return reduced.effects
    } catch (error) {
      options.failed(error, event)
      return []
    }
  }

  // An exception of one effect must not keep the others from being carried out.
  function perform (effect: Effect, event: Event): void {
    try {
      options.perform(effect)
    } catch (error) {
      options.failed(error, event)
    }
  }

  function dispatch (event: Event): void {
    queue.push(event)
    if (running) return
    running = true
    try {
      for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
        for (const effect of reduce(next)) perform(effect, next)
      }
    } finally {
      running = false
    }
  }

  return { state: () => state, dispatch }
}
