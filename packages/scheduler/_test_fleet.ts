import { applyRegistrationChanges, NO_UPSTREAMS, type Configuration, type EngineReport, type Model, type Upstream, type UpstreamList } from '@berylshed/fleet'
import type { EngineView, PlannedOrder, ResidentView } from './engine_view.ts'
import { newEngineView } from './engine_view.ts'
import { noDemand, type ModelDemand, type ServiceDemand } from './demand.ts'
import type { PlanningInput } from './planning_input.ts'
import type { UnservedDemand } from './unserved_demand.ts'

/** Returns a model of a given size with typical load times. */
export function testModel (name: string, memoryMb: number): Model {
  return { name, memoryMb, storeLoadMs: 6000, diskLoadMs: 500, memoryLoadMs: 300, adapterMb: 20 }
}

/** Returns a configuration with one engine service. */
export function testConfiguration (models: readonly Model[], version = 1): Configuration {
  return {
    version,
    routes: [],
    services: new Map([['drafts', {
      name: 'drafts',
      engine: { slots: 16, memoryMb: 80, adapterPlaces: 2, loadsPerSecond: 3, models: new Map(models.map((model) => [model.name, model])) }
    }]]),
    limits: { maxBodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 1000 }
  }
}

/** Returns the registration of an engine. */
export function testUpstream (id: string, changes: Partial<Upstream> = {}): Upstream {
  return {
    id, service: 'drafts', address: `${id}:80`, availabilityZone: 'a', incarnation: 1, softwareVersion: 'v1', slots: 16, leaving: false, residents: [], copies: { inMemory: [], onDisk: [] }, ...changes
  }
}

/** Returns a list of registered engines. */
export function testList (upstreams: readonly Upstream[], revision = 1): UpstreamList {
  return applyRegistrationChanges(NO_UPSTREAMS, upstreams.map((upstream) => ({ id: upstream.id, upstream })), { revision })
}

/** Returns a report of an idle engine. */
export function testReport (changes: Partial<EngineReport> = {}): EngineReport {
  return { incarnation: 1, sequence: 0, busy: false, residents: [], pendingAdapters: [], copies: { inMemory: [], onDisk: [] }, active: 0, queued: 0, ...changes }
}

/** Returns the view of an idle engine that holds models and has copies of others on its disk. */
export function testView (id: string, models: readonly string[], onDisk: readonly string[] = []): EngineView {
  const residents = new Map(models.map((model): [string, ResidentView] => [model, { phase: 'loaded', sinceMs: -10_000, adapters: new Map() }]))
  return { ...newEngineView(testUpstream(id), 0), confirmed: true, stableSinceMs: 0, sequence: 0, residents, copies: { inMemory: [], onDisk: [...models, ...onDisk] } }
}

/** Demand of a test; omitted parts are empty. */
export interface TestDemand {
  readonly demand?: readonly Partial<ModelDemand>[]
  readonly running?: Readonly<Record<string, number>>
  readonly storeLoadsInProgress?: number
  /** Times for which models or adapters have been asked for in vain, in ms. */
  readonly unservedMs?: Readonly<Record<string, number>>
  readonly limitsPerS?: Readonly<Record<string, number>>
}

/** Returns the input of a policy at time 0. */
export function testPlanningInput (models: readonly Model[], views: readonly EngineView[], given: TestDemand = {}): PlanningInput {
  const demands = (given.demand ?? []).map((demand): ModelDemand => ({ ...noDemand(demand.model ?? ''), ...demand }))
  const demand: ServiceDemand = {
    models: new Map(demands.map((modelDemand) => [modelDemand.model, modelDemand])),
    running: new Map(Object.entries(given.running ?? {})),
    adapterUsage: new Map()
  }
  const engine = testConfiguration(models).services.get('drafts')?.engine
  if (engine === undefined) throw new TypeError('Cannot build the planning input: the test configuration has no engine')
  return { nowMs: 0, engine, views, demand, unserved: unservedOf(demands, given), limitsPerS: new Map(Object.entries(given.limitsPerS ?? {})), storeLoadsInProgress: given.storeLoadsInProgress ?? 0, storeLoadsAllowed: 9 }
}

// A request that is late has been waiting for longer than that.
function unservedOf (demands: readonly ModelDemand[], { unservedMs = {} }: TestDemand): UnservedDemand {
  const late = demands.flatMap(({ model, dueInMs }) => dueInMs.some((dueMs) => dueMs < 0) ? [[model, -Math.min(...dueInMs)] as const] : [])
  return new Map([...late, ...Object.entries(unservedMs)].map(([key, ms]) => {
    const { ratePerS = 0 } = demands.find(({ model }) => model === key) ?? {}
    return [key, { sinceMs: -ms, askedAtMs: 0, missed: ratePerS * ms / 1000 }]
  }))
}

/** Formats an order as one line. */
export function formatOrder (order: PlannedOrder): string {
  const adapter = order.adapter === undefined ? '' : `/${order.adapter}`
  return `${order.operation} ${order.model}${adapter} on ${order.upstream}${order.fromStore ? ' from the store' : ''}`
}
