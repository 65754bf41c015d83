import type { RoutingTarget } from './routing_target.ts'

interface _ServiceTargets {
  readonly all: readonly RoutingTarget[]
  /** Upstreams that list each model; undefined if the service has upstreams without models, which take requests for any. */
  readonly byModel: ReadonlyMap<string, readonly RoutingTarget[]> | undefined
}

const NO_TARGETS: readonly RoutingTarget[] = []

// Targets are never changed in place, so the index of a map of targets holds as long as the map.
const indexes = new WeakMap<ReadonlyMap<string, RoutingTarget>, ReadonlyMap<string, _ServiceTargets>>()

/** Returns the upstreams of a service that list a model, or all of them if no model is named, in the order of the targets. */
export function listTargets (targets: ReadonlyMap<string, RoutingTarget>, service: string, model: string | undefined): readonly RoutingTarget[] {
  const index = indexes.get(targets) ?? _buildIndex(targets)
  const found = index.get(service)
  if (found === undefined) return NO_TARGETS
  if (model === undefined || found.byModel === undefined) return found.all
  return found.byModel.get(model) ?? NO_TARGETS
}

function _buildIndex (targets: ReadonlyMap<string, RoutingTarget>): ReadonlyMap<string, _ServiceTargets> {
  const services = new Map<string, RoutingTarget[]>()
  for (const target of targets.values()) _append(services, target.service, target)
  const index = new Map([...services].map(([service, all]): [string, _ServiceTargets] => [service, { all, byModel: _indexModels(all) }]))
  indexes.set(targets, index)
  return index
}

function _indexModels (targets: readonly RoutingTarget[]): ReadonlyMap<string, readonly RoutingTarget[]> | undefined {
  if (targets.some(({ models }) => models === undefined)) return undefined
  const byModel = new Map<string, RoutingTarget[]>()
  for (const target of targets) for (const model of target.models?.keys() ?? []) _append(byModel, model, target)
  return byModel
}

function _append (lists: Map<string, RoutingTarget[]>, key: string, target: RoutingTarget): void {
  const list = lists.get(key)
  if (list === undefined) lists.set(key, [target])
  else list.push(target)
}
