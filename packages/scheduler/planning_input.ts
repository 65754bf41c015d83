import type { EngineSpec } from '@berylshed/fleet'
import type { ServiceDemand } from './demand.ts'
import type { EngineView, PlannedOrder } from './engine_view.ts'
import type { UnservedDemand } from './unserved_demand.ts'

/** Input of a placement policy for the engines of one service. */
export interface PlanningInput {
  /** Local time of the planning round, in ms. */
  readonly nowMs: number
  readonly engine: EngineSpec
  /** Engines that hold models or can take orders; leaving and lost engines are excluded. */
  readonly views: readonly EngineView[]
  readonly demand: ServiceDemand
  /** What was asked for while no engine could serve it, including requests that were refused. */
  readonly unserved: UnservedDemand
  /** Requests per second that engines take from all instances together, for those that name a limit. */
  readonly limitsPerS: ReadonlyMap<string, number>
  /** Loads from the weight store that are under way, over all services. */
  readonly storeLoadsInProgress: number
  /** Loads from the weight store that may begin now, over all services. */
  readonly storeLoadsAllowed: number
}

/** Models of an engine to drain so that a replacement can use their memory. */
export interface PlannedDrain {
  readonly upstream: string
  readonly models: readonly string[]
  /** The model that takes the memory. */
  readonly replacement: string
}

/** A model that requests wait for, and that a planning round gives no engine. */
export interface Deferral {
  readonly model: string
  /** Number of waiting requests. */
  readonly waiting: number
  /** Requests per second. */
  readonly ratePerS: number
  /** Time for which the model has been asked for in vain, in ms. */
  readonly unservedMs: number
  /** Number of requests that asked for it meanwhile. */
  readonly missed: number
  /** Number of engines that have a copy of the model. */
  readonly copies: number
  /** What occupies the engines with a copy and the weight store. */
  readonly detail: string
}

/** Result of one planning round. */
export interface Plan {
  /** Orders, at most one for each engine. */
  readonly orders: readonly PlannedOrder[]
  /** Drains to start. */
  readonly drains: readonly PlannedDrain[]
  /** Models that requests wait for in vain. */
  readonly deferrals: readonly Deferral[]
}
