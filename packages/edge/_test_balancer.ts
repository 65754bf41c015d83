import { readinessOf, type ProcessInstance } from './_test_processes.ts'
import type { Random } from './_test_random.ts'

const PROBE_MS = 1000
const MISSES = 2

/** A balancer of new callers. */
export interface Balancer {
  use (random: Random): ProcessInstance | undefined
  stop (): void
}

/** Sends new callers to the instances that the platform's balancer would use. */
export function balance (instances: readonly ProcessInstance[]): Balancer {
  const misses = new Map<ProcessInstance, number>()
  const missesOf = (instance: ProcessInstance): number => misses.get(instance) ?? 0
  const probe = async (instance: ProcessInstance): Promise<void> => { misses.set(instance, await readinessOf(instance) === 200 ? 0 : missesOf(instance) + 1) }
  const timer = setInterval(() => { for (const instance of instances) probe(instance).catch(() => {}) }, PROBE_MS)
  const use = (random: Random): ProcessInstance | undefined => {
    const ready = instances.filter((instance) => missesOf(instance) < MISSES)
    const used = ready.length * 2 < instances.length ? instances : ready
    return used[random(used.length)]
  }
  return { use, stop: () => clearInterval(timer) }
}
