import type { SchedulerEffect } from '@berylshed/scheduler'
import type { ServingEffect } from '@berylshed/serving'
import type { HeartbeatRequest } from './heartbeat.ts'
import type { ArchiveEffect } from './origin_archive.ts'

/** Change of the instance's configuration, upstreams or lease holder, for logs. */
export interface EdgeRecord {
  readonly what: 'configuration_in_force' | 'configuration_ignored' | 'upstreams_listed' | 'upstreams_ignored' | 'upstream_changed' | 'store_restored' | 'holder_found' | 'version_history_known' | 'stream_origins_read'
  readonly version?: number
  /** How often the store had been restored from a copy before `version`. */
  readonly era?: number
  /** Version that stays in force because it is newer than `version`. */
  readonly knownVersion?: number
  readonly from?: string
  readonly count?: number
  readonly upstream?: string
  /** Software version of the upstream. */
  readonly softwareVersion?: string
  readonly outcome?: string
  readonly fence?: number
  readonly holder?: string
  readonly ageMs?: number
}

/** Effect that the reducer of an entry instance requests. */
export type EdgeEffect =
  | { readonly subject: 'serving', readonly effect: ServingEffect }
  | { readonly subject: 'scheduler', readonly effect: SchedulerEffect }
  | { readonly subject: 'heartbeat', readonly to: string, readonly request: HeartbeatRequest }
  | { readonly subject: 'archive', readonly effect: ArchiveEffect }
  | { readonly subject: 'record', readonly record: EdgeRecord }
