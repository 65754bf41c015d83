import type { Configuration, Model, Upstream } from '@berylshed/fleet'
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
const BUSY_MODELS = 5
const DAY_MS = 34_000
const LEAD_MS = 12_000

const TRAITS: EngineTraits = {
  stepMs: 4.73, stepPerRunMs: 0.0138, prefillTokensPerMs: 38.4, tokensPerEvent: 6, reportLagMs: 100, hostMb: 55 * GB, diskMb: 320 * GB
}

interface _Size {
  readonly engines: number
  readonly memoryMb: number
  readonly slots: number
  readonly models: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  readonly instances: number
}

interface _Rates {
  readonly drafts: number
  readonly digests: number
  readonly lines: number
}

/**
 * Gives the speech desk: six engines of 83 GB before 30 models.
 *
 * @returns The deployment and its pattern.
 *
 * @example
 * ```ts
 * const { pattern, deployment } = speechDesk()
 * ```
 */
export function speechDesk (): ExampleDay {
  return _example(
    { engines: 6, memoryMb: 83 * GB, slots: 96, models: 30, loadsPerSecond: 2.7, loadsAtOnce: 4, instances: 4 },
    { drafts: 25.8, digests: 11.1, lines: 19.8 },
    { drafts: [2.6, 0.77], digests: [9.3, 1.4], lines: [1.5, 0.44] })
}

/**
 * Gives the order desk: eight engines of 58 GB before 28 models, with fewer and dearer rare requests.
 *
 * @returns The deployment and its pattern.
 *
 * @example
 * ```ts
 * const { pattern, deployment } = orderDesk()
 * ```
 */
export function orderDesk (): ExampleDay {
  return _example(
    { engines: 8, memoryMb: 58 * GB, slots: 64, models: 28, loadsPerSecond: 4.6, loadsAtOnce: 4, instances: 4 },
    { drafts: 30, digests: 6, lines: 23 },
    { drafts: [2.6, 1.2], digests: [18, 2.7], lines: [1.5, 0.77] })
}

type _Worths = Readonly<Record<keyof _Rates, readonly [inTime: number, late: number]>>

function _example (size: _Size, rates: _Rates, worths: _Worths): ExampleDay {
  const names = Array.from({ length: size.models }, (_, i) => `m${i}`)
  // The sizes repeat in the order of the users' list; the first model is a small one.
  const models = names.map((name, i): Model => {
    const small = [0, 2, 3].includes(i % 5)
    return { name, memoryMb: small ? SMALL_MB : LARGE_MB, storeLoadMs: 6000, diskLoadMs: small ? 350 : 510, memoryLoadMs: small ? 270 : 390, adapterMb: small ? 14 : 40 }
  })
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
    residents: _firstResidents(models, size, i),
    copies: { inMemory: [], onDisk: [] }
  }))
  const routes = [
    _route('drafts', { ratePerS: rates.drafts, objectiveMs: 500, timeoutMs: 12_000, patienceMs: 2000, rank: 1, worth: worths.drafts, busy: true, adapterShare: 0.1, resumable: true, tokens: [715, 280], spread: 0.8 }),
    _route('digests', { ratePerS: rates.digests, objectiveMs: 2000, timeoutMs: 20_000, patienceMs: 8000, rank: 1, worth: worths.digests, busy: false, adapterShare: 0, resumable: false, tokens: [715, 280], spread: 0.8 }),
    _route('lines', { ratePerS: rates.lines, objectiveMs: 1500, timeoutMs: 4000, patienceMs: 4000, rank: 0, worth: worths.lines, busy: true, adapterShare: 0.5, resumable: true, tokens: [383, 45], spread: 1.2 })
  ]
  return {
    deployment: { configuration, upstreams, availabilityZones: zones, instances: size.instances, traits: TRAITS, loadsAtOnce: size.loadsAtOnce, leadMs: LEAD_MS },
    pattern: {
      durationMs: DAY_MS,
      routes,
      busyModels: names.slice(0, BUSY_MODELS).map((model) => ({ model, adapters: Array.from({ length: ADAPTERS }, (_, i) => `a${i + 1}`) })),
      busyShares: [0.73, 0.27],
      rareModels: names.slice(BUSY_MODELS),
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

// The first model on every engine, the others one after the other as far as there is room.
function _firstResidents (models: readonly Model[], size: _Size, index: number): Upstream['residents'] {
  const held = models.slice(0, 1)
  for (const model of models.slice(1).filter((_, i) => i % size.engines === index)) {
    const usedMb = held.reduce((sum, { memoryMb }) => sum + memoryMb, 0)
    if (usedMb + model.memoryMb <= size.memoryMb) held.push(model)
  }
  return held.map(({ name }) => ({ model: name, adapters: [] }))
}
