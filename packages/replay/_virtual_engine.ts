import type { EngineSpec, EngineReport, Upstream } from '@berylshed/fleet'
import type { EngineOrderResult } from '@berylshed/platform'
import type { VirtualClock } from './virtual_clock.ts'

/** Speed and capacity of a simulated engine, as given for the users' deployments. */
export interface EngineProfile {
  /** Base duration of a decoding step, in ms. */
  readonly decodeStepMs: number
  /** Time that each request in the batch adds to a decoding step, in ms. */
  readonly decodeStepMsPerRequest: number
  /** Prompt tokens processed per ms. */
  readonly prefillTokensPerMs: number
  /** Tokens per event of a response stream. */
  readonly tokensPerEvent: number
  /** Staleness of the resident models in a report, in ms. */
  readonly reportLagMs: number
  /** Capacity for copies of weights in host memory, in MB. */
  readonly hostMemoryMb: number
  /** Capacity for copies of weights on disk, in MB. */
  readonly diskMb: number
}

/** A request sent to a simulated engine. */
export interface EngineRequest {
  readonly id: string
  readonly model: string
  readonly adapter: string | undefined
  readonly rank: number
  readonly promptTokens: number
  readonly answerTokens: number
}

/** Callbacks by which an engine reports the progress of a request. */
export interface RequestCallbacks {
  /** The request was not run: the model or adapter is not resident (`misdirected`), or is being loaded or unloaded. */
  onRejected (misdirected: boolean): void
  /** The first event of the response was produced. */
  onStarted (): void
  /** The response is complete; `longestPauseMs` is the longest time between two of its events. */
  onEnded (longestPauseMs: number): void
  /** The engine crashed while it ran the request. */
  onAborted (): void
}

/** An order to load or unload a model or an adapter. */
export interface VirtualOrder {
  readonly operation: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
  readonly expectedSequence: number
  readonly fence: number
}

/** An engine simulated in virtual time. */
export interface VirtualEngine {
  readonly upstream: Upstream
  /** Starts a request and returns a function that cancels it. */
  run (request: EngineRequest, callbacks: RequestCallbacks): () => void
  /** Executes an order, or returns why it is rejected. */
  order (order: VirtualOrder): EngineOrderResult
  /** Returns the state of the engine, with the resident models as of `reportLagMs` ago. */
  report (): EngineReport
  /** Aborts all requests and drops all loaded models; copies of weights are kept. */
  crash (): void
  /** Returns the memory allocated to models, and the part whose models are running requests, in MB. */
  memoryUsage (): { readonly allocatedMb: number, readonly activeMb: number }
  /** Returns the number of loads from the weight store so far. */
  storeLoads (): number
}

/** State shared by all simulated engines. */
export interface EngineEnvironment {
  readonly clock: VirtualClock
  readonly profile: EngineProfile
  /** Concurrent loads that the weight store serves at full speed. */
  readonly storeLoadConcurrency: number
  /** Loads from the weight store in flight, over all engines. */
  storeLoadsInFlight: number
  /** Load orders that exceeded the memory of an engine and crashed it. */
  overcommitments: number
}

interface _RunningRequest {
  readonly request: EngineRequest
  readonly callbacks: RequestCallbacks
  prefilledTokens: number
  decodedTokens: number
  lastEventMs: number
  longestPauseMs: number
}

interface _Replica {
  phase: 'loading' | 'loaded' | 'unloading'
  /** Time at which each adapter becomes usable, in ms. */
  readonly adapters: Map<string, number>
}

/** Time step of the simulation of running requests, in ms. */
const SIMULATION_STEP_MS = 10
const UNLOAD_MS = 60
const ADAPTER_LOAD_MS = 6
/** Interval between checks whether a draining model still runs requests, in ms. */
const DRAIN_POLL_INTERVAL_MS = 10

/**
 * Creates an engine in virtual time that batches requests, loads models and reports its resident models with a delay.
 *
 * @param upstream The registration of the engine, with its initial models and copies of weights.
 * @param engine The limits of the engine and the models that it can load.
 * @param environment The state shared with the other engines.
 * @returns The engine.
 */
export function createVirtualEngine (upstream: Upstream, engine: EngineSpec, environment: EngineEnvironment): VirtualEngine {
  const { clock, profile } = environment
  const replicas = new Map<string, _Replica>(upstream.residents.map(({ model }) => [model, { phase: 'loaded', adapters: new Map() }]))
  let { copies } = upstream
  let runningRequests: _RunningRequest[] = []
  let sequence = 0
  let fence = 0
  let busy = false
  let generation = 0
  let ticking = false
  let storeLoads = 0
  let residentSnapshots: ReadonlyArray<{ readonly atMs: number, readonly residents: EngineReport['residents'] }> = []

  function recordResidents (): void {
    const residents = [...replicas].filter(([, { phase }]) => phase !== 'loading').map(([model, { adapters }]) => ({ model, adapters: [...adapters.keys()] }))
    residentSnapshots = [...residentSnapshots.filter(({ atMs }) => clock.nowMs() - atMs < profile.reportLagMs * 4), { atMs: clock.nowMs(), residents }]
  }

  function recordCopy (model: string): void {
    copies = { inMemory: _mostRecentCopies(copies.inMemory, model, profile.hostMemoryMb), onDisk: _mostRecentCopies(copies.onDisk, model, profile.diskMb) }
  }

  function _mostRecentCopies (previous: readonly string[], model: string, capacityMb: number): readonly string[] {
    const kept: string[] = []
    let totalMb = 0
    for (const name of [model, ...previous.filter((other) => other !== model)]) {
      totalMb += engine.models.get(name)?.memoryMb ?? 0
      if (totalMb <= capacityMb) kept.push(name)
    }
    return kept
  }

  function allocatedMemoryMb (): number {
    let sum = 0
    for (const [name, { adapters }] of replicas) {
      const model = engine.models.get(name)
      sum += (model?.memoryMb ?? 0) + adapters.size * (model?.adapterMb ?? 0)
    }
    return sum
  }

  function run (request: EngineRequest, hooks: RequestCallbacks): () => void {
    const replica = replicas.get(request.model)
    const absent = replica === undefined || (request.adapter !== undefined && !_hasAdapter(replica, request.adapter))
    if (absent || replica.phase !== 'loaded') {
      hooks.onRejected(absent)
      return () => {}
    }
    const running: _RunningRequest = { request, callbacks: hooks, prefilledTokens: 0, decodedTokens: 0, lastEventMs: clock.nowMs(), longestPauseMs: 0 }
    runningRequests.push(running)
    if (!ticking) tick()
    return () => { runningRequests = runningRequests.filter((other) => other !== running) }
  }

  function _hasAdapter (replica: _Replica, adapter: string): boolean {
    return (replica.adapters.get(adapter) ?? Infinity) <= clock.nowMs()
  }

  function tick (): void {
    ticking = runningRequests.length > 0
    if (!ticking) return
    const currentGeneration = generation
    clock.after(SIMULATION_STEP_MS, () => {
      if (currentGeneration !== generation) return
      progress()
      tick()
    })
  }

  // Prompts are processed one at a time, the most urgent first; the rest of the step goes to decoding for all other requests.
  function progress (): void {
    let remainingMs = SIMULATION_STEP_MS
    const admitted = runningRequests.slice(0, engine.slots)
    for (const running of [...admitted].sort((a, b) => a.request.rank - b.request.rank)) {
      const unreadTokens = running.request.promptTokens - running.prefilledTokens
      if (unreadTokens <= 0 || remainingMs <= 0) continue
      const readTokens = Math.min(unreadTokens, remainingMs * profile.prefillTokensPerMs)
      running.prefilledTokens += readTokens
      remainingMs -= readTokens / profile.prefillTokensPerMs
    }
    const decoding = admitted.filter(({ request, prefilledTokens }) => prefilledTokens >= request.promptTokens)
    const tokens = remainingMs / (profile.decodeStepMs + profile.decodeStepMsPerRequest * decoding.length)
    for (const running of decoding) produce(running, tokens)
  }

  function produce (running: _RunningRequest, tokens: number): void {
    const previousEvents = Math.floor(running.decodedTokens / profile.tokensPerEvent)
    running.decodedTokens += tokens
    const isComplete = running.decodedTokens >= running.request.answerTokens
    if (Math.floor(running.decodedTokens / profile.tokensPerEvent) > previousEvents || isComplete) {
      const pauseMs = clock.nowMs() - running.lastEventMs
      if (previousEvents === 0) running.callbacks.onStarted()
      else running.longestPauseMs = Math.max(running.longestPauseMs, pauseMs)
      running.lastEventMs = clock.nowMs()
    }
    if (!isComplete) return
    runningRequests = runningRequests.filter((other) => other !== running)
    running.callbacks.onEnded(running.longestPauseMs)
  }

  function order (request: VirtualOrder): EngineOrderResult {
    if (request.fence < fence) return 'fenced'
    fence = request.fence
    if (busy || request.expectedSequence !== sequence) return 'conflict'
    if (request.adapter !== undefined) return orderAdapter(request.operation, request.model, request.adapter)
    const replica = replicas.get(request.model)
    if ((replica === undefined) === (request.operation === 'unload')) return 'held'
    sequence += 1
    busy = true
    if (request.operation === 'load') load(request.model)
    else if (replica !== undefined) unload(request.model, replica)
    return 'accepted'
  }

  function orderAdapter (operation: 'load' | 'unload', name: string, adapter: string): EngineOrderResult {
    const replica = replicas.get(name)
    if (replica === undefined) return 'misdirected'
    if (replica.adapters.has(adapter) === (operation === 'load')) return 'held'
    sequence += 1
    if (operation === 'load') replica.adapters.set(adapter, clock.nowMs() + ADAPTER_LOAD_MS)
    else replica.adapters.delete(adapter)
    recordResidents()
    return 'accepted'
  }

  function load (name: string): void {
    const currentGeneration = generation
    const model = engine.models.get(name)
    if (model === undefined || allocatedMemoryMb() + model.memoryMb > engine.memoryMb) {
      environment.overcommitments += 1
      return crash()
    }
    const replica: _Replica = { phase: 'loading', adapters: new Map() }
    replicas.set(name, replica)
    const loadsFromStore = !copies.onDisk.includes(name) && !copies.inMemory.includes(name)
    if (loadsFromStore) {
      storeLoads += 1
      environment.storeLoadsInFlight += 1
    }
    const slowdown = loadsFromStore ? Math.max(1, environment.storeLoadsInFlight / environment.storeLoadConcurrency) : 1
    const durationMs = loadsFromStore ? model.storeLoadMs * slowdown : copies.inMemory.includes(name) ? model.memoryLoadMs : model.diskLoadMs
    clock.after(durationMs, () => {
      if (loadsFromStore) environment.storeLoadsInFlight -= 1
      if (currentGeneration !== generation) return
      busy = false
      replica.phase = 'loaded'
      recordCopy(name)
      recordResidents()
    })
  }

  function unload (name: string, replica: _Replica): void {
    const currentGeneration = generation
    replica.phase = 'unloading'
    const finish = (): void => {
      if (currentGeneration !== generation) return
      if (runningRequests.some(({ request: { model } }) => model === name)) return clock.after(DRAIN_POLL_INTERVAL_MS, finish)
      busy = false
      replicas.delete(name)
      recordResidents()
    }
    clock.after(UNLOAD_MS, finish)
  }

  function report (): EngineReport {
    const visibleSnapshot = residentSnapshots.filter(({ atMs }) => atMs <= clock.nowMs() - profile.reportLagMs).at(-1)
    return {
      incarnation: generation + 1,
      sequence,
      busy,
      residents: visibleSnapshot?.residents ?? [...replicas].map(([model]) => ({ model, adapters: [] })),
      pendingAdapters: [],
      copies,
      active: runningRequests.length,
      queued: 0
    }
  }

  function crash (): void {
    generation += 1
    const aborted = runningRequests
    runningRequests = []
    ticking = false
    busy = false
    sequence = 0
    fence = 0
    replicas.clear()
    residentSnapshots = []
    for (const { callbacks: hooks } of aborted) hooks.onAborted()
  }

  function memoryUsage (): { readonly allocatedMb: number, readonly activeMb: number } {
    const activeModels = new Set(runningRequests.map(({ request: { model } }) => model))
    const memoryOf = (name: string): number => engine.models.get(name)?.memoryMb ?? 0
    const names = [...replicas.keys()]
    return {
      allocatedMb: names.reduce((sum, name) => sum + memoryOf(name), 0),
      activeMb: names.filter((name) => activeModels.has(name)).reduce((sum, name) => sum + memoryOf(name), 0)
    }
  }

  recordResidents()
  return { upstream, run, order, report, crash, memoryUsage, storeLoads: () => storeLoads }
}
