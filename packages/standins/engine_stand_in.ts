import { randomUUID } from 'node:crypto'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import { answerJson } from './_answer_json.ts'
import { listen, type Listener } from './_listen.ts'
import { readBody } from './_read_body.ts'
import type { WeightStoreStandIn } from './weight_store_stand_in.ts'

/** Model that an engine stand-in can load. */
export interface StandInModel {
  readonly name: string
  /** Whether the model is an adapter, whose loads have a limit of their own. */
  readonly adapter: boolean
  /** Duration of a load at the weight store's full speed, in ms. */
  readonly loadMs: number
}

/** Options for {@linkcode startEngineStandIn}. */
export interface EngineStandInOptions {
  /** Port to listen on; 0 for any. */
  readonly port: number
  readonly memoryMb: number
  /** Whether the engine refuses orders whose fencing token is lower than the highest one it has received. */
  readonly checksFence: boolean
  /** Whether the engine keeps a log of orders and executes a repeated order once. */
  readonly logsOrders: boolean
  readonly models: readonly StandInModel[]
  /** Weight store that times the loads. */
  readonly weights: WeightStoreStandIn
  /** Time between two tokens of an answer, in ms; 5 by default. */
  readonly tokenMs?: number
  /** Number of tokens of an answer if the request sets no `max_tokens`; 12 by default. */
  readonly answerTokens?: number
}

/** Faults of an engine stand-in, which can be changed directly or through `/control/faults`. */
export interface EngineStandInFaults {
  /** Crashes the engine when a request body contains this text; empty for never. */
  crashOn: string
  /** Accepts requests and never answers them. */
  silent: boolean
  /** Ends each answer after this number of tokens, without its final event; 0 for never. */
  truncateAfter: number
  /** Answers with a request id other than that of the request. */
  crossed: boolean
  /** Reports in the status that the engine is about to leave. */
  leaving: boolean
}

/** Running engine stand-in. */
export interface EngineStandIn extends Listener {
  readonly faults: EngineStandInFaults
  /** Returns the number of requests that have run so far. */
  readonly runs: () => number
  /** Returns the number of requests that are running. */
  readonly running: () => number
  /** Returns the models that the engine holds or is loading. */
  readonly holdings: () => ReadonlyMap<string, StandInHolding>
  /** Returns the peak memory use, in MB. */
  readonly peakMb: () => number
  /** Returns the number of loads that have begun so far, by model. */
  readonly loads: () => ReadonlyMap<string, number>
  /** Closes all connections, drops all models and starts a new incarnation. */
  crash (): void
}

/** Model that an engine stand-in holds or is loading. */
export interface StandInHolding {
  readonly phase: 'loading' | 'loaded'
  readonly memoryMb: number
}

interface _Order {
  readonly id: string
  readonly kind: 'load' | 'unload'
  readonly fence: number
  readonly model: string
  readonly memoryMb: number
}

const DEFAULT_TOKEN_MS = 5
const DEFAULT_ANSWER_TOKENS = 12
const WORDS = ['Dear', 'members,', 'tonight', 'we', 'thank', 'everyone', 'who', 'kept', 'the', 'old', 'works', 'running.']

/**
 * Starts a stand-in for a model engine.
 *
 * It implements the OpenAI-style completion calls and the control interface described in docs/INTERFACES.md.
 *
 * @param options The port, the memory, the models and the checks of orders.
 * @returns The running stand-in.
 *
 * @example
 * ```ts
 * const engine = await startEngineStandIn({ port: 0, memoryMb: 80_000, checksFence: true, logsOrders: true, models, weights })
 * await engine.close()
 * ```
 */
export async function startEngineStandIn (options: EngineStandInOptions): Promise<EngineStandIn> {
  const faults: EngineStandInFaults = { crashOn: '', silent: false, truncateAfter: 0, crossed: false, leaving: false }
  let holdings = new Map<string, StandInHolding>()
  let cancelLoads = new Map<string, () => void>()
  let incarnation = randomUUID()
  let fence = 0
  let ran: string[] = []
  let running = 0
  let runs = 0
  let runningByModel = new Map<string, number>()
  let peakMb = 0
  const loads = new Map<string, number>()

  function usedMb (): number {
    return [...holdings.values()].reduce((sum, holding) => sum + holding.memoryMb, 0)
  }

  function status (): unknown {
    return {
      incarnation,
      fence,
      holdings: [...holdings].map(([model, holding]) => ({ model, ...holding, running: runningByModel.get(model) ?? 0 })),
      running,
      ran,
      leaving: faults.leaving
    }
  }

  function executeOrder (order: _Order): boolean {
    if (options.checksFence && order.fence < fence) return false
    if (options.checksFence) fence = order.fence
    if (options.logsOrders) {
      if (ran.includes(order.id)) return true
      ran = [...ran.slice(-999), order.id]
    }
    return order.kind === 'load' ? load(order) : unload(order.model)
  }

  function load (order: _Order): boolean {
    const model = options.models.find((candidate) => candidate.name === order.model)
    if (holdings.has(order.model)) return true
    if (model === undefined || usedMb() + order.memoryMb > options.memoryMb) return false
    holdings.set(order.model, { phase: 'loading', memoryMb: order.memoryMb })
    peakMb = Math.max(peakMb, usedMb())
    loads.set(order.model, (loads.get(order.model) ?? 0) + 1)
    const finish = (): void => { holdings.set(order.model, { phase: 'loaded', memoryMb: order.memoryMb }) }
    cancelLoads.set(order.model, options.weights.start({ adapter: model.adapter, loadMs: model.loadMs, finish }))
    return true
  }

  function unload (model: string): boolean {
    cancelLoads.get(model)?.()
    cancelLoads.delete(model)
    holdings.delete(model)
    return true
  }

  function crash (): void {
    for (const cancel of cancelLoads.values()) cancel()
    cancelLoads = new Map()
    holdings = new Map()
    incarnation = randomUUID()
    fence = 0
    ran = []
    running = 0
    runningByModel = new Map()
    server.closeAllConnections()
  }

  function startRun (model: string): () => void {
    const startIncarnation = incarnation
    running += 1
    runningByModel.set(model, (runningByModel.get(model) ?? 0) + 1)
    return () => {
      if (startIncarnation !== incarnation) return
      running -= 1
      runningByModel.set(model, (runningByModel.get(model) ?? 1) - 1)
    }
  }

  async function handleCompletion (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const text = await readBody(request)
    if (faults.crashOn !== '' && text.includes(faults.crashOn)) return crash()
    if (faults.silent) return
    const body = JSON.parse(text) as { model: string, stream?: boolean, max_tokens?: number }
    if (holdings.get(body.model)?.phase !== 'loaded') {
      return answerJson(response, 503, { error: { code: 'model_not_loaded', not_run: true } }, { 'x-not-run': 'true' })
    }
    runs += 1
    const endRun = startRun(body.model)
    response.on('close', endRun)
    const id = faults.crossed ? randomUUID() : String(request.headers['x-request-id'])
    await writeAnswer(response, { id, model: body.model, stream: body.stream === true, tokens: body.max_tokens ?? options.answerTokens ?? DEFAULT_ANSWER_TOKENS })
  }

  async function writeAnswer (response: ServerResponse, generation: _Generation): Promise<void> {
    const headers = { 'x-request-id': generation.id, 'content-type': generation.stream ? 'text/event-stream' : 'application/json' }
    const words: string[] = []
    if (generation.stream) response.writeHead(200, headers)
    for (let i = 0; i < generation.tokens && !response.destroyed; i += 1) {
      await new Promise((resolve) => setTimeout(resolve, options.tokenMs ?? DEFAULT_TOKEN_MS))
      const word = `${WORDS[i % WORDS.length] ?? ''} `
      words.push(word)
      if (generation.stream) response.write(`data: ${JSON.stringify(_completionChunk(generation, word))}\n\n`)
      if (faults.truncateAfter > 0 && words.length >= faults.truncateAfter) return endEarly(response, generation)
    }
    if (generation.stream) response.end('data: [DONE]\n\n')
    else answerJson(response, 200, _completion(generation, words.join('')), headers)
  }

  function endEarly (response: ServerResponse, generation: _Generation): void {
    if (generation.stream) response.end()
    else response.destroy()
  }

  async function handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.url === '/control/probe') {
      const probe = JSON.parse(await readBody(request)) as { fence: number }
      if (options.checksFence) fence = Math.max(fence, probe.fence)
      return answerJson(response, 200, status())
    }
    if (request.url === '/control/orders') {
      const accepted = executeOrder(JSON.parse(await readBody(request)) as _Order)
      return answerJson(response, accepted ? 200 : 409, status())
    }
    if (request.url === '/control/faults') {
      Object.assign(faults, JSON.parse(await readBody(request)))
      return answerJson(response, 200, faults)
    }
    await handleCompletion(request, response)
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy())
  })
  const listener = await listen(server, options.port)
  return { ...listener, faults, runs: () => runs, running: () => running, holdings: () => holdings, peakMb: () => peakMb, loads: () => loads, crash }
}

interface _Generation {
  readonly id: string
  readonly model: string
  readonly stream: boolean
  readonly tokens: number
}

function _completionChunk (generation: _Generation, content: string): unknown {
  return { id: generation.id, object: 'chat.completion.chunk', model: generation.model, choices: [{ index: 0, delta: { content } }] }
}

function _completion (generation: _Generation, content: string): unknown {
  return {
    id: generation.id,
    object: 'chat.completion',
    model: generation.model,
    choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
    usage: { completion_tokens: generation.tokens }
  }
}
