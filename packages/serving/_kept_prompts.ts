import { forgetModels, recordPrompt } from '@berylshed/prompt_cache'
import { HashMap, Option } from 'effect'
import { promptOf, type Request } from './request.ts'
import type { RoutingTarget } from './routing_target.ts'
import type { ServingState } from './serving_state.ts'

/** Notes that an upstream reads the prompt of a request. */
export function notePrompt (state: ServingState, request: Request, upstream: string): ServingState {
  const prompt = promptOf(request)
  const target = state.targets.get(upstream)
  if (prompt === undefined || target === undefined) return state
  const kept = Option.getOrUndefined(HashMap.get(state.keptPrompts, upstream))
  const capacity = target.kvCapacity === undefined ? {} : { capacityTokens: target.kvCapacity }
  return { ...state, keptPrompts: HashMap.set(state.keptPrompts, upstream, recordPrompt(kept, prompt, { incarnation: target.incarnation, ...capacity })) }
}

/** Forgets the prompts of a model that an upstream does not hold. */
export function forgetPrompts (state: ServingState, upstream: string, model: string | undefined): ServingState {
  const kept = Option.getOrUndefined(HashMap.get(state.keptPrompts, upstream))
  if (kept === undefined || model === undefined) return state
  return { ...state, keptPrompts: HashMap.set(state.keptPrompts, upstream, forgetModels(kept, (other) => other !== model)) }
}

/** Forgets the prompts that upstreams lost when they ended, restarted or unloaded a model. */
export function forgetLostPrompts (state: ServingState, targets: ReadonlyMap<string, RoutingTarget>): ServingState {
  let { keptPrompts } = state
  for (const [upstream, kept] of state.keptPrompts) {
    const target = targets.get(upstream)
    if (target === undefined || target.incarnation !== kept.incarnation) keptPrompts = HashMap.remove(keptPrompts, upstream)
    else if (state.targets.get(upstream) !== target) keptPrompts = HashMap.set(keptPrompts, upstream, forgetModels(kept, (model) => target.models?.has(model) === true))
  }
  return keptPrompts === state.keptPrompts ? state : { ...state, keptPrompts }
}
