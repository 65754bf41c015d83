import { emptyPlacementShard, type PlacementShard, type Estimate, type PlacementEffect, type PlacementEvent } from '@berylshed/placement'
import { HttpEngine, type Engine, type StoredObject } from '@berylshed/platform'
import type { InterpreterContext } from './_interpreter_context.ts'

/** Interpreter of the effects of the placement reducer. */
export interface PlacementEffects {
  /** Carries out one effect. */
  perform (effect: PlacementEffect): Promise<void>
  /** Registers a callback for the answer to the demand with this call id. */
  awaitEstimate (call: string, resolve: (estimate: Estimate) => void): void
}

/** Options for `createPlacementEffects`. */
export interface PlacementEffectsOptions {
  /** Returns a client for the engine at an address. */
  engine (address: string): Engine
}

/** Returns the key of the store object that holds a placement shard. */
export function placementShardKey (name: string): string {
  return `cells/${name}`
}

/** Parses a placement shard from its store object; a missing object yields an empty shard. */
export function parsePlacementShard (object: StoredObject, name: string): PlacementShard {
  return object.version === 0 ? emptyPlacementShard(name) : JSON.parse(object.value) as PlacementShard
}

/** Options that connect to engines over HTTP. */
export const HTTP_ENGINES: PlacementEffectsOptions = { engine: (address) => new HttpEngine(address) }

/** Creates the interpreter of the effects of the placement reducer. */
export function createPlacementEffects (context: InterpreterContext, options: PlacementEffectsOptions): PlacementEffects {
  const { store, peers, metrics, log, nowMs } = context
  const engines = new Map<string, Engine>()
  const pendingEstimates = new Map<string, (estimate: Estimate) => void>()

  function dispatch (event: PlacementEvent): void {
    context.dispatch({ subject: 'placement', event })
  }

  function engineFor (upstream: string): Engine | undefined {
    const address = context.state().deployment?.addresses.get(upstream)
    if (address === undefined) return undefined
    const engine = engines.get(address) ?? options.engine(address)
    engines.set(address, engine)
    return engine
  }

  async function writePlacementShard (effect: Extract<PlacementEffect, { kind: 'write_shard' }>): Promise<void> {
    const { writeId, name } = effect.shard
    const answer = await store.update(placementShardKey(name), { value: JSON.stringify(effect.shard), expectedVersion: effect.expectedVersion })
    dispatch(answer.match(
      (version) => ({ kind: 'write_done', writeId, version, nowMs: nowMs() }),
      (failure) => failure.kind === 'conflict'
        ? { kind: 'write_conflicted', writeId, version: failure.current.version, shard: parsePlacementShard(failure.current, name), nowMs: nowMs() }
        : { kind: 'write_lost', writeId, nowMs: nowMs(), random: context.random() }))
  }

  async function sendOrder (effect: Extract<PlacementEffect, { kind: 'send_order' }>): Promise<void> {
    const { order, model, memoryMb, upstream, notAfterMs } = effect
    const engine = engineFor(upstream)
    const answer = engine === undefined ? 'not_sent' : await engine.send({ order, model, memoryMb, maySend: () => nowMs() < notAfterMs })
    log(`order ${answer}`, { model, upstream, fence: order.fence, reason: order.kind })
    dispatch({ kind: 'order_answered', orderId: order.id, answer, nowMs: nowMs() })
  }

  async function probe (effect: Extract<PlacementEffect, { kind: 'probe' }>): Promise<void> {
    const status = await engineFor(effect.upstream)?.probe(effect.fence)
    if (status === undefined || status.isErr()) return
    dispatch({ kind: 'status_reported', upstream: effect.upstream, probe: effect.probe, status: status.value, nowMs: nowMs() })
  }

  async function perform (effect: PlacementEffect): Promise<void> {
    switch (effect.kind) {
      case 'write_shard': return await writePlacementShard(effect)
      case 'send_order': return await sendOrder(effect)
      case 'probe': return await probe(effect)
      case 'disclaim_orders':
        await peers.disclaim(effect.to.address, effect.orderIds)
        return
      case 'answer_demand':
        pendingEstimates.get(effect.call)?.(effect.estimate)
        pendingEstimates.delete(effect.call)
        return
      case 'count':
        log(effect.metric, effect.model === undefined ? {} : { model: effect.model })
        return metrics.count(`placement.${effect.metric}`)
      default:
    }
  }

  return { perform, awaitEstimate: (call, resolve) => { pendingEstimates.set(call, resolve) } }
}
