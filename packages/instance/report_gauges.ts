import { HashMap } from 'effect'
import { acceleratorShare, isHolder } from '@berylshed/placement'
import type { InstanceState } from './instance_state.ts'
import type { Metrics } from './metrics.ts'
import { countOpenRequests } from './reduce_instance.ts'

/**
 * Reports the gauges of an instance. The lease holder also reports replicas and the accelerators that idle replicas occupy.
 *
 * @param state The state of the instance.
 * @param metrics The client that sends the gauges.
 *
 * @example
 * ```ts
 * reportGauges(instance.state(), metrics)
 * ```
 */
export function reportGauges (state: InstanceState, metrics: Metrics): void {
  metrics.gauge('requests.open', countOpenRequests(state))
  metrics.gauge('configuration.version', state.deployment?.version ?? 0)
  if (!isHolder(state.placement)) return
  const loaded = (state.placement.shard?.replicas ?? []).filter((replica) => replica.phase === 'loaded')
  const inUse = _modelsInUse(state)
  const idle = loaded.filter((replica) => !inUse.has(replica.model))
  metrics.gauge('replicas.loaded', loaded.length)
  metrics.gauge('replicas.idle', idle.length)
  metrics.gauge('accelerators.idle', idle.reduce((sum, replica) => sum + acceleratorShare(state.placement.catalog, replica.model), 0))
}

// A base model is in use while any of its adapters is in use.
function _modelsInUse (state: InstanceState): ReadonlySet<string> {
  const running = HashMap.toEntries(state.placement.usages).filter(([, usage]) => usage.running > 0).map(([model]) => model)
  const bases = running.flatMap((model) => state.placement.catalog.models.get(model)?.base ?? [])
  return new Set([...running, ...bases])
}
