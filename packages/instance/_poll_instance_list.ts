import { compareLists, type InstanceList, type ListedInstance } from '@berylshed/platform'
import { Effect } from 'effect'
import type { InterpreterContext } from './_interpreter_context.ts'

/** Interval between reads of the instance list, in ms. */
const LIST_MS = 1000

/** Polls the platform's instance list until interrupted and dispatches an event for each change of an upstream. */
export function pollInstanceList (context: InterpreterContext, list: InstanceList): Effect.Effect<never> {
  let known: readonly ListedInstance[] = []

  function apply (now: readonly ListedInstance[]): void {
    const change = compareLists(known, now)
    known = now
    for (const upstream of change.removed) context.dispatch({ subject: 'placement', event: { kind: 'upstream_terminated', upstream, nowMs: context.nowMs() } })
    for (const upstream of [...change.leaving, ...change.removed]) reportWithdrawn(upstream, true)
    for (const upstream of change.returned) reportWithdrawn(upstream, false)
  }

  function reportWithdrawn (upstream: string, withdrawn: boolean): void {
    context.dispatch({ subject: 'requests', event: { kind: 'upstream_listed', upstream, withdrawn, nowMs: context.nowMs() } })
  }

  return Effect.gen(function * () {
    while (true) {
      const read = yield * Effect.promise(() => list.read())
      if (read.isOk()) apply(read.value)
      yield * Effect.sleep(LIST_MS)
    }
  })
}
