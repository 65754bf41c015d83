import type { Store } from '@berylshed/platform'
import type { Settings } from '@berylshed/settings'
import type { InstanceEvent } from './instance_event.ts'
import type { InstanceState } from './instance_state.ts'
import type { Log } from './log.ts'
import type { Metrics } from './metrics.ts'
import type { PeerClient } from './peer_client.ts'

/** Dependencies that the effect interpreters of an instance share. */
export interface InterpreterContext {
  readonly settings: Settings
  readonly store: Store
  readonly peers: PeerClient
  readonly metrics: Metrics
  readonly log: Log
  readonly incarnation: string
  /** Returns the local time in ms. */
  nowMs (): number
  /** Returns a random number from 0 up to 1. */
  random (): number
  /** Returns the current state of the instance. */
  state (): InstanceState
  /** Queues an event for the reducer. */
  dispatch (event: InstanceEvent): void
}
