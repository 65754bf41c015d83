import type { Catalog } from './catalog.ts'
import type { PlacementShard } from './placement_shard.ts'
import type { ReceivedDemand } from './demand.ts'
import type { IdleHistogram } from './idle_histogram.ts'
import type { UpstreamReport } from './upstream_status.ts'
import type { Usage } from './usage.ts'

/** Input of a planning policy. */
export interface PlanningInput {
  readonly nowMs: number
  readonly shard: PlacementShard
  readonly catalog: Catalog
  /** Current demand of each model for which requests wait. */
  readonly demands: ReadonlyMap<string, ReceivedDemand>
  usage (model: string): Usage
  /** Histogram of the idle periods of all models. */
  readonly globalIdlePeriods: IdleHistogram
  report (upstream: string): UpstreamReport | undefined
  /** Reports whether the upstream is known to have the model's checkpoint cached locally. */
  isCachedOn (model: string, upstream: string): boolean
}

/** Determines when models are loaded and unloaded; `admitDecision` enforces the safety rules. */
export abstract class Policy {
  /** Name that selects the policy in settings and commands. */
  abstract readonly name: string

  /**
   * Returns the keep-alive time of an idle replica.
   *
   * @param model The model's name.
   * @param input The planning input.
   * @returns Time from the last use to the unload, in ms.
   */
  abstract keepAliveMs (model: string, input: PlanningInput): number

  /**
   * Returns the value of keeping an idle replica, by which replicas are ranked for eviction.
   *
   * @param model The name of a loaded, idle model.
   * @param input The planning input.
   * @returns The retention value; replicas with the lowest value are evicted first.
   */
  abstract retentionValue (model: string, input: PlanningInput): number

  /**
   * Reports whether an idle replica may be evicted for another model.
   *
   * @param _model The model's name.
   * @param _input The planning input.
   * @returns Whether eviction is allowed.
   */
  mayEvict (_model: string, _input: PlanningInput): boolean {
    return true
  }

  /**
   * Lists models to load in advance of demand.
   *
   * @param _input The planning input.
   * @returns The models' names.
   */
  preload (_input: PlanningInput): readonly string[] {
    return []
  }
}
