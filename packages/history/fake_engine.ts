import type { Holding, Order, UpstreamStatus } from '@berylshed/placement'

/** Options of a fake engine. */
export interface FakeEngineOptions {
  readonly name: string
  /** Whether the engine refuses orders whose fencing token is lower than the highest one it has received. */
  readonly checksFence: boolean
  /** Whether the engine keeps a log of orders and executes a repeated order once. */
  readonly logsOrders: boolean
}

/** Order as received by an engine. */
export interface ReceivedOrder {
  readonly order: Order
  readonly model: string
  readonly memoryMb: number
}

/** Fake model engine. It never refuses a load for lack of memory, so that a checker detects overcommitted memory. */
export interface FakeEngine {
  readonly options: FakeEngineOptions
  /** Returns an identifier that changes with every restart. */
  incarnation (): string
  /** Executes an order and reports whether it was accepted. */
  execute (received: ReceivedOrder): boolean
  /** Returns the engine's status and, if the engine checks fencing tokens, raises the lowest one it accepts. */
  probe (fence: number): UpstreamStatus
  /** Marks a model as loaded, unless the engine has restarted since the load began. */
  finishLoad (model: string, incarnation: string): void
  /** Returns the memory of each model that the engine holds, in MB. */
  holdings (): ReadonlyMap<string, number>
  /** Drops all models and starts a new incarnation. */
  restart (): void
}

/** Callbacks of a fake engine. */
export interface FakeEngineHooks {
  /** Called when an order is executed, before it takes effect. */
  executed (received: ReceivedOrder): void
  /** Called when the models that the engine holds have changed. */
  changed (): void
  /** Called when a load begins; the test completes it with `finishLoad`. */
  loading (model: string, incarnation: string): void
}

/**
 * Creates a fake engine.
 *
 * @param options The engine's name and its checks of orders.
 * @param hooks The callbacks.
 * @returns The engine.
 *
 * @example
 * ```ts
 * const engine = createFakeEngine({ name: 'runner-1', checksFence: true, logsOrders: false }, hooks)
 * ```
 */
export function createFakeEngine (options: FakeEngineOptions, hooks: FakeEngineHooks): FakeEngine {
  let starts = 1
  let fence = 0
  let ran: string[] = []
  let held = new Map<string, Holding>()

  const incarnation = (): string => `${options.name}#${starts}`

  function execute (received: ReceivedOrder): boolean {
    const { order, model, memoryMb } = received
    if (options.checksFence && order.fence < fence) return false
    if (options.checksFence) fence = order.fence
    if (options.logsOrders && ran.includes(order.id)) return true
    if (options.logsOrders) ran = [...ran, order.id]
    hooks.executed(received)
    if (order.kind === 'unload') held.delete(model)
    else if (!held.has(model)) {
      held.set(model, { model, memoryMb, phase: 'loading', running: 0 })
      hooks.loading(model, incarnation())
    }
    hooks.changed()
    return true
  }

  function probe (requestedFence: number): UpstreamStatus {
    if (options.checksFence) fence = Math.max(fence, requestedFence)
    return { incarnation: incarnation(), fence, holdings: [...held.values()], running: 0, ran, leaving: false }
  }

  function finishLoad (model: string, loadIncarnation: string): void {
    const holding = held.get(model)
    if (loadIncarnation === incarnation() && holding !== undefined) held.set(model, { ...holding, phase: 'loaded' })
  }

  function restart (): void {
    starts += 1
    fence = 0
    ran = []
    held = new Map()
    hooks.changed()
  }

  const holdings = (): ReadonlyMap<string, number> => new Map([...held].map(([model, holding]) => [model, holding.memoryMb]))
  return { options, incarnation, execute, probe, finishLoad, holdings, restart }
}
