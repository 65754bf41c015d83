import type { ConfigurationDocument } from '@berylshed/configuration'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { TraceRequest } from './trace.ts'

const MS_PER_HOUR = 3_600_000
const HOURS_PER_DAY = 24
const DAYS_PER_WEEK = 7
/** Mean interval between two requests of a session, in ms. */
const MEAN_REQUEST_INTERVAL_MS = 45_000
/** Sessions of the most popular model on a weekday. */
const MAX_SESSIONS_PER_DAY = 24
/** Exponent of the Zipf distribution of sessions over models and adapters. */
const POPULARITY_EXPONENT = 1.1
/** Share of sessions that begin with a burst of simultaneous requests, which arrive at several instances. */
const BURST_SHARE = 0.15

/** Sessions in each hour of a weekday, relative to the hourly mean: a steep rise in the morning and a lighter afternoon. */
const WEEKDAY_HOURLY_ACTIVITY: readonly number[] = [
  0.02, 0.02, 0.02, 0.02, 0.02, 0.1, 0.4, 1.6, 3.6, 3.2, 2.4, 1.8, 1.2, 1.8, 2.0, 1.9, 1.6, 1.1, 0.6, 0.3, 0.2, 0.1, 0.05, 0.03
]
/** Activity on a weekend day, relative to a weekday. */
const WEEKEND_ACTIVITY_FACTOR = 0.08

/** Options of a generated trace. */
export interface TraceOptions {
  readonly seed: number
  readonly days: number
  /** Customers among whom sessions are distributed, with the deadline of their requests in ms. */
  readonly customers: ReadonlyArray<{ readonly name: string, readonly deadlineMs: number }>
}

/**
 * Generates a trace of sessions over all models and adapters of a deployment, starting on a Monday at midnight.
 *
 * @param document The deployment.
 * @param options The seed, the duration and the customers.
 * @returns The requests in order of arrival; equal for equal input.
 *
 * @example
 * ```ts
 * const trace = generateTrace(document, { seed: 1, days: 2, customers })
 * ```
 */
export function generateTrace (document: ConfigurationDocument, options: TraceOptions): readonly TraceRequest[] {
  const random = xoroshiro128plus(options.seed)
  const uniform = (): number => uniformFloat64(random)
  const uniformInteger = (min: number, max: number): number => uniformInt(random, min, max)
  const exponential = (mean: number): number => -mean * Math.log(1 - uniform())
  const names = _shuffle(document.models.map((model) => model.name), uniformInteger)
  const trace: TraceRequest[] = []

  function addSession (model: string, startMs: number): void {
    const customer = options.customers[uniformInteger(0, options.customers.length - 1)]
    if (customer === undefined) return
    const burstSize = uniform() < BURST_SHARE ? uniformInteger(2, 6) : 1
    const followUps = Math.floor(exponential(4))
    let atMs = startMs
    for (let i = 0; i < burstSize + followUps; i += 1) {
      if (i >= burstSize) atMs += exponential(MEAN_REQUEST_INTERVAL_MS)
      trace.push({
        at_ms: Math.round(atMs),
        customer: customer.name,
        model,
        tokens_in: uniformInteger(50, 2000),
        tokens_out: Math.min(1500, 20 + Math.floor(exponential(250))),
        deadline_ms: customer.deadlineMs
      })
    }
  }

  names.forEach((model, rank) => {
    const sessionsPerDay = MAX_SESSIONS_PER_DAY / (rank + 1) ** POPULARITY_EXPONENT + 0.15
    for (let hour = 0; hour < options.days * HOURS_PER_DAY; hour += 1) {
      const sessions = _poisson(sessionsPerDay / HOURS_PER_DAY * _activity(hour), uniform)
      for (let i = 0; i < sessions; i += 1) addSession(model, (hour + uniform()) * MS_PER_HOUR)
    }
  })
  return trace.sort((a, b) => a.at_ms - b.at_ms || (a.model < b.model ? -1 : 1))
}

function _activity (hour: number): number {
  const day = Math.floor(hour / HOURS_PER_DAY) % DAYS_PER_WEEK
  const factor = day >= 5 ? WEEKEND_ACTIVITY_FACTOR : 1
  return factor * (WEEKDAY_HOURLY_ACTIVITY[hour % HOURS_PER_DAY] ?? 0)
}

// Poisson variate: Knuth, The Art of Computer Programming, volume 2, section 3.4.1.
function _poisson (mean: number, unit: () => number): number {
  const limit = Math.exp(-mean)
  let count = 0
  for (let product = unit(); product > limit; product *= unit()) count += 1
  return count
}

// Fisher-Yates shuffle: Fisher and Yates, Statistical Tables, 1938.
function _shuffle (names: readonly string[], int: (min: number, max: number) => number): readonly string[] {
  const shuffled = [...names]
  for (let i = shuffled.length - 1; i > 0; i -= 1) {
    const j = int(0, i)
    const moved = shuffled[i] ?? ''
    shuffled[i] = shuffled[j] ?? ''
    shuffled[j] = moved
  }
  return shuffled
}
