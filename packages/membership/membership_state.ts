import { HashMap } from 'effect'
import type { Peer, PeerEntry, PeerHealth } from './peer.ts'

/** Times and sizes of the heartbeats. */
export interface HeartbeatTimes {
  readonly periodMs: number
  readonly suspectAfterMs: number
  readonly deadAfterMs: number
  /** Peers that are told in each period. */
  readonly fanout: number
  /** Entries in one message, besides the sender's own. */
  readonly entriesPerMessage: number
}

/** Heartbeat times whose traffic does not grow with the number of peers. */
export const DEFAULT_HEARTBEAT_TIMES: HeartbeatTimes = {
  periodMs: 1000, suspectAfterMs: 5000, deadAfterMs: 20_000, fanout: 1, entriesPerMessage: 6
}

/** What a process knows of its peers. */
export interface MembershipState {
  readonly self: PeerEntry
  readonly times: HeartbeatTimes
  readonly peers: HashMap.HashMap<string, Peer>
  /** Addresses from settings and the platform's list, for peers that were never heard of. */
  readonly seeds: readonly string[]
  readonly lastBeatMs: number
}

/** What a membership state is built from. */
export interface MembershipOptions {
  readonly seeds?: readonly string[]
  readonly times?: HeartbeatTimes
}

/**
 * Builds the state of a process that knows only its seeds.
 *
 * @param self The process's own entry.
 * @param options Seeds and times.
 * @returns The state.
 *
 * @example
 * ```ts
 * const state = newMembershipState(self, { seeds: ['127.0.0.1:8091'] })
 * ```
 */
export function newMembershipState (self: PeerEntry, options: MembershipOptions = {}): MembershipState {
  return {
    self,
    times: options.times ?? DEFAULT_HEARTBEAT_TIMES,
    peers: HashMap.empty(),
    seeds: options.seeds ?? [],
    lastBeatMs: -Infinity
  }
}

/**
 * Judges a peer by the age of its last news.
 *
 * @param state The membership state.
 * @param peer The peer.
 * @param nowMs The local time in ms.
 * @returns The peer's health.
 *
 * @example
 * ```ts
 * console.log(healthOf(state, peer, peer.heardAtMs)) // 'live'
 * ```
 */
export function healthOf (state: MembershipState, peer: Peer, nowMs: number): PeerHealth {
  const silentMs = nowMs - peer.heardAtMs
  const patience = _patience(state)
  if (silentMs >= state.times.deadAfterMs * patience) return 'dead'
  return silentMs >= state.times.suspectAfterMs * patience ? 'suspect' : 'live'
}

/** Periods without news of a peer that are ordinary, as a multiple of the mean. */
const ORDINARY_SILENCE = 4

// News of one peer comes the more seldom, the more peers share the messages.
function _patience (state: MembershipState): number {
  const { periodMs, fanout, entriesPerMessage, suspectAfterMs } = state.times
  const messagesPerPeriod = 2 * fanout
  const meanSilenceMs = HashMap.size(state.peers) * periodMs / (messagesPerPeriod * entriesPerMessage)
  return Math.max(1, ORDINARY_SILENCE * meanSilenceMs / suspectAfterMs)
}

/**
 * Lists the entries of all live instances, this one included.
 *
 * @param state The membership state.
 * @param nowMs The local time in ms.
 * @returns The entries, ordered by name.
 *
 * @example
 * ```ts
 * console.log(liveEntries(state, 0).length) // 1
 * ```
 */
export function liveEntries (state: MembershipState, nowMs: number): readonly PeerEntry[] {
  const peers = [...HashMap.values(state.peers)]
    .filter((peer) => !peer.entry.leaving && healthOf(state, peer, nowMs) === 'live')
    .map((peer) => peer.entry)
  const all = state.self.leaving ? peers : [...peers, state.self]
  return all.sort((a, b) => a.name < b.name ? -1 : 1)
}
