import { HashMap, Option } from 'effect'
import { step, type Step } from '@berylshed/reducer'
import { peerHealth, type MembershipState } from './membership_state.ts'
import type { Peer, PeerEntry } from './peer.ts'

/** Input event of the membership reducer. */
export type MembershipEvent =
  | { readonly kind: 'gossip_received', readonly entries: readonly PeerEntry[], readonly nowMs: number }
  | { readonly kind: 'seeds_changed', readonly seeds: readonly string[], readonly nowMs: number }
  | { readonly kind: 'configuration_applied', readonly version: number, readonly nowMs: number }
  | { readonly kind: 'leaving', readonly nowMs: number }
  | { readonly kind: 'ticked', readonly nowMs: number, readonly random: number }

/** Side effect that the membership reducer asks its interpreter to carry out. */
export type MembershipEffect =
  | { readonly kind: 'gossip', readonly to: string, readonly entries: readonly PeerEntry[] }
  | { readonly kind: 'peers_changed' }

type _Step = Step<MembershipState, MembershipEffect>

/**
 * Applies one event to the membership.
 *
 * In each period the process sends its own entry and a bounded number of its peers' entries to a few peers, so that its
 * traffic is constant (van Renesse et al., A gossip-style failure detection service, Middleware 1998).
 *
 * @param state The current state.
 * @param event The event to apply.
 * @returns The next state and the effects to carry out.
 *
 * @example
 * ```ts
 * const { effects } = reduceMembership(state, { kind: 'ticked', nowMs: 1000, random: 0.5 })
 * ```
 */
export function reduceMembership (state: MembershipState, event: MembershipEvent): _Step {
  switch (event.kind) {
    case 'gossip_received': return _mergeEntries(state, event.entries, event.nowMs)
    case 'seeds_changed': return step({ ...state, seeds: event.seeds })
    case 'configuration_applied': return step({ ...state, self: { ...state.self, configuration: event.version } })
    case 'leaving': return _sendHeartbeat({ ...state, self: { ...state.self, leaving: true } }, event.nowMs, 0)
    case 'ticked': return _tick(state, event.nowMs, event.random)
  }
}

/**
 * Lists the entries of one message: the sender's own and those of some live peers.
 *
 * @param state The membership state.
 * @param nowMs The local time, in ms.
 * @param options A random number in [0, 1) that selects the peers.
 * @returns The entries.
 *
 * @example
 * ```ts
 * const entries = gossipEntries(state, 0, { random: 0.5 })
 * ```
 */
export function gossipEntries (state: MembershipState, nowMs: number, options: { readonly random: number }): readonly PeerEntry[] {
  const live = [...HashMap.values(state.peers)]
    .filter((peer) => peerHealth(state, peer, nowMs) === 'live')
    .sort((a, b) => a.entry.name < b.entry.name ? -1 : 1)
  const count = Math.min(live.length, state.heartbeat.entriesPerMessage)
  const start = Math.floor(options.random * live.length)
  const selected = Array.from({ length: count }, (_, i) => live[(start + i) % live.length])
  return [state.self, ...selected.flatMap((peer) => peer === undefined ? [] : [peer.entry])]
}

function _mergeEntries (state: MembershipState, entries: readonly PeerEntry[], nowMs: number): _Step {
  const merged = entries.reduce((peers, entry) => _mergeEntry(state, peers, { entry, nowMs }), state.peers)
  if (merged === state.peers) return step(state)
  return step({ ...state, peers: merged }, [{ kind: 'peers_changed' }])
}

interface _ReceivedEntry {
  readonly entry: PeerEntry
  readonly nowMs: number
}

function _mergeEntry (state: MembershipState, peers: MembershipState['peers'], received: _ReceivedEntry): MembershipState['peers'] {
  const { entry, nowMs } = received
  if (entry.incarnation === state.self.incarnation) return peers
  const known = Option.getOrUndefined(HashMap.get(peers, entry.name))
  if (known !== undefined && !_isNewer(entry, known.entry)) return peers
  return HashMap.set(peers, entry.name, { entry, receivedAtMs: nowMs })
}

function _isNewer (entry: PeerEntry, known: PeerEntry): boolean {
  if (entry.incarnation === known.incarnation) return entry.beat > known.beat
  return entry.startedAtMs > known.startedAtMs
}

function _tick (state: MembershipState, nowMs: number, random: number): _Step {
  if (nowMs - state.lastHeartbeatMs < state.heartbeat.periodMs) return step(state)
  // Drops peers whose entries are at least twice as old as the age at which a peer is dead.
  const kept = HashMap.filter(state.peers, (peer) => peerHealth(state, peer, (nowMs + peer.receivedAtMs) / 2) !== 'dead')
  return _sendHeartbeat({ ...state, peers: kept }, nowMs, random)
}

function _sendHeartbeat (state: MembershipState, nowMs: number, random: number): _Step {
  const self = { ...state.self, beat: state.self.beat + 1 }
  const next = { ...state, self, lastHeartbeatMs: nowMs }
  const entries = gossipEntries(next, nowMs, { random })
  const effects = _gossipTargets(next, random).map((to): MembershipEffect => ({ kind: 'gossip', to, entries }))
  return step(next, effects)
}

// Selects consecutive addresses from a random start, among known peers and seeds, including seeds without an entry.
function _gossipTargets (state: MembershipState, random: number): readonly string[] {
  const known = [...HashMap.values(state.peers)].map((peer: Peer) => peer.entry.address)
  const all = [...new Set([...known, ...state.seeds])].filter((address) => address !== state.self.address).sort()
  const start = Math.floor(random * all.length)
  const count = Math.min(all.length, state.heartbeat.fanout)
  return Array.from({ length: count }, (_, i) => all[(start + i) % all.length] ?? '')
}
