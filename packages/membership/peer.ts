/** Entry that an instance publishes about itself; other instances forward it unchanged. */
export interface PeerEntry {
  readonly name: string
  /** Id of one run of the process. */
  readonly incarnation: string
  /** Host and port of the peer interface. */
  readonly address: string
  readonly availabilityZone: string
  /** Heartbeat counter; increases with each heartbeat of the incarnation. */
  readonly beat: number
  /** Wall-clock start time of the incarnation, in ms; the latest incarnation of a name replaces earlier ones. */
  readonly startedAtMs: number
  /** Whether the instance is shutting down. */
  readonly leaving: boolean
  /** Version of the configuration that the instance has applied. */
  readonly configuration: number
}

/** Health of a peer according to the local failure detector. */
export type PeerHealth = 'live' | 'suspect' | 'dead'

/** A known peer. */
export interface Peer {
  /** Latest entry of the peer. */
  readonly entry: PeerEntry
  /** Local time at which the entry was received, in ms. */
  readonly receivedAtMs: number
}
