import type { Configuration, Route, Upstream } from '@berylshed/fleet'
import type { ExecutionContext } from 'ava'
import { FixedRegistry, MemoryStore, pause, startInstance, type TestInstance } from './_test_system.ts'

const LOOKUPS: Route = { name: 'lookups', host: 'api.example', pathPrefix: '/lookups/', repetition: 'idempotent', timeoutMs: 4000, objectiveMs: 300, rank: 0, maxAttempts: 2, resumable: false, services: [{ service: 'orders', weight: 1 }] }

/** A configuration with lookups, bookings that must not run twice, and drafts that are resumable streams, all of one plain service. */
export const PLAIN_CONFIGURATION: Configuration = {
  version: 1,
  routes: [
    LOOKUPS,
    { ...LOOKUPS, name: 'bookings', pathPrefix: '/bookings/', repetition: 'non_idempotent' },
    { ...LOOKUPS, name: 'drafts', pathPrefix: '/drafts/', repetition: 'streaming', resumable: true }
  ],
  services: new Map([['orders', { name: 'orders', engine: undefined }]]),
  limits: { maxBodyBytes: 100, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}

/** Returns the registration of an upstream of the plain service. */
export function plainUpstream (id: string, address: string, slots = 4): Upstream {
  return { id, service: 'orders', address, availabilityZone: 'a', incarnation: 1, softwareVersion: 'v1', slots, leaving: false, residents: [], copies: { inMemory: [], onDisk: [] } }
}

/** Starts instances that know of each other, each with its own view of the upstreams, and stops them at the end of the test. */
export async function startInstances (t: ExecutionContext, views: ReadonlyArray<readonly Upstream[]>): Promise<readonly TestInstance[]> {
  const store = new MemoryStore()
  const instances: TestInstance[] = []
  t.teardown(() => Promise.all(instances.map(({ edge }) => edge.close())))
  for (const [i, upstreams] of views.entries()) {
    const instance = await startInstance(`entry-${i + 1}`, { store, registry: new FixedRegistry(PLAIN_CONFIGURATION, upstreams) })
    instances.push(instance)
    while (i === 0 ? instance.edge.state().scheduler.held === undefined : instance.edge.state().received === undefined) await pause(20)
  }
  while (instances.some(({ edge }) => edge.state().serving.instances < views.length)) await pause(20)
  return instances
}
