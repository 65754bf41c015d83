import { noteAnnouncement, type LoadAnnouncements } from '@berylshed/queueing'
import type { ServingState } from './serving_state.ts'

/**
 * Notes that a lease holder told which loads are expected.
 *
 * @param state The state.
 * @param announcement The holder and the local time at which it told, in ms.
 * @param nowMs The local time in ms.
 * @returns The state; waiting requests are refused by it with the next tick.
 *
 * @example
 * ```ts
 * const next = noteLoadAnnouncement(state, { holder: 'entry-1:1', atMs: nowMs }, nowMs)
 * ```
 */
export function noteLoadAnnouncement (state: ServingState, announcement: Pick<LoadAnnouncements, 'holder' | 'atMs'>, nowMs: number): ServingState {
  const announcements = noteAnnouncement(state.queueing.announcements, announcement, nowMs)
  return announcements === state.queueing.announcements ? state : { ...state, queueing: { ...state.queueing, announcements } }
}
