import type { Holding, Order, UpstreamStatus } from '@berylshed/placement'

/** Traits of a fake engine. */
export interface FakeEngineTraits {
  readonly name: string
  readonly checksFence: boolean
  readonly logsOrders: boolean
}

/** An order as it reaches an engine. */
export interface ArrivingOrder {
  readonly order: Order
  readonly model: string
  readonly memoryMb: number
}

/** A fake model engine; it refuses nothing for want of memory, so that a checker sees an overcommitment. */
export interface FakeEngine {
  readonly traits: FakeEngineTraits
  incarnation (): string
  /** Runs an order and tells whether it was accepted. */
  run (arriving: ArrivingOrder): boolean
  probe (fence: number): UpstreamStatus
  finishLoad (model: string, incarnation: string): void
  /** Memory per model held. */
  holdings (): ReadonlyMap<string, number>
  restart (): void
}

/** What a fake engine reports to its test. */
export interface FakeEngineHooks {
  executed (arriving: ArrivingOrder): void
  changed (): void
  loading (model: string, incarnation: string): void
}

/**
 * Creates a fake engine.
 *
 * @param traits Its name and what it checks.
 * @param hooks What is called when something happens.
 * @returns The engine.
 *
 * @example
 * ```ts
 * const engine = createFakeEngine({ name: 'runner-1', checksFence: true, logsOrders: false }, hooks)
 * ```
 */
export function createFakeEngine (traits: FakeEngineTraits, hooks: FakeEngineHooks): FakeEngine {
  let starts = 1
  let fence = 0
  let ran: string[] = []
  let held = new Map<string, Holding>()

  const incarnation = (): string => `${traits.name}#${starts}`

  function run (arriving: ArrivingOrder): boolean {
    const { order, model, memoryMb } = arriving
    if (traits.checksFence && order.fence < fence) return false
    if (traits.checksFence) fence = order.fence
    if (traits.logsOrders && ran.includes(order.id)) return true
    if (traits.logsOrders) ran = [...ran, order.id]
    hooks.executed(arriving)
    if (order.kind === 'unload') held.delete(model)
    else if (!held.has(model)) {
      held.set(model, { model, memoryMb, phase: 'loading', running: 0 })
      hooks.loading(model, incarnation())
    }
    hooks.changed()
    return true
  }

  function probe (asked: number): UpstreamStatus {
    if (traits.checksFence) fence = Math.max(fence, asked)
    return { incarnation: incarnation(), fence, holdings: [...held.values()], running: 0, ran, leaving: false }
  }

  function finishLoad (model: string, of: string): void {
    const holding = held.get(model)
    if (of === incarnation() && holding !== undefined) held.set(model, { ...holding, phase: 'loaded' })
  }

  function restart (): void {
    starts += 1
    fence = 0
    ran = []
    held = new Map()
    hooks.changed()
  }

  const holdings = (): ReadonlyMap<string, number> => new Map([...held].map(([model, holding]) => [model, holding.memoryMb]))
  return { traits, incarnation, run, probe, finishLoad, holdings, restart }
}
