import type { Configuration, UpstreamList, UpstreamUpdate } from '@berylshed/fleet'
import type { Instant, SchedulerEvent } from '@berylshed/scheduler'
import type { ServingEvent } from '@berylshed/serving'
import type { HeartbeatAnswer, HeartbeatRequest } from './heartbeat.ts'
import type { ArchiveEvent } from './origin_archive.ts'

/** Event of an entry instance. */
export type EdgeEvent =
  /** The servers for other instances are bound to these addresses. */
  | { readonly subject: 'listening', readonly peerAddress: string, readonly relayAddress: string, readonly at: Instant }
  | { readonly subject: 'serving', readonly event: ServingEvent }
  | { readonly subject: 'scheduler', readonly event: SchedulerEvent }
  | { readonly subject: 'configured', readonly configuration: Configuration, readonly from: 'store' | 'peer', readonly at: Instant }
  | { readonly subject: 'listed', readonly list: UpstreamList, readonly at: Instant }
  /** Another instance passed on changed registrations. */
  | { readonly subject: 'upstreams_updated', readonly update: UpstreamUpdate, readonly at: Instant }
  /** A read of the store that was sent at a local time in ms succeeded, with or without changes. */
  | { readonly subject: 'registry_read', readonly what: 'configuration' | 'upstreams', readonly sentAtMs: number, readonly at: Instant }
  | { readonly subject: 'heartbeat_received', readonly request: HeartbeatRequest, readonly at: Instant }
  | { readonly subject: 'heartbeat_answered', readonly answer: HeartbeatAnswer, readonly at: Instant }
  | { readonly subject: 'heartbeat_failed', readonly refused: boolean, readonly at: Instant }
  /** An action on the stored origins of streams ended. */
  | { readonly subject: 'archive', readonly event: ArchiveEvent, readonly at: Instant }
  | { readonly subject: 'draining', readonly newCallersUntilMs: number, readonly closesAtMs: number, readonly at: Instant }
  | { readonly subject: 'tick', readonly at: Instant }
