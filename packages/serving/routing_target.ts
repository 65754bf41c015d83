import type { Outcome } from '@berylshed/outliers'
import type { RecentMaximum } from './patience.ts'

/** A model on an upstream as routing sees it. */
export interface TargetModel {
  /** Whether the model takes requests; it does not while it is being loaded or unloaded. */
  readonly usable: boolean
  readonly adapters: ReadonlySet<string>
}

/** An upstream as routing sees it. */
export interface RoutingTarget {
  readonly upstream: string
  readonly service: string
  /** Number of the upstream's process; increases with each restart. */
  readonly incarnation: number
  /** Version of the software that the upstream runs; empty if it is not known. */
  readonly softwareVersion: string
  readonly availabilityZone: string
  /** Requests that the upstream runs at the same time. */
  readonly slots: number
  /** Whether the upstream is leaving and receives no new requests. */
  readonly leaving: boolean
  /** Models on the upstream; undefined for a plain service. */
  readonly models: ReadonlyMap<string, TargetModel> | undefined
  /** Tokens that prompt cache and running requests have together; absent if that is not known. */
  readonly kvCapacity?: number
}

/** Load and health of an upstream, as observed by one instance. */
export interface TargetLoad {
  /** Requests that this instance has running there. */
  readonly ownRequests: number
  /** Requests that this instance has sent there and that have no response yet. */
  readonly unanswered: number
  /** Local times until which requests that were cancelled may still run there, in ms. */
  readonly cancelledUntilMs: readonly number[]
  /** Local time at which this instance last sent a request there, in ms. */
  readonly sentAtMs: number
  /** Requests that other instances had running there when they last reported. */
  readonly peerRequests: number
  /** Average time from the start of an attempt to the first byte of its response, in ms; 0 if none was observed. */
  readonly firstByteMs: number
  /** Like `firstByteMs`, but with a weight of the newest response that grows with the time since the one before. */
  readonly recentFirstByteMs: number
  /** Average time per token of a stream after its first event, in ms; 0 if none was observed. */
  readonly tokenMs: number
  /** Local time until which the upstream counts as full, as it rejected a request, in ms. */
  readonly fullUntilMs: number
  /** Longest time from the start of an attempt to the first byte of its response that was lately seen, by route. */
  readonly slowest: ReadonlyMap<string, RecentMaximum>
  /** Average share of attempts that failed. */
  readonly failureShare: number
  /** Latest outcomes that tell whether the upstream breaks what it gets, oldest first. */
  readonly outcomes: readonly Outcome[]
  /** Local time of the last outcome, in ms. */
  readonly observedAtMs: number
  /** Local time of the last response, in ms. */
  readonly answeredAtMs: number
  /** Local time until which other upstreams are preferred, in ms. */
  readonly avoidedUntilMs: number
  /** Local time until which an upstream without models is treated as another one than intended, as it said, in ms. */
  readonly misdirectedUntilMs: number
  /** Local time until which the upstream wants no requests from this instance, in ms. */
  readonly pausedUntilMs: number
  /** Whether the upstream said in a response that it is leaving. */
  readonly leaving: boolean
  /** Local time at which the upstream was last probed for its silence, in ms. */
  readonly probedAtMs: number
  /** Consecutive failures that concern the upstream as a whole. */
  readonly consecutiveFailures: number
  /** Local time until which a listed model or adapter is treated as absent, in ms, by `demandKey`. */
  readonly absentUntilMs: ReadonlyMap<string, number>
}

/** Load of an upstream without observations. */
export const INITIAL_TARGET_LOAD: TargetLoad = {
  ownRequests: 0,
  unanswered: 0,
  cancelledUntilMs: [],
  sentAtMs: -Infinity,
  peerRequests: 0,
  firstByteMs: 0,
  recentFirstByteMs: 0,
  tokenMs: 0,
  fullUntilMs: -Infinity,
  slowest: new Map(),
  failureShare: 0,
  outcomes: [],
  observedAtMs: -Infinity,
  answeredAtMs: -Infinity,
  avoidedUntilMs: -Infinity,
  misdirectedUntilMs: -Infinity,
  pausedUntilMs: -Infinity,
  leaving: false,
  probedAtMs: -Infinity,
  consecutiveFailures: 0,
  absentUntilMs: new Map()
}
