import type { Plan, PlanningInput } from './planning_input.ts'

/** Decides which models engines hold. A poor policy costs latency, never safety: engines and the lease enforce that. */
export abstract class PlacementPolicy {
  /** Name of the policy, used in reports of measurements. */
  abstract readonly name: string

  /**
   * Plans the next orders for the engines of one service, at most one per engine.
   *
   * @param input The engines, their models and the current demand.
   * @returns The orders to send and the models to drain.
   */
  abstract plan (input: PlanningInput): Plan
}
