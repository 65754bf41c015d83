import { HashMap, Option } from 'effect'
import { UNKNOWN_PLACE_LOAD, type Place, type PlaceLoad } from './place.ts'
import type { Request } from './request.ts'
import type { RetryAllowance, RetryWindow } from './retry_window.ts'

/** A rate of events that fades with time. */
export interface FadingRate {
  readonly perS: number
  readonly atMs: number
}

/** Crashes of upstreams that ran requests of one fingerprint. */
export interface CrashCount {
  readonly crashes: number
  readonly atMs: number
}

/** What an instance knows of all its requests. */
export interface ServingState {
  readonly availabilityZone: string
  readonly allowance: RetryAllowance
  /** Instances that share the retry allowance, this one included. */
  readonly instances: number
  readonly requests: HashMap.HashMap<string, Request>
  /** Ids of the requests that wait, by service. */
  readonly waiting: ReadonlyMap<string, readonly string[]>
  readonly places: ReadonlyMap<string, Place>
  readonly placesVersion: number
  /** Time until a model is expected to be loaded, in ms, as of the last change of places. */
  readonly expected: ReadonlyMap<string, number>
  readonly expectedAtMs: number
  /** Models that the configuration names, by service. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>
  readonly loads: HashMap.HashMap<string, PlaceLoad>
  readonly windows: ReadonlyMap<string, RetryWindow>
  readonly crashes: HashMap.HashMap<string, CrashCount>
  /** Requests per second by service and model. */
  readonly rates: HashMap.HashMap<string, FadingRate>
  /** Local time of the last use of each adapter on each upstream, in ms. */
  readonly adapterUse: HashMap.HashMap<string, number>
  /** Whether the instance is about to stop, so that nothing waits any more. */
  readonly closing: boolean
  /** Needs that were last reported, so that only changes are reported at once. */
  readonly reportedNeeds: string
}

/** What the state of an instance's requests is built from. */
export interface ServingOptions {
  readonly availabilityZone: string
  readonly allowance: RetryAllowance
}

/**
 * Builds the state of an instance without requests.
 *
 * @param options The instance's place and the retry allowance.
 * @returns The state.
 *
 * @example
 * ```ts
 * const state = newServingState({ availabilityZone: 'a', allowance: { ratio: 0.2, extra: 40, windowMs: 10_000 } })
 * ```
 */
export function newServingState (options: ServingOptions): ServingState {
  return {
    ...options,
    instances: 1,
    requests: HashMap.empty(),
    waiting: new Map(),
    places: new Map(),
    placesVersion: 0,
    expected: new Map(),
    expectedAtMs: -Infinity,
    models: new Map(),
    loads: HashMap.empty(),
    windows: new Map(),
    crashes: HashMap.empty(),
    rates: HashMap.empty(),
    adapterUse: HashMap.empty(),
    closing: false,
    reportedNeeds: ''
  }
}

/**
 * Gives what has been learnt of an upstream.
 *
 * @param state The state.
 * @param upstream The upstream's id.
 * @returns The load; idle and healthy where nothing has been learnt.
 *
 * @example
 * ```ts
 * console.log(placeLoad(state, 'u1').own) // 0
 * ```
 */
export function placeLoad (state: ServingState, upstream: string): PlaceLoad {
  return Option.getOrElse(HashMap.get(state.loads, upstream), () => UNKNOWN_PLACE_LOAD)
}

/**
 * Changes what has been learnt of an upstream.
 *
 * @param state The state.
 * @param upstream The upstream's id.
 * @param change The change.
 * @returns The state after the change.
 *
 * @example
 * ```ts
 * const next = changeLoad(state, 'u1', (load) => ({ ...load, strikes: 0 }))
 * ```
 */
export function changeLoad (state: ServingState, upstream: string, change: (load: PlaceLoad) => PlaceLoad): ServingState {
  return { ...state, loads: HashMap.set(state.loads, upstream, change(placeLoad(state, upstream))) }
}
