import { ExpectedCostPolicy, FixedKeepAlivePolicy, NeverUnloadPolicy, type Policy } from '@berylshed/placement'
import type { ConfigurationDocument } from '@berylshed/configuration'
import { ClairvoyantPolicy } from './clairvoyant_policy.ts'
import type { TraceRequest } from './trace.ts'

const MS_PER_MINUTE = 60_000

/** Names of the policies available to a replay. */
export const POLICY_NAMES = ['never-unload', 'fixed-1m', 'fixed-10m', 'least-recently-used', 'expected-cost', 'clairvoyant'] as const

/** Name of a policy available to a replay. */
export type PolicyName = typeof POLICY_NAMES[number]

/**
 * Creates a policy by name.
 *
 * @param name The policy's name.
 * @param trace The trace that will be replayed, for the clairvoyant policy.
 * @param document The deployment.
 * @returns The policy.
 *
 * @example
 * ```ts
 * const policy = createPolicy('fixed-10m', trace, document)
 * ```
 */
export function createPolicy (name: PolicyName, trace: readonly TraceRequest[], document: ConfigurationDocument): Policy {
  switch (name) {
    case 'never-unload': return new NeverUnloadPolicy()
    case 'fixed-1m': return new FixedKeepAlivePolicy(MS_PER_MINUTE)
    case 'fixed-10m': return new FixedKeepAlivePolicy(10 * MS_PER_MINUTE)
    case 'least-recently-used': return new FixedKeepAlivePolicy(Infinity, 'least-recently-used')
    case 'expected-cost': return new ExpectedCostPolicy()
    case 'clairvoyant': {
      const bases = new Map(document.models.map((model) => [model.name, model.base]))
      return new ClairvoyantPolicy(trace, (model) => bases.get(model))
    }
  }
}
