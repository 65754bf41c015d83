import type { FleetView, InstanceReport } from '@berylshed/scheduler'

/** What an instance sends to the holder of the lease. */
export interface ExchangeRequest {
  readonly report: InstanceReport
  /** Version of the configuration in force at the sender; 0 where there is none. */
  readonly configurationVersion: number
  /** Store revision of the sender's list of upstreams. */
  readonly listRevision: number
  readonly crashes: ReadonlyArray<readonly [fingerprint: string, crashes: number]>
  /** The sender's beliefs, where the holder asked for them. */
  readonly beliefs: string | undefined
}

/** What the holder answers. */
export interface ExchangeAnswer {
  readonly view: FleetView
  /** Instances that reported lately, the holder included. */
  readonly instances: number
  readonly crashes: ReadonlyArray<readonly [fingerprint: string, crashes: number]>
  /** The holder's beliefs, where they are newer than the sender's. */
  readonly beliefs: string | undefined
  /** Whether the sender has newer beliefs and is to send them. */
  readonly wantsBeliefs: boolean
}
