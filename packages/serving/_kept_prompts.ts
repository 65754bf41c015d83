import { forgetModels, recordPrompt } from '@berylshed/prompt_cache'
import { promptOf, type Request } from './request.ts'
import type { RoutingTarget } from './routing_target.ts'
import type { ServingState } from './serving_state.ts'

/** Notes that an upstream is sent the prompt of a request, of which it probably keeps some tokens. */
export function notePrompt (state: ServingState, request: Request, sent: { readonly upstream: string, readonly keptTokens: number }): ServingState {
  const prompt = promptOf(request)
  if (prompt === undefined) return state
  const tokens = prompt.tokens.reduce((sum, count) => sum + count, 0)
  return touchPrompt({ ...state, readTokens: state.readTokens + Math.max(0, tokens - sent.keptTokens) }, request, sent.upstream)
}

/** Notes that an upstream has the prompt of a request now. */
export function touchPrompt (state: ServingState, request: Request, upstream: string): ServingState {
  const prompt = promptOf(request)
  const target = state.targets.get(upstream)
  if (prompt === undefined || target === undefined) return state
  const kept = state.keptPrompts.get(upstream)
  const capacity = target.kvCapacity === undefined ? {} : { capacityTokens: target.kvCapacity }
  return { ...state, keptPrompts: new Map(state.keptPrompts).set(upstream, recordPrompt(kept, prompt, { incarnation: target.incarnation, readTokens: state.readTokens, ...capacity })) }
}

/** Forgets the prompts of a model that an upstream does not hold. */
export function forgetPrompts (state: ServingState, upstream: string, model: string | undefined): ServingState {
  const kept = state.keptPrompts.get(upstream)
  if (kept === undefined || model === undefined) return state
  return { ...state, keptPrompts: new Map(state.keptPrompts).set(upstream, forgetModels(kept, (other) => other !== model)) }
}

/** Forgets the prompts that upstreams lost when they ended, restarted or unloaded a model. */
export function forgetLostPrompts (state: ServingState, targets: ReadonlyMap<string, RoutingTarget>): ServingState {
  if (state.keptPrompts.size === 0) return state
  const keptPrompts = new Map(state.keptPrompts)
  for (const [upstream, kept] of state.keptPrompts) {
    const target = targets.get(upstream)
    if (target === undefined || target.incarnation !== kept.incarnation) keptPrompts.delete(upstream)
    else if (state.targets.get(upstream) !== target) keptPrompts.set(upstream, forgetModels(kept, (model) => target.models?.has(model) === true))
  }
  return { ...state, keptPrompts }
}
