import { diffUpstreams, applyRegistrationChanges, NO_UPSTREAMS, storePosition, storeRevision, type Configuration, type RegistrationChange, type Upstream, type UpstreamList } from '@berylshed/fleet'
import type { Registry, RegistryFailure, UpstreamListing, RegistrationChanges } from '@berylshed/platform'
import { Effect } from 'effect'
import type { Result } from 'neverthrow'
import { judgePosition, type PositionDoubt } from './_judge_position.ts'

/** Maximum duration of a watch, in ms. It bounds the age of relayed registry data and the time to detect a silent watch. */
const WATCH_MS = 500
/** Minimum time from one call to the next, in ms: a tenth of its maximum duration. */
const MIN_WATCH_MS = 50
/** Interval between checks whether another instance still relays the registry, in ms. */
const RELAY_POLL_MS = 100
/** Delay after changed registrations, in ms, which batches several changes into one call. */
const BATCH_MS = 250
/** Delay after a failed call, in ms, plus random jitter of up to the same length. */
const RETRY_MS = 250
/** Minimum of that delay for each instance, in ms, so that all instances of a fleet that the store does not answer call it about 130 times per second. */
const RETRY_PER_INSTANCE_MS = 10
/** Minimum interval between reads without a delay after the history of the store is gone, in ms. */
const REREAD_INTERVAL_MS = 1000
/** Time of consecutive failures that counts as an outage, in ms. */
const OUTAGE_MS = 800
/** Time after an outage within which expired registrations are renewed, in ms. The platform documents 2 s. */
const REREGISTRATION_MS = 2300

/** Callbacks and inputs of the functions that follow the registry. */
export interface RegistryHooks {
  nowMs (): number
  random (): number
  /** Returns the number of instances that follow the store. */
  instances (): number
  configured (configuration: Configuration): void
  listed (list: UpstreamList): void
  /** Returns the newest known list, from the store or from another instance. */
  newestList (): UpstreamList | undefined
  /** Reports whether another instance reads the store and passes on its changes. */
  isRelayed (what: 'configuration' | 'upstreams'): boolean
  /** Called after a successful read of the store that was sent at a local time in ms, with or without changes. */
  read (what: 'configuration' | 'upstreams', sentAtMs: number): void
  lost (what: string, reason: string): void
  regained (what: string): void
  /** Time after which the store removes the registration of an upstream that has ended, in ms. */
  readonly registrationTtlMs: number
}

interface _OutageTracker {
  failed (failure: RegistryFailure): void
  succeeded (): void
  /** Records a position of the store; the first one of a later era ends an outage, as the store was restored from a copy. */
  observed (revision: number | undefined): void
  /** Returns the local time at which the last outage ended, in ms; -Infinity if there was none. */
  outageEndedAtMs (): number
}

function trackOutages (what: string, hooks: RegistryHooks): _OutageTracker {
  let failingSinceMs: number | undefined
  let failingRevision = 0
  let outageEndedAtMs = -Infinity
  let lossReported = false
  let newestEra: number | undefined
  return {
    failed: (failure) => {
      if (failingSinceMs === undefined) failingRevision = hooks.newestList()?.revision ?? 0
      failingSinceMs ??= hooks.nowMs()
      if (!lossReported) hooks.lost(what, failure.message)
      lossReported = true
    },
    succeeded: () => {
      // An update from another instance during the failure shows that the store rejected only this instance.
      const onlyThisInstance = (hooks.newestList()?.revision ?? 0) > failingRevision
      if (!onlyThisInstance && failingSinceMs !== undefined && hooks.nowMs() - failingSinceMs >= OUTAGE_MS) outageEndedAtMs = hooks.nowMs()
      failingSinceMs = undefined
      if (lossReported) hooks.regained(what)
      lossReported = false
    },
    observed: (revision) => {
      if (revision === undefined) return
      const { era } = storeRevision(revision)
      if (newestEra !== undefined && era > newestEra) outageEndedAtMs = hooks.nowMs()
      newestEra = Math.max(newestEra ?? 0, era)
    },
    outageEndedAtMs: () => outageEndedAtMs
  }
}

function retryDelay (hooks: RegistryHooks): Effect.Effect<void> {
  const delayMs = Math.max(RETRY_MS, RETRY_PER_INSTANCE_MS * hooks.instances())
  return Effect.sleep(delayMs + hooks.random() * delayMs)
}

// A store that does not wait would be called without a pause.
function paceWatch (elapsedMs: number): Effect.Effect<void> {
  return elapsedMs >= MIN_WATCH_MS ? Effect.void : Effect.sleep(MIN_WATCH_MS - elapsedMs)
}

function toEffect<T> (call: () => Promise<Result<T, RegistryFailure>>): Effect.Effect<Result<T, RegistryFailure>> {
  return Effect.promise(call)
}

// A store that has lost its history is read at once, but one that answers so each time would be called without a pause.
function limitRereads (hooks: RegistryHooks): (failure: RegistryFailure) => boolean {
  let rereadAtMs = -Infinity
  return ({ kind }) => {
    if (kind !== 'history_gone' || hooks.nowMs() - rereadAtMs < REREAD_INTERVAL_MS) return false
    rereadAtMs = hooks.nowMs()
    return true
  }
}

// An exception would end the fiber, and the instance would follow the store no longer.
function restarting (follow: Effect.Effect<never>, { outages, hooks }: { readonly outages: _OutageTracker, readonly hooks: RegistryHooks }): Effect.Effect<never> {
  return Effect.catchDefect(follow, (defect) => {
    outages.failed({ kind: 'unreadable', message: defect instanceof Error ? defect.stack ?? defect.message : String(defect) })
    return Effect.andThen(retryDelay(hooks), restarting(follow, { outages, hooks }))
  })
}

/** Reads and watches the configuration until interrupted. */
export function followConfiguration (registry: Registry, hooks: RegistryHooks): Effect.Effect<never> {
  const outages = trackOutages('configuration', hooks)
  const mayReadAtOnce = limitRereads(hooks)
  const follow = Effect.gen(function * () {
    let revision: number | undefined
    while (true) {
      if (hooks.isRelayed('configuration')) {
        revision = undefined
        yield * Effect.sleep(RELAY_POLL_MS)
        continue
      }
      const afterRevision = revision
      const sentAtMs = hooks.nowMs()
      const result = yield * toEffect(() => afterRevision === undefined
        ? registry.readConfiguration()
        : registry.watchConfiguration({ afterRevision, waitMs: WATCH_MS }))
      if (result.isErr()) {
        outages.failed(result.error)
        revision = undefined
        if (!mayReadAtOnce(result.error)) yield * retryDelay(hooks)
        continue
      }
      outages.succeeded()
      hooks.read('configuration', sentAtMs)
      const { configuration } = result.value
      // The watched revision was odd, and what has changed since the true one may be missing.
      revision = result.value.revision < (afterRevision ?? 0) ? undefined : result.value.revision
      if (configuration !== undefined) hooks.configured(configuration)
      if (configuration === undefined && afterRevision === undefined) yield * retryDelay(hooks)
      else yield * paceWatch(hooks.nowMs() - sentAtMs)
    }
  })
  return restarting(follow, { outages, hooks })
}

/** Lists and watches the registrations until interrupted. */
export function followUpstreams (registry: Registry, hooks: RegistryHooks): Effect.Effect<never> {
  const outages = trackOutages('registrations', hooks)
  const mayReadAtOnce = limitRereads(hooks)
  const follow = Effect.gen(function * () {
    let known: UpstreamList | undefined
    let synchronized = false
    let deferred = deferRemovals(undefined, { changes: [], revision: 0 }, { nowMs: hooks.nowMs(), outageEndedAtMs: -Infinity })
    let returning: DeferredReturns = new Map()
    let doubt: PositionDoubt | undefined
    let [knownRevision, knownSinceMs] = [0, hooks.nowMs()]
    while (true) {
      outages.observed(hooks.newestList()?.revision)
      if (hooks.isRelayed('upstreams')) {
        synchronized = false
        yield * Effect.sleep(RELAY_POLL_MS)
        continue
      }
      const base = _newer(known, hooks.newestList())
      if (base !== undefined && base.revision !== knownRevision) [knownRevision, knownSinceMs] = [base.revision, hooks.nowMs()]
      const waiting = deferred.lapsed.size > 0 || returning.size > 0
      const sentAtMs = hooks.nowMs()
      const result = yield * toEffect<_RegistryUpdate>(async () => base === undefined || !synchronized
        ? (await registry.listUpstreams()).map((listing) => ({ revision: listing.revision, changes: diffUpstreams(base, listing.upstreams), listed: listing.upstreams }))
        : await registry.watchUpstreams({ afterRevision: storePosition({ ...storeRevision(base.revision), corrections: 0 }), waitMs: waiting ? BATCH_MS : WATCH_MS }))
      if (result.isErr()) {
        outages.failed(result.error)
        synchronized = false
        if (!mayReadAtOnce(result.error)) yield * retryDelay(hooks)
        continue
      }
      const { listed } = result.value
      outages.succeeded()
      const nowMs = hooks.nowMs()
      const verdict = judgePosition(doubt, { known: base?.revision, knownSinceMs, read: result.value.revision, isComplete: listed !== undefined }, nowMs)
      if (verdict.doubt !== undefined) {
        if (doubt === undefined) hooks.lost('positions', verdict.doubt.reason)
        doubt = verdict.doubt
        synchronized = false
        yield * retryDelay(hooks)
        continue
      }
      if (doubt !== undefined) hooks.regained('positions')
      doubt = undefined
      const revision = verdict.position
      outages.observed(revision)
      synchronized = true
      // Other instances take over only lists of a higher position, so what falls due waits for one.
      const advanced = revision > (base?.revision ?? 0)
      deferred = deferRemovals(deferred, { ...result.value, revision }, { nowMs, outageEndedAtMs: outages.outageEndedAtMs(), advanced })
      const applied = applyRegistrationChanges(base ?? NO_UPSTREAMS, deferred.changes, { revision, complete: listed !== undefined })
      returning = deferReturns(returning, { list: applied, listed, changes: result.value.changes }, { nowMs, ttlMs: hooks.registrationTtlMs })
      const returned = [...returning].filter(([, { dueMs }]) => advanced && nowMs >= dueMs).map(([id, { upstream }]) => ({ id, upstream }))
      const changed = known === undefined || deferred.changes.length > 0 || returned.length > 0
      known = applyRegistrationChanges(applied, returned, { revision })
      if (changed) hooks.listed(known)
      hooks.read('upstreams', sentAtMs)
      if (changed) yield * Effect.sleep(BATCH_MS)
      else yield * paceWatch(hooks.nowMs() - sentAtMs)
    }
  })
  return restarting(follow, { outages, hooks })
}

/** Changes of the registrations, with the complete listing they were derived from, if any. */
type _RegistryUpdate = RegistrationChanges & { readonly listed?: UpstreamListing['upstreams'] }

function _newer (a: UpstreamList | undefined, b: UpstreamList | undefined): UpstreamList | undefined {
  if (a === undefined || b === undefined) return a ?? b
  return a.revision >= b.revision ? a : b
}

/** Changes to apply now, and deferred removals. */
export interface DeferredChanges {
  readonly changes: readonly RegistrationChange[]
  /** Expired registrations by id, with the local time until which they may be renewed, in ms. */
  readonly lapsed: ReadonlyMap<string, number>
}

/** Local times of the changes and of the end of the last outage, in ms. */
export interface DeferTimes {
  readonly nowMs: number
  readonly outageEndedAtMs: number
  /** Whether the store has advanced since the known list, so that changes can fall due; true by default. */
  readonly advanced?: boolean
}

/**
 * Defers removals that arrive right after an outage of the store.
 *
 * Registrations expire while the store is unavailable, and live upstreams renew theirs soon after it returns.
 */
export function deferRemovals (
  earlier: DeferredChanges | undefined,
  update: { readonly changes: readonly RegistrationChange[], readonly revision: number },
  times: DeferTimes
): DeferredChanges {
  const untilMs = times.outageEndedAtMs + REREGISTRATION_MS
  const lapsed = new Map(earlier?.lapsed)
  const changes: RegistrationChange[] = []
  for (const change of update.changes) {
    if (change.upstream !== undefined) {
      lapsed.delete(change.id)
      changes.push(change)
    } else if (times.nowMs < untilMs) lapsed.set(change.id, untilMs)
    else changes.push(change)
  }
  for (const [id, dueMs] of lapsed) {
    if (times.nowMs < dueMs || times.advanced === false) continue
    lapsed.delete(id)
    changes.push({ id, upstream: undefined })
  }
  return { changes, lapsed }
}

/** Registrations that a complete list left out, by id, with the local time from which they count, in ms. */
export type DeferredReturns = ReadonlyMap<string, { readonly upstream: Upstream, readonly dueMs: number }>

/** Registrations as read and as applied. */
export interface AppliedRegistrations {
  /** The list after the changes. */
  readonly list: UpstreamList
  /** The complete listing that was read, if it was not a watch. */
  readonly listed: UpstreamListing['upstreams'] | undefined
  readonly changes: readonly RegistrationChange[]
}

/** Local time and the time after which the store removes the registration of an upstream that has ended, in ms. */
export interface ReturnTimes {
  readonly nowMs: number
  readonly ttlMs: number
}

/**
 * Defers the return of upstreams that were removed before the store was restored from a copy that still lists them.
 *
 * The store removes their registrations again if they have ended, so those that remain belong to upstreams that live.
 */
export function deferReturns (earlier: DeferredReturns, applied: AppliedRegistrations, times: ReturnTimes): DeferredReturns {
  const { list, listed, changes } = applied
  const changed = new Set(listed === undefined ? changes.map(({ id }) => id) : [])
  const returning = new Map([...earlier].filter(([id]) => !changed.has(id) && !list.upstreams.has(id) && listed?.has(id) !== false))
  for (const [id, upstream] of listed ?? []) {
    if (!list.upstreams.has(id) && !returning.has(id)) returning.set(id, { upstream, dueMs: times.nowMs + times.ttlMs })
  }
  return returning
}
