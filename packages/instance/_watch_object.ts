import type { Store, StoredObject } from '@berylshed/platform'
import { Effect } from 'effect'

/** Minimum delay after a failed call, in ms. */
const MIN_BACKOFF_MS = 200
/** Maximum random delay that is added to the minimum, in ms. */
const MAX_JITTER_MS = 2000

/** Options for `watchObject`. */
export interface WatchOptions {
  /** Longest time that one call to the store waits for a change, in ms. */
  readonly waitMs: number
  /** Called with every new version of the object. */
  changed (object: StoredObject): void
  /** Called when a call to the store fails. */
  failed (): void
  /** Returns a random number from 0 up to 1. */
  random (): number
}

/** Watches a store object until interrupted. A call without an answer times out; a failed call is followed by a backoff and a fresh read. */
export function watchObject (store: Store, key: string, options: WatchOptions): Effect.Effect<never> {
  return Effect.gen(function * () {
    let version = -1
    let failures = 0
    while (true) {
      const knownVersion = version
      const answer = yield * Effect.promise(async () => knownVersion < 0 || failures > 0
        ? await store.read(key)
        : await store.watch(key, { afterVersion: knownVersion, waitMs: options.waitMs }))
      if (answer.isErr()) {
        failures += 1
        options.failed()
        // Jitter keeps the instances from retrying at the same time after an outage.
        const ceilingMs = Math.min(MAX_JITTER_MS, MIN_BACKOFF_MS * 2 ** failures)
        yield * Effect.sleep(MIN_BACKOFF_MS + options.random() * ceilingMs)
        continue
      }
      failures = 0
      if (answer.value === undefined || answer.value.version <= version) continue
      version = answer.value.version
      options.changed(answer.value)
    }
  })
}
