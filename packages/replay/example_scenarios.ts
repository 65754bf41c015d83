import type { Configuration, Model, Upstream } from '@berylshed/fleet'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { EngineProfile } from './_virtual_engine.ts'
import type { WorkloadPattern, RoutePattern } from './generate_workload.ts'
import type { VirtualDeployment } from './replay_workload.ts'

/** An example deployment with the traffic pattern of its workload. */
export interface Scenario {
  readonly deployment: VirtualDeployment
  readonly pattern: WorkloadPattern
}

const SERVICE = 'drafts'
const GB = 1000
const SMALL_MB = 16.1 * GB
const LARGE_MB = 34.3 * GB
const ADAPTERS_PER_MODEL = 12
const WORKLOAD_DURATION_MS = 34_000
const WARMUP_MS = 12_000

/** Engine speed shared by the scenarios. */
const SPEED = { decodeStepMs: 4.73, decodeStepMsPerRequest: 0.0138, prefillTokensPerMs: 38.4, tokensPerEvent: 6 }

interface _DeploymentSize {
  /** Sizes of the models, one letter per model: S for small, L for large; popular models come first. */
  readonly models: string
  /** Number of popular models. */
  readonly popularModels: number
  /** Shares of the popular models' requests, by rank of popularity. */
  readonly popularShares: readonly number[]
  readonly engines: number
  readonly memoryMb: number
  readonly slots: number
  /** Maximum number of models loaded on each engine at the start. */
  readonly residents: number
  readonly loadsPerSecond: number
  readonly storeLoadConcurrency: number
  readonly instances: number
  readonly engineProfile: EngineProfile
}

/** Requests per second of each route. */
interface _Rates {
  readonly drafts: number
  readonly digests: number
  readonly lines: number
}

/**
 * Creates the speech scenario: six engines of 83 GB that serve 30 models, two of which are popular at a time.
 *
 * @param seed The seed of the random choice of the initial models and copies on each engine.
 * @returns The deployment and the traffic pattern.
 *
 * @example
 * ```ts
 * const { pattern, deployment } = speechScenario(7)
 * ```
 */
export function speechScenario (seed: number): Scenario {
  return _createScenario(
    seed,
    {
      models: 'SLLSLSLLLSSSLLLSLSLSSLLSSSLLSS',
      popularModels: 5,
      popularShares: [0.73, 0.27],
      engines: 6,
      memoryMb: 83 * GB,
      slots: 96,
      residents: 2,
      loadsPerSecond: 2.7,
      storeLoadConcurrency: 4,
      instances: 4,
      engineProfile: { ...SPEED, reportLagMs: 100, hostMemoryMb: 55 * GB, diskMb: 320 * GB }
    },
    { rates: { drafts: 25.8, digests: 11.1, lines: 19.8 }, worths: { drafts: [2.6, 0.77], digests: [9.3, 1.4], lines: [1.5, 0.44] } })
}

/**
 * Creates the order scenario: eight engines of 58 GB that serve 28 models, four of which are popular at a time.
 *
 * @param seed The seed of the random choice of the initial models and copies on each engine.
 * @returns The deployment and the traffic pattern.
 *
 * @example
 * ```ts
 * const { pattern, deployment } = orderScenario(7)
 * ```
 */
export function orderScenario (seed: number): Scenario {
  return _createScenario(
    seed,
    {
      models: 'SLLLLLLLLSSSSSLSSSLSLLLLSLLL',
      popularModels: 10,
      popularShares: [0.42, 0.23, 0.19, 0.16],
      engines: 8,
      memoryMb: 58 * GB,
      slots: 64,
      residents: 1,
      loadsPerSecond: 4.6,
      storeLoadConcurrency: 4,
      instances: 4,
      engineProfile: { ...SPEED, reportLagMs: 200, hostMemoryMb: 60 * GB, diskMb: 230 * GB }
    },
    { rates: { drafts: 29.1, digests: 10.5, lines: 24.2 }, worths: { drafts: [2.6, 1.3], digests: [11, 1.6], lines: [1.4, 0.7] } })
}

/**
 * Creates a larger speech scenario: 63 engines of 16 slots that serve 166 models, eleven of which are popular at a time.
 *
 * @param seed The seed of the random choice of the initial models and copies on each engine.
 * @returns The deployment and the traffic pattern.
 *
 * @example
 * ```ts
 * const { pattern, deployment } = largeSpeechScenario(7)
 * ```
 */
export function largeSpeechScenario (seed: number): Scenario {
  return _createScenario(
    seed,
    {
      models: `SLLSLLSLLLLLLLLLLLLLLLLLLL${'SLSLL'.repeat(28)}`,
      popularModels: 26,
      popularShares: [0.34, 0.125, 0.093, 0.077, 0.067, 0.06, 0.055, 0.051, 0.048, 0.045, 0.039],
      engines: 63,
      memoryMb: 83 * GB,
      slots: 16,
      residents: 2,
      loadsPerSecond: 19,
      storeLoadConcurrency: 2,
      instances: 30,
      engineProfile: { ...SPEED, tokensPerEvent: 9, reportLagMs: 100, hostMemoryMb: 57 * GB, diskMb: 170 * GB }
    },
    { rates: { drafts: 119, digests: 51.7, lines: 136 }, worths: { drafts: [2, 0.6], digests: [18.2, 2.66], lines: [1.6, 0.49] } })
}

interface _Traffic {
  readonly rates: _Rates
  /** Value of a response of each route, within its objective and later. */
  readonly worths: Readonly<Record<keyof _Rates, readonly [inTime: number, late: number]>>
}

function _createScenario (seed: number, size: _DeploymentSize, traffic: _Traffic): Scenario {
  const { rates, worths } = traffic
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
    softwareVersion: 'v1',
    slots: size.slots,
    leaving: false,
    ..._initialModels(models, size, unit)
  }))
  const routes = [
    _route('drafts', { ratePerS: rates.drafts, objectiveMs: 500, timeoutMs: 12_000, firstEventTimeoutMs: 2000, rank: 1, worth: worths.drafts, popular: true, adapterShare: 0.1, resumable: true, tokens: [715, 280], tokensLogStdDev: 0.8 }),
    _route('digests', { ratePerS: rates.digests, objectiveMs: 2000, timeoutMs: 20_000, firstEventTimeoutMs: 8000, rank: 1, worth: worths.digests, popular: false, adapterShare: 0, resumable: false, tokens: [715, 280], tokensLogStdDev: 0.8 }),
    _route('lines', { ratePerS: rates.lines, objectiveMs: 1500, timeoutMs: 4000, firstEventTimeoutMs: 4000, rank: 0, worth: worths.lines, popular: true, adapterShare: 0.5, resumable: true, tokens: [383, 45], tokensLogStdDev: 1.2 })
  ]
  return {
    deployment: { configuration, upstreams, availabilityZones: zones, instances: size.instances, engineProfile: size.engineProfile, storeLoadConcurrency: size.storeLoadConcurrency, warmupMs: WARMUP_MS },
    pattern: {
      durationMs: WORKLOAD_DURATION_MS,
      routes,
      popularModels: names.slice(0, size.popularModels).map((model) => ({ model, adapters: Array.from({ length: ADAPTERS_PER_MODEL }, (_, i) => `a${i + 1}`) })),
      popularShares: size.popularShares,
      rareModels: names.slice(size.popularModels),
      shifts: [{ atMs: 1000, durationMs: 6000 }, { atMs: 16_000, durationMs: 5500 }, { atMs: 24_000, durationMs: 5000 }],
      bursts: [{ route: 'digests', atMs: 9000, durationMs: 6000, factor: 2 }]
    }
  }
}

interface _RouteOptions {
  readonly ratePerS: number
  readonly objectiveMs: number
  readonly timeoutMs: number
  readonly firstEventTimeoutMs: number
  readonly rank: number
  readonly worth: readonly [inTime: number, late: number]
  readonly popular: boolean
  readonly adapterShare: number
  readonly resumable: boolean
  readonly tokens: readonly [prompt: number, answer: number]
  readonly tokensLogStdDev: number
}

function _route (route: string, options: _RouteOptions): RoutePattern {
  const { worth: [worth, lateWorth], tokens: [promptTokensMean, answerTokensMean], ...rest } = options
  return { route, service: SERVICE, maxRuns: options.resumable ? 2 : 1, promptTokensMean, answerTokensMean, ...rest, worth, lateWorth }
}

// Each engine starts with a few loaded models and a disk filled with copies of weights, both chosen at random.
function _initialModels (models: readonly Model[], size: _DeploymentSize, unit: () => number): Pick<Upstream, 'residents' | 'copies'> {
  const shuffled = models.map((model) => ({ model, key: unit() })).sort((a, b) => a.key - b.key).map(({ model }) => model)
  const onDisk = _selectFitting(shuffled, size.engineProfile.diskMb)
  const loaded = _selectFitting(onDisk, size.memoryMb).slice(0, size.residents)
  return {
    residents: loaded.map(({ name }) => ({ model: name, adapters: [] })),
    copies: { inMemory: [], onDisk: onDisk.map(({ name }) => name) }
  }
}

function _selectFitting (models: readonly Model[], capacityMb: number): readonly Model[] {
  let leftMb = capacityMb
  return models.filter(({ memoryMb }) => {
    if (memoryMb > leftMb) return false
    leftMb -= memoryMb
    return true
  })
}
