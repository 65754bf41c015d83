import type { Configuration, Model, Upstream } from '@berylshed/fleet'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { EngineTraits } from './_virtual_engine.ts'
import type { DayPattern, RoutePattern } from './draw_day.ts'
import type { VirtualDeployment } from './replay_day.ts'

/** A deployment with the pattern of its days. */
export interface ExampleDay {
  readonly deployment: VirtualDeployment
  readonly pattern: DayPattern
}

const SERVICE = 'drafts'
const GB = 1000
const SMALL_MB = 16.1 * GB
const LARGE_MB = 34.3 * GB
const ADAPTERS = 12
const DAY_MS = 34_000
const LEAD_MS = 12_000

/** Speed of the engines of both desks. */
const SPEED = { stepMs: 4.73, stepPerRunMs: 0.0138, prefillTokensPerMs: 38.4, tokensPerEvent: 6 }

interface _Size {
  /** Sizes of the models: S for a small one, L for a large one; the busy ones come first. */
  readonly models: string
  readonly busyModels: number
  /** Shares of the busy models' requests that the busiest models get. */
  readonly busyShares: readonly number[]
  readonly engines: number
  readonly memoryMb: number
  readonly slots: number
  /** Models that each engine holds at the start. */
  readonly residents: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  readonly instances: number
  readonly traits: EngineTraits
}

interface _Rates {
  readonly drafts: number
  readonly digests: number
  readonly lines: number
}

/**
 * Gives the speech desk: six engines of 83 GB before 30 models, two of which are busy at a time.
 *
 * @param seed Deals the models that engines hold and have copies of.
 * @returns The deployment and its pattern.
 *
 * @example
 * ```ts
 * const { pattern, deployment } = speechDesk(7)
 * ```
 */
export function speechDesk (seed: number): ExampleDay {
  return _example(
    seed,
    {
      models: 'SLLSLSLLLSSSLLLSLSLSSLLSSSLLSS',
      busyModels: 5,
      busyShares: [0.73, 0.27],
      engines: 6,
      memoryMb: 83 * GB,
      slots: 96,
      residents: 2,
      loadsPerSecond: 2.7,
      loadsAtOnce: 4,
      instances: 4,
      traits: { ...SPEED, reportLagMs: 100, hostMb: 55 * GB, diskMb: 320 * GB }
    },
    { rates: { drafts: 25.8, digests: 11.1, lines: 19.8 }, worths: { drafts: [2.6, 0.77], digests: [9.3, 1.4], lines: [1.5, 0.44] } })
}

/**
 * Gives the order desk: eight engines of 58 GB before 28 models, four of which are busy at a time.
 *
 * @param seed Deals the models that engines hold and have copies of.
 * @returns The deployment and its pattern.
 *
 * @example
 * ```ts
 * const { pattern, deployment } = orderDesk(7)
 * ```
 */
export function orderDesk (seed: number): ExampleDay {
  return _example(
    seed,
    {
      models: 'SLLLLLLLLSSSSSLSSSLSLLLLSLLL',
      busyModels: 10,
      busyShares: [0.42, 0.23, 0.19, 0.16],
      engines: 8,
      memoryMb: 58 * GB,
      slots: 64,
      residents: 1,
      loadsPerSecond: 4.6,
      loadsAtOnce: 4,
      instances: 4,
      traits: { ...SPEED, reportLagMs: 200, hostMb: 60 * GB, diskMb: 230 * GB }
    },
    { rates: { drafts: 29.1, digests: 10.5, lines: 24.2 }, worths: { drafts: [2.6, 1.3], digests: [11, 1.6], lines: [1.4, 0.7] } })
}

/**
 * Gives the speech desk once grown: 63 engines of 16 slots before 166 models, eleven of which are busy at a time.
 *
 * @param seed Deals the models that engines hold and have copies of.
 * @returns The deployment and its pattern.
 *
 * @example
 * ```ts
 * const { pattern, deployment } = grownSpeechDesk(7)
 * ```
 */
export function grownSpeechDesk (seed: number): ExampleDay {
  return _example(
    seed,
    {
      models: `SLLSLLSLLLLLLLLLLLLLLLLLLL${'SLSLL'.repeat(28)}`,
      busyModels: 26,
      busyShares: [0.34, 0.125, 0.093, 0.077, 0.067, 0.06, 0.055, 0.051, 0.048, 0.045, 0.039],
      engines: 63,
      memoryMb: 83 * GB,
      slots: 16,
      residents: 2,
      loadsPerSecond: 19,
      loadsAtOnce: 2,
      instances: 30,
      traits: { ...SPEED, tokensPerEvent: 9, reportLagMs: 100, hostMb: 57 * GB, diskMb: 170 * GB }
    },
    { rates: { drafts: 119, digests: 51.7, lines: 136 }, worths: { drafts: [2, 0.6], digests: [18.2, 2.66], lines: [1.6, 0.49] } })
}

interface _Load {
  readonly rates: _Rates
  readonly worths: Readonly<Record<keyof _Rates, readonly [inTime: number, late: number]>>
}

function _example (seed: number, size: _Size, load: _Load): ExampleDay {
  const { rates, worths } = load
  const generator = xoroshiro128plus(seed)
  const unit = (): number => uniformFloat64(generator)
  const models = [...size.models].map((letter, i): Model => {
    const small = letter === 'S'
    return {
      name: `m${i}`,
      memoryMb: small ? SMALL_MB : LARGE_MB,
      storeLoadMs: 6000,
      diskLoadMs: small ? 350 : 510,
      memoryLoadMs: small ? 270 : 390,
      adapterMb: small ? 14 : 40
    }
  })
  const names = models.map(({ name }) => name)
  const configuration: Configuration = {
    version: 1,
    routes: [],
    services: new Map([[SERVICE, {
      name: SERVICE,
      engine: { slots: size.slots, memoryMb: size.memoryMb, adapterPlaces: 8, loadsPerSecond: size.loadsPerSecond, models: new Map(models.map((model) => [model.name, model])) }
    }]]),
    limits: { maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
  }
  const zones = ['zone-a', 'zone-b', 'zone-c']
  const upstreams = Array.from({ length: size.engines }, (_, i): Upstream => ({
    id: `engine-${i}`,
    service: SERVICE,
    address: `engine-${i}`,
    availabilityZone: zones[i % zones.length] ?? '',
    incarnation: 1,
    slots: size.slots,
    leaving: false,
    ..._deal(models, size, unit)
  }))
  const routes = [
    _route('drafts', { ratePerS: rates.drafts, objectiveMs: 500, timeoutMs: 12_000, patienceMs: 2000, rank: 1, worth: worths.drafts, busy: true, adapterShare: 0.1, resumable: true, tokens: [715, 280], spread: 0.8 }),
    _route('digests', { ratePerS: rates.digests, objectiveMs: 2000, timeoutMs: 20_000, patienceMs: 8000, rank: 1, worth: worths.digests, busy: false, adapterShare: 0, resumable: false, tokens: [715, 280], spread: 0.8 }),
    _route('lines', { ratePerS: rates.lines, objectiveMs: 1500, timeoutMs: 4000, patienceMs: 4000, rank: 0, worth: worths.lines, busy: true, adapterShare: 0.5, resumable: true, tokens: [383, 45], spread: 1.2 })
  ]
  return {
    deployment: { configuration, upstreams, availabilityZones: zones, instances: size.instances, traits: size.traits, loadsAtOnce: size.loadsAtOnce, leadMs: LEAD_MS },
    pattern: {
      durationMs: DAY_MS,
      routes,
      busyModels: names.slice(0, size.busyModels).map((model) => ({ model, adapters: Array.from({ length: ADAPTERS }, (_, i) => `a${i + 1}`) })),
      busyShares: size.busyShares,
      rareModels: names.slice(size.busyModels),
      shifts: [{ atMs: 1000, forMs: 6000 }, { atMs: 16_000, forMs: 5500 }, { atMs: 24_000, forMs: 5000 }],
      bursts: [{ route: 'digests', atMs: 9000, forMs: 6000, factor: 2 }]
    }
  }
}

interface _RouteFacts {
  readonly ratePerS: number
  readonly objectiveMs: number
  readonly timeoutMs: number
  readonly patienceMs: number
  readonly rank: number
  readonly worth: readonly [inTime: number, late: number]
  readonly busy: boolean
  readonly adapterShare: number
  readonly resumable: boolean
  readonly tokens: readonly [prompt: number, answer: number]
  readonly spread: number
}

function _route (route: string, facts: _RouteFacts): RoutePattern {
  const { worth: [worth, lateWorth], tokens: [promptTokensMean, answerTokensMean], ...rest } = facts
  return { route, service: SERVICE, maxRuns: facts.resumable ? 2 : 1, promptTokensMean, answerTokensMean, ...rest, worth, lateWorth }
}

// Each engine starts with a few models and a disk full of copies, dealt at random.
function _deal (models: readonly Model[], size: _Size, unit: () => number): Pick<Upstream, 'residents' | 'copies'> {
  const shuffled = models.map((model) => ({ model, key: unit() })).sort((a, b) => a.key - b.key).map(({ model }) => model)
  const onDisk = _fill(shuffled, size.traits.diskMb)
  const held = _fill(onDisk, size.memoryMb).slice(0, size.residents)
  return {
    residents: held.map(({ name }) => ({ model: name, adapters: [] })),
    copies: { inMemory: [], onDisk: onDisk.map(({ name }) => name) }
  }
}

function _fill (models: readonly Model[], roomMb: number): readonly Model[] {
  let leftMb = roomMb
  return models.filter(({ memoryMb }) => {
    if (memoryMb > leftMb) return false
    leftMb -= memoryMb
    return true
  })
}
