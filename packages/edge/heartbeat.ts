import type { Configuration, UpstreamUpdate } from '@berylshed/fleet'
import type { QuotaAnswer, QuotaReport } from '@berylshed/limits'
import type { FleetView, InstanceReport, Instant, LeaseGrant } from '@berylshed/scheduler'
import type { BrittleRecord, EjectionRecord, EvidenceUpdate, LimitRecord, LimitShare, OriginSegment, OriginUpdate, Relay } from '@berylshed/serving'

/** Changes of the registry that one instance relays to another. */
export interface RegistryUpdate {
  readonly configuration: Configuration | undefined
  readonly upstreams: UpstreamUpdate | undefined
  /** Whether the sender decodes customers; absent if it runs an earlier release, whose configurations lack them. */
  readonly readsCustomers?: boolean
}

/** The holder's list of the instances among which upstreams are divided. */
export interface MembersUpdate {
  readonly digest: string
  /** Absent if the receiver has the list. */
  readonly relays?: readonly Relay[]
}

/** Heartbeat of an instance to the lease holder. */
export interface HeartbeatRequest {
  readonly report: InstanceReport
  /** Version of the configuration in force at the sender; 0 if there is none. */
  readonly configurationVersion: number
  /** Store revision of the sender's list of upstreams. */
  readonly listRevision: number
  /** Holder and version of the view that the sender received last; an empty name and 0 if there is none. */
  readonly receivedView: { readonly holder: string, readonly version: number }
  /** Sender and version of the crash evidence that the sender received last; an empty origin and 0 if there is none. */
  readonly receivedEvidence: { readonly origin: string, readonly version: number }
  /** Changes of the sender's crash evidence that the holder has not acknowledged. */
  readonly evidence: EvidenceUpdate | undefined
  /** Sender and version of the stream origins that the sender received last; an empty origin and 0 if there are none. */
  readonly receivedOrigins: { readonly origin: string, readonly version: number }
  /** Origins of streams that the holder has not acknowledged. */
  readonly origins: OriginUpdate | undefined
  /** Attempts that began streams which callers resume at the sender, and whose origin it does not know. */
  readonly wantedOrigins: readonly string[]
  /** Whether the sender knows the software versions that streams begun before its start may have begun at. */
  readonly historyKnown: boolean
  /** Limits that upstreams have named to the sender. */
  readonly limits: readonly LimitRecord[]
  /** Services that are brittle. */
  readonly brittle: readonly BrittleRecord[]
  /** Digest of the sender's list of members. */
  readonly members: string
  /** Time that the sender grants to the process that it takes for the holder, if it does. */
  readonly grant: (LeaseGrant & { readonly holder: string }) | undefined
  /** What the sender has charged against quotas; absent if there is nothing to report or an earlier release sends. */
  readonly quotas?: QuotaReport
  /** Registry update, if the holder requested one. */
  readonly update: RegistryUpdate | undefined
}

/** The holder's answer to a heartbeat. */
export interface HeartbeatAnswer {
  readonly view: FleetView
  /** Time by the clocks of the answering instance; undefined if it runs an earlier release. */
  readonly stamp: Instant | undefined
  /** Number of instances that share limits, including the holder. */
  readonly instances: number
  /** Instances to which the sender may hand over requests whose upstreams it cannot reach. */
  readonly relays: readonly Relay[]
  /** Limits of upstreams with the sender's shares. */
  readonly limits: ReadonlyArray<LimitRecord | LimitShare>
  /** Services that are brittle. */
  readonly brittle: readonly BrittleRecord[]
  /** Upstreams that are ejected for their failures. */
  readonly ejections: readonly EjectionRecord[]
  /** The instances among which upstreams are divided, if the sender has another list; undefined if the holder runs an earlier release. */
  readonly members: MembersUpdate | undefined
  /** What the sender may spend; absent if there are no quotas, the answering process does not hold the lease or it runs an earlier release. */
  readonly quotas?: QuotaAnswer
  /** Changes of the holder's crash evidence that the sender lacks. */
  readonly evidence: EvidenceUpdate | undefined
  /** Origins of streams that the sender lacks or asks for. */
  readonly origins: OriginUpdate | undefined
  /** Software versions that open streams may have begun at, by service, if the sender lacks them. */
  readonly versionHistory: OriginSegment | undefined
  /** Registry update that the sender lacks. */
  readonly update: RegistryUpdate | undefined
  /** Whether the sender knows something newer and is to send it. */
  readonly wantsNews: boolean
  /** Whether the holder decodes customers; absent if it runs an earlier release. */
  readonly readsCustomers?: boolean
  /** Store revision of the holder's list of upstreams. */
  readonly listRevision: number
  /** Time since the holder last read the store, in ms; Infinity if it never did. */
  readonly registryAgeMs: number
}
