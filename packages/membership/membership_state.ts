import { HashMap } from 'effect'
import type { Peer, PeerEntry, PeerHealth } from './peer.ts'

/** Intervals, timeouts and message sizes of the heartbeats. */
export interface HeartbeatOptions {
  /** Time between two heartbeats, in ms. */
  readonly periodMs: number
  /** Age of a peer's entry from which the peer is suspect, in ms. */
  readonly suspectAfterMs: number
  /** Age of a peer's entry from which the peer is dead, in ms. */
  readonly deadAfterMs: number
  /** Number of peers that receive a message in each period. */
  readonly fanout: number
  /** Maximum number of entries in one message besides the sender's own. */
  readonly entriesPerMessage: number
}

/** Default heartbeat options; the traffic of a process does not grow with the number of peers. */
export const DEFAULT_HEARTBEAT_OPTIONS: HeartbeatOptions = {
  periodMs: 1000, suspectAfterMs: 5000, deadAfterMs: 20_000, fanout: 1, entriesPerMessage: 6
}

/** State of the membership reducer of one process. */
export interface MembershipState {
  /** Entry of the process itself. */
  readonly self: PeerEntry
  readonly heartbeat: HeartbeatOptions
  /** Known peers, by name. */
  readonly peers: HashMap.HashMap<string, Peer>
  /** Peer addresses from the settings and the platform's instance list, for peers without an entry. */
  readonly seeds: readonly string[]
  /** Local time of the last heartbeat, in ms. */
  readonly lastHeartbeatMs: number
}

/** Options of {@linkcode newMembershipState}. */
export interface MembershipOptions {
  /** Addresses of the first peers to contact; none by default. */
  readonly seeds?: readonly string[]
  /** Heartbeat options; {@linkcode DEFAULT_HEARTBEAT_OPTIONS} by default. */
  readonly heartbeat?: HeartbeatOptions
}

/**
 * Creates the initial state of the membership reducer.
 *
 * @param self The entry of the process itself.
 * @param options The seeds and heartbeat options.
 * @returns The state, without peers.
 *
 * @example
 * ```ts
 * const state = newMembershipState(self, { seeds: ['127.0.0.1:8091'] })
 * ```
 */
export function newMembershipState (self: PeerEntry, options: MembershipOptions = {}): MembershipState {
  return {
    self,
    heartbeat: options.heartbeat ?? DEFAULT_HEARTBEAT_OPTIONS,
    peers: HashMap.empty(),
    seeds: options.seeds ?? [],
    lastHeartbeatMs: -Infinity
  }
}

/**
 * Returns the health of a peer, according to the age of its latest entry.
 *
 * @param state The membership state.
 * @param peer The peer.
 * @param nowMs The local time, in ms.
 * @returns The peer's health.
 *
 * @example
 * ```ts
 * console.log(peerHealth(state, peer, peer.receivedAtMs)) // 'live'
 * ```
 */
export function peerHealth (state: MembershipState, peer: Peer, nowMs: number): PeerHealth {
  const ageMs = nowMs - peer.receivedAtMs
  const scale = _timeoutScale(state)
  if (ageMs >= state.heartbeat.deadAfterMs * scale) return 'dead'
  return ageMs >= state.heartbeat.suspectAfterMs * scale ? 'suspect' : 'live'
}

/** Maximum interval between updates of a live peer, as a multiple of the mean interval. */
const MAX_INTERVAL_FACTOR = 4

// The more peers share the messages, the longer the intervals between updates of a peer, so the timeouts are scaled up.
function _timeoutScale (state: MembershipState): number {
  const { periodMs, fanout, entriesPerMessage, suspectAfterMs } = state.heartbeat
  const messagesPerPeriod = 2 * fanout
  const meanGapMs = HashMap.size(state.peers) * periodMs / (messagesPerPeriod * entriesPerMessage)
  return Math.max(1, MAX_INTERVAL_FACTOR * meanGapMs / suspectAfterMs)
}

/**
 * Lists the entries of all live instances that are not leaving, including this one.
 *
 * @param state The membership state.
 * @param nowMs The local time, in ms.
 * @returns The entries, ordered by name.
 *
 * @example
 * ```ts
 * console.log(liveEntries(state, 0).length) // 1
 * ```
 */
export function liveEntries (state: MembershipState, nowMs: number): readonly PeerEntry[] {
  const peers = [...HashMap.values(state.peers)]
    .filter((peer) => !peer.entry.leaving && peerHealth(state, peer, nowMs) === 'live')
    .map((peer) => peer.entry)
  const all = state.self.leaving ? peers : [...peers, state.self]
  return all.sort((a, b) => a.name < b.name ? -1 : 1)
}
