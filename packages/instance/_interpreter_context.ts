import type { Store } from '@berylshed/platform'
import type { Settings } from '@berylshed/settings'
import type { InstanceEvent } from './instance_event.ts'
import type { InstanceState } from './instance_state.ts'
import type { Log } from './log.ts'
import type { Metrics } from './metrics.ts'
import type { PeerClient } from './peer_client.ts'

/** What the interpreters of the subjects share. */
export interface InterpreterContext {
  readonly settings: Settings
  readonly store: Store
  readonly peers: PeerClient
  readonly metrics: Metrics
  readonly log: Log
  readonly incarnation: string
  nowMs (): number
  random (): number
  state (): InstanceState
  dispatch (event: InstanceEvent): void
}
